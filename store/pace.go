package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Bounds of a Pace, in reads a second.
const (
	// maxReadRate lets a host read two dozen partitions for its callers, each four times a
	// second: results are told well within the second that callers expect.
	maxReadRate = 100
	// minReadRate still brings one partition up to date within its caller's half second.
	minReadRate = 5
	// readRateGrowth is what is added for each second without a refusal: from least to most
	// in ten seconds.
	readRateGrowth = 10
	// minBackoffInterval is the least time between two halvings. Reads that were under way
	// together are refused together, and say the same.
	minBackoffInterval = 500 * time.Millisecond
)

// Pace bounds the reads that a process makes for its callers beside its own duties. The
// store's rate is shared by all processes and none knows how many they are, so each one
// halves its own when the store turns it away, and raises it slowly otherwise. After an
// outage processes that all followed what callers asked for were turned away, and with
// them those that ran the jobs, for as long as they went on.
type Pace struct {
	limiter *rate.Limiter

	mu          sync.Mutex
	backedOffAt time.Time // when the rate was halved last
	adjustedAt  time.Time // when the rate was changed last
}

// NewPace returns a Pace at its highest rate.
func NewPace() *Pace {
	return &Pace{limiter: rate.NewLimiter(maxReadRate, maxReadRate/10)}
}

// Rate returns the reads a second that are let through now.
func (p *Pace) Rate() float64 {
	return float64(p.limiter.Limit())
}

// wait waits for a turn. Without one before ctx ends it fails at once: nothing was
// asked of the store then.
func (p *Pace) wait(ctx context.Context) error {
	if err := p.limiter.Wait(ctx); err != nil {
		return errors.Mark(err, ErrRefused)
	}
	return nil
}

// observe takes how a read ended.
func (p *Pace) observe(now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := float64(p.limiter.Limit())
	switch {
	case errors.Is(err, ErrRefused):
		if now.Sub(p.backedOffAt) < minBackoffInterval {
			return
		}
		p.backedOffAt = now
		limit = max(minReadRate, limit/2)
	case err == nil:
		limit = min(maxReadRate, limit+readRateGrowth*min(now.Sub(p.adjustedAt), time.Second).Seconds())
	default:
		return // no answer says nothing of the store's rate
	}
	p.adjustedAt = now
	p.limiter.SetLimitAt(now, rate.Limit(limit))
}

// Paced is a Log whose reads keep to a Pace while Urgent says no.
type Paced struct {
	Log
	Pace   *Pace
	Urgent func() bool
}

// Read implements Log.
func (l Paced) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	return limitReads(ctx, l, func() (Page, error) { return l.Log.Read(ctx, p, from, wait) })
}

// Newest implements Log.
func (l Paced) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	return limitReads(ctx, l, func() (Snapshot, error) { return l.Log.Newest(ctx, p, after) })
}

func limitReads[T any](ctx context.Context, l Paced, read func() (T, error)) (T, error) {
	if l.Urgent() {
		return read()
	}
	if err := l.Pace.wait(ctx); err != nil {
		var none T
		return none, err
	}
	got, err := read()
	l.Pace.observe(time.Now(), err)
	return got, err
}
