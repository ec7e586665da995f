package seats_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/seats"
)

var start = time.Unix(1000, 0)

// later is longer than a new seat may be missing from reports and than a slot must be free
// before it is granted.
const later = time.Second

// idle returns an Arbiter whose slots are free for long enough to be granted, and the time.
func idle(slots, reserve int) (*seats.Arbiter, time.Time) {
	a := seats.NewArbiter(slots, reserve)
	a.Report(start, seats.Load{})
	return a, start.Add(later)
}

func acquire(t *testing.T, a *seats.Arbiter, now, due time.Time) uint64 {
	t.Helper()
	id, ok := a.Acquire(now, seats.Request{Due: due})
	if !ok {
		t.Fatal("Acquire granted no seat")
	}
	return id
}

// Guards against cutting off batch work again and again while slots are free: a report may
// show a new request waiting for the engine's next step beside free slots.
func TestRequestWaitingForTheNextStepCostsNoSeat(t *testing.T) {
	a, start := idle(8, 0)
	acquire(t, a, start, start)
	if ids := a.Report(start, seats.Load{Active: 5, Queued: 2}); len(ids) != 0 {
		t.Fatalf("asked back %v with a free slot", ids)
	}
	if ids := a.Report(start, seats.Load{Active: 8, Queued: 1}); len(ids) != 1 {
		t.Fatalf("asked back %v for one waiting request", ids)
	}
	if ids := a.Report(start, seats.Load{Active: 8, Queued: 1}); len(ids) != 0 {
		t.Fatalf("asked back %v more for the same request", ids)
	}
}

// Guards against an item that is due now yielding its seat to one with more time left.
func TestLatestDueYieldsFirst(t *testing.T) {
	a, start := idle(2, 0)
	late := acquire(t, a, start, start.Add(time.Hour))
	_ = acquire(t, a, start, start.Add(time.Second))
	if ids := a.Report(start, seats.Load{Active: 2, Queued: 1}); len(ids) != 1 || ids[0] != late {
		t.Fatalf("asked back %v, want %d", ids, late)
	}
}

// Guards against online requests that wait until batch items finish: eight slots are all in
// use by batch work when a peak of three online requests begins. Without an agent the three
// would wait for items of five seconds.
func TestPeakGetsItsSlotsWithinTwoReports(t *testing.T) {
	a, start := idle(8, 0)
	held := make(map[uint64]bool)
	for range 8 {
		held[acquire(t, a, start, start)] = true
	}
	now := start.Add(later)
	a.Report(start, seats.Load{Active: 8})
	for _, id := range a.Report(now, seats.Load{Active: 8, Queued: 3}) {
		a.Release(id)
		delete(held, id)
	}
	if len(held) != 5 {
		t.Fatalf("batch work holds %d seats beside three online requests, want 5", len(held))
	}
	if _, ok := a.Acquire(now, seats.Request{Due: start}); ok {
		t.Fatal("Acquire granted a seat that online requests wait for")
	}
	a.Report(start, seats.Load{Active: 8})
	if _, ok := a.Acquire(now, seats.Request{Due: start}); ok {
		t.Fatal("Acquire granted a seat while all slots are in use")
	}
}

// Guards against online requests that cut off items although their rate is low and steady:
// batch work takes the slot of each online request that ends, and the next request cuts the
// item off, which then needs a new connection and processes its prompt again. That happens
// 34 times in this replay without a reserve. A slot kept free of batch work prevents it.
func TestReservedSlotAvoidsCutOffsAtLowLoad(t *testing.T) {
	replay := func(reserve int) (cut int) {
		a, now := idle(8, reserve)
		online := 0
		for i := range 100 {
			for {
				now = now.Add(later) // reports include all seats granted and released
				a.Report(now, seats.Load{Active: a.Held() + online})
				now = now.Add(later)
				if _, ok := a.Acquire(now, seats.Request{Due: start}); !ok {
					break
				}
			}
			// A request arrives in the first of three rounds and ends in the second.
			switch i % 3 {
			case 0:
				online++
			case 1:
				online--
			}
			load := seats.Load{Active: min(8, a.Held()+online), Queued: max(0, a.Held()+online-8)}
			for _, id := range a.Report(now, load) {
				a.Release(id)
				cut++
			}
		}
		return cut
	}
	without, with := replay(0), replay(1)
	t.Logf("items cut off: %d without a reserve, %d with one", without, with)
	if without < 30 || with != 0 {
		t.Fatalf("items cut off: %d without a reserve, %d with one", without, with)
	}
}

