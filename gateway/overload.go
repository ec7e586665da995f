package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"pumiceford/balance"
)

// Limits under overload.
const (
	// waitShare is the part of the aim for a first event that a request may be estimated
	// to wait for a slot when it comes first. All that wait longer come late, and make
	// those behind them late as well.
	waitShare = 0.4
	// backLeast and backMost are the parts of its time left after which a caller that is
	// turned away is told to come back. Spread out, so that those of one burst do not
	// come back as the next; at least two thirds of the time are left to serve it then.
	backLeast = 1.0 / 6
	backMost  = 1.0 / 3
	// backUnknown is when to come back for a caller that does not tell its time.
	backUnknown = 300 * time.Millisecond
	// returningBelow is the part of the usual time below which a caller is taken for one
	// that has come before.
	returningBelow = 0.9
	// usualFor is how long the longest time that a caller had counts as the usual one.
	usualFor = 10 * time.Second
)

// fits reports whether waiting at the chosen target is still useful. A request that was
// sent before is not turned away any more: it may have been run. A caller that was
// turned away once waits in any queue that is useful at all, where others are turned
// away; so does one that does not tell its time.
func (s *serving) fits(c balance.Choice) bool {
	switch {
	case s.runs > 0:
		return true
	case s.returning || !s.timed || s.route.FirstWithin <= 0:
		return c.Useful()
	}
	return c.Within(time.Duration(waitShare * float64(s.route.FirstWithin)))
}

// retryAfter returns when a caller that is turned away shall come back.
func (s *serving) retryAfter() time.Duration {
	if !s.timed {
		return backUnknown
	}
	share := backLeast + (backMost-backLeast)*rand.Float64()
	return time.Duration(share * float64(time.Until(s.req.Deadline)))
}

// noteHeld learns how long a request holds its slot from those that had one at once.
func (s *serving) noteHeld(now time.Time) {
	if s.outcome != outcomeServed || s.sends != 1 || s.choice.Wait > 0 {
		return
	}
	s.g.view.Table(func(t *balance.Table) { t.NoteHold(s.service, now.Sub(s.sentAt)) })
}

// budgets knows the time that callers of each route usually have, which tells those
// that come for the first time from those that were turned away: the time left of
// these is shorter.
type budgets struct {
	mu     sync.Mutex
	routes map[string]*budget
}

// budget is the longest time that a caller had in this span and the one before.
type budget struct {
	since     time.Time
	now, past time.Duration
}

func newBudgets() *budgets {
	return &budgets{routes: make(map[string]*budget)}
}

// returning notes the time that a caller of a route has left, and reports whether it
// has come before.
func (b *budgets) returning(now time.Time, route string, left time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.routes[route]
	if u == nil {
		b.forget(now)
		u = &budget{since: now}
		b.routes[route] = u
	}
	if now.Sub(u.since) > usualFor {
		u.since, u.past, u.now = now, u.now, 0
	}
	u.now = max(u.now, left)
	return float64(left) < returningBelow*float64(max(u.now, u.past))
}

// forget drops the routes that nobody has asked for in two spans: routes come and go
// with the configuration. b.mu is held.
func (b *budgets) forget(now time.Time) {
	for route, u := range b.routes {
		if now.Sub(u.since) > 2*usualFor {
			delete(b.routes, route)
		}
	}
}
