package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"pumiceford/balance"
	"pumiceford/fairshare"
	"pumiceford/waitroom"
)

// Limits of waiting at this process.
const (
	// roomLimit bounds the requests of a service that wait at this process.
	roomLimit = 256
	// firstWaitShare and retryWaitShare are the fractions of the route's objective for the
	// first event that a first attempt and a retry may wait for a slot. The rest is left to
	// the target.
	firstWaitShare = 0.6
	retryWaitShare = 0.75
	// latePerSuccess and lateLimit bound the retries that join the queue of a target after
	// they waited in vain: a fraction of the requests served, and as many at once.
	latePerSuccess = 0.02
	lateLimit      = 10
	// resendPerSuccess and resendLimit bound the further sends of requests in the same way.
	// The limit is enough for the requests of one process at the targets that an outage takes.
	resendPerSuccess = 0.2
	resendLimit      = 64
)

// rooms holds the requests that wait at this process until a target has a free slot. It is safe
// for concurrent use; its lock is taken last.
type rooms struct {
	mu       sync.Mutex
	services map[string]*waitroom.Room
	late     *waitroom.Budget
	resends  *waitroom.Budget
}

// waiter is one request in a room. Once its ticket has left the room other than by the request
// itself, exactly one assignment is sent.
type waiter struct {
	ticket   waitroom.Ticket
	assigned chan assignment // with room for one
}

// assignment ends a wait. The request is counted at the target of the choice; without a target
// another request has displaced it.
type assignment struct {
	choice    balance.Choice
	hasTarget bool
	reserve   bool // a slot must be reserved at the target
}

func newRooms() *rooms {
	return &rooms{
		services: make(map[string]*waitroom.Room),
		late:     waitroom.NewBudget(latePerSuccess, lateLimit),
		resends:  waitroom.NewBudget(resendPerSuccess, resendLimit),
	}
}

// hasWaiting reports whether a request waits for a slot.
func (r *rooms) hasWaiting(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.services[service]
	return room != nil && room.Len() > 0
}

// enter adds a request that is admitted. A request that waited before keeps its place and is
// not refused for its expected wait.
func (r *rooms) enter(now time.Time, service string, w *waiter, in waitroom.Input) waitroom.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.services[service]
	if room == nil {
		// Configuration changes add and remove services.
		maps.DeleteFunc(r.services, func(_ string, other *waitroom.Room) bool { return other.Len() == 0 })
		room = waitroom.NewRoom(roomLimit)
		r.services[service] = room
	}
	in.Before = room.Before(&w.ticket)
	d := waitroom.Admit(in)
	if !d.Admitted && !w.ticket.Returning && w.ticket.Entered().IsZero() {
		return d
	}
	displaced, ok := room.Enter(now, &w.ticket)
	d.Admitted = ok
	if displaced != nil {
		displaced.Owner.(*waiter).assigned <- assignment{} // only waiters enter
	}
	return d
}

// leave removes a request that no longer waits. If it returns false, an assignment was sent.
func (r *rooms) leave(service string, w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.services[service].Leave(&w.ticket)
}

// assign gives the target of an assignment to the request that goes first. It returns false if none waits.
func (r *rooms) assign(now time.Time, service string, a assignment) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.services[service]
	if room == nil {
		return false
	}
	t := room.Next(now)
	if t == nil {
		return false
	}
	t.Owner.(*waiter).assigned <- a // only waiters enter
	return true
}

// reorder sets the standing of all that wait anew.
func (r *rooms) reorder(standing func(fairshare.Holder) fairshare.Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, room := range r.services {
		room.Reorder(standing)
	}
}

// waiting returns the number of requests that wait for a slot of any service.
func (r *rooms) waiting() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, room := range r.services {
		n += room.Len()
	}
	return n
}

// takeLate reports whether a retry may join a queue in which it is probably late.
func (r *rooms) takeLate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late.Take()
}

// takeResend reports whether a request may be sent once more.
func (r *rooms) takeResend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resends.Take()
}

