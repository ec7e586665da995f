package balance

import (
	"time"

	"pumiceford/estimate"
)

// Limits for queueing.
const (
	// maxWaitingShare is the number of online requests that may wait at the chosen target
	// before more are rejected, as a share of its slots. A longer queue only holds
	// requests whose responses would come much too late.
	maxWaitingShare = 0.5
)

// wait estimates how long an online request waits for a slot at a target. Slots become free
// one after the other, and requests that already wait go first. A slot held by batch work
// becomes free almost at once. Where memory is short, one of the running requests has to end.
func (t *Table) wait(now time.Time, n needs, v *View) time.Duration {
	if v.load(now)-v.batch(now) < v.slots() && (!v.reported(now) || v.hasMemory(n)) {
		return 0
	}
	return time.Duration(v.Waiting(now)+1) * t.estimates.HoldTime(v.Instance.Service, estimate.Work{}, v.pace(now)) / time.Duration(v.slots())
}

// reserveMaxFree is the largest number of free slots at which a slot is reserved before a
// request is sent. Between two reports many entries see the same slots become free, and
// without a reservation all but the first of their requests would wait.
const reserveMaxFree = 4

// ShouldReserve reports whether the target's free slot may be taken before the request
// arrives. Without a current load report that is always possible.
func (c Choice) ShouldReserve() bool {
	free := c.Instance.Slots - c.Load
	return free > 0 && (free <= reserveMaxFree || !c.Reported())
}

// QueueBelowLimit reports whether the queue at the chosen target is short enough to wait there.
func (c Choice) QueueBelowLimit() bool {
	return float64(c.Waiting) < max(1, maxWaitingShare*float64(c.Instance.Slots))
}

// FreeWithin reports whether the request may wait at the chosen target and a slot is estimated
// to become free within d.
func (c Choice) FreeWithin(d time.Duration) bool {
	return c.QueueBelowLimit() && c.Wait <= d
}
