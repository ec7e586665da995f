package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Rate limits, in reads per second unless stated otherwise.
const (
	// maxReadRate lets a host read 24 partitions for its callers, each four times per
	// second, so that results arrive well within the one second that callers expect.
	maxReadRate = 100
	// minReadRate still brings one partition up to date within the half second that its
	// caller waits.
	minReadRate = 5
	// readRateGrowth is added to the rate for each second without a refusal, so that the
	// rate rises from its minimum to its maximum in about ten seconds.
	readRateGrowth = 10
	// minBackoffInterval is the shortest time between two halvings. Concurrent reads that
	// are refused together count as one sign of overload.
	minBackoffInterval = 500 * time.Millisecond
)

// ReadLimiter limits the rate of the reads that a process makes for its callers, apart from the
// reads it needs itself. All processes share the store's rate and none knows how many they
// are, so each process halves its own rate when the store refuses a read, and otherwise
// raises it slowly (additive increase, multiplicative decrease). Without this limit, reads
// for callers after an outage exceed the store's rate for as long as they continue, and the
// store also refuses the processes that run the jobs.
type ReadLimiter struct {
	limiter *rate.Limiter

	mu          sync.Mutex
	backedOffAt time.Time // time of the last halving
	adjustedAt  time.Time // time of the last rate change
}

// NewReadLimiter returns a limiter that starts at the maximum rate.
func NewReadLimiter() *ReadLimiter {
	return &ReadLimiter{limiter: rate.NewLimiter(maxReadRate, maxReadRate/10)}
}

// Rate returns the current limit in reads per second.
func (l *ReadLimiter) Rate() float64 {
	return float64(l.limiter.Limit())
}

// wait blocks until the rate limit permits a read. When that cannot happen before the
// deadline of ctx, it fails at once with ErrRefused, as no call was made to the store.
func (l *ReadLimiter) wait(ctx context.Context) error {
	if err := l.limiter.Wait(ctx); err != nil {
		return errors.Mark(err, ErrRefused)
	}
	return nil
}

// observe adjusts the rate by the result of a read.
func (l *ReadLimiter) observe(now time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := float64(l.limiter.Limit())
	switch {
	case errors.Is(err, ErrRefused):
		if now.Sub(l.backedOffAt) < minBackoffInterval {
			return
		}
		l.backedOffAt = now
		limit = max(minReadRate, limit/2)
	case err == nil:
		limit = min(maxReadRate, limit+readRateGrowth*min(now.Sub(l.adjustedAt), time.Second).Seconds())
	default:
		return // a missing response is no evidence about the store's rate
	}
	l.adjustedAt = now
	l.limiter.SetLimitAt(now, rate.Limit(limit))
}

// RateLimitedLog is a Log that limits the rate of its reads.
type RateLimitedLog struct {
	Log
	Limiter *ReadLimiter
	Exempt  func() bool // reads are not limited while it returns true
}

// Read implements Log.
func (l RateLimitedLog) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	return limitReads(ctx, l, func() (Page, error) { return l.Log.Read(ctx, p, from, wait) })
}

// Newest implements Log.
func (l RateLimitedLog) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	return limitReads(ctx, l, func() (Snapshot, error) { return l.Log.Newest(ctx, p, after) })
}

// limitReads makes a read, after waiting for the rate limit unless the log is exempt from it.
func limitReads[T any](ctx context.Context, l RateLimitedLog, read func() (T, error)) (T, error) {
	if l.Exempt() {
		return read()
	}
	if err := l.Limiter.wait(ctx); err != nil {
		var zero T
		return zero, err
	}
	result, err := read()
	l.Limiter.observe(time.Now(), err)
	return result, err
}
