package gateway

import (
	"math/rand/v2"
	"time"

	"pumiceford/balance"
	"pumiceford/targets"
)

// firstWait is how long a target may take for the start of its answer before
// it counts as silent.
func (s *serving) firstWait(c balance.Choice) time.Duration {
	if s.route.FirstWithin <= 0 {
		return silentMost
	}
	waiting := c.Waiting
	if c.Load >= c.Instance.Slots {
		waiting++
	}
	return time.Duration(firstShare*float64(s.route.FirstWithin)) + time.Duration(waiting)*perWaiting
}

func (s *serving) gapWait() time.Duration {
	if s.route.GapWithin <= 0 {
		return silentMost
	}
	return time.Duration(gapShare * float64(s.route.GapWithin))
}

// waitingLook returns the look at a request that has no answer yet. It moves on
// when another target has a slot free for it now, or when its target counts as
// silent. To leave a queue for another queue would only lose its place.
func (s *serving) waitingLook(c balance.Choice) func() bool {
	sent, judged := time.Now(), false
	return func() bool {
		now, free := time.Now(), false
		idle := false
		s.g.view.Table(func(t *balance.Table) {
			free = t.MayMove(now, s.service, c.Instance.ID, rand.Float64())
			idle = t.HasFree(now, c.Instance.ID)
		})
		silent := now.Sub(sent) >= s.firstWait(c) && !s.alive(c.Instance) || s.toldSilent(c.Instance)
		if silent && !judged {
			judged = true
			s.judge(c.Instance, s.silence(c), "silent")
		}
		if free && idle {
			// It has a slot free and did not begin. To send the next request there as
			// well would cost that one its second target, if this one has gone dark.
			s.judge(c.Instance, balance.Late, "late")
		}
		return s.mayMove() && (free || silent)
	}
}

// silence returns what it shows of a target that an answer does not begin. Where
// its load is not reported the request may just wait there: to eject such targets in a
// peak leaves ever fewer for all others.
func (s *serving) silence(c balance.Choice) balance.Verdict {
	if c.Reported() || s.req.Reserved != "" {
		return balance.Unfit
	}
	return balance.Late
}

// toldSilent reports whether a target's agent says that it does not answer.
func (s *serving) toldSilent(in targets.Instance) (silent bool) {
	s.g.view.Table(func(t *balance.Table) { silent = t.Silent(time.Now(), in.ID) })
	return silent
}

// alive reports whether a target's agent tells of it.
func (s *serving) alive(in targets.Instance) (alive bool) {
	s.g.view.Table(func(t *balance.Table) { alive = t.Alive(time.Now(), in.ID) })
	return alive
}

// silent judges a target that has not answered in time. One whose agent tells of
// it is only busy: to eject it would push its load on the others.
func (s *serving) silent(in targets.Instance) {
	if s.alive(in) {
		s.g.metrics.Count("slow_answer")
		return
	}
	s.judge(in, balance.Unfit, "silent")
}
