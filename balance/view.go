package balance

import (
	"time"

	"pumiceford/targets"
)

// Limits and weights.
const (
	// reportFor is how long a reported load counts. Agents repeat themselves much
	// sooner, so an older word means that the agent is gone.
	reportFor = 1500 * time.Millisecond
	// ejectFirst and ejectMost bound how long a target that failed gets nothing.
	// A target that stays down costs one request each ejectMost.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// ejectAfter is how many spoiled or failed answers in a row eject a target.
	// Some answers of a sound target get lost; three in a row hardly do.
	ejectAfter = 3
)

// Report is a target's load as its agent told it.
type Report struct {
	Active int // requests running, batch included
	Queued int
	Batch  int // running for batch
	Slots  int
	Room   int // seats that batch work can have
	Spare  int // seats more for items that are due soon
	// Silent says that the target does not answer its agent.
	Silent bool
	// Witnesses is how many entries told the agent of failures there lately.
	Witnesses int
}

// View is what is known of one target.
type View struct {
	Instance targets.Instance

	report   Report
	heard    time.Time
	online   int  // own online requests there
	atReport int  // own online requests there when the report came
	seated   int  // slots not free any more since the report, for batch
	full     bool // it had no slot to reserve since the report
	conns    conns

	doubted   time.Time // it is doubted until then
	failures  int
	ejections int
	ejected   time.Time // gets nothing until then
}

// load estimates the requests at the target: the reported ones corrected by
// what this process sent or saw end since.
func (v *View) load(now time.Time) int {
	if !v.reported(now) {
		return v.online
	}
	if v.full {
		return max(v.report.Active+v.report.Queued+v.online-v.atReport, v.slots())
	}
	return max(v.report.Active+v.report.Queued+v.online-v.atReport, v.online)
}

func (v *View) reported(now time.Time) bool {
	return !v.heard.IsZero() && now.Sub(v.heard) <= reportFor
}

func (v *View) batch(now time.Time) int {
	if !v.reported(now) {
		return 0
	}
	return v.report.Batch
}

func (v *View) slots() int {
	return max(v.Instance.Slots, 1)
}

// Free estimates the slots that nothing uses.
func (v *View) Free(now time.Time) int {
	return v.slots() - v.load(now)
}

// Waiting estimates the online requests that wait for a slot there.
func (v *View) Waiting(now time.Time) int {
	return max(0, v.load(now)-v.batch(now)-v.slots())
}

// tier groups targets by how an online request would get a slot there.
type tier int

const (
	tierFree       tier = iota // a slot is free
	tierDisplace               // batch work has to leave one first
	tierUnreported             // its load is not known
	tierDoubt                  // it may not answer at all
	tierQueue                  // it would wait for another request to end
)

// freeCounts is how much more a free slot counts than one that batch work holds,
// among targets with a free slot. Reports are a little old, so two requests may come for
// one free slot: where batch work can leave, the second waits only for that, elsewhere
// for another request to end.
const freeCounts = 2

// place returns a target's tier and its weight among the others of that tier. In a
// large fleet the loads of some targets only are reported to an entry. The others looked
// empty and drew nearly all of its requests, which waited there, and the busy targets were
// ejected as silent. They get a request when no reported target has room for it.
//
// Weights are squares, so that the emptier target is clearly preferred and still
// not chosen by all processes at once.
func (v *View) place(now time.Time) (tier, float64) {
	load, slots, batch := v.load(now), v.slots(), v.batch(now)
	switch {
	case v.doubtful(now) && load-batch < slots:
		return tierDoubt, square(slots - load + batch)
	case !v.reported(now) && load < slots:
		return tierUnreported, v.weigh(now, square(slots-load))
	case load < slots:
		return tierFree, v.weigh(now, square(freeCounts*(slots-load)+batch))
	case batch > 0 && load-batch < slots:
		return tierDisplace, square(slots - load + batch)
	}
	return tierQueue, 1 / square(1+load-slots)
}

// conns estimates the connections that this process keeps to a target.
type conns struct {
	busy int       // in use
	open int       // in use or idle
	used time.Time // when one was last taken or given back
}

// Weights and times of connections.
const (
	// idleFor is how long an idle connection stays open.
	idleFor = 8 * time.Second
	// idleWeight is how much a target with an idle connection is preferred among
	// those that have a free slot. A new connection takes a round trip and holds a
	// slot for a while.
	idleWeight = 100
)

func (c *conns) take(now time.Time) {
	if now.Sub(c.used) > idleFor {
		c.open = c.busy
	}
	c.busy++
	c.open = max(c.open, c.busy)
	c.used = now
}

func (c *conns) give(now time.Time, reusable bool) {
	c.busy = max(c.busy-1, 0)
	if !reusable {
		c.open = max(c.open-1, 0)
	}
	c.used = now
}

// idle reports whether a connection is there that nothing uses.
func (c *conns) idle(now time.Time) bool {
	return c.open > c.busy && now.Sub(c.used) <= idleFor
}

// weigh returns the weight of a target among others of its tier.
func (v *View) weigh(now time.Time, w float64) float64 {
	if v.conns.idle(now) {
		return idleWeight * w
	}
	return w
}

func square(n int) float64 {
	return float64(n) * float64(n)
}

func (v *View) usable(now time.Time, service string, tried map[string]bool, ejected bool) bool {
	if v.Instance.Service != service || v.Instance.Draining || v.Instance.Superseded || tried[v.Instance.ID] {
		return false
	}
	return ejected || !now.Before(v.ejected)
}
