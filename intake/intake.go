// Package intake decides which callers' connections and requests a process holds. What all of them
// hold together is counted against the process's memory and descriptors before it is read. When
// that is used up, a request that lags behind makes room for others, the one that lags most first;
// if none does, the new one waits shortly or is refused. It does no I/O and reads no clock; times
// are monotonic.
package intake

import (
	"slices"
	"time"
)

// SmallBytes is the size in bytes up to which a request may use the memory that is kept free of
// large ones.
const SmallBytes = 64 << 10

// Bounds of decisions.
const (
	// smallShare is the fraction of the memory that large requests may not use.
	smallShare = 0.25
	// spareConnShare is the fraction of the connections that is kept free by closing others, so
	// that a new one need not wait until another has closed.
	spareConnShare = 1.0 / 16
	// minLag is the lag from which a request makes room for others. Links lose packets for less.
	minLag = 500 * time.Millisecond
	// usualRate is the rate in bytes per second at which a request does not lag.
	usualRate = 128 << 10
	// maxWait is how long a request waits for memory. Callers try elsewhere after one second.
	maxWait = 700 * time.Millisecond
	// maxWaiting bounds the requests that wait, since the system holds bytes that they have sent.
	maxWaiting = 256
	// maxPause is the time between two calls of Expire from which this process was held up. What
	// callers sent meanwhile has not been read.
	maxPause = 4 * time.Second
)

// Limits are the bounds of a Pool.
type Limits struct {
	Bytes int64 // held by all connections together
	Conns int   // open connections
	// ConnBytes is what an open connection holds: its stack, and buffers that suffice for a usual
	// header.
	ConnBytes int64
}

// Timeouts bound how long callers may take; 0 sets no bound.
type Timeouts struct {
	Header time.Duration // from the start of a connection or request to the end of its header
	Stall  time.Duration // between two parts of a request
	Idle   time.Duration // between two requests
}

// ID identifies an open connection.
type ID uint64

// phase is what a connection is doing.
type phase int

const (
	receivingHeader phase = iota // from the start of the connection or the first byte of a request
	receivingBody
	serving // the whole request has been received
	idle    // between two requests
)

// Reason says why a connection is closed or a request refused.
type Reason string

// The reasons.
const (
	NoMemory      Reason = "no_memory"      // others' requests hold the memory
	MadeRoom      Reason = "made_room"      // it lagged while others needed memory or a connection
	HeaderTimeout Reason = "header_timeout" // its header took too long
	Stalled       Reason = "stalled"        // a part of its request took too long
	PastDeadline  Reason = "past_deadline"  // its body was not complete in the request's time
	IdleTimeout   Reason = "idle_timeout"   // no further request came
)

// Outcome is the answer to a reservation.
type Outcome int

// The outcomes.
const (
	Granted  Outcome = iota
	Waiting          // a Decision follows
	Refused          // too much is held by others
	TooLarge         // it exceeds what all may hold together
)

// Decision concerns a connection other than the one that asked, or one that was waiting.
type Decision struct {
	ID ID
	// Granted says that the memory that the connection was waiting for is reserved. Otherwise its
	// request ends for Reason, and Evicted says whether the connection has to close.
	Granted bool
	Evicted bool
	Reason  Reason
}

// conn is an open connection.
type conn struct {
	id        ID
	phase     phase
	held      int64         // bytes beyond Limits.ConnBytes
	since     time.Duration // start of the phase
	lastByte  time.Duration
	lag       time.Duration // at lagAt; how far the request is behind one at usualRate
	lagAt     time.Duration
	deadline  time.Duration // of the body; 0 for none
	wants     int64         // bytes that it waits for
	waitsFrom time.Duration
	evicted   bool // it has to close; its memory is not counted any more
	places    [rankingKinds]int
}

// Pool is the state of all connections. It is not safe for concurrent use.
type Pool struct {
	limits    Limits
	timeouts  Timeouts
	conns     map[ID]*conn
	used      int64
	rankings  [rankingKinds]ranking
	waiting   []ID // in order of arrival
	decisions []Decision
	expiredAt time.Duration
}

// New returns a Pool without connections.
func New(limits Limits) *Pool {
	p := &Pool{limits: limits, conns: make(map[ID]*conn)}
	for kind := range rankingKinds {
		p.rankings[kind].kind = kind
	}
	return p
}

// changed updates the rankings after a connection has changed.
func (p *Pool) changed(c *conn) {
	for kind := range p.rankings {
		p.rankings[kind].update(c)
	}
}

// SetTimeouts sets the timeouts of all connections.
func (p *Pool) SetTimeouts(t Timeouts) { p.timeouts = t }

// Usage returns the bytes that are reserved and the number of open connections.
func (p *Pool) Usage() (bytes int64, conns int) { return p.used, len(p.conns) }