// Guards against granting a slot to batch work as soon as it is free: in a peak the next
// online request takes each slot 50 ms after the previous one ended. An item got such a
// seat and was asked to yield 33 ms later, ten times in a row, without any progress and
// with a new connection each time.
func TestGrantsOnlySlotsThatStayFree(t *testing.T) {
	a, now := idle(8, 0)
	a.Report(now, seats.Load{Active: 8})
	for range 20 {
		a.Report(now, seats.Load{Active: 7})
		now = now.Add(50 * time.Millisecond)
		if id, ok := a.Acquire(now, seats.Request{Due: start}); ok {
			t.Fatalf("Acquire granted seat %d in a peak", id)
		}
		a.Report(now, seats.Load{Active: 8})
		now = now.Add(50 * time.Millisecond)
	}
	// The peak is over.
	a.Report(now, seats.Load{Active: 3})
	now = now.Add(100 * time.Millisecond)
	for n := range 5 {
		if _, ok := a.Acquire(now, seats.Request{Due: start}); !ok {
			t.Fatalf("got %d seats after the peak, want 5", n)
		}
	}
}

// Whatever is reported, acquired and released, batch work never holds more seats than there
// are slots, and no more seats are asked back than requests wait.
func TestSeatsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(rt, "slots")
		a := seats.NewArbiter(slots, rapid.IntRange(0, 1).Draw(rt, "reserve"))
		now := start
		var held []uint64
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				if id, ok := a.Acquire(now, seats.Request{Due: now}); ok {
					held = append(held, id)
				}
			case 1:
				if len(held) > 0 {
					a.Release(held[0])
					held = held[1:]
				}
			default:
				load := seats.Load{Active: rapid.IntRange(0, slots).Draw(rt, "active"), Queued: rapid.IntRange(0, 4).Draw(rt, "queued")}
				if ids := a.Report(now, load); len(ids) > max(0, load.Active+load.Queued-slots) {
					rt.Fatalf("asked back %d seats for %+v of %d slots", len(ids), load, slots)
				}
			}
			if a.Held() > slots {
				rt.Fatalf("%d seats held of %d slots", a.Held(), slots)
			}
		}
	})
}

// Guards against items that wait for their first seat until they are late while a tenth of
// all slots is free: with a backlog, the slots that most agents keep free of batch work must
// be available to items that are due soon.
func TestItemDueSoonTakesTheReservedSlot(t *testing.T) {
	const slots = 4
	a := seats.NewArbiter(slots, 1)
	now := start
	a.Report(now, seats.Load{Active: slots - 1})
	now = now.Add(time.Second)
	a.Report(now, seats.Load{Active: slots - 1})
	if _, ok := a.Acquire(now, seats.Request{Due: now.Add(15 * time.Second)}); ok {
		t.Error("an item with time to spare got the reserved slot")
	}
	if _, ok := a.Acquire(now, seats.Request{Due: now.Add(-time.Second)}); ok {
		t.Error("an item that is already late got the reserved slot")
	}
	if _, ok := a.Acquire(now, seats.Request{Due: now.Add(5 * time.Second)}); !ok {
		t.Error("an item that is due soon got no seat")
	}
	if _, ok := a.Acquire(now, seats.Request{Due: now.Add(5 * time.Second)}); ok {
		t.Error("one slot was granted twice")
	}
}
