// Package schedule orders the open items of batch jobs. It is pure.
//
// When more is due than can be done, running the earliest due first makes
// everything late: each item waits until its time is nearly over, and the first
// peak of online work that takes its seat costs it the rest. So items that can
// still be done in time go first, the earliest due first, and those that are late
// anyway get what is left.
package schedule

import (
	"cmp"
	"time"
)

// Item is what decides the place of an open item.
type Item struct {
	Due   time.Time
	Left  time.Duration // it still has to run, as estimated
	Begun bool
}

// margin is what an item that has not begun needs beyond its own time: items that run
// have to leave in peaks of online work, which last seconds.
const margin = 2 * time.Second

// yieldLast is added to the due time of late items where seats are asked back:
// the latest due give theirs up first.
const yieldLast = time.Hour

// Feasible reports whether an item can still be done in time.
func (i Item) Feasible(now time.Time) bool {
	need := i.Left
	if !i.Begun {
		need += margin
	}
	return !now.Add(need).After(i.Due)
}

// YieldRank returns the due time by which an agent decides whose seat to ask
// back.
func (i Item) YieldRank(now time.Time) time.Time {
	if i.Feasible(now) {
		return i.Due
	}
	return i.Due.Add(yieldLast)
}

// Compare orders items: negative when a goes first.
func Compare(now time.Time, a, b Item) int {
	fa, fb := a.Feasible(now), b.Feasible(now)
	if fa != fb {
		if fa {
			return -1
		}
		return 1
	}
	if !fa {
		// Late anyway: what is nearest to its end frees its seat soonest.
		return cmp.Compare(a.Left, b.Left)
	}
	return a.Due.Compare(b.Due)
}

// Pace learns how long items run. It is not safe for concurrent use.
type Pace struct {
	events float64       // of a whole item
	each   time.Duration // for one event
}

// First guesses, until items have run: an item of 200 events, each of which takes
// seven steps of an engine.
const (
	guessEvents = 200
	guessEach   = 22 * time.Millisecond
	// learn is the weight of a new value against what was known.
	learn = 0.1
	// leastRan is how long a run has to be to tell anything of its pace.
	leastRan = 200 * time.Millisecond
)

// NewPace returns a Pace with first guesses.
func NewPace() *Pace {
	return &Pace{events: guessEvents, each: guessEach}
}

// Whole takes the events of a finished item.
func (p *Pace) Whole(events uint64) {
	p.events += learn * (float64(events) - p.events)
}

// Ran takes a run of some events.
func (p *Pace) Ran(events uint64, took time.Duration) {
	if events == 0 || took < leastRan {
		return
	}
	p.each += time.Duration(learn * float64(took/time.Duration(events)-p.each))
}

// Left estimates how long an item still has to run after an event.
func (p *Pace) Left(last uint64) time.Duration {
	left := max(p.events-float64(last), 1)
	return time.Duration(left * float64(p.each))
}