// IsWaiting reports whether any request waits for memory.
func (p *Pool) IsWaiting() bool { return len(p.waiting) > 0 }

// TakeDecisions returns the decisions since the last call.
func (p *Pool) TakeDecisions() []Decision {
	d := p.decisions
	p.decisions = nil
	return d
}

// Open adds a connection. It returns false if the connection has to be closed unread.
func (p *Pool) Open(now time.Duration, id ID) bool {
	if len(p.conns) >= p.usualConns() {
		if v := p.victim(now, id, false); v != nil {
			p.evict(v, MadeRoom)
		}
	}
	if len(p.conns) >= p.limits.Conns {
		return false // the evicted one has not closed yet
	}
	if !p.makeRoom(now, id, p.limits.ConnBytes, false) {
		return false
	}
	if len(p.conns) == 0 {
		p.expiredAt = now
	}
	p.used += p.limits.ConnBytes
	c := &conn{id: id, since: now, lastByte: now, lagAt: now}
	for kind := range c.places {
		c.places[kind] = noPlace
	}
	p.conns[id] = c
	p.changed(c)
	return true
}

// usualConns returns the number of connections from which others are closed for a new one.
func (p *Pool) usualConns() int {
	return p.limits.Conns - int(spareConnShare*float64(p.limits.Conns))
}

// Received records that n bytes have been read. The first bytes after a request begin the next.
func (p *Pool) Received(now time.Duration, id ID, n int) {
	c := p.conns[id]
	if c == nil {
		return
	}
	if c.phase == idle {
		c.phase, c.since, c.lag, c.lagAt = receivingHeader, now, 0, now
	}
	c.lag = max(0, c.lagNow(now)-time.Duration(float64(n)/usualRate*float64(time.Second)))
	c.lagAt, c.lastByte = now, now
	p.changed(c)
}

// lagNow returns how far a request is behind one that arrives at usualRate. Time in which it waits
// for memory does not count.
func (c *conn) lagNow(now time.Duration) time.Duration {
	if c.wants > 0 {
		return c.lag
	}
	return c.lag + now - c.lagAt
}

// Reserve reserves n bytes for what a connection is about to read or decode.
func (p *Pool) Reserve(now time.Duration, id ID, n int64) Outcome {
	c := p.conns[id]
	if c == nil || c.evicted {
		return Refused
	}
	large := c.held+n > SmallBytes
	if p.limits.ConnBytes+c.held+n > p.capacity(large) {
		return TooLarge
	}
	if (!large || !p.largeWaits()) && p.makeRoom(now, id, n, large) {
		p.grant(c, n)
		return Granted
	}
	if len(p.waiting) >= maxWaiting {
		return Refused
	}
	c.lag = c.lagNow(now)
	c.wants, c.waitsFrom = n, now
	p.waiting = append(p.waiting, id)
	p.changed(c)
	return Waiting
}

func (p *Pool) grant(c *conn, n int64) {
	c.held += n
	p.used += n
	p.changed(c)
}

// Release gives n reserved bytes back.
func (p *Pool) Release(now time.Duration, id ID, n int64) {
	c := p.conns[id]
	if c == nil || c.evicted {
		return
	}
	c.held -= n
	p.used -= n
	p.changed(c)
	p.grantWaiting(now)
}

// capacity returns the bytes that may be reserved at most if one more request is granted.
func (p *Pool) capacity(large bool) int64 {
	if large {
		return p.limits.Bytes - int64(smallShare*float64(p.limits.Bytes))
	}
	return p.limits.Bytes
}

// largeWaits reports whether a large request waits, before which no later one is served.
func (p *Pool) largeWaits() bool {
	return slices.ContainsFunc(p.waiting, func(id ID) bool { return p.conns[id].isLarge() })
}

func (c *conn) isLarge() bool { return c.held+c.wants > SmallBytes }

// makeRoom reports whether n more bytes may be reserved. It evicts connections if that helps.
func (p *Pool) makeRoom(now time.Duration, id ID, n int64, large bool) bool {
	for p.used+n > p.capacity(large) {
		v := p.victim(now, id, large)
		if v == nil {
			return false
		}
		p.evict(v, MadeRoom)
	}
	return true
}

// victim returns the connection that makes room for connection id, nil if none does: the request that
// lags most, or, where none lags, the connection that has been idle for the longest time. Connections
// that hold no memory of a request do not make room for large ones, which would end many.
func (p *Pool) victim(now time.Duration, id ID, large bool) *conn {
	kinds := []rankingKind{lagging, idling}
	if large {
		kinds = []rankingKind{laggingHolders}
	}
	for _, kind := range kinds {
		if c := p.rankings[kind].first(id); c != nil && now-kind.rank(c) > minLag {
			return c
		}
	}
	return nil
}

