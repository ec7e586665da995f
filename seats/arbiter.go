// Package seats shares the slots of a target between online requests, which come
// to it unannounced, and batch work, which asks for a seat first and gives it back
// when asked.
//
// A target admits requests in their order of arrival, so batch work must never
// stand in its queue. Peaks of online work ask for more slots than there are
// while troughs leave half of them idle: batch work fills what is free and leaves
// as soon as anything waits.
package seats

import (
	"cmp"
	"slices"
	"time"
)

// Load is what the target says runs and waits there.
type Load struct {
	Active int
	Queued int
}

// settling is how long a granted or returned seat is corrected for in the
// target's reports: connecting and being admitted take a few milliseconds, and a
// report may be one polling interval old.
const settling = 60 * time.Millisecond

// steady is how long a slot has to be free before batch work gets it. At a peak
// each slot that comes free is needed again at once: an item that took it was asked to
// leave before it had done anything, again and again.
const steady = 100 * time.Millisecond

// lease is one granted seat.
type lease struct {
	due     time.Time
	granted time.Time
	asked   bool // asked to give the seat back
}

// Arbiter decides over the seats of one target. It is pure and not safe for
// concurrent use.
type Arbiter struct {
	slots   int
	reserve int // slots that batch work leaves free
	load    Load
	leases  map[uint64]*lease
	next    uint64
	// freeSince is since when a slot has been free for batch work all the time;
	// zero while none is.
	freeSince time.Time
	// spareSince is since when any slot has been free.
	spareSince time.Time
}

// NewArbiter returns an Arbiter for a target with slots, of which batch work
// leaves some free.
func NewArbiter(slots, reserve int) *Arbiter {
	return &Arbiter{slots: slots, reserve: reserve, leases: make(map[uint64]*lease)}
}

// SetSlots changes the number of slots.
func (a *Arbiter) SetSlots(n int) {
	a.slots = n
}

// Slots returns the number of slots.
func (a *Arbiter) Slots() int {
	return a.slots
}

// Held returns the number of seats that are held.
func (a *Arbiter) Held() int {
	return len(a.leases)
}

// Load returns the load as it was reported last.
func (a *Arbiter) Load() Load {
	return a.load
}

// Free returns the slots that nothing uses or was promised.
func (a *Arbiter) Free(now time.Time) int {
	unseen := 0
	for _, l := range a.leases {
		if now.Sub(l.granted) < settling {
			unseen++
		}
	}
	// A lease seen already is part of Active; counting it twice for a moment
	// leaves a slot idle that long, counting it never would queue batch work.
	return a.slots - max(a.load.Active+a.load.Queued+unseen, len(a.leases))
}

// pressing is how long before it is due an item may take the slot that batch work
// otherwise leaves free: it still has to run for three to five seconds, and two peaks of
// online requests may cost it two and a half each. With a backlog in the whole fleet the
// free slots are much of what batch work could have, and without them items come late
// while online requests gain nothing.
const pressing = 12 * time.Second

// Presses reports whether an item that is due at a time may take the last free
// slots. One that is late anyway may not.
func Presses(now, due time.Time) bool {
	left := due.Sub(now)
	return left > 0 && left < pressing
}

// Acquire grants a seat to work that is due at a time, when a slot is free.
func (a *Arbiter) Acquire(now, due time.Time) (id uint64, ok bool) {
	room := a.Room(now)
	if Presses(now, due) {
		room += a.Spare(now)
	}
	if room <= 0 {
		return 0, false
	}
	a.next++
	a.leases[a.next] = &lease{due: due, granted: now}
	return a.next, true
}

// Room returns how many seats can be granted now.
func (a *Arbiter) Room(now time.Time) int {
	a.note(now)
	if a.freeSince.IsZero() || now.Sub(a.freeSince) < steady {
		return 0
	}
	return a.Free(now) - a.reserve
}

// Spare returns how many seats more can be granted to items that press.
func (a *Arbiter) Spare(now time.Time) int {
	a.note(now)
	if a.spareSince.IsZero() || now.Sub(a.spareSince) < steady {
		return 0
	}
	return min(a.Free(now), a.reserve)
}

// note keeps since when a slot is free, beyond the reserve and at all.
func (a *Arbiter) note(now time.Time) {
	free := a.Free(now)
	since(&a.freeSince, free > a.reserve, now)
	since(&a.spareSince, free > 0, now)
}

// since keeps in at when a condition has begun to hold; zero while it does not.
func since(at *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// Release takes a seat back.
func (a *Arbiter) Release(id uint64) {
	delete(a.leases, id)
}

// Report takes the target's load and returns the seats that have to be given
// back now: one for each request beyond the slots, less those asked for already.
// A request that waits while slots are free only waits for the engine's next
// step; giving a seat back for it would cut batch work off for nothing. The latest
// due go first, among equals the youngest, which have least to lose.
func (a *Arbiter) Report(now time.Time, load Load) []uint64 {
	a.load = load
	a.note(now)
	need := load.Active + load.Queued - a.slots
	var ids []uint64
	for id, l := range a.leases {
		if l.asked {
			need--
			continue
		}
		ids = append(ids, id)
	}
	if need <= 0 {
		return nil
	}
	slices.SortFunc(ids, func(x, y uint64) int {
		lx, ly := a.leases[x], a.leases[y]
		if c := ly.due.Compare(lx.due); c != 0 {
			return c
		}
		return cmp.Compare(y, x)
	})
	ids = ids[:min(need, len(ids))]
	for _, id := range ids {
		a.leases[id].asked = true
	}
	return ids
}
