// Package seats shares the slots of a target between online requests, which arrive there
// unannounced, and batch work, which needs a seat first and yields it when asked.
//
// A target admits requests in their order of arrival, so batch work must never wait in its
// queue. Peaks of online work need more slots than there are, while troughs leave half of
// them idle: batch work uses free slots and yields them as soon as a request waits.
package seats

import (
	"cmp"
	"slices"
	"time"

	"pumiceford/fairshare"
	"pumiceford/schedule"
)

// Load is the load that a target reports.
type Load struct {
	Active int // requests running
	Queued int // requests waiting
	// MemoryUsed and MemoryTotal are the target's memory in tokens that cannot be reclaimed,
	// and all of it; both are 0 if unknown.
	MemoryUsed, MemoryTotal int
	// Runs are the running requests, nil if unknown.
	Runs []Run
}

// reportLag is how long a granted seat may be missing from the target's reports:
// connecting and admission take a few milliseconds, and a report may be one polling
// interval old.
const reportLag = 60 * time.Millisecond

// minFreeTime is how long a slot must be free before batch work gets it. At a peak each
// slot that becomes free is needed again at once, and items that took such slots were asked
// to yield again and again before any progress.
const minFreeTime = 100 * time.Millisecond

// heldSeat is one granted seat.
type heldSeat struct {
	due        time.Time
	granted    time.Time
	yieldAsked bool // the holder was asked to give the seat back
}

// reservation is an item that waits for a seat at this target.
type reservation struct {
	id    uint64
	due   time.Time // as in Request
	key   schedule.Key
	since time.Time // since when the item has waited, at any target
}

// Limits of reservations.
const (
	// maxReservations bounds the reservations at one target. An entry leaves few, and a
	// target is watched by some twenty entries.
	maxReservations = 600
	// agedAfter and agedShare bound how long an item waits behind more pressing ones: one in
	// agedShare grants goes to the item that has waited longest, if it has waited for
	// agedAfter. Without a bound, work of a low rank waits as long as others keep coming.
	agedAfter = 20 * time.Second
	agedShare = 16
)

// Arbiter decides which seats of one target are granted and asked back. It does no I/O,
// reads no clock and is not safe for concurrent use.
type Arbiter struct {
	slots   int
	reserve int // slots kept free of batch work
	load    Load
	held    map[uint64]*heldSeat
	lastID  uint64
	waiting []reservation
	grants  int // grants to reservations
	// freeSince is the time since which a slot beyond the reserve has been free; zero if
	// none is.
	freeSince time.Time
	// anyFreeSince is the time since which any slot has been free; zero if none is.
	anyFreeSince time.Time
}

// NewArbiter returns an Arbiter for a target with the given number of slots, of which it
// keeps reserve free of batch work.
func NewArbiter(slots, reserve int) *Arbiter {
	return &Arbiter{slots: slots, reserve: reserve, held: make(map[uint64]*heldSeat)}
}

// SetSlots sets the number of slots.
func (a *Arbiter) SetSlots(n int) {
	a.slots = n
}

// Slots returns the number of slots.
func (a *Arbiter) Slots() int {
	return a.slots
}

// Held returns the number of granted seats.
func (a *Arbiter) Held() int {
	return len(a.held)
}

// Load returns the last reported load.
func (a *Arbiter) Load() Load {
	return a.load
}

// FreeSlots returns the number of slots that are neither in use nor promised to a seat. It may
// be negative.
func (a *Arbiter) FreeSlots(now time.Time) int {
	unseen := 0
	for _, s := range a.held {
		if now.Sub(s.granted) < reportLag {
			unseen++
		}
	}
	// A seat granted within reportLag may be part of Active already. Counting it
	// twice leaves a slot idle for that time; not counting it would queue batch work.
	return a.slots - max(a.load.Active+a.load.Queued+unseen, len(a.held))
}

// urgentWithin is the time before an item is due in which it may take the slots that are
// kept free of batch work. The item still has to run for three to five seconds, and two
// peaks of online requests may cost it two and a half seconds each. With a backlog in the
// whole fleet the reserved slots are much of what batch work could use; leaving them free
// makes items late and gains nothing for online requests.
const urgentWithin = 12 * time.Second

// Urgent reports whether an item may take the reserved slots because it is due soon. An
// item that is already late may not.
func Urgent(now, due time.Time) bool {
	left := due.Sub(now)
	return left > 0 && left < urgentWithin
}

// claim returns the request as a claim. An item that is late when it asks stays late.
func (r Request) claim() schedule.Claim {
	due := r.Due
	if r.Late {
		due = time.Time{}
	}
	return schedule.Claim{
		Standing: fairshare.Standing{Rank: r.Rank, Excess: r.Excess},
		Item:     schedule.Item{Due: due, Remaining: r.Remaining, Started: r.Started},
	}
}

// Acquire grants a seat to an item if a slot is free and no more pressing reservation waits
// for it. It returns the seat's ID, which is never 0.
func (a *Arbiter) Acquire(now time.Time, req Request) (id uint64, ok bool) {
	free, urgent := a.FreeSeats(now), a.UrgentSeats(now)
	mine := free
	if Urgent(now, req.Due) {
		mine += urgent
	}
	if mine <= 0 {
		return 0, false
	}
	if len(a.waiting) > 0 {
		first := a.mostPressing(now, free, urgent)
		if first >= 0 && a.waiting[first].key.Compare(now.UnixNano(), req.claim().Key()) <= 0 {
			return 0, false
		}
	}
	a.lastID++
	a.held[a.lastID] = &heldSeat{due: req.Due, granted: now}
	return a.lastID, true
}

