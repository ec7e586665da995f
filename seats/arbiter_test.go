package seats_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/seats"
)

var start = time.Unix(1000, 0)

// later is after the time in which a new seat is not yet seen in reports, and in
// which a slot has to be free.
const later = time.Second

// idle returns an Arbiter whose slots have been free for a while, and the time.
func idle(slots, reserve int) (*seats.Arbiter, time.Time) {
	a := seats.NewArbiter(slots, reserve)
	a.Report(start, seats.Load{})
	return a, start.Add(later)
}

func acquire(t *testing.T, a *seats.Arbiter, now, due time.Time) uint64 {
	t.Helper()
	id, ok := a.Acquire(now, due)
	if !ok {
		t.Fatal("no seat")
	}
	return id
}

// Symptom: batch work is cut off again and again while slots are free.
// Sequence: a request comes, and the report shows it waiting for the engine's
// next step beside free slots.
// Cause: every waiting request was taken for one without a slot.
func TestARequestThatWaitsForTheNextStepCostsNoSeat(t *testing.T) {
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

// Symptom: an item that is due now gives its seat up for one that has time.
func TestTheLatestDueYieldsFirst(t *testing.T) {
	a, start := idle(2, 0)
	late := acquire(t, a, start, start.Add(time.Hour))
	_ = acquire(t, a, start, start.Add(time.Second))
	if ids := a.Report(start, seats.Load{Active: 2, Queued: 1}); len(ids) != 1 || ids[0] != late {
		t.Fatalf("asked back %v, want %d", ids, late)
	}
}

// A trough that ends: eight slots, batch in all of them, then a peak of three
// online requests at a time.
//
// Symptom: online requests wait until batch items have run out.
// Cause: nothing asked batch work to leave. Without an agent these three would
// wait for items of five seconds.
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
		t.Fatalf("batch keeps %d seats beside three online requests", len(held))
	}
	if _, ok := a.Acquire(now, start); ok {
		t.Fatal("a seat was granted that online requests wait for")
	}
	a.Report(start, seats.Load{Active: 8})
	if _, ok := a.Acquire(now, start); ok {
		t.Fatal("a seat was granted while all slots are used")
	}
}

// A steady trickle of online requests beside batch work that fills every slot.
//
// Symptom: each online request cuts an item off, which then needs a new
// connection and reads its prompt again: 34 times in this replay.
// Cause: batch took the slot of each online request that ended. A slot kept free
// lets the next request in without cutting anything off.
func TestAReservedSlotSavesItemsFromATrickle(t *testing.T) {
	replay := func(reserve int) (cut int) {
		a, now := idle(8, reserve)
		online := 0
		for i := range 100 {
			for {
				now = now.Add(later) // reports show what was granted and freed
				a.Report(now, seats.Load{Active: a.Held() + online})
				now = now.Add(later)
				if _, ok := a.Acquire(now, start); !ok {
					break
				}
			}
			// One comes in the first of three rounds and ends in the second.
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
	t.Logf("items cut off: without a reserve %d, with one %d", without, with)
	if without < 30 || with != 0 {
		t.Fatalf("items cut off: without a reserve %d, with one %d", without, with)
	}
}

// The middle of a peak: each slot that an online request leaves is taken by the
// next one 50 ms later.
//
// Symptom: an item gets a seat and is asked to leave 33 ms later, ten times in a
// row, with nothing done and a new connection each time.
// Cause: a slot was given to batch work the moment it was free.
func TestASlotIsGrantedOnlyWhenItStaysFree(t *testing.T) {
	a, now := idle(8, 0)
	a.Report(now, seats.Load{Active: 8})
	for range 20 {
		a.Report(now, seats.Load{Active: 7})
		now = now.Add(50 * time.Millisecond)
		if id, ok := a.Acquire(now, start); ok {
			t.Fatalf("seat %d granted in a peak", id)
		}
		a.Report(now, seats.Load{Active: 8})
		now = now.Add(50 * time.Millisecond)
	}
	// The peak is over.
	a.Report(now, seats.Load{Active: 3})
	now = now.Add(100 * time.Millisecond)
	for n := range 5 {
		if _, ok := a.Acquire(now, start); !ok {
			t.Fatalf("only %d seats granted in a trough", n)
		}
	}
}

// Whatever is reported, asked for and given back, batch never holds more seats
// than there are slots, and is asked for no more than what waits.
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
				if id, ok := a.Acquire(now, now); ok {
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
					rt.Fatalf("asked %d seats back for %+v of %d slots", len(ids), load, slots)
				}
			}
			if a.Held() > slots {
				rt.Fatalf("%d seats of %d slots", a.Held(), slots)
			}
		}
	})
}

// Symptom: items wait for their first seat until they are late, while a tenth of all
// slots is free.
// Sequence: a backlog of items; most agents leave a slot free of batch work; the
// items' due time comes near.
// Cause: the slot was left free whatever it cost.
func TestAnItemThatIsDueSoonTakesTheReservedSlot(t *testing.T) {
	const slots = 4
	a := seats.NewArbiter(slots, 1)
	now := start
	a.Report(now, seats.Load{Active: slots - 1})
	now = now.Add(time.Second)
	a.Report(now, seats.Load{Active: slots - 1})
	if _, ok := a.Acquire(now, now.Add(15*time.Second)); ok {
		t.Error("an item with time to spare got the reserved slot")
	}
	if _, ok := a.Acquire(now, now.Add(-time.Second)); ok {
		t.Error("an item that is late anyway got the reserved slot")
	}
	if _, ok := a.Acquire(now, now.Add(5*time.Second)); !ok {
		t.Error("an item that is due soon got no slot")
	}
	if _, ok := a.Acquire(now, now.Add(5*time.Second)); ok {
		t.Error("one slot was granted twice")
	}
}
