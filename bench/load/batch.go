package load

import (
	"slices"
	"time"

	"pumiceford/balance"
	"pumiceford/schedule"
	"pumiceford/seats"
)

// yield ends an item's run and gives its seat back. The item keeps its progress.
func (s *simulation) yield(w *work, seat uint64) {
	if w.seat != seat {
		return // the run has ended already
	}
	if w.running {
		w.target.advance(s.now, w)
		w.remaining = max(w.left, time.Millisecond)
	}
	s.out.SeatsYielded++
	w.target.releaseSeat(w)
	s.withdraw(w)
	w.entry.batch = append(w.entry.batch, w)
}

// dispatch starts the items that wait at an entry as far as agents grant seats.
func (s *simulation) dispatch(e *entry) {
	s.after(dispatchInterval, func() { s.dispatch(e) })
	rank := func(w *work) schedule.Item {
		return schedule.Item{Due: w.due, Remaining: w.remaining, Started: w.remaining < s.scenario.RunTime}
	}
	slices.SortStableFunc(e.batch, func(a, b *work) int { return schedule.Compare(s.now, rank(a), rank(b)) })
	for len(e.batch) > 0 {
		w := e.batch[0]
		if !s.acquireSeat(e, w, rank(w).YieldDue(s.now)) {
			return
		}
		e.batch = e.batch[1:]
	}
}

// acquireSeat requests a seat for an item from the agents, most suitable target first,
// and starts the item at the first that grants one.
func (s *simulation) acquireSeat(e *entry, w *work, due time.Time) bool {
	candidates := e.table.BatchTargetsFor(s.now, "s", balance.Item{Remaining: w.remaining, Due: due, Urgent: seats.Urgent(s.now, due)})
	for _, c := range candidates {
		t := s.byID[c.Instance.ID]
		seat, granted := t.arbiter.Acquire(s.now, seats.Request{Due: due})
		e.table.RecordSeatReply(t.id, granted)
		if granted {
			w.target, w.seat = t, seat
			t.workBySeat[seat] = w
			e.table.BatchStarted(s.now, t.id)
			s.submit(w)
			return true
		}
	}
	return false
}
