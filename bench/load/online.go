package load

import (
	"maps"
	"time"

	"pumiceford/balance"
)

// maxReserveTries is how many targets an entry asks for a reservation.
const maxReserveTries = 6

// send places an online request. Under NaiveForwarding it also places batch items.
func (r *replay) send(w *work) {
	if r.policy.ReserveSlots {
		r.reserve(w, nil)
		return
	}
	id, ok := r.choose(w)
	r.sendTo(w, id, ok)
}

func (r *replay) sendTo(w *work, id string, ok bool) {
	if !ok {
		r.refuse(w)
		return
	}
	w.target = r.byID[id]
	w.entry.table.OnlineStarted(r.now, id)
	if w.target.active >= r.scenario.Slots {
		r.out.QueuedAtTarget++
	}
	r.submit(w)
	if !r.policy.NaiveForwarding {
		placement := w.placement
		r.after(firstMoveCheck, func() { r.checkMove(w, placement) })
	}
}

// refuse refuses a request. Its caller retries at most once.
func (r *replay) refuse(w *work) {
	r.out.Refused++
	if w.retried || r.policy.MaxRetryAfter == 0 {
		r.out.NotServed++
		return
	}
	w.retried = true
	spread := r.policy.MaxRetryAfter - r.policy.MinRetryAfter
	r.after(r.policy.MinRetryAfter+time.Duration(r.choiceRand.Float64()*float64(spread)), func() {
		w.arrived = r.now
		r.send(w)
	})
}

// accepts reports whether a request is admitted with the estimated wait of a choice.
func (r *replay) accepts(w *work, c balance.Choice) bool {
	if w.retried || r.policy.MaxWait == 0 {
		return c.QueueBelowLimit()
	}
	return c.FreeWithin(r.policy.MaxWait)
}

// reserve tries targets one after the other until one reserves a slot for a request, as
// an entry does. The keys of asked are the targets tried so far.
func (r *replay) reserve(w *work, asked map[string]bool) {
	table := w.entry.table
	if len(asked) == maxReserveTries {
		c, ok := table.PickReported(r.now, "s", asked, r.choiceRand.Float64())
		r.sendTo(w, c.Instance.ID, ok && r.accepts(w, c))
		return
	}
	c, ok := table.Pick(r.now, "s", asked, r.choiceRand.Float64())
	if !ok || !c.ShouldReserve() {
		r.sendTo(w, c.Instance.ID, ok && r.accepts(w, c))
		return
	}
	table.OnlineStarted(r.now, c.Instance.ID)
	t := r.byID[c.Instance.ID]
	granted := t.active+t.reservedSlots < r.scenario.Slots && len(t.queue) == 0
	if granted {
		t.reservedSlots++
	}
	r.after(reserveTime, func() {
		table.OnlineEnded(r.now, t.id, true)
		if granted {
			w.reserved = true
			r.sendTo(w, t.id, true)
			return
		}
		table.ReserveFailed(t.id)
		next := map[string]bool{t.id: true}
		maps.Copy(next, asked)
		r.reserve(w, next)
	})
}

func (r *replay) choose(w *work) (string, bool) {
	if r.policy.NaiveForwarding {
		return r.leastRequests(w.entry), true
	}
	c, _ := w.entry.table.Pick(r.now, "s", nil, r.choiceRand.Float64())
	return c.Instance.ID, r.accepts(w, c)
}

// leastRequests returns the target with the fewest requests of an entry. It starts at a
// random target to break ties.
func (r *replay) leastRequests(e *entry) string {
	first := r.choiceRand.IntN(len(r.targets))
	best := r.targets[first].id
	for i := range r.targets {
		if id := r.targets[(first+i)%len(r.targets)].id; e.ownRequests[id] < e.ownRequests[best] {
			best = id
		}
	}
	return best
}

// checkMove moves a waiting request to another target if the balancer advises it, and
// repeats until the first event.
func (r *replay) checkMove(w *work, placement int) {
	if w.placement != placement || w.gotFirstEvent {
		return
	}
	draw := r.choiceRand.Float64()
	if r.policy.AlwaysMove {
		draw = 0
	}
	if w.entry.table.ShouldMove(r.now, "s", w.target.id, draw) {
		r.out.Moves++
		r.withdraw(w)
		r.send(w)
		return
	}
	r.after(moveCheckInterval, func() { r.checkMove(w, placement) })
}
