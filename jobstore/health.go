package jobstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// health is what tries to write showed. A job that finds its partition away must
// not wait for what an earlier one has found out already.
type health struct {
	mu     sync.Mutex
	fails  int       // in a row
	since  time.Time // the first of these
	failed time.Time // the last
}

// note takes the end of a try.
func (h *health) note(now time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.fails = 0
		return
	}
	if h.fails == 0 {
		h.since = now
	}
	h.fails++
	h.failed = now
}

// begin forgets failures whose last one is longer ago than rest: those that follow are of
// another outage.
func (h *health) begin(now time.Time, rest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.failed) > rest {
		h.fails = 0
	}
}

// away reports whether tries fail, many of them in a row, the last one less than
// rest ago and no sign of life seen since. After that one more try is worth while.
func (h *health) away(now time.Time, many int, rest time.Duration, seen time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fails >= many && now.Sub(h.failed) < rest && seen.Before(h.failed)
}

// comeBack returns when it is worth while to come back: an outage that has lasted
// for a while will last as long again. Callers are spread, so that those who were
// refused together do not come back together.
func (h *health) comeBack(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := comeBackFirst
	if h.fails > 0 {
		wait = min(max(now.Sub(h.since)/comeBackPart, comeBackFirst), comeBackMost)
	}
	return time.Duration(float64(wait) * (1 - comeBackSpread + 2*comeBackSpread*rand.Float64()))
}

// Times of coming back.
const (
	comeBackFirst = 300 * time.Millisecond
	// comeBackMost is a quarter of the four seconds that a caller tries for.
	comeBackMost   = time.Second
	comeBackPart   = 3
	comeBackSpread = 0.25
)
