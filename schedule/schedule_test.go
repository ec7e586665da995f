package schedule_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pumiceford/fairshare"
	"pumiceford/schedule"
)

var start = time.Unix(1000, 0)

// item is an item of a simulated load.
type item struct {
	arrived, due time.Time
	remaining    time.Duration
	started      bool
}

// replay runs items in the order that less gives. A peak takes away two thirds of the seats
// for 2.4 of every 6 seconds. It returns how many items finish in time.
func replay(items []item, seats int, less func(now time.Time, a, b item) int) (inTime int) {
	const step = 100 * time.Millisecond
	var open []item
	for now := start; len(items)+len(open) > 0; now = now.Add(step) {
		for len(items) > 0 && !items[0].arrived.After(now) {
			open = append(open, items[0])
			items = items[1:]
		}
		free := seats
		if now.Sub(start)%(6*time.Second) >= 3600*time.Millisecond {
			free = seats / 3
		}
		slices.SortStableFunc(open, func(a, b item) int { return less(now, a, b) })
		for i := range open[:min(free, len(open))] {
			open[i].started = true
			open[i].remaining -= step
		}
		open = slices.DeleteFunc(open, func(it item) bool {
			if it.remaining > 0 {
				return false
			}
			if !now.After(it.due) {
				inTime++
			}
			return true
		})
	}
	return inTime
}

// Guards against an order that makes nearly all items late under overload. The replay has
// 85 s of overload: items of five seconds, due 18 s after their arrival, arrive a third
// faster than the seats left by online work can run them. The backlog grows to 13 s; with
// the earliest due first, also if it can no longer finish in time, each item starts just
// in time and the next peak makes it late. Then 385 of 1,000 items finish in time, and in
// the order of this package 821.
func TestOverloadDoesNotMakeAllItemsLate(t *testing.T) {
	const items = 1000
	load := func() []item {
		var out []item
		for i := range items {
			arrived := start.Add(time.Duration(i) * 85 * time.Millisecond)
			out = append(out, item{arrived: arrived, due: arrived.Add(18 * time.Second), remaining: 5 * time.Second})
		}
		return out
	}
	const seats = 58 // 42 on average, 59 needed
	earliestDue := replay(load(), seats, func(_ time.Time, a, b item) int { return a.due.Compare(b.due) })
	ordered := replay(load(), seats, func(now time.Time, a, b item) int {
		return schedule.Compare(now, schedule.Item{Due: a.due, Remaining: a.remaining, Started: a.started}, schedule.Item{Due: b.due, Remaining: b.remaining, Started: b.started})
	})
	t.Logf("of %d items in time: earliest due first %d, this package %d", items, earliestDue, ordered)
	if ordered < 600 || ordered < 2*earliestDue {
		t.Fatalf("of %d items in time: earliest due first %d, this package %d", items, earliestDue, ordered)
	}
}

// With enough seats all items must finish in time.
func TestAllItemsInTimeWithEnoughSeats(t *testing.T) {
	var items []item
	for i := range 200 {
		arrived := start.Add(time.Duration(i) * 200 * time.Millisecond)
		items = append(items, item{arrived: arrived, due: arrived.Add(18 * time.Second), remaining: 5 * time.Second})
	}
	got := replay(items, 45, func(now time.Time, a, b item) int {
		return schedule.Compare(now, schedule.Item{Due: a.due, Remaining: a.remaining, Started: a.started}, schedule.Item{Due: b.due, Remaining: b.remaining, Started: b.started})
	})
	if got != 200 {
		t.Fatalf("%d of 200 items finished in time", got)
	}
}

// Late items yield their seats before those that can still finish in time.
func TestLateItemsYieldFirst(t *testing.T) {
	late := schedule.Item{Due: start.Add(time.Second), Remaining: 5 * time.Second}
	inTime := schedule.Item{Due: start.Add(10 * time.Second), Remaining: 5 * time.Second}
	if !late.YieldDue(start).After(inTime.YieldDue(start)) {
		t.Fatal("the late item yields after the one in time")
	}
	if schedule.Compare(start, inTime, late) >= 0 {
		t.Fatal("the late item is ordered before the one in time")
	}
}

// claim returns an item that needs three seconds, in a workspace that is beyond its share by
// excess.
func claim(rank int, excess float64, due time.Duration) schedule.Claim {
	return schedule.Claim{
		Standing: fairshare.Standing{Rank: rank, Excess: excess},
		Item:     schedule.Item{Due: start.Add(due), Remaining: 3 * time.Second, Started: true},
	}
}

// Guards against ranks and shares that decide nothing, and against an order that changes with
// each item of a workspace that ends: small differences of excess do not count.
func TestClaimsAreOrderedByRankShareAndDueTime(t *testing.T) {
	ordered := []schedule.Claim{
		claim(0, 0, 9*time.Second),
		claim(0, 0.2, 10*time.Second),
		claim(0, 0, time.Second), // late
		claim(0, 1, 4*time.Second),
		claim(1, 0, 4*time.Second),
	}
	for i := range ordered {
		for j := range ordered {
			if got, want := schedule.CompareClaims(start, ordered[i], ordered[j]), cmp.Compare(i, j); got != want {
				t.Errorf("CompareClaims of %d and %d = %d, want %d", i, j, got, want)
			}
		}
	}
}

// Guards against items that take a seat where they will be late, and against items that wait
// for ever for a faster target.
func TestItemLeavesOutTargetOnlyIfItCanBeInTimeElsewhere(t *testing.T) {
	it := schedule.Item{Due: start.Add(10 * time.Second), Started: true}
	for _, c := range []struct {
		here, best time.Duration
		want       bool
	}{
		{9 * time.Second, 3 * time.Second, true},
		{11 * time.Second, 3 * time.Second, false},
		{11 * time.Second, 9500 * time.Millisecond, true}, // it would wait a second there
		{30 * time.Second, 20 * time.Second, true},
	} {
		if got := it.Accepts(start, c.here, c.best); got != c.want {
			t.Errorf("Accepts(%s here, %s at best) = %v", c.here, c.best, got)
		}
	}
}

// Guards against moves that gain nothing: an item that is in time where it runs, or whose gain
// is smaller than the cost of a new connection and of reading it again.
func TestItemMovesOnlyForAGain(t *testing.T) {
	// It has done 2 s of work in 4 s, and 4 s are left: 8 s here.
	speed := schedule.Speed{Took: 4 * time.Second, Did: 2 * time.Second, Left: 4 * time.Second}
	if speed.Here() != 8*time.Second || speed.Late(start, start.Add(8*time.Second)) || !speed.Late(start, start.Add(7*time.Second)) {
		t.Errorf("the item ends in %s, want 8 s", speed.Here())
	}
	for _, c := range []struct {
		due, there time.Duration
		want       bool
	}{
		{7 * time.Second, 6 * time.Second, true},
		{7 * time.Second, 6600 * time.Millisecond, false}, // late with the cost of the move
		{time.Second, 6 * time.Second, false},
		{time.Second, 4 * time.Second, true},
		{time.Second, 9 * time.Second, false},
	} {
		if got := speed.Moves(start, start.Add(c.due), c.there); got != c.want {
			t.Errorf("due in %s, %s there: Moves = %v", c.due, c.there, got)
		}
	}
}
