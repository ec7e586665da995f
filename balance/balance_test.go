package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pumiceford/balance"
	"pumiceford/targets"
)

var start = time.Unix(1000, 0)

func instances(n, slots int) []targets.Instance {
	var out []targets.Instance
	for i := range n {
		out = append(out, targets.Instance{ID: fmt.Sprint("i", i), Service: "s", Slots: slots})
	}
	return out
}

// fleet simulates entries that choose among targets from slightly outdated load reports.
type fleet struct {
	entries []*balance.Table
	load    map[string]int
}

func newFleet(entries, n, slots int) *fleet {
	f := &fleet{load: make(map[string]int)}
	for e := range entries {
		t := balance.NewTable(uint64(e))
		t.Replace(instances(n, slots))
		f.entries = append(f.entries, t)
	}
	return f
}

func (f *fleet) report(now time.Time, n, slots int) {
	for i := range n {
		id := fmt.Sprint("i", i)
		for _, t := range f.entries {
			t.UpdateLoad(now, id, balance.Report{Active: min(f.load[id], slots), Queued: max(0, f.load[id]-slots), Slots: slots})
		}
	}
}

// leastLoaded is the choice to compare with: the target with the lowest reported load.
func leastLoaded(reported map[string]int, n int) string {
	best := "i0"
	for i := range n {
		if id := fmt.Sprint("i", i); reported[id] < reported[best] {
			best = id
		}
	}
	return best
}

// Guards against requests that wait while slots are free: with a least-loaded choice all
// entries send to the same target between two reports, and first events come after 250 to
// 700 ms.
//
// The replay is the onset of a peak: 150 requests per second at eight entries, 18 targets
// with eight slots, half of them in use, load reports every 50 ms, 0.75 s per request. At
// most 128 of the 144 slots are needed at any time, so every wait is due to the choice.
func TestPeakIsSpreadOverTargets(t *testing.T) {
	const (
		n, slots, entries = 18, 8, 8
		requestsPerSecond = 150
		holdTime          = 750 * time.Millisecond
		reportInterval    = 50 * time.Millisecond
	)
	replay := func(useLeastLoaded bool) (waited int) {
		rnd := rand.New(rand.NewPCG(1, 2))
		f := newFleet(entries, n, slots)
		reported := make(map[string]int)
		type run struct {
			end   time.Time
			id    string
			entry int
		}
		var runs []run
		for i := range n {
			id := fmt.Sprint("i", i)
			f.load[id] = rnd.IntN(5)
		}
		step := time.Second / requestsPerSecond
		nextReport := start
		for now := start; now.Before(start.Add(700 * time.Millisecond)); now = now.Add(step) {
			if !now.Before(nextReport) {
				nextReport = now.Add(reportInterval)
				f.report(now, n, slots)
				for id, l := range f.load {
					reported[id] = l
				}
			}
			for k := 0; k < len(runs); k++ {
				if runs[k].end.Before(now) {
					f.load[runs[k].id]--
					f.entries[runs[k].entry].OnlineEnded(now, runs[k].id, true)
					runs = append(runs[:k], runs[k+1:]...)
					k--
				}
			}
			e := rnd.IntN(entries)
			id := leastLoaded(reported, n)
			if !useLeastLoaded {
				c, ok := f.entries[e].Pick(now, "s", nil, rnd.Float64())
				if !ok {
					t.Fatal("no target")
				}
				id = c.Instance.ID
			}
			f.entries[e].OnlineStarted(now, id)
			if f.load[id] >= slots {
				waited++
			}
			f.load[id]++
			runs = append(runs, run{end: now.Add(holdTime), id: id, entry: e})
		}
		return waited
	}
	drawn, least := replay(false), replay(true)
	t.Logf("of 105 requests waited: weighted draw %d, least loaded %d", drawn, least)
	if drawn > 4 || least < 4*drawn {
		t.Fatalf("waited: weighted draw %d, least loaded %d", drawn, least)
	}
}

// Guards against online requests that queue although batch work could yield a slot.
func TestPrefersFreeThenPreemptibleThenQueue(t *testing.T) {
	tab := balance.NewTable(1)
	tab.Replace(instances(3, 8))
	now := start
	tab.UpdateLoad(now, "i0", balance.Report{Active: 8, Queued: 1, Slots: 8})
	tab.UpdateLoad(now, "i1", balance.Report{Active: 8, Batch: 2, Slots: 8})
	tab.UpdateLoad(now, "i2", balance.Report{Active: 7, Slots: 8})
	want := []string{"i2", "i1", "i0"}
	tried := make(map[string]bool)
	for _, id := range want {
		for draw := 0.0; draw < 1; draw += 0.09 {
			if c, ok := tab.Pick(now, "s", tried, draw); !ok || c.Instance.ID != id {
				t.Fatalf("draw %v chose %v, want %s", draw, c.Instance.ID, id)
			}
		}
		tried[id] = true
	}
	if _, ok := tab.Pick(now, "s", tried, 0); ok {
		t.Fatal("Pick chose a target that was already tried")
	}
}