// Reserve records an item that waits for a seat. It returns the ID that the seat will have, or
// false if too many items wait already.
func (a *Arbiter) Reserve(now time.Time, req Request) (id uint64, ok bool) {
	if len(a.waiting) >= maxReservations {
		return 0, false
	}
	a.lastID++
	a.waiting = append(a.waiting, reservation{id: a.lastID, due: req.Due, key: req.claim().Key(), since: now.Add(-req.Waited)})
	return a.lastID, true
}

// Cancel removes a reservation. It ignores IDs of seats that were granted.
func (a *Arbiter) Cancel(id uint64) {
	for i := range a.waiting {
		if a.waiting[i].id == id {
			a.removeReservation(i)
			return
		}
	}
}

func (a *Arbiter) removeReservation(i int) {
	last := len(a.waiting) - 1
	a.waiting[i] = a.waiting[last]
	a.waiting = a.waiting[:last]
}

// Waiting returns the number of reservations.
func (a *Arbiter) Waiting() int {
	return len(a.waiting)
}

// GrantNext grants a seat to the most pressing reservation that may use one now. It returns
// the reservation's ID, which is that of the seat, or false if none is granted.
func (a *Arbiter) GrantNext(now time.Time) (id uint64, ok bool) {
	if len(a.waiting) == 0 {
		return 0, false
	}
	i := a.mostPressing(now, a.FreeSeats(now), a.UrgentSeats(now))
	if i < 0 {
		return 0, false
	}
	r := a.waiting[i]
	a.removeReservation(i)
	a.grants++
	a.held[r.id] = &heldSeat{due: r.due, granted: now}
	return r.id, true
}

// mostPressing returns the index of the reservation that gets the next seat, or -1 if no seat
// can be granted to any. Among equals, it is the oldest reservation.
func (a *Arbiter) mostPressing(now time.Time, free, urgent int) int {
	if free <= 0 && free+urgent <= 0 {
		return -1
	}
	at := now.UnixNano()
	best, oldest := -1, -1
	for i := range a.waiting {
		r := &a.waiting[i]
		if free <= 0 && !Urgent(now, r.due) {
			continue
		}
		if best < 0 {
			best, oldest = i, i
			continue
		}
		b := &a.waiting[best]
		if c := r.key.Compare(at, b.key); c < 0 || c == 0 && r.id < b.id {
			best = i
		}
		if r.since.Before(a.waiting[oldest].since) {
			oldest = i
		}
	}
	if best >= 0 && (a.grants+1)%agedShare == 0 && now.Sub(a.waiting[oldest].since) >= agedAfter {
		return oldest
	}
	return best
}

// FreeSeats returns the number of seats that can be granted now. It may be negative.
func (a *Arbiter) FreeSeats(now time.Time) int {
	a.updateFreeSince(now)
	if a.freeSince.IsZero() || now.Sub(a.freeSince) < minFreeTime {
		return 0
	}
	return a.FreeSlots(now) - a.reserve
}

// UrgentSeats returns the number of further seats that can be granted to urgent items.
func (a *Arbiter) UrgentSeats(now time.Time) int {
	a.updateFreeSince(now)
	if a.anyFreeSince.IsZero() || now.Sub(a.anyFreeSince) < minFreeTime {
		return 0
	}
	return min(a.FreeSlots(now), a.reserve)
}

// updateFreeSince updates freeSince and anyFreeSince.
func (a *Arbiter) updateFreeSince(now time.Time) {
	free := a.FreeSlots(now)
	trackSince(&a.freeSince, free > a.reserve, now)
	trackSince(&a.anyFreeSince, free > 0, now)
}

// trackSince sets at to the time since which a condition holds, or to zero if it does not
// hold.
func trackSince(at *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// Release ends a granted seat.
func (a *Arbiter) Release(id uint64) {
	delete(a.held, id)
}

// Report stores the target's load and returns the IDs of the seats to ask back now: one for
// each request beyond the slots, less the seats already asked back. A request that waits
// while slots are free only waits for the engine's next step, and asking a seat back for
// it would cut off batch work for nothing. The seats with the latest due time come first;
// among equals the one granted last, which has the least progress to lose.
func (a *Arbiter) Report(now time.Time, load Load) []uint64 {
	a.load = load
	a.updateFreeSince(now)
	need := load.Active + load.Queued - a.slots
	var ids []uint64
	for id, s := range a.held {
		if s.yieldAsked {
			need--
			continue
		}
		ids = append(ids, id)
	}
	if need <= 0 {
		return nil
	}
	slices.SortFunc(ids, func(x, y uint64) int {
		sx, sy := a.held[x], a.held[y]
		if c := sy.due.Compare(sx.due); c != 0 {
			return c
		}
		return cmp.Compare(y, x)
	})
	ids = ids[:min(need, len(ids))]
	for _, id := range ids {
		a.held[id].yieldAsked = true
	}
	return ids
}
