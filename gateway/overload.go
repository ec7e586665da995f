package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"pumiceford/balance"
	"pumiceford/waitroom"
)

// Limits of admission under overload.
const (
	// maxWaitShare is the fraction of the route's objective for the first event that a
	// first attempt may be estimated to wait for a slot. A request that waits longer
	// misses the objective and makes those queued behind it miss theirs.
	maxWaitShare = 0.4
	// minRetryAfterShare and maxRetryAfterShare bound the retry-after of a refused caller,
	// as fractions of the time left until its deadline. The value is random, so that the
	// callers of one burst do not return as the next. It is late, so that most return after
	// the peak; at least two thirds of the time are left to serve the retry.
	minRetryAfterShare = 1.0 / 4
	maxRetryAfterShare = 1.0 / 3
	// retryAfterNoDeadline is the retry-after of a caller that sends no deadline.
	retryAfterNoDeadline = 300 * time.Millisecond
	// retryTimeoutShare is the fraction of the longest recent timeout on a route below which
	// a request counts as a retry.
	retryTimeoutShare = 0.9
	// timeoutWindowLength is the length of a window in which the longest timeout is tracked.
	timeoutWindowLength = 10 * time.Second
)

// admissible reports whether waiting at the chosen target is still useful. A request that
// may already have been run is always admitted. A retry may wait in any queue that is useful at
// all, where first attempts are refused; so may the rest of a stream that has begun, a request
// without a deadline, and any request on a route without an objective for the first event.
func (s *requestState) admissible(c balance.Choice) bool {
	switch {
	case s.possibleRuns > 0:
		return true
	case s.isRetry || s.continues != nil || !s.hasDeadline || s.route.FirstEventWithin <= 0:
		return c.QueueBelowLimit()
	}
	full := time.Duration(maxWaitShare * float64(s.route.FirstEventWithin))
	return c.FreeWithin(waitroom.Allowance(full, s.standing))
}

// refuseOverload refuses a request that would have to wait too long in the best queue.
func (s *requestState) refuseOverload(queue balance.Choice) {
	s.choice = queue
	if s.isRetry {
		s.g.metrics.Count("refused_again")
	} else {
		s.g.metrics.Count("refused_first")
	}
	s.fail(Overload, s.retryAfter())
}

// retryAfter returns how long a refused caller should wait before it retries.
func (s *requestState) retryAfter() time.Duration {
	if !s.hasDeadline {
		return retryAfterNoDeadline
	}
	fraction := minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*rand.Float64()
	return time.Duration(fraction * float64(time.Until(s.req.Deadline)))
}

// observeHoldTime records how long the request held its slot. Only requests that got a slot
// at once, at the first target, are suitable.
func (s *requestState) observeHoldTime(now time.Time) {
	if s.outcome != outcomeServed || s.sends != 1 || s.choice.Wait > 0 {
		return
	}
	s.g.view.Estimates().ObserveRequest(s.service, s.req.Work, s.choice.Pace, now.Sub(s.sentAt))
	if s.attemptEvents > 0 {
		s.g.view.Estimates().ObserveStream(s.service, s.req.Work, s.choice.Pace, s.firstResponseAt.Sub(s.sentAt), s.attemptEvents, now.Sub(s.firstResponseAt))
	}
}

// timeoutTracker tracks the longest timeout that callers of each route send. It tells first
// attempts from retries: a caller that was refused before has less time left. It is safe for
// concurrent use.
type timeoutTracker struct {
	mu     sync.Mutex
	routes map[string]*timeoutWindow // by route name
}

// timeoutWindow holds the longest timeout of a route in the current window and in the one
// before it.
type timeoutWindow struct {
	start             time.Time
	current, previous time.Duration
}

func newTimeoutTracker() *timeoutTracker {
	return &timeoutTracker{routes: make(map[string]*timeoutWindow)}
}

// isRetry records the time that a caller of a route has left, and reports whether the request
// counts as a retry.
func (t *timeoutTracker) isRetry(now time.Time, route string, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.routes[route]
	if w == nil {
		t.evictIdle(now)
		w = &timeoutWindow{start: now}
		t.routes[route] = w
	}
	if now.Sub(w.start) > timeoutWindowLength {
		w.start, w.previous, w.current = now, w.current, 0
	}
	w.current = max(w.current, left)
	return float64(left) < retryTimeoutShare*float64(max(w.current, w.previous))
}

// evictIdle drops the routes without requests in two windows: configuration changes add
// and remove routes. The caller holds t.mu.
func (t *timeoutTracker) evictIdle(now time.Time) {
	for route, w := range t.routes {
		if now.Sub(w.start) > 2*timeoutWindowLength {
			delete(t.routes, route)
		}
	}
}