// Guards against new requests at draining or superseded targets.
func TestDrainingAndSupersededGetNoWork(t *testing.T) {
	tab := balance.NewTable(1)
	all := instances(2, 8)
	all[0].Draining = true
	all[1].Superseded = true
	tab.Replace(all)
	if c, ok := tab.Pick(start, "s", nil, 0.5); ok {
		t.Fatalf("Pick chose %s", c.Instance.ID)
	}
	if got := tab.BatchTargets(start, "s"); len(got) > 0 {
		t.Fatalf("batch work may go to %v", got)
	}
}

// Guards against a service that rejects all requests because each target failed once.
func TestPicksEjectedTargetIfAllAreEjected(t *testing.T) {
	tab := balance.NewTable(1)
	tab.Replace(instances(2, 8))
	for _, id := range []string{"i0", "i1"} {
		if d := tab.RecordOutcome(start, id, balance.Unreachable); d == 0 {
			t.Fatalf("%s was not ejected", id)
		}
	}
	if _, ok := tab.Pick(start, "s", nil, 0.5); !ok {
		t.Fatal("Pick chose no target")
	}
	// Batch work can wait until a target is no longer ejected.
	if got := tab.BatchTargets(start, "s"); len(got) > 0 {
		t.Fatalf("batch work may go to ejected targets %v", got)
	}
}

// Guards against a healthy target that gets no requests for seconds because it lost single
// responses.
func TestEjectionNeedsConsecutiveFailuresAndGrows(t *testing.T) {
	tab := balance.NewTable(1)
	tab.Replace(instances(1, 8))
	for range 10 {
		tab.RecordOutcome(start, "i0", balance.Failed)
		tab.RecordOutcome(start, "i0", balance.Failed)
		tab.RecordOutcome(start, "i0", balance.Succeeded)
	}
	now := start
	var last time.Duration
	for i := range 6 {
		d := tab.RecordOutcome(now, "i0", balance.Unreachable)
		if d == 0 || d < last {
			t.Fatalf("ejection %d lasts %s, the previous one lasted %s", i, d, last)
		}
		last = d
		now = now.Add(d)
	}
	if last > 4*time.Second {
		t.Fatalf("ejected for %s, want at most 4 s", last)
	}
}

// Guards against online requests that wait behind batch work at a target whose agent has
// failed: without an agent, batch work is not asked to yield.
func TestNoBatchWorkWithoutCurrentReport(t *testing.T) {
	tab := balance.NewTable(1)
	tab.Replace(instances(1, 8))
	if got := tab.BatchTargets(start, "s"); len(got) != 0 {
		t.Fatalf("without any report: got %v, want no targets", got)
	}
	tab.UpdateLoad(start, "i0", balance.Report{Active: 6, Slots: 8, FreeSeats: 2})
	if got := tab.BatchTargets(start, "s"); len(got) != 1 || got[0].Free != 2 {
		t.Fatalf("with a current report: got %v, want one target with 2 free slots", got)
	}
	tab.RecordSeatReply("i0", true)
	if got := tab.BatchTargets(start, "s"); len(got) != 1 || got[0].Free != 1 {
		t.Fatalf("after a granted seat: got %v, want one target with 1 free slot", got)
	}
	tab.RecordSeatReply("i0", false)
	if got := tab.BatchTargets(start, "s"); len(got) != 0 {
		t.Fatalf("after a refused seat: got %v, want no targets", got)
	}
	if got := tab.BatchTargets(start.Add(3*time.Second), "s"); len(got) != 0 {
		t.Fatalf("with an outdated report: got %v, want no targets", got)
	}
}

// Guards against a restarted target that gets no requests for seconds or counts as full:
// it fails with requests in flight, is ejected and restarts under the same ID. Its earlier
// load and failures must not apply to the new incarnation.
func TestRestartedTargetHasNoHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := balance.NewTable(0)
	old := targets.Instance{ID: "a", StartedUnixMs: 1, Service: "s", Slots: 1}
	tab.Replace([]targets.Instance{old})
	tab.OnlineStarted(now, "a")
	tab.RecordOutcome(now, "a", balance.Unreachable)
	again := old
	again.StartedUnixMs = 2
	tab.Replace([]targets.Instance{again})
	c, ok := tab.Pick(now, "s", nil, 0)
	if !ok || c.Load != 0 {
		t.Fatalf("got %+v, %v, want a choice with load 0", c, ok)
	}
	tab.OnlineEnded(now, "a", false) // the request at the earlier incarnation
	if c, _ := tab.Pick(now, "s", nil, 0); c.Load != 0 {
		t.Fatalf("load is %d after the end of a request at the earlier incarnation, want 0", c.Load)
	}
}

