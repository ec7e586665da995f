package ratelimit

import (
	"math"
	"time"
)

// bucket is a token bucket. Its level never exceeds its depth, so over any time span it
// grants at most rate x span + depth. It is not safe for concurrent use.
type bucket struct {
	rate, depth  float64       // grants per second, grants
	level        float64       // grants available at updatedAt
	updatedAt    time.Duration // time of the last refill
	version      int64         // version of the limit
	actingSince  time.Duration // start of the ownership term that the bucket belongs to
	recentDenied float64       // denied grant requests, with a half-life of one second
}

// newBucket returns the bucket of a share for which the process has been acting since the
// given time. The bucket holds one grant at that time, so that callers can be served at
// once, and has refilled at its rate since then.
func newBucket(s Share, version int64, since, now time.Duration) *bucket {
	b := &bucket{rate: s.Rate, depth: s.Depth, version: version, actingSince: since, updatedAt: since, level: 1}
	b.fill(now)
	return b
}

// fill adds the grants that accrued since the last refill.
func (b *bucket) fill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	span := (now - b.updatedAt).Seconds()
	b.level = min(b.depth, b.level+b.rate*span)
	b.recentDenied *= math.Exp2(-span)
	b.updatedAt = now
}

// setLimit applies a newer version of the limit and ignores an older or equal one.
func (b *bucket) setLimit(s Share, version int64, now time.Duration) {
	if version <= b.version {
		return
	}
	b.fill(now)
	b.rate, b.depth, b.version = s.Rate, s.Depth, version
	b.level = min(b.level, b.depth)
}

// credit returns n unspent grants to the bucket, up to its depth.
func (b *bucket) credit(n int) {
	b.level = min(b.depth, b.level+float64(n))
}

// Bounds of the retry-after time of a denied request.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// take removes up to want grants from the bucket. If it grants none although some were
// wanted, it returns a retry-after time that grows with the number of recent denials, so
// that a workspace far over its limit causes few messages.
func (b *bucket) take(now time.Duration, want int) (granted int, retryAfter time.Duration) {
	b.fill(now)
	granted = min(want, int(b.level))
	b.level -= float64(granted)
	if granted > 0 || want == 0 {
		return granted, 0
	}
	b.recentDenied++
	if b.rate <= 0 {
		return 0, maxRetryAfter
	}
	missing := 1 - b.level + b.recentDenied
	retryAfter = time.Duration(missing / b.rate * float64(time.Second))
	return 0, min(max(retryAfter, minRetryAfter), maxRetryAfter)
}
