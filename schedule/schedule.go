// Package schedule orders the open items of batch jobs. It does no I/O and reads no clock.
//
// Under overload, earliest-deadline-first order makes nearly all items late: each item
// starts just before it is due, and the first peak of online work that takes its seat
// makes it miss its due time. Items that can still finish in time therefore go first,
// the earliest due first, and late items get the seats that are left.
//
// Entries and agents order items by the same rules: by rank, then by the standing of their
// workspaces, then as above.
package schedule

import (
	"cmp"
	"math"
	"time"

	"pumiceford/fairshare"
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
	return !now.Add(i.need()).After(i.Due)
}

// need returns the time that an item needs to finish.
func (i Item) need() time.Duration {
	if i.Started {
		return i.Remaining
	}
	return i.Remaining + notStartedMargin
}

// seatWait is the time that an item is taken to wait for a seat at another target.
const seatWait = time.Second

// Accepts reports whether an item takes a seat at a target where it still has to run for here,
// given that it would still have to run for best at the fastest target. An item that would be
// late here leaves the seat to others as long as it can be in time elsewhere.
func (i Item) Accepts(now time.Time, here, best time.Duration) bool {
	atBest := i
	i.Remaining, atBest.Remaining = here, best
	return i.Feasible(now) || !atBest.Feasible(now.Add(seatWait))
}

// StartsAnew reports whether an item that has no seat where it can continue should run again
// from its start elsewhere, given how long it has waited and how long the repeated part takes.
// It waits as long as the repetition would take, but not so long that it would then be late.
func (i Item) StartsAnew(now time.Time, waited, repeated time.Duration) bool {
	return waited >= repeated || now.Add(seatWait+repeated+i.Remaining).After(i.Due)
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
	return CompareClaims(now, Claim{Item: a}, Claim{Item: b})
}

// Claim is an item with the standing of its workspace.
type Claim struct {
	fairshare.Standing
	Item
}

// excessStep is the difference between two excesses that counts. The excess of a workspace
// changes with each item that starts or ends; smaller differences would let these changes
// decide instead of the due times.
const excessStep = 0.25

// excessLevel returns the number of whole steps by which a workspace is beyond its share.
func excessLevel(s fairshare.Standing) float64 {
	return math.Floor(max(s.Excess, 0) / excessStep)
}

// CompareClaims orders items of all workspaces by rank, then standing, then as Compare. It
// returns a negative number if a goes first.
func CompareClaims(now time.Time, a, b Claim) int {
	return a.Key().Compare(now.UnixNano(), b.Key())
}

// Key is a Claim prepared for many comparisons. Times are in nanoseconds since 1970.
type Key struct {
	rank        int
	excess      float64 // level
	due         int64
	latestStart int64 // the last time at which the item is feasible
	remaining   time.Duration
}

// Key returns the claim's key. A zero due time stands for an item that is late.
func (c Claim) Key() Key {
	k := Key{rank: c.Rank, excess: excessLevel(c.Standing), remaining: c.Remaining, due: math.MinInt64, latestStart: math.MinInt64}
	if !c.Due.IsZero() {
		k.due = c.Due.UnixNano()
		k.latestStart = c.Due.Add(-c.need()).UnixNano()
	}
	return k
}

// Compare orders as CompareClaims.
func (k Key) Compare(now int64, other Key) int {
	if k.rank != other.rank {
		return cmp.Compare(k.rank, other.rank)
	}
	if k.excess != other.excess {
		return cmp.Compare(k.excess, other.excess)
	}
	feasible := now <= k.latestStart
	switch {
	case feasible != (now <= other.latestStart):
		if feasible {
			return -1
		}
		return 1
	case feasible:
		return cmp.Compare(k.due, other.due)
	}
	// Neither can finish in time: the one with the least time left frees its seat first.
	return cmp.Compare(k.remaining, other.remaining)
}

// Speed is the observed speed of a run. Did and Left are in time at the usual pace.
type Speed struct {
	Took time.Duration // time since the run began
	Did  time.Duration // work that it did
	Left time.Duration // work that it still has to do
}

// Here estimates how long the run still takes at its present speed.
func (s Speed) Here() time.Duration {
	if s.Did <= 0 {
		return s.Left
	}
	return time.Duration(float64(s.Left) * float64(s.Took) / float64(s.Did))
}

// Late reports whether the run will end late at its present speed.
func (s Speed) Late(now, due time.Time) bool {
	return now.Add(s.Here()).After(due)
}

// Costs and gains of a move.
const (
	// moveCost is the time for a new connection and for reading the item again.
	moveCost = 500 * time.Millisecond
	// maxMovedShare is the largest part of the time left that a move may leave of an item
	// that stays late. Smaller gains do not repay reading it again.
	maxMovedShare = 0.6
)

// Moves reports whether a late run moves to a target where it would still have to run for
// there: if it is in time only there, or gains much. The margin of an item that is in time
// there is its move cost, so that an error of the estimates does not move it back.
func (s Speed) Moves(now, due time.Time, there time.Duration) bool {
	there += moveCost
	if there >= s.Here() {
		return false
	}
	return !now.Add(there).After(due) || float64(there) <= maxMovedShare*float64(s.Here())
}
