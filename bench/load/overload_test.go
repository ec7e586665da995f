package load_test

import (
	"testing"
	"time"

	"pumiceford/bench/load"
)

// overloaded sets a scenario's peak rate so that peaks need the given part of all slots.
func overloaded(s load.Scenario, part float64) load.Scenario {
	s.Duration = 12 * time.Second
	s.PeakRate = float64(s.Targets*s.Slots) / s.HoldTime.Seconds() * part
	if s.MixedSpeeds {
		const slower = 1.1 // mean, as a third of the targets takes 1.3 times as long
		s.PeakRate /= slower
	}
	return s
}

// Guards against nearly every first event being late, and callers being refused twice,
// when targets are lost and a peak needs a third more than the remaining slots. If every
// request that can be served at all is admitted, queues form at all targets and all
// requests wait. Requests that would be late are refused at once with a retry-after that
// mostly falls after the peak.
func TestRefusingLateRequestsServesMoreInTime(t *testing.T) {
	t.Parallel()
	large := overloaded(load.Fleet180, 1.3)
	large.Duration = 6 * time.Second // one peak; more takes long under the race detector
	for _, s := range []load.Scenario{
		overloaded(load.Fleet9, 1.3), overloaded(load.Fleet9, 1.6), overloaded(load.Fleet56, 1.3), overloaded(load.Fleet56, 1.6), large,
	} {
		queue := load.PartialReports
		queue.MinRetryAfter, queue.MaxRetryAfter = 300*time.Millisecond, 300*time.Millisecond
		all := load.Run(s, queue, 1)
		inTime := func(o load.Outcome) int { return len(o.FirstEventTimes) - o.Late - o.RetriedInTime }
		for _, policy := range []load.Policy{load.RefuseLate, load.WaitAtEntry} {
			some := load.Run(s, policy, 1)
			t.Logf("\n%s\n%s", all, some)
			if inTime(some)*100 < inTime(all)*115 || some.Late > all.Late*3/4 {
				t.Errorf("with and without refusals: in time at the first attempt %d and %d, late %d and %d", inTime(some), inTime(all), some.Late, all.Late)
			}
			if some.NotServed > all.NotServed {
				t.Errorf("not served with and without refusals: %d and %d", some.NotServed, all.NotServed)
			}
		}
	}
}

// Guards against refusals although all requests could be served in time, in peaks that
// need nine tenths of all slots. The failure has not been seen.
func TestNearFullPeakRefusesFewRequests(t *testing.T) {
	t.Parallel()
	for _, scenario := range []load.Scenario{load.Fleet9, load.Fleet43, load.Fleet56} {
		for _, policy := range []load.Policy{load.RefuseLate, load.WaitAtEntry} {
			o := load.Run(overloaded(scenario, 0.9), policy, 1)
			t.Logf("\n%s", o)
			const share = 100 // at most two requests in 100 may be refused or late
			if (o.Refused+o.Late)*share > o.Requests*2 {
				t.Errorf("%s: %d refused and %d late of %d requests", scenario.Name, o.Refused, o.Late, o.Requests)
			}
		}
	}
}
