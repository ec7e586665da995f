// Package connlimit decides how many new connections an entry accepts. A balancer may hand most
// new connections to one entry. Once that has used up its processor, each further request makes
// all others late. Connections above what the processor bears are closed before anything is read
// from them, so their callers try again at other entries at once. It does no I/O and reads no
// clock.
package connlimit

import "time"

// Interval is the time between two observations.
const Interval = 250 * time.Millisecond

// Bounds of a limit.
const (
	// busyUse is the used fraction of the processor from which an entry is busy.
	busyUse = 0.9
	// busyAfter is the number of consecutive busy observations that begin a limit. A start and
	// the first requests of a burst take less.
	busyAfter = 4
	// drainShare and usualShare are the fractions of what the processor bears that are accepted
	// while it is busy, so that what has been accepted gets done, and while it is not.
	drainShare = 0.4
	usualShare = 0.75
	// endAfter is the number of consecutive observations without a closed connection that end a
	// limit.
	endAfter = 12
	// minPerSecond is the lowest limit in connections per second. It finds out when the cause of
	// the use is gone.
	minPerSecond = 2.0
	// burst is the time for which connections that were not used may be accepted later.
	burst = 250 * time.Millisecond
	// measurableUse is the use from which an observation shows what the processor bears, and
	// newest the weight of the newest one.
	measurableUse = 0.5
	newest        = 0.3
)

// Gate decides about each new connection. The zero Gate accepts all.
type Gate struct {
	busy     int     // consecutive busy observations
	limited  bool    // connections are counted against perSecond
	limit    float64 // connections per second
	bears    float64 // requests per second that the whole processor serves; 0 while unknown
	tokens   float64 // connections that may be accepted now
	filledAt time.Duration
	accepted int // since the last observation
	closed   int // since the last observation
	ended    int // requests, since the last observation
	quiet    int // consecutive observations without a closed connection
}

// Limit returns the limit in force in connections per second, and whether there is one.
func (g *Gate) Limit() (perSecond float64, limited bool) {
	return g.limit, g.limited
}

// Accept reports whether to accept a connection. The time is monotonic.
func (g *Gate) Accept(now time.Duration) bool {
	if g.limited {
		g.tokens = min(g.tokens+g.limit*(now-g.filledAt).Seconds(), max(g.limit*burst.Seconds(), 1))
		g.filledAt = now
		if g.tokens < 1 {
			g.closed++
			return false
		}
		g.tokens--
	}
	g.accepted++
	return true
}

// RequestEnded records the end of a request.
func (g *Gate) RequestEnded() {
	g.ended++
}

// Observe adds an observation, Interval after the last one: the used fraction of the processor
// since then. It reports whether a limit has begun or ended.
func (g *Gate) Observe(now time.Duration, use float64) (changed bool) {
	was := g.limited
	if use >= measurableUse && g.ended > 0 {
		bears := float64(g.ended) / Interval.Seconds() / use
		if g.bears > 0 {
			bears = newest*bears + (1-newest)*g.bears
		}
		g.bears = bears
	}
	g.quiet++
	if g.closed > 0 {
		g.quiet = 0
	}
	g.busy++
	if use < busyUse {
		g.busy = 0
	}
	switch {
	case g.limited && g.quiet >= endAfter:
		g.limited = false
	case !g.limited && g.busy >= busyAfter && g.accepted > 0 && g.bears > 0:
		g.limited, g.tokens, g.filledAt, g.quiet = true, 0, now, 0
	}
	share := usualShare
	if g.busy > 0 {
		share = drainShare
	}
	g.limit = max(share*g.bears, minPerSecond)
	g.accepted, g.closed, g.ended = 0, 0, 0
	return g.limited != was
}
