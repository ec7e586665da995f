// Package schedule orders the open items of batch jobs. It does no I/O and reads no clock.
//
// Under overload, earliest-deadline-first order makes nearly all items late: each item
// starts just before it is due, and the first peak of online work that takes its seat
// makes it miss its due time. Items that can still finish in time therefore go first,
// the earliest due first, and late items get the seats that are left.
package schedule

import (
	"cmp"
	"time"
)

// Item is the state of an open item that its order depends on.
type Item struct {
	Due       time.Time
	Remaining time.Duration // estimated time that it still has to run
	Started   bool
}

// notStartedMargin is the extra time that an item needs if it has not started. Running
// items yield their seats during peaks of online work, which last seconds.
const notStartedMargin = 2 * time.Second

// lateYieldOffset is added to the due time of late items when seats are asked back. The
// items with the latest due times yield first.
const lateYieldOffset = time.Hour

// Feasible reports whether an item can still finish in time.
func (i Item) Feasible(now time.Time) bool {
	need := i.Remaining
	if !i.Started {
		need += notStartedMargin
	}
	return !now.Add(need).After(i.Due)
}

// YieldDue returns the due time that an agent uses to decide whose seat it asks back. The
// item with the latest one yields first.
func (i Item) YieldDue(now time.Time) time.Time {
	if i.Feasible(now) {
		return i.Due
	}
	return i.Due.Add(lateYieldOffset)
}

// Compare orders items. It returns a negative number if a goes first.
func Compare(now time.Time, a, b Item) int {
	fa, fb := a.Feasible(now), b.Feasible(now)
	if fa != fb {
		if fa {
			return -1
		}
		return 1
	}
	if !fa {
		// Neither can finish in time: the one with the least time left frees its seat first.
		return cmp.Compare(a.Remaining, b.Remaining)
	}
	return a.Due.Compare(b.Due)
}
