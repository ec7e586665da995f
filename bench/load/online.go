package load

import (
	"maps"
	"time"

	"pumiceford/balance"
)

// requestNeeds is what the balancer considers of each online request.
var requestNeeds = balance.Request{Service: "s", FirstEventWithin: lateAfter}

// maxReserveTries is how many targets an entry asks for a reservation.
const maxReserveTries = 6

// reserveTimeout is how long an entry waits for a reservation.
const reserveTimeout = 60 * time.Millisecond

// send places an online request. Under NaiveForwarding it also places batch items.
func (s *simulation) send(w *work) {
	if s.policy.ReserveSlots {
		s.reserve(w, nil)
		return
	}
	id, ok := s.choose(w)
	s.sendTo(w, id, ok)
}

func (s *simulation) sendTo(w *work, id string, ok bool) {
	if !ok {
		s.refuse(w)
		return
	}
	w.target = s.byID[id]
	if w.target.cutOff {
		s.out.SentToCutOff++
	}
	w.entry.table.OnlineStarted(s.now, id)
	if !w.batch && len(s.held) > 0 {
		s.held[w.workspace]++
	}
	if w.target.active >= s.scenario.Slots {
		s.out.QueuedAtTarget++
	}
	s.submit(w)
	if !s.policy.NaiveForwarding {
		placement := w.placement
		s.after(firstMoveCheck, func() { s.checkMove(w, placement) })
	}
}

// refuse refuses a request. Its caller retries at most once.
func (s *simulation) refuse(w *work) {
	s.out.Refused++
	if w.retried || s.policy.MaxRetryAfter == 0 {
		s.out.NotServed++
		s.shares(w).RefusedTwice++
		return
	}
	w.retried = true
	spread := s.policy.MaxRetryAfter - s.policy.MinRetryAfter
	s.after(s.policy.MinRetryAfter+time.Duration(s.choiceRand.Float64()*float64(spread)), func() {
		w.arrived = s.now
		if len(s.held) > 0 {
			w.entry = s.entries[s.choiceRand.IntN(len(s.entries))]
		}
		s.send(w)
	})
}

// accepts reports whether a request is admitted with the estimated wait of a choice.
func (s *simulation) accepts(w *work, c balance.Choice) bool {
	if w.retried || s.policy.MaxWait == 0 {
		return c.QueueBelowLimit()
	}
	return c.FreeWithin(s.allowance(w, s.policy.MaxWait))
}

// reserve asks targets one after the other until one reserves a slot for a request, as an
// entry does. The keys of tried are the targets asked so far.
func (s *simulation) reserve(w *work, tried map[string]bool) {
	table := w.entry.table
	if len(tried) == maxReserveTries {
		c, ok := table.PickReportedFor(s.now, requestNeeds, tried, s.choiceRand.Float64())
		w.pace = c.Pace
		s.sendOrWait(w, c, ok)
		return
	}
	c, ok := table.PickFor(s.now, requestNeeds, tried, s.choiceRand.Float64())
	w.pace = c.Pace
	if !ok || !c.ShouldReserve() {
		s.sendOrWait(w, c, ok)
		return
	}
	s.tryReserve(w, c.Instance.ID, func() {
		next := map[string]bool{c.Instance.ID: true}
		maps.Copy(next, tried)
		s.reserve(w, next)
	})
}

// tryReserve reserves a slot for a request and sends the request there. If the target reserves
// none, it calls full.
func (s *simulation) tryReserve(w *work, id string, full func()) {
	table, t := w.entry.table, s.byID[id]
	s.out.Reservations++
	table.OnlineStarted(s.now, id)
	if t.cutOff {
		s.after(reserveTimeout, func() {
			table.OnlineEnded(s.now, id, true)
			table.RecordOutcome(s.now, id, balance.Slow)
			full()
		})
		return
	}
	granted := t.active+t.reservedSlots < s.scenario.Slots && len(t.queue) == 0
	if granted {
		t.reservedSlots++
	}
	s.after(reserveTime, func() {
		table.OnlineEnded(s.now, id, true)
		if granted {
			w.reserved = true
			s.sendTo(w, id, true)
			return
		}
		table.ReserveFailed(id)
		full()
	})
}

func (s *simulation) choose(w *work) (string, bool) {
	if s.policy.NaiveForwarding {
		return s.leastRequests(w.entry), true
	}
	c, _ := w.entry.table.PickFor(s.now, requestNeeds, nil, s.choiceRand.Float64())
	w.pace = c.Pace
	return c.Instance.ID, s.accepts(w, c)
}

// leastRequests returns the target with the fewest requests of an entry. It starts at a
// random target to break ties.
func (s *simulation) leastRequests(e *entry) string {
	first := s.choiceRand.IntN(len(s.targets))
	best := s.targets[first].id
	for i := range s.targets {
		if id := s.targets[(first+i)%len(s.targets)].id; e.ownRequests[id] < e.ownRequests[best] {
			best = id
		}
	}
	return best
}

// checkMove moves a waiting request to another target if the balancer advises it, and
// repeats until the first event.
func (s *simulation) checkMove(w *work, placement int) {
	if w.placement != placement || w.gotFirstEvent {
		return
	}
	draw := s.choiceRand.Float64()
	if s.policy.AlwaysMove {
		draw = 0
	}
	if w.entry.table.ShouldMove(s.now, "s", w.target.id, draw) {
		s.out.Moves++
		s.withdraw(w)
		s.send(w)
		return
	}
	s.after(moveCheckInterval, func() { s.checkMove(w, placement) })
}
