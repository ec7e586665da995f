package load

import (
	"time"

	"pumiceford/balance"
	"pumiceford/fairshare"
	"pumiceford/targets"
	"pumiceford/waitroom"
)

// Limits of waiting at an entry, as in the product.
const (
	roomLimit = 256
	lateShare = 0.02 // of the requests served, for retries that waited in vain
	lateLimit = 10
)

// lostOf says that loseTargets removes one target of so many.
const lostOf = 3

func (s *simulation) inPeak() bool {
	return s.now.Sub(s.start)%cycleTime > troughTime
}

// drawWorkspace returns the workspace of the next request.
func (s *simulation) drawWorkspace() int {
	n := s.scenario.Workspaces
	if n == 0 {
		return 0
	}
	first := 1.0
	if s.inPeak() {
		first = max(s.scenario.Surge, 1)
	}
	x := s.arrivalRand.Float64() * (first + float64(n-1))
	if x < first {
		return 0
	}
	return min(1+int(x-first), n-1)
}

// shares returns the counts for the workspace of a request.
func (s *simulation) shares(w *work) *Shares {
	if w.workspace == 0 && s.scenario.Surge > 1 {
		return &s.out.Surging
	}
	return &s.out.Others
}

// standing returns the standing of a request's workspace, as if its entry knew all slots in use.
func (s *simulation) standing(w *work) fairshare.Standing {
	if len(s.held) == 0 {
		return fairshare.Standing{}
	}
	fair := float64(s.scenario.Targets*s.scenario.Slots) / float64(len(s.held))
	if s.lost {
		fair -= fair / lostOf
	}
	return fairshare.Standing{Excess: max(0, float64(s.held[w.workspace])/fair-1)}
}

func (s *simulation) loseTargets(all []targets.Instance) {
	s.lost = true
	var left []targets.Instance
	for i, in := range all {
		if i%lostOf != 0 {
			left = append(left, in)
		}
	}
	for _, e := range s.entries {
		e.table.Replace(left)
	}
}

// allowance returns how long the first attempt of a request may wait where one of a workspace
// within its share may wait for full.
func (s *simulation) allowance(w *work, full time.Duration) time.Duration {
	if !s.policy.WaitAtEntry {
		return full
	}
	return waitroom.Allowance(full, s.standing(w))
}

// sendOrWait sends a request to the queue of the chosen target, lets it wait at its entry, or
// refuses it.
func (s *simulation) sendOrWait(w *work, c balance.Choice, ok bool) {
	in := waitroom.Input{Standing: s.standing(w), Allowance: s.policy.MaxFirstWait, Freed: w.entry.table.FreedRate("s")}
	limit := s.allowance(w, in.Allowance)
	if w.retried {
		in.Allowance, limit = s.policy.MaxRetryWait, s.policy.MaxRetryWait
	}
	if !ok || !s.policy.WaitAtEntry || !c.Reported() || c.Wait == 0 || !waitroom.Pays(in.Freed, in.Allowance) {
		s.sendTo(w, c.Instance.ID, ok && s.accepts(w, c))
		return
	}
	w.ticket = waitroom.Ticket{Standing: in.Standing, Returning: w.retried, LeaveBy: s.now.Add(limit), Owner: w}
	in.Before = w.entry.room.Before(&w.ticket)
	if !w.retried && !waitroom.Admit(in).Admitted {
		s.refuse(w)
		return
	}
	s.enterRoom(w)
}

func (s *simulation) enterRoom(w *work) {
	left := w.ticket.LeaveBy.Sub(s.now)
	if left <= 0 {
		s.waitedInVain(w)
		return
	}
	displaced, ok := w.entry.room.Enter(s.now, &w.ticket)
	if displaced != nil {
		s.waitedInVain(displaced.Owner.(*work)) // only work enters
	}
	if !ok {
		s.waitedInVain(w)
		return
	}
	leaveBy := w.ticket.LeaveBy
	s.after(left, func() {
		if w.ticket.LeaveBy.Equal(leaveBy) && w.entry.room.Leave(&w.ticket) {
			s.waitedInVain(w)
		}
	})
	s.serveWaiting(w.entry)
}

// waitedInVain refuses a request for which no slot became free in time. A retry joins a queue
// after all, within a budget.
func (s *simulation) waitedInVain(w *work) {
	if w.retried && waitroom.MayBeLate(s.standing(w)) && w.entry.lateRetries.Take() {
		c, ok := w.entry.table.PickReportedFor(s.now, requestNeeds, nil, s.choiceRand.Float64())
		w.pace = c.Pace
		s.sendTo(w, c.Instance.ID, ok && s.accepts(w, c))
		return
	}
	s.refuse(w)
}

// serveWaiting gives the slots that are reported to be free to the requests that wait.
func (s *simulation) serveWaiting(e *entry) {
	for e.room.Len() > 0 {
		c, ok := e.table.PickFree(s.now, "s", s.choiceRand.Float64())
		if !ok {
			return
		}
		s.serveNext(e, c, c.ShouldReserve())
	}
}

// serveNext sends the request that goes first to a target, after reserving a slot if needed.
func (s *simulation) serveNext(e *entry, c balance.Choice, reserve bool) {
	w, id := e.room.Next(s.now).Owner.(*work), c.Instance.ID // only work enters
	w.pace = c.Pace
	if !reserve {
		s.sendTo(w, id, true)
		return
	}
	s.tryReserve(w, id, func() { s.enterRoom(w) })
}

// onlineEnded gives the slot that a request has left to one that waits.
func (s *simulation) onlineEnded(w *work, completed bool) {
	if len(s.held) > 0 {
		s.held[w.workspace]--
	}
	if completed {
		w.entry.lateRetries.Succeeded()
	}
	if !s.policy.WaitAtEntry {
		return
	}
	e, id := w.entry, w.target.id
	s.after(networkDelay, func() {
		if e.room.Len() == 0 {
			return
		}
		if c, ok := e.table.PickEnded(s.now, "s", id); ok {
			s.serveNext(e, c, true)
		}
	})
}