// Guards against a failing target that draws more requests than any healthy one: it
// fails at once, so it always looks empty, and each entry sends three requests there
// before each ejection unless failures make the target suspect.
//
// The replay has 40 entries, 56 targets of which five fail at once, and 300 requests per
// second for five seconds. Without suspect targets 130 of 1,500 requests reach a failing
// target, with them 25.
func TestFailingTargetDrawsFewRequests(t *testing.T) {
	const (
		entries, n, slots, failing = 40, 56, 7, 5
		requests                   = 1500
		interval                   = 5 * time.Second / requests
		holdTime                   = 700 * time.Millisecond
		maxReached                 = 50
	)
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(entries, n, slots)
	now, reached := start, 0
	failures := make(map[string]map[int]time.Time)
	type ending struct {
		at    time.Time
		entry int
		id    string
	}
	var running []ending
	for r := range requests {
		now = now.Add(interval)
		for len(running) > 0 && !now.Before(running[0].at) {
			e := running[0]
			running = running[1:]
			f.load[e.id]--
			f.entries[e.entry].OnlineEnded(now, e.id, true)
			f.entries[e.entry].RecordOutcome(now, e.id, balance.Succeeded)
		}
		if r%15 == 0 {
			f.reportWithFailures(now, n, slots, failures)
		}
		entry := rng.IntN(entries)
		c, ok := f.entries[entry].Pick(now, "s", nil, rng.Float64())
		if !ok {
			t.Fatal("no target")
		}
		id := c.Instance.ID
		var number int
		_, _ = fmt.Sscanf(id, "i%d", &number) // all IDs have this form
		if number < failing {
			reached++
			f.entries[entry].RecordOutcome(now, id, balance.Failed)
			if failures[id] == nil {
				failures[id] = make(map[int]time.Time)
			}
			failures[id][entry] = now
			continue
		}
		f.entries[entry].OnlineStarted(now, id)
		f.load[id]++
		running = append(running, ending{now.Add(holdTime), entry, id})
	}
	if reached > maxReached {
		t.Errorf("%d of %d requests reached a failing target", reached, requests)
	}
	t.Logf("%d of %d requests reached a failing target", reached, requests)
}

// reportWithFailures reports the loads and, for each target, the number of entries that
// saw a failure within the last two seconds.
func (f *fleet) reportWithFailures(now time.Time, n, slots int, failures map[string]map[int]time.Time) {
	for i := range n {
		id := fmt.Sprint("i", i)
		count := 0
		for _, at := range failures[id] {
			if now.Sub(at) <= 2*time.Second {
				count++
			}
		}
		for _, t := range f.entries {
			t.UpdateLoad(now, id, balance.Report{Active: min(f.load[id], slots), Queued: max(0, f.load[id]-slots), Slots: slots, FailingEntries: count})
		}
	}
}

// Guards against a service that rejects requests because its targets are suspect. It must
// still serve requests if all of them are suspect, for example after all agents failed, or
// all but one that is full.
func TestSuspectTargetsStillServe(t *testing.T) {
	tab := balance.NewTable(0)
	tab.Replace(instances(3, 2))
	for i := range 3 {
		tab.UpdateLoad(start, fmt.Sprint("i", i), balance.Report{Slots: 2, Unresponsive: true})
	}
	if _, ok := tab.Pick(start, "s", nil, 0.5); !ok {
		t.Fatal("Pick chose no target although all are only suspect")
	}
	tab.UpdateLoad(start, "i0", balance.Report{Active: 2, Queued: 1, Slots: 2})
	if c, _ := tab.Pick(start, "s", nil, 0.5); c.Instance.ID == "i0" {
		t.Error("Pick preferred a queue to a suspect target")
	}
	tab.UpdateLoad(start, "i0", balance.Report{Active: 1, Slots: 2})
	if c, _ := tab.Pick(start, "s", nil, 0.5); c.Instance.ID != "i0" {
		t.Error("Pick preferred a suspect target to a free slot")
	}
	// A target whose agent has stopped reporting is suspect until the next report.
	later := start.Add(time.Second)
	tab.UpdateLoad(later, "i1", balance.Report{Active: 1, Slots: 2})
	if c, _ := tab.Pick(later, "s", nil, 0.5); c.Instance.ID != "i1" {
		t.Error("Pick preferred targets whose agents have stopped reporting")
	}
}
