package load_test

import (
	"testing"
	"time"

	"pumiceford/bench/load"
)

// overloaded is a shape whose peaks ask for a part of all slots.
func overloaded(s load.Shape, part float64) load.Shape {
	s.Lasts = 12 * time.Second
	s.Peak = float64(s.Targets*s.Slots) / s.Holds.Seconds() * part
	if s.Mixed {
		const slower = 1.1 // a third of the targets takes 1.3 times as long
		s.Peak /= slower
	}
	return s
}

// Symptom: targets have gone, a peak asks for a third more than the slots that are left,
// and nearly every first event comes late; some callers are turned away twice.
// Sequence: queues form at all targets, and everybody waits in them.
// Cause: whoever could be served at all was taken in. Callers that would be late are told
// at once when to come back, most of them after the peak.
func TestOverloadServesMoreInTime(t *testing.T) {
	t.Parallel()
	large := overloaded(load.Large, 1.3)
	large.Lasts = 6 * time.Second // one peak; more is long under the race detector
	for _, s := range []load.Shape{
		overloaded(load.Guild, 1.3), overloaded(load.Guild, 1.6), overloaded(load.Grown, 1.3), overloaded(load.Grown, 1.6), large,
	} {
		queue := load.Part
		queue.BackLeast, queue.BackMost = 300*time.Millisecond, 300*time.Millisecond
		all, some := load.Run(s, queue, 1), load.Run(s, load.Admit, 1)
		t.Logf("\n%s\n%s", all, some)
		inTime := func(o load.Outcome) int { return len(o.Firsts) - o.Late - o.Back }
		if inTime(some)*100 < inTime(all)*115 || some.Late > all.Late*3/4 {
			t.Errorf("in time at the first try %d and %d, late %d and %d", inTime(some), inTime(all), some.Late, all.Late)
		}
		if some.Lost > all.Lost {
			t.Errorf("turned away twice: %d and %d", some.Lost, all.Lost)
		}
	}
}

// Symptom: callers are turned away although all could be in time.
// Cause: none so far; a peak that asks for nine tenths of all slots.
func TestAFullPeakTurnsNearlyNobodyAway(t *testing.T) {
	t.Parallel()
	for _, shape := range []load.Shape{load.Guild, load.Grown} {
		o := load.Run(overloaded(shape, 0.9), load.Admit, 1)
		t.Logf("\n%s", o)
		const most = 100 // one request in so many
		if (o.Refused+o.Late)*most > o.Requests*2 {
			t.Errorf("%s: %d refused, %d late of %d", shape.Name, o.Refused, o.Late, o.Requests)
		}
	}
}
