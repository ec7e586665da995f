package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/balance"
	"pumiceford/estimate"
	"pumiceford/targets"
)

const usualToken = 20 * time.Millisecond

// report returns the report of a half-used target that takes the given times for a token.
func report(quick, usual time.Duration) balance.Report {
	return balance.Report{Active: 4, Slots: 8, FreeSeats: 4, TokenTime: quick, UsualTokenTime: usual}
}

// pacedTable returns a table of nine targets with known paces, of which i0 has the given one.
func pacedTable(now time.Time, pace float64) *balance.Table {
	tab := balance.NewTable(1)
	tab.Replace(instances(9, 8))
	for range 3 { // the medians are computed anew after a while
		now = now.Add(300 * time.Millisecond)
		reportAll(tab, now, pace)
	}
	return tab
}

// reportAll reports the loads of all targets of pacedTable.
func reportAll(tab *balance.Table, now time.Time, pace float64) {
	for i := 8; i >= 0; i-- {
		each := usualToken
		if i == 0 {
			each = time.Duration(pace * float64(usualToken))
		}
		tab.UpdateLoad(now, fmt.Sprint("i", i), report(each, each))
	}
}

// ready is when the paces of pacedTable are known.
var ready = start.Add(900 * time.Millisecond)

// first returns what is believed of i0.
func first(t *testing.T, tab *balance.Table, now time.Time) balance.TargetStatus {
	t.Helper()
	for _, s := range tab.Snapshot(now) {
		if s.Instance.ID == "i0" {
			return s
		}
	}
	t.Fatal("no target i0")
	return balance.TargetStatus{}
}

// share returns the share of the draws that choose a target.
func share(tab *balance.Table, now time.Time, id string) float64 {
	const draws = 1000
	n := 0
	for i := range draws {
		if c, ok := tab.Pick(now, "s", nil, float64(i)/draws); ok && c.Instance.ID == id {
			n++
		}
	}
	return float64(n) / draws
}

// Guards against work that goes where it takes longest, and against all of it meeting at the
// fastest target.
func TestFasterTargetsGetMoreButNotAll(t *testing.T) {
	slow, alike, fast := share(pacedTable(start, 4), ready, "i0"), share(pacedTable(start, 1), ready, "i0"), share(pacedTable(start, 0.6), ready, "i0")
	if slow > alike/4 || fast < alike*2 || fast > 0.5 {
		t.Fatalf("shares of a slow, a usual and a fast target: %v, %v, %v", slow, alike, fast)
	}
}

// Guards against a pace that is believed although its target's agent has been silent: a fast
// target that was cut off would draw most of the work.
func TestStalePaceIsNotBelieved(t *testing.T) {
	tab := pacedTable(start, 0.5)
	if got := first(t, tab, ready).Pace; got >= estimate.UsualPace {
		t.Fatalf("pace %v, want a fast target", got)
	}
	if got := first(t, tab, ready.Add(450*time.Millisecond)).Pace; got != estimate.UsualPace {
		t.Fatalf("pace %v of a silent target, want the usual one", got)
	}
	slow := pacedTable(start, 4)
	if got := first(t, slow, ready.Add(11*time.Second)); got.Pace != estimate.UsualPace || got.PaceAge != -1 {
		t.Fatalf("eleven seconds without a report: %+v", got)
	}
}

// Guards against a momentary slowdown by neighbours that counts after it has passed.
func TestMomentaryPaceGivesWayToTheUsualOne(t *testing.T) {
	tab := pacedTable(start, 1)
	tab.UpdateLoad(ready, "i0", report(3*usualToken, usualToken))
	if got := first(t, tab, ready).Pace; got < 2.9 {
		t.Fatalf("pace %v during the slowdown", got)
	}
	tab.UpdateLoad(ready.Add(700*time.Millisecond), "i0", report(0, usualToken))
	if got := first(t, tab, ready.Add(700*time.Millisecond)).Pace; got != estimate.UsualPace {
		t.Fatalf("pace %v after it", got)
	}
}

