package balance

import (
	"time"

	"pumiceford/targets"
)

// Limits for reports and ejections.
const (
	// maxReportAge is how long a reported load is valid. Agents repeat their reports much
	// more often, so an older report means that the agent has failed.
	maxReportAge = 1500 * time.Millisecond
	// minEjection and maxEjection bound how long a failed target gets no requests. A
	// target that stays down costs one request per maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectAfterFailures is the number of consecutive failed responses that eject a
	// target. A healthy target loses a response now and then, but rarely three in a row.
	ejectAfterFailures = 3
)

// Report is a target's load as reported by its agent.
type Report struct {
	Active      int // requests running, batch included
	Queued      int // requests waiting for a slot
	Batch       int // requests running for batch
	Slots       int
	FreeSeats   int // seats that batch work can get
	UrgentSeats int // further seats for items that are due soon
	// Silent says that the target does not respond to its agent.
	Unresponsive bool
	// TokenTime is the time that the target takes now for a token of each of its runs, and
	// UsualTokenTime the same averaged over a longer time; both are 0 if unknown.
	TokenTime, UsualTokenTime time.Duration
	// MemoryUsed and MemoryTotal are the target's memory in tokens that cannot be reclaimed,
	// and all of it; both are 0 if unknown.
	MemoryUsed, MemoryTotal int
	// FailingEntries is the number of entries that recently reported failures to the agent.
	FailingEntries int
}

// View is the state of one target as this process knows it.
type View struct {
	Instance targets.Instance

	report         Report
	reportedAt     time.Time
	onlineInFlight int  // online requests from this process
	onlineAtReport int  // value of onlineInFlight at the last report
	seatsTaken     int  // free seats used up for batch work since the last report
	reserveFailed  bool // the target had no slot to reserve since the last report
	conns          conns
	speed          targetPace

	suspectUntil time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// load estimates the requests at the target: the reported ones, corrected by the online
// requests that this process has started or seen end since the report.
func (v *View) load(now time.Time) int {
	if !v.reported(now) {
		return v.onlineInFlight
	}
	if v.reserveFailed {
		return max(v.report.Active+v.report.Queued+v.onlineInFlight-v.onlineAtReport, v.slots())
	}
	return max(v.report.Active+v.report.Queued+v.onlineInFlight-v.onlineAtReport, v.onlineInFlight)
}

func (v *View) reported(now time.Time) bool {
	return !v.reportedAt.IsZero() && now.Sub(v.reportedAt) <= maxReportAge
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

// Free estimates the number of unused slots. It is negative if requests are queued.
func (v *View) Free(now time.Time) int {
	return v.slots() - v.load(now)
}

// Waiting estimates the online requests that wait for a slot at the target.
func (v *View) Waiting(now time.Time) int {
	return max(0, v.load(now)-v.batch(now)-v.slots())
}

// tier groups targets by how an online request gets a slot there. Lower tiers are better.
type tier int

const (
	tierFree       tier = iota // a slot is free
	tierPreempt                // batch work must yield a slot first
	tierUnreported             // the load is unknown
	tierSuspect                // the target may not respond
	tierQueue                  // the request waits until another one ends
)

// freeSlotWeight is the weight of a free slot relative to a slot held by batch work, among
// targets with a free slot. Reports are slightly out of date, so two requests may arrive
// for one free slot. Where batch work can yield, the second waits only for that; elsewhere
// it waits for another request to end.
const freeSlotWeight = 2

// rank returns a target's tier and its weight within that tier.
//
// In a large fleet an entry gets reports of only some targets. Without a tier of their own,
// targets without a report look empty and draw nearly all requests of the entry; the
// requests wait there, and the busy targets are ejected as not responding. Targets without
// a report therefore get a request only if no reported target has room for it.
//
// Weights are squares, so that emptier targets are clearly preferred without all processes
// choosing the same one.
func (v *View) rank(now time.Time) (tier, float64) {
	load, slots, batch := v.load(now), v.slots(), v.batch(now)
	switch {
	case v.suspect(now) && load-batch < slots:
		return tierSuspect, square(slots - load + batch)
	case !v.reported(now) && load < slots:
		return tierUnreported, v.connWeight(now, square(slots-load))
	case load < slots:
		return tierFree, v.connWeight(now, square(freeSlotWeight*(slots-load)+batch))
	case batch > 0 && load-batch < slots:
		return tierPreempt, square(slots - load + batch)
	}
	return tierQueue, 1 / square(1+load-slots)
}

// conns estimates the connections between this process and a target.
type conns struct {
	inUse    int
	open     int       // in use or idle
	lastUsed time.Time // when a connection was last acquired or released
}

// Limits and weights for connections.
const (
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 8 * time.Second
	// idleConnWeight is the factor by which a target with an idle connection is preferred
	// within its tier. A new connection takes a round trip and holds a slot during that
	// time.
	idleConnWeight = 100
)

func (c *conns) acquire(now time.Time) {
	if now.Sub(c.lastUsed) > idleConnTimeout {
		c.open = c.inUse
	}
	c.inUse++
	c.open = max(c.open, c.inUse)
	c.lastUsed = now
}

func (c *conns) release(now time.Time, reusable bool) {
	c.inUse = max(c.inUse-1, 0)
	if !reusable {
		c.open = max(c.open-1, 0)
	}
	c.lastUsed = now
}

// idle reports whether there is an idle connection.
func (c *conns) idle(now time.Time) bool {
	return c.open > c.inUse && now.Sub(c.lastUsed) <= idleConnTimeout
}

// connWeight returns the weight w, raised if there is an idle connection to the target.
func (v *View) connWeight(now time.Time, w float64) float64 {
	if v.conns.idle(now) {
		return idleConnWeight * w
	}
	return w
}

func square(n int) float64 {
	return float64(n) * float64(n)
}

func (v *View) eligible(now time.Time, service string, tried map[string]bool, includeEjected bool) bool {
	if v.Instance.Service != service || v.Instance.Draining || v.Instance.Superseded || tried[v.Instance.ID] {
		return false
	}
	return includeEjected || !now.Before(v.ejectedUntil)
}