// evict ends a connection. Its memory counts as free at once: its reader is woken and drops it.
func (p *Pool) evict(c *conn, why Reason) {
	c.evicted = true
	p.used -= p.limits.ConnBytes + c.held
	c.held = 0
	p.stopWaiting(c)
	p.changed(c)
	p.decisions = append(p.decisions, Decision{ID: c.id, Evicted: true, Reason: why})
}

// stopWaiting ends a wait. The time that it took does not count as lag.
func (p *Pool) stopWaiting(c *conn) {
	if c.wants > 0 {
		c.wants = 0
		p.waiting = slices.DeleteFunc(p.waiting, func(other ID) bool { return other == c.id })
	}
}

// HeaderEnded records that the header of a request is complete and its body follows, until deadline
// at the latest; 0 sets no bound.
func (p *Pool) HeaderEnded(now time.Duration, id ID, deadline time.Duration) {
	if c := p.conns[id]; c != nil && c.phase != serving {
		c.phase, c.since, c.lastByte, c.deadline = receivingBody, now, now, deadline
		p.changed(c)
	}
}

// Serve records that a request is complete. It returns false if the connection was evicted before.
func (p *Pool) Serve(now time.Duration, id ID) bool {
	c := p.conns[id]
	if c == nil || c.evicted {
		return false
	}
	c.phase, c.since, c.deadline = serving, now, 0
	p.changed(c)
	return true
}

// Finish records that the response to a request has ended.
func (p *Pool) Finish(now time.Duration, id ID) {
	c := p.conns[id]
	if c == nil || c.evicted {
		return
	}
	p.stopWaiting(c)
	p.used -= c.held
	c.phase, c.since, c.held, c.lag, c.lagAt, c.deadline = idle, now, 0, 0, now, 0
	p.changed(c)
	p.grantWaiting(now)
}

// Close removes a connection.
func (p *Pool) Close(now time.Duration, id ID) {
	c := p.conns[id]
	if c == nil {
		return
	}
	p.stopWaiting(c)
	if !c.evicted {
		p.used -= p.limits.ConnBytes + c.held
	}
	c.evicted = true
	p.changed(c)
	delete(p.conns, id)
	p.grantWaiting(now)
}

// CancelWait ends the wait of a connection whose request has ended otherwise.
func (p *Pool) CancelWait(now time.Duration, id ID) {
	if c := p.conns[id]; c != nil {
		p.stopWaiting(c)
		c.lagAt = now
		p.changed(c)
	}
}

// grantWaiting serves those who wait, small requests first, in order of arrival.
func (p *Pool) grantWaiting(now time.Duration) {
	if len(p.waiting) == 0 {
		return
	}
	for _, large := range []bool{false, true} {
		for _, id := range slices.Clone(p.waiting) {
			c := p.conns[id]
			if c.isLarge() != large {
				continue
			}
			if !p.makeRoom(now, id, c.wants, large) {
				break
			}
			n := c.wants
			p.stopWaiting(c)
			c.lagAt, c.lastByte = now, now
			p.grant(c, n)
			p.decisions = append(p.decisions, Decision{ID: id, Granted: true})
		}
	}
}

// Expire ends what takes too long, and serves those who wait. It has to be called about every
// second while connections are open, and more often while any waits.
func (p *Pool) Expire(now time.Duration) {
	if pause := now - p.expiredAt; pause > maxPause {
		for _, c := range p.conns {
			c.since, c.lastByte = min(c.since+pause, now), min(c.lastByte+pause, now)
			c.lagAt, c.waitsFrom = now, now
			p.changed(c)
		}
	}
	p.expiredAt = now
	for _, c := range p.conns {
		if why, ok := p.overdue(now, c); ok {
			p.evict(c, why)
		}
	}
	for _, id := range slices.Clone(p.waiting) {
		c := p.conns[id]
		if now-c.waitsFrom >= maxWait {
			p.stopWaiting(c)
			c.lagAt = now
			p.changed(c)
			p.decisions = append(p.decisions, Decision{ID: id, Reason: NoMemory})
		}
	}
	p.grantWaiting(now)
}

// overdue reports whether a connection has used up its time, and for what.
func (p *Pool) overdue(now time.Duration, c *conn) (Reason, bool) {
	over := func(since, bound time.Duration) bool { return bound > 0 && now-since >= bound }
	switch {
	case c.evicted || c.wants > 0:
	case c.phase == receivingHeader && over(c.since, p.timeouts.Header):
		return HeaderTimeout, true
	case (c.phase == receivingHeader || c.phase == receivingBody) && over(c.lastByte, p.timeouts.Stall):
		return Stalled, true
	case c.phase == receivingBody && c.deadline > 0 && now >= c.deadline:
		return PastDeadline, true
	case c.phase == idle && over(c.since, p.timeouts.Idle):
		return IdleTimeout, true
	}
	return "", false
}
