package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ProbeInterval is the probe interval of the followers on which the operators' bounds depend: a
// target that leaves just after an outage has to be told apart from one whose registration
// expired in it.
const ProbeInterval = 500 * time.Millisecond

// minRetryDelay and maxRetryDelay bound the exponential back-off after failed probes.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

func nextRetryDelay(d time.Duration) time.Duration {
	return min(2*d, maxRetryDelay)
}

// errProbeOverdue reports that a probe has not responded when the next one is due.
var errProbeOverdue = errors.Mark(errors.New("no response to a probe"), ErrUnavailable)

// prober makes reads that do not wait for records, called probes, after a read has failed.
type prober struct {
	follower *Follower
	results  chan error
	inFlight int
	retry    <-chan time.Time // receives when the next probe is due after failures
	overdue  <-chan time.Time // receives when the latest probe should have responded; nil if that is not checked
	// retryDelay is the delay before the next probe if all that are in flight have failed.
	retryDelay time.Duration
}

// waitForResponse probes the partition after a failed read until a probe succeeds or ctx is
// cancelled. A read that waits for records may have failed because of its connection alone, so
// only a probe that fails or is overdue shows an outage.
//
// The first probe starts after retryDelay. The delay for the next failure is returned: a store
// that is overloaded may answer probes and refuse the reads between them.
func (f *Follower) waitForResponse(ctx context.Context, retryDelay time.Duration) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &prober{follower: f, results: make(chan error), retry: time.After(retryDelay), retryDelay: nextRetryDelay(retryDelay)}
	p.run(ctx)
	return p.retryDelay
}

// probeBeside probes the partition while a read is overdue until the read or a probe succeeds or
// ctx is cancelled. The first probe starts at once.
func (f *Follower) probeBeside(ctx context.Context, read <-chan readResult) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &prober{follower: f, results: make(chan error), retryDelay: minRetryDelay, inFlight: 1}
	go func() { p.report(ctx, (<-read).err) }()
	p.start(ctx)
	p.run(ctx)
}

// run probes until a probe succeeds or ctx is cancelled. It reports the outage that it notices.
func (p *prober) run(ctx context.Context) {
	began, inOutage := time.Now(), false
	for {
		succeeded, err := p.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case succeeded:
			if inOutage {
				p.follower.cfg.OnRecovery(time.Since(began))
			}
			return
		case err != nil && !inOutage:
			inOutage = true
			p.follower.cfg.OnFailure(err)
		}
	}
}

// next waits for the next event: a probe is due, is overdue or has ended. It reports whether a
// probe has succeeded, and returns an error if one has failed or is overdue.
func (p *prober) next(ctx context.Context) (succeeded bool, err error) {
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-p.retry:
		p.start(ctx)
		return false, nil
	case <-p.overdue:
		if p.inFlight == 0 {
			return false, nil // it has failed; the retry follows
		}
		p.start(ctx)
		return false, errProbeOverdue
	case err := <-p.results:
		p.inFlight--
		if err != nil && p.inFlight == 0 {
			p.retry = time.After(p.retryDelay)
			p.retryDelay = nextRetryDelay(p.retryDelay)
		}
		return err == nil, err
	}
}

// start starts a probe.
func (p *prober) start(ctx context.Context) {
	p.inFlight++
	go func() {
		_, err := p.follower.readOnce(ctx, 0)
		p.report(ctx, err)
	}()
	if interval := p.follower.cfg.ProbeInterval; interval > 0 {
		p.overdue = time.After(interval)
	}
}

// report passes the result of a read to next.
func (p *prober) report(ctx context.Context, err error) {
	select {
	case p.results <- err:
	case <-ctx.Done():
	}
}