// succeeded adds to the budgets what a served request pays for.
func (r *rooms) succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late.Succeeded()
	r.resends.Succeeded()
}

// SlotsChanged tells the Gateway that the load of a target of a service was reported. Requests
// that wait get the slots that are free now.
func (g *Gateway) SlotsChanged(service string) {
	for g.rooms.hasWaiting(service) {
		var c balance.Choice
		var ok bool
		now := time.Now()
		g.view.WithTable(func(t *balance.Table) {
			if c, ok = t.PickFree(now, service, rand.Float64()); ok {
				t.OnlineStarted(now, c.Instance.ID)
			}
		})
		if !ok || !g.assign(now, service, c, c.ShouldReserve()) {
			return
		}
	}
}

// slotEnded gives the slot that a request of this process has left to one that waits.
func (g *Gateway) slotEnded(service, instance string) {
	if !g.rooms.hasWaiting(service) {
		return
	}
	var c balance.Choice
	var ok bool
	now := time.Now()
	g.view.WithTable(func(t *balance.Table) {
		if c, ok = t.PickEnded(now, service, instance); ok {
			t.OnlineStarted(now, instance)
		}
	})
	if ok {
		g.assign(now, service, c, true)
	}
}

// assign gives a choice, at which a request is counted, to the request that goes first.
func (g *Gateway) assign(now time.Time, service string, c balance.Choice, reserve bool) bool {
	g.reorderWaiting(now)
	if g.rooms.assign(now, service, assignment{choice: c, hasTarget: true, reserve: reserve}) {
		return true
	}
	g.view.WithTable(func(t *balance.Table) { t.OnlineEnded(now, c.Instance.ID, true) })
	return false
}

// reorderWaiting puts the requests that wait in the order of the ranks in force, if the catalog
// has changed since it was last called.
func (g *Gateway) reorderWaiting(now time.Time) {
	cat := g.view.Catalog()
	if cat == nil || g.orderedBy.Swap(cat.Version) == cat.Version {
		return
	}
	g.rooms.reorder(func(h fairshare.Holder) fairshare.Standing {
		if w := cat.Workspace(h.Workspace); w != nil && w.Priority != nil {
			h.Rank = *w.Priority
		}
		return g.shares.Standing(now, h)
	})
}

// mayWait reports whether the request may wait at this process: it was not sent yet, did not
// wait before, may use any slot that becomes free, and a slot can be reserved for it later.
func (s *requestState) mayWait() bool {
	return s.sends == 0 && s.continues == nil && !s.waited && s.hasDeadline && s.route.FirstEventWithin > 0 && s.canReserve()
}

// waitPays reports whether the request should wait at this process instead of in the queue of
// the chosen target. It should if this process can expect that one of its own requests ends in
// time: the request then takes the first slot that becomes free anywhere, while in a queue it
// depends on one target.
func (s *requestState) waitPays(t *balance.Table, c balance.Choice) bool {
	if !c.Reported() || c.Wait <= 0 {
		return false
	}
	s.freedRate = t.FreedRate(s.service)
	return waitroom.Pays(s.freedRate, s.allowance())
}

// allowance returns how long a request of a workspace within its share may wait.
func (s *requestState) allowance() time.Duration {
	share := firstWaitShare
	if s.isRetry {
		share = retryWaitShare
	}
	return time.Duration(share * float64(s.route.FirstEventWithin))
}

