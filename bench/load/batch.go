package load

import (
	"slices"
	"time"

	"pumiceford/schedule"
	"pumiceford/seats"
)

// yield ends an item's run and gives its seat back. The item keeps its progress.
func (r *replay) yield(w *work, seat uint64) {
	if w.seat != seat {
		return // the run has ended already
	}
	if w.running {
		w.remaining = max(w.remaining-w.target.unslowed(r.now.Sub(w.started)), time.Millisecond)
	}
	r.out.SeatsYielded++
	w.target.releaseSeat(w)
	r.withdraw(w)
	w.entry.batch = append(w.entry.batch, w)
}

// dispatch starts the items that wait at an entry as far as agents grant seats.
func (r *replay) dispatch(e *entry) {
	r.after(dispatchInterval, func() { r.dispatch(e) })
	rank := func(w *work) schedule.Item {
		return schedule.Item{Due: w.due, Remaining: w.remaining, Started: w.remaining < r.scenario.RunTime}
	}
	slices.SortStableFunc(e.batch, func(a, b *work) int { return schedule.Compare(r.now, rank(a), rank(b)) })
	for len(e.batch) > 0 {
		w := e.batch[0]
		if !r.acquireSeat(e, w, rank(w).YieldDue(r.now)) {
			return
		}
		e.batch = e.batch[1:]
	}
}

// acquireSeat requests a seat for an item from the agents, most suitable target first,
// and starts the item at the first that grants one.
func (r *replay) acquireSeat(e *entry, w *work, due time.Time) bool {
	candidates := e.table.BatchTargets(r.now, "s")
	if seats.Urgent(r.now, due) {
		candidates = e.table.UrgentBatchTargets(r.now, "s")
	}
	for _, c := range candidates {
		t := r.byID[c.Instance.ID]
		seat, granted := t.arbiter.Acquire(r.now, due)
		e.table.RecordSeatReply(t.id, granted)
		if granted {
			w.target, w.seat = t, seat
			t.workBySeat[seat] = w
			e.table.BatchStarted(r.now, t.id)
			r.submit(w)
			return true
		}
	}
	return false
}
