package load

import (
	"slices"
	"time"

	"pumiceford/schedule"
	"pumiceford/seats"
)

// yield gives an item's seat back; what it has done stays done.
func (r *replay) yield(w *work, seat uint64) {
	if w.seat != seat {
		return // it has ended meanwhile
	}
	if w.running {
		w.left = max(w.left-w.at.did(r.now.Sub(w.started)), time.Millisecond)
	}
	r.out.CutOff++
	w.at.giveBack(w)
	r.leave(w)
	w.entry.batch = append(w.entry.batch, w)
}

// dispatch starts the items that wait at an entry in seats that agents grant.
func (r *replay) dispatch(e *entry) {
	r.after(runnerLook, func() { r.dispatch(e) })
	rank := func(w *work) schedule.Item {
		return schedule.Item{Due: w.due, Left: w.left, Begun: w.left < r.shape.Runs}
	}
	slices.SortStableFunc(e.batch, func(a, b *work) int { return schedule.Compare(r.now, rank(a), rank(b)) })
	for len(e.batch) > 0 {
		w := e.batch[0]
		if !r.seatFor(e, w, rank(w).YieldRank(r.now)) {
			return
		}
		e.batch = e.batch[1:]
	}
}

// seatFor asks the agents for a seat, the most promising first, and starts the
// item there.
func (r *replay) seatFor(e *entry, w *work, due time.Time) bool {
	rooms := e.table.Rooms(r.now, "s")
	if seats.Presses(r.now, due) {
		rooms = e.table.RoomsPressing(r.now, "s")
	}
	for _, room := range rooms {
		t := r.byID[room.Instance.ID]
		seat, granted := t.arbiter.Acquire(r.now, due)
		e.table.Seated(t.id, granted)
		if granted {
			w.at, w.seat = t, seat
			t.seated[seat] = w
			e.table.BatchBegan(r.now, t.id)
			r.submit(w)
			return true
		}
	}
	return false
}