// waitForSlot lets the request wait until a slot is reserved for it. It reports false when it
// has ended the request instead. The choice is the queue that the request would join otherwise.
// A retry that has waited in vain joins a queue after all, within a budget: it would be refused
// a second time, but in a lasting overload such requests would make all others late.
func (s *requestState) waitForSlot(queue balance.Choice) (balance.Choice, bool) {
	s.waited, s.waitsHere = true, false
	c, gotSlot := s.waitInRoom()
	if !s.maySend() {
		if gotSlot {
			s.g.view.WithTable(func(t *balance.Table) { t.OnlineEnded(time.Now(), c.Instance.ID, true) })
		}
		return c, false
	}
	if gotSlot {
		c.Wait = 0 // whatever is reported, a slot is free
		return c, true
	}
	if s.isRetry && waitroom.MayBeLate(s.standing) && s.g.rooms.takeLate() {
		c, ok := s.selectTarget(func(t *balance.Table) (balance.Choice, bool) {
			return t.PickReportedFor(time.Now(), s.needs(), s.tried, rand.Float64())
		})
		if ok {
			return c, true
		}
	}
	s.refuseOverload(queue)
	return queue, false
}

// waitInRoom waits until the request has a slot: one is reserved for it, batch work yields one,
// or a target has many. The request is then counted at the target. It reports false if there was none
// in time, the request was not admitted or displaced, or its caller left.
func (s *requestState) waitInRoom() (balance.Choice, bool) {
	began := time.Now()
	s.g.shares.Wait(began, s.req.Holder)
	defer func() {
		s.g.shares.EndWait(time.Now(), s.req.Holder)
		s.observeWait(time.Since(began))
	}()
	in := waitroom.Input{Standing: s.standing, Allowance: s.allowance(), Freed: s.freedRate}
	limit := in.Allowance
	if !s.isRetry {
		limit = waitroom.Allowance(limit, s.standing)
	}
	w := &waiter{assigned: make(chan assignment, 1)}
	w.ticket = waitroom.Ticket{Holder: s.req.Holder, Standing: s.standing, Returning: s.isRetry, LeaveBy: began.Add(limit), Owner: w}
	for s.ctx.Err() == nil {
		now := time.Now()
		left := w.ticket.LeaveBy.Sub(now)
		if left <= 0 {
			break
		}
		s.admission = s.g.rooms.enter(now, s.service, w, in)
		s.g.gaugeWaiting()
		if !s.admission.Admitted {
			break
		}
		// A slot may have become free between the choice and the entry.
		s.g.SlotsChanged(s.service)
		a, ok := s.awaitAssignment(w, left)
		if !ok || !a.hasTarget {
			break
		}
		if !a.reserve || s.tryReserve(a.choice) {
			return a.choice, true
		}
	}
	return balance.Choice{}, false
}

// awaitAssignment waits until the request is assigned a target or displaced. It returns false
// when the time is over, the caller has left, or a stop of this process has begun before whose
// end the request may not end; an assignment is then given back.
func (s *requestState) awaitAssignment(w *waiter, left time.Duration) (assignment, bool) {
	timer := time.NewTimer(left)
	defer timer.Stop()
	var a assignment
	received := false
	stopBegun := s.g.shutdown.Begun()
	if s.g.shutdown.Stopping() {
		stopBegun = nil // the request was allowed after that
	}
	for waiting := true; waiting; {
		waiting = false
		select {
		case a = <-w.assigned:
			received = true
		case <-timer.C:
		case <-s.ctx.Done():
		case <-stopBegun:
			stopBegun, waiting = nil, s.canFinish()
		}
	}
	if !received {
		if s.g.rooms.leave(s.service, w) {
			return assignment{}, false
		}
		a = <-w.assigned
	}
	if !a.hasTarget || s.ctx.Err() == nil {
		return a, true
	}
	s.g.view.WithTable(func(t *balance.Table) { t.OnlineEnded(time.Now(), a.choice.Instance.ID, true) })
	s.g.slotEnded(s.service, a.choice.Instance.ID)
	return assignment{}, false
}

// observeWait records how long the request was in the room.
func (s *requestState) observeWait(d time.Duration) {
	s.roomTime = d
	s.g.metrics.Observe("waiting_room", s.req.Workspace, d)
	s.g.gaugeWaiting()
}

func (g *Gateway) gaugeWaiting() {
	g.metrics.SetGauge("waiting_requests", float64(g.rooms.waiting()))
}
