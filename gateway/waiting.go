package gateway

import (
	"math/rand/v2"
	"time"

	"pumiceford/balance"
	"pumiceford/targets"
)

// firstEventTimeout returns how long a target may take to start its response before it
// counts as unresponsive.
func (s *requestState) firstEventTimeout(c balance.Choice) time.Duration {
	if s.route.FirstEventWithin <= 0 {
		return defaultEventTimeout
	}
	waiting := c.Waiting
	if c.Load >= c.Instance.Slots {
		waiting++
	}
	return time.Duration(firstEventShare*float64(s.route.FirstEventWithin)) + time.Duration(waiting)*timeoutPerWaiting
}

// gapTimeout returns how long a stream may pause between events before its target counts as
// unresponsive.
func (s *requestState) gapTimeout() time.Duration {
	if s.route.EventGapWithin <= 0 {
		return defaultEventTimeout
	}
	return time.Duration(eventGapShare * float64(s.route.EventGapWithin))
}

// queueCheck returns the watchdog's check of a request that has no response yet. The check
// reports true when the request may be retried and another target has a free slot for it now,
// or its target counts as unresponsive. A request does not leave one queue for another, since
// it would only lose its place.
func (s *requestState) queueCheck(c balance.Choice) func() bool {
	sent, recorded, resuming := time.Now(), false, s.headerSent
	return func() bool {
		now, free := time.Now(), false
		idle := false
		s.g.view.WithTable(func(t *balance.Table) {
			free = t.ShouldMoveFor(now, s.needs(), c.Instance.ID, s.tried, rand.Float64())
			idle = t.HasFreeSlot(now, c.Instance.ID)
		})
		unresponsive := now.Sub(sent) >= s.firstEventTimeout(c) && !s.reportedResponsive(c.Instance) || s.reportedUnresponsive(c.Instance)
		if unresponsive && !recorded {
			recorded = true
			s.updateHealth(c.Instance, s.unresponsiveOutcome(c), "silent")
		}
		if free && idle {
			// The target has a free slot and did not start the request, so it may be
			// unreachable. The next request should not spend one of its attempts there too.
			s.updateHealth(c.Instance, balance.Slow, "late")
		}
		if shouldMove := free || unresponsive && s.hasOther(c.Instance); !shouldMove || !s.mayRetry() {
			return false
		}
		if resuming {
			return true
		}
		taken := s.g.takeResend()
		s.resendTaken.Store(taken)
		return taken
	}
}

// hasOther reports whether the request may be sent to a further target. Without one it waits for the
// target that has it: its silence alone is no reason to end the response sooner.
func (s *requestState) hasOther(in targets.Instance) (other bool) {
	s.g.view.WithTable(func(t *balance.Table) { other = t.HasOther(time.Now(), s.needs(), in.ID, s.tried) })
	return other
}

// unresponsiveOutcome returns the outcome to record for a target whose response does not
// start. When the target's load is not reported and no slot is reserved, the request may just
// be queued there: ejecting such targets at peak load leaves fewer and fewer for all requests.
func (s *requestState) unresponsiveOutcome(c balance.Choice) balance.Outcome {
	if c.Reported() || s.req.ReservedSlot != "" {
		return balance.Unreachable
	}
	return balance.Slow
}

// reportedUnresponsive reports whether a target's agent reports that the target does not
// respond.
func (s *requestState) reportedUnresponsive(in targets.Instance) (unresponsive bool) {
	s.g.view.WithTable(func(t *balance.Table) { unresponsive = t.Unresponsive(time.Now(), in.ID) })
	return unresponsive
}

// reportedResponsive reports whether a target's agent has recently reported that the target
// responds.
func (s *requestState) reportedResponsive(in targets.Instance) (responsive bool) {
	s.g.view.WithTable(func(t *balance.Table) { responsive = t.Alive(time.Now(), in.ID) })
	return responsive
}

// handleUnresponsive handles a target that has sent nothing within the gap timeout. When its
// agent reports that it responds, it is only busy: ejecting it would push its load onto
// others.
func (s *requestState) handleUnresponsive(in targets.Instance) {
	if s.reportedResponsive(in) {
		s.g.metrics.Count("slow_answer")
		return
	}
	s.updateHealth(in, balance.Unreachable, "silent")
}
