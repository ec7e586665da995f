package jobstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// health counts consecutive failures like a circuit breaker, so that a job does not wait
// again for a partition that an earlier job found unavailable. It is safe for concurrent
// use.
type health struct {
	mu           sync.Mutex
	failures     int       // consecutive failures
	firstFailure time.Time // the first of the consecutive failures
	lastFailure  time.Time
}

// record records the outcome of an attempt.
func (h *health) record(now time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.failures = 0
		return
	}
	if h.failures == 0 {
		h.firstFailure = now
	}
	h.failures++
	h.lastFailure = now
}

// expire resets the count if the last failure is more than maxGap ago: later failures
// belong to another outage.
func (h *health) expire(now time.Time, maxGap time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastFailure) > maxGap {
		h.failures = 0
	}
}

// unavailable reports whether at least threshold attempts in a row have failed, the last
// one less than backoff ago, with no response since. After backoff it reports false, so
// that a caller tries again.
func (h *health) unavailable(now time.Time, threshold int, backoff time.Duration, lastResponse time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= threshold && now.Sub(h.lastFailure) < backoff && lastResponse.Before(h.lastFailure)
}

// retryAfter returns how long a caller should wait before a retry. The wait grows with
// the age of the outage, since an outage that has lasted for some time tends to last as
// long again. Jitter keeps callers that were refused together from retrying together.
func (h *health) retryAfter(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := minRetryAfter
	if h.failures > 0 {
		wait = min(max(now.Sub(h.firstFailure)/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	}
	return time.Duration(float64(wait) * (1 - retryAfterJitter + 2*retryAfterJitter*rand.Float64()))
}

// Parameters of retryAfter.
const (
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is a quarter of the 4 s for which a caller retries.
	maxRetryAfter = time.Second
	// retryAfterDivisor is the age of the outage divided by the wait.
	retryAfterDivisor = 3
	// retryAfterJitter is the maximum deviation as a fraction of the wait.
	retryAfterJitter = 0.25
)
