// Package waitroom decides about requests for which no target has a free slot: who waits, in
// which order, who is refused, and when a refused caller should return. It does no I/O, reads
// no clock and starts no goroutines.
package waitroom

import (
	"cmp"
	"time"

	"pumiceford/fairshare"
)

// maxOvertaken is how long a ticket may be passed over by tickets of its rank that go before it
// by standing or because they return. Then it goes first within its rank.
const maxOvertaken = 200 * time.Millisecond

// Ticket is one request that waits. Its owner sets the exported fields before Enter and does
// not change them while the ticket is in a room.
type Ticket struct {
	Holder    fairshare.Holder
	Standing  fairshare.Standing
	Returning bool      // the request was refused before
	LeaveBy   time.Time // waiting longer is of no use
	Owner     any       // of no meaning to the room

	entered time.Time
	number  uint64 // order of first entry
	index   int    // position in the heap plus one; 0 outside a room
	prev    *Ticket
	next    *Ticket
}

// Waiting reports whether the ticket is in a room.
func (t *Ticket) Waiting() bool { return t.index > 0 }

// Entered returns when the ticket first entered a room, the zero time if it has not.
func (t *Ticket) Entered() time.Time { return t.entered }

// before reports whether a goes before b: by rank, then by share, then returning callers, then
// what is left of the time to wait, then the order of entry.
func before(a, b *Ticket) bool {
	if c := fairshare.Compare(a.Standing, b.Standing); c != 0 {
		return c < 0
	}
	if a.Returning != b.Returning {
		return a.Returning
	}
	if c := a.LeaveBy.Compare(b.LeaveBy); c != 0 {
		return c < 0
	}
	return a.number < b.number
}

// Room holds the waiting requests of one service. A ticket leaves it exactly once: through
// Next, Leave, or because a ticket that goes before it displaces it from a full room.
// It is not safe for concurrent use.
type Room struct {
	limit      int
	heap       []*Ticket
	first      *Ticket // in the order of entry
	last       *Ticket
	lastNumber uint64
}

// NewRoom returns an empty Room for at most limit tickets.
func NewRoom(limit int) *Room {
	return &Room{limit: max(limit, 1), heap: make([]*Ticket, 0, max(limit, 1))}
}

// Len returns the number of tickets.
func (r *Room) Len() int { return len(r.heap) }

// Enter adds a ticket. If the room is full, the ticket displaces the one that would be served
// last, provided that it goes before that one; otherwise it returns false. A ticket that
// returns after Next keeps its place in the order.
func (r *Room) Enter(now time.Time, t *Ticket) (displaced *Ticket, ok bool) {
	if t.index > 0 {
		return nil, true
	}
	if t.number == 0 {
		r.lastNumber++
		t.number, t.entered = r.lastNumber, now
	}
	if len(r.heap) >= r.limit {
		displaced = r.worst()
		if !before(t, displaced) {
			return nil, false
		}
		r.remove(displaced)
	}
	r.link(t)
	r.heap = append(r.heap, t)
	t.index = len(r.heap)
	r.up(len(r.heap) - 1)
	return displaced, true
}

// Next removes and returns the ticket that goes first, nil if the room is empty.
func (r *Room) Next(now time.Time) *Ticket {
	if len(r.heap) == 0 {
		return nil
	}
	t := r.heap[0]
	for old := r.first; old != nil && now.Sub(old.entered) >= maxOvertaken; old = old.next {
		if old.Standing.Rank == t.Standing.Rank {
			t = old
			break
		}
	}
	r.remove(t)
	return t
}

// Leave removes a ticket whose request no longer waits. It reports whether it was in the room.
func (r *Room) Leave(t *Ticket) bool {
	if t.index == 0 {
		return false
	}
	r.remove(t)
	return true
}

// Before returns the number of tickets that go before t.
func (r *Room) Before(t *Ticket) int {
	n := 0
	for _, other := range r.heap {
		if before(other, t) {
			n++
		}
	}
	return n
}

// Reorder sets the standing of all tickets anew, after a change of ranks or shares.
func (r *Room) Reorder(standing func(fairshare.Holder) fairshare.Standing) {
	for _, t := range r.heap {
		t.Standing = standing(t.Holder)
	}
	for i := len(r.heap)/2 - 1; i >= 0; i-- {
		r.down(i)
	}
}

// worst returns the ticket that goes last. The room is not empty.
func (r *Room) worst() *Ticket {
	worst := r.heap[len(r.heap)/2]
	for _, t := range r.heap[len(r.heap)/2:] { // the leaves
		if before(worst, t) {
			worst = t
		}
	}
	return worst
}

// link inserts t in the list by its order of first entry; only tickets that return after Next
// are not the newest.
func (r *Room) link(t *Ticket) {
	at := r.last
	for at != nil && cmp.Less(t.number, at.number) {
		at = at.prev
	}
	t.prev = at
	if at == nil {
		t.next, r.first = r.first, t
	} else {
		t.next, at.next = at.next, t
	}
	if t.next == nil {
		r.last = t
	} else {
		t.next.prev = t
	}
}

func (r *Room) remove(t *Ticket) {
	i, end := t.index-1, len(r.heap)-1
	r.swap(i, end)
	r.heap[end] = nil
	r.heap = r.heap[:end]
	if i < end {
		r.down(i)
		r.up(i)
	}
	if t.prev == nil {
		r.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		r.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.index, t.prev, t.next = 0, nil, nil
}

func (r *Room) swap(i, j int) {
	r.heap[i], r.heap[j] = r.heap[j], r.heap[i]
	r.heap[i].index, r.heap[j].index = i+1, j+1
}

func (r *Room) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(r.heap[i], r.heap[parent]) {
			return
		}
		r.swap(i, parent)
		i = parent
	}
}

func (r *Room) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(r.heap) {
			return
		}
		if child+1 < len(r.heap) && before(r.heap[child+1], r.heap[child]) {
			child++
		}
		if !before(r.heap[child], r.heap[i]) {
			return
		}
		r.swap(i, child)
		i = child
	}
}
