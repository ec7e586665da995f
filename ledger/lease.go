package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/infra"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/wire"
)

// owned reports whether this node owns the partition according to the records
// read so far. Owner.mu must be held.
func (o *Owner) owned() bool {
	return o.epoch != 0 && o.partition.Epoch() == o.epoch && o.partition.OwnedBy(o.inc)
}

// followInterval is how often an idle owner reads the stream to detect a takeover
// by another node. Until then agents refuse a superseded owner's grants by their
// epoch.
const followInterval = 2 * time.Second

// followStream reads the stream to its tail every followInterval, or when a
// caller asks for it, so that a superseded owner stops. It releases the
// partition when a drain is complete.
func (o *Owner) followStream(ctx context.Context) error {
	o.mu.Lock()
	due := time.Since(o.followedAt) >= followInterval || o.catchupRequested
	if due {
		o.followedAt = time.Now()
		o.catchupRequested = false
	}
	drained := o.draining && len(o.queuedWrites) == 0 && len(o.results) == 0
	o.mu.Unlock()
	if drained {
		return o.release(ctx)
	}
	if !due {
		return nil
	}
	start := time.Now()
	err := o.stream.ReadToTail(ctx)
	if err != nil && !errors.Is(err, infra.ErrUnavailable) {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.caughtUpAt = start
	}
	if !o.owned() {
		return errSuperseded
	}
	return nil
}

// readLeaseDuration is how long after reading the stream to its tail an owner
// answers from memory. An owner that took over without a release waits as long
// before its first answer, so that the answers of both never contradict each
// other, even when the previous owner was paused and resumes.
const readLeaseDuration = 500 * time.Millisecond

// readLeaseTimeout bounds the time that a request waits for the read lease.
const readLeaseTimeout = 2 * time.Second

// renewReadLease waits until the owner holds the read lease. An owner that was
// paused may be superseded without knowing it, and would report an old state of
// a job. While the log does not answer, the lease cannot be renewed, and callers
// get the last known state.
func (o *Owner) renewReadLease(ctx context.Context) error {
	until := time.Now().Add(readLeaseTimeout)
	for {
		o.mu.Lock()
		now := time.Now()
		fresh := now.Sub(o.caughtUpAt) <= readLeaseDuration && !now.Before(o.readsAllowedAt)
		o.catchupRequested = !fresh
		o.mu.Unlock()
		if fresh || (o.stream.Unavailable() && !now.Before(o.readsAllowedAt)) {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return notOwner()
		}
		o.wake()
		_ = wait.For(ctx, o.cfg.CommitEvery)
	}
}

// Release starts the planned handover of the partition. The owner grants nothing
// more, makes computed results durable, and appends a release record that lets
// the next owner start at once. It does not wait; see Done.
func (o *Owner) Release() {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
}

// release appends the release record and returns errReleased.
func (o *Owner) release(ctx context.Context) error {
	entry := &wire.Entry{Kind: &wire.Entry_Release{Release: &wire.Release{Owner: o.cfg.Node}}}
	if _, err := o.stream.Write(ctx, o.epoch, []*wire.Entry{entry}); err != nil {
		return err
	}
	o.log.Info("partition released", logging.F("partition", o.number))
	return errReleased
}