// Guards against a fleet in which nothing is placed, or all at one target, before any pace is
// known, and against one known target that is compared with itself only.
func TestUnknownPacesAreUsual(t *testing.T) {
	tab := balance.NewTable(1)
	tab.Replace(instances(3, 8))
	tab.UpdateLoad(start, "i0", report(usualToken, usualToken))
	for _, s := range tab.Snapshot(start) {
		if s.Pace != estimate.UsualPace {
			t.Fatalf("pace of %s: %v", s.Instance.ID, s.Pace)
		}
	}
}

// Guards against a restarted or resumed target that is believed to be as fast as before.
func TestRestartedAndResumedTargetsHaveUnknownPace(t *testing.T) {
	for name, change := range map[string]func(tab *balance.Table, all []targets.Instance){
		"restarted": func(tab *balance.Table, all []targets.Instance) {
			all[0].StartedUnixMs = 2
			tab.Replace(all)
		},
		"resumed": func(tab *balance.Table, all []targets.Instance) {
			all[0].Draining = true
			tab.Replace(all)
			all[0].Draining = false
			tab.Replace(all)
		},
		"unresponsive": func(tab *balance.Table, _ []targets.Instance) {
			tab.UpdateLoad(ready, "i0", balance.Report{Slots: 8, Unresponsive: true})
		},
	} {
		tab := pacedTable(start, 0.5)
		change(tab, instances(9, 8))
		if got := first(t, tab, ready); got.Pace != estimate.UsualPace || got.PaceAge != -1 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	tab := pacedTable(start, 1)
	old := instances(1, 8)[0]
	old.StartedUnixMs = -1
	tab.ObserveSlowness(ready, old, 4) // a response of an earlier incarnation
	if got := first(t, tab, ready).Pace; got != estimate.UsualPace {
		t.Errorf("pace %v from an earlier incarnation", got)
	}
}

// Guards against an absurd figure that empties a target, draws all work to it, or moves the
// scale of the others.
func TestAbsurdFiguresAreBounded(t *testing.T) {
	for _, absurd := range []time.Duration{-time.Hour, 1, time.Microsecond, math.MaxInt64} {
		tab := pacedTable(start, 1)
		tab.UpdateLoad(ready, "i0", report(absurd, absurd))
		for _, slowness := range []float64{math.NaN(), math.Inf(1), -1, 0, 1e-9, 1e12} {
			tab.ObserveSlowness(ready, instances(1, 8)[0], slowness)
		}
		for _, s := range tab.Snapshot(ready.Add(time.Millisecond)) {
			if s.Pace < 0.3 || s.Pace > 10 || s.Instance.ID != "i0" && s.Pace != estimate.UsualPace {
				t.Errorf("with a token time of %s: pace of %s is %v", absurd, s.Instance.ID, s.Pace)
			}
		}
	}
}

// Guards against a request that is sent where its memory does not fit, and against one that
// fits nowhere and is then refused although it was served before.
func TestTargetsWithoutMemoryHaveNoRoom(t *testing.T) {
	tab := balance.NewTable(1)
	tab.Replace(instances(2, 8))
	tab.UpdateLoad(start, "i0", balance.Report{Active: 1, Slots: 8, MemoryUsed: 900, MemoryTotal: 1000})
	tab.UpdateLoad(start, "i1", balance.Report{Active: 7, Slots: 8, MemoryUsed: 100, MemoryTotal: 1000})
	pick := func(prompt int, draw float64) string {
		c, _ := tab.PickFor(start, balance.Request{Service: "s", Work: estimate.Work{PromptTokens: prompt}}, nil, draw)
		return c.Instance.ID
	}
	for draw := 0.0; draw < 1; draw += 0.1 {
		if got := pick(500, draw); got != "i1" {
			t.Fatalf("500 tokens: chose %s, want the target with memory", got)
		}
	}
	if small, large := pick(50, 0), pick(5000, 0); small != "i0" || large != small {
		t.Fatalf("50 tokens went to %s, 5,000 to %s; want both at the emptier target", small, large)
	}
}

// Guards against streams at targets that are expected to pause for longer than the route
// allows while others have room.
func TestStreamsAvoidTargetsThatPauseTooLong(t *testing.T) {
	tab := pacedTable(start, 4)
	r := balance.Request{Service: "s", Work: estimate.Work{Class: "r", PromptTokens: 1, MaxOutputTokens: 20}, EventGapWithin: 300 * time.Millisecond}
	for range 20 {
		tab.Estimates().ObserveStream("s", r.Work, estimate.UsualPace, 60*time.Millisecond, 21, 20*150*time.Millisecond)
	}
	for draw := 0.0; draw < 1; draw += 0.001 {
		if c, _ := tab.PickFor(ready, r, nil, draw); c.Instance.ID == "i0" {
			t.Fatalf("draw %v chose the slow target", draw)
		}
	}
	tried := make(map[string]bool)
	for i := 1; i < 9; i++ {
		tried[fmt.Sprint("i", i)] = true
	}
	if c, ok := tab.PickFor(ready, r, tried, 0); !ok || c.Instance.ID != "i0" {
		t.Fatal("the slow target is not used when there is no other")
	}
}

// Guards against items that start where they are late although they could wait, and against
// slow targets that nobody uses.
func TestItemsStartWhereTheyCompleteInTime(t *testing.T) {
	tab := pacedTable(start, 3)
	has := func(remaining, due time.Duration) bool {
		all, _ := tab.BatchTargetsFor(ready, "s", balance.Item{Remaining: remaining, Due: ready.Add(due)})
		for _, c := range all {
			if c.Instance.ID == "i0" {
				return true
			}
		}
		return false
	}
	if has(5*time.Second, 12*time.Second) {
		t.Error("an item that is late at the slow target may start there")
	}
	if !has(5*time.Second, 18*time.Second) || !has(5*time.Second, 3*time.Second) {
		t.Error("an item that is in time there, or late everywhere, may not start at the slow target")
	}
}

// Guards against work that moves because of paces that are equal or differ by noise only, and
// against a target that is draining or ejected and preferred because it is fast.
func TestAlikeTargetsArePlacedAsWithoutPaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "targets")
		with, without := balance.NewTable(1), balance.NewTable(1)
		all := instances(n, 8)
		excluded := make(map[string]bool)
		for i := range all {
			all[i].Draining = rapid.IntRange(0, 4).Draw(rt, "draining") == 0
			excluded[all[i].ID] = all[i].Draining
		}
		with.Replace(all)
		without.Replace(all)
		base := rapid.IntRange(1_000, 100_000).Draw(rt, "token time")
		now := start
		for range 3 {
			now = now.Add(300 * time.Millisecond)
			for _, in := range all {
				r := balance.Report{Active: rapid.IntRange(0, 10).Draw(rt, "active"), Batch: rapid.IntRange(0, 4).Draw(rt, "batch"), Slots: 8, FreeSeats: 2}
				without.UpdateLoad(now, in.ID, r)
				noise := func() time.Duration {
					return time.Duration(float64(base)*rapid.Float64Range(0.85, 1.15).Draw(rt, "noise")) * time.Microsecond
				}
				r.TokenTime, r.UsualTokenTime = noise(), noise()
				with.UpdateLoad(now, in.ID, r)
			}
		}
		draw := rapid.Float64Range(0, 0.999).Draw(rt, "draw")
		a, okA := with.Pick(now, "s", nil, draw)
		b, okB := without.Pick(now, "s", nil, draw)
		if okA != okB || a.Instance.ID != b.Instance.ID || a.Wait != b.Wait {
			rt.Fatalf("with paces %+v, without %+v", a, b)
		}
		// A fast target that must get nothing new.
		fast := rapid.SampledFrom(all).Draw(rt, "fast")
		ejected := rapid.Bool().Draw(rt, "ejected")
		if ejected {
			with.RecordOutcome(now, fast.ID, balance.Unreachable)
		}
		with.UpdateLoad(now, fast.ID, report(1, 1))
		with.ObserveSlowness(now, fast, 0.5)
		others := 0
		for _, in := range all {
			if in.ID != fast.ID && !in.Draining {
				others++
			}
		}
		if c, ok := with.Pick(now, "s", nil, draw); ok && (excluded[c.Instance.ID] || ejected && others > 0 && c.Instance.ID == fast.ID) {
			rt.Fatalf("chose %s", c.Instance.ID)
		}
	})
}
