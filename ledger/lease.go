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

// owned reports whether this node still owns the partition as far as it has read.
// Owner.mu must be held.
func (o *Owner) owned() bool {
	return o.epoch != 0 && o.part.Epoch() == o.epoch && o.part.OwnedBy(o.inc)
}

// followEvery is how often an idle owner looks for a takeover by another node.
// Agents refuse a superseded owner's grants meanwhile, by their epoch.
const followEvery = 2 * time.Second

// follow reads the stream now and then, so that a superseded owner notices.
func (o *Owner) follow(ctx context.Context) error {
	o.mu.Lock()
	due := time.Since(o.followTried) >= followEvery || o.askedFresh
	if due {
		o.followTried = time.Now()
		o.askedFresh = false
	}
	drained := o.draining && len(o.waiting) == 0 && len(o.results) == 0
	o.mu.Unlock()
	if drained {
		return o.release(ctx)
	}
	if !due {
		return nil
	}
	began := time.Now()
	err := o.stream.Catchup(ctx)
	if err != nil && !errors.Is(err, infra.ErrUnavailable) {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.followed = began
	}
	if !o.owned() {
		return errSuperseded
	}
	return nil
}

// freshFor is how long after reading the stream to its tail an owner answers
// from memory. It is the lease of its answers: an owner that took over from one
// that did not release answers nothing for as long, so that the two never
// contradict each other, also when the first was paused and resumes.
const freshFor = 500 * time.Millisecond

// freshPatience bounds the wait for such a read.
const freshPatience = 2 * time.Second

// freshen waits until the owner has read its stream lately. An owner that was
// paused may be superseded without knowing; its answers would show a job as it
// was before. While the log does not answer there is nothing to wait for, and
// the last known state is what callers get.
func (o *Owner) freshen(ctx context.Context) error {
	until := time.Now().Add(freshPatience)
	for {
		o.mu.Lock()
		now := time.Now()
		fresh := now.Sub(o.followed) <= freshFor && !now.Before(o.answersFrom)
		o.askedFresh = !fresh
		o.mu.Unlock()
		if fresh || (o.stream.Failing() && !now.Before(o.answersFrom)) {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return notOwner()
		}
		o.wake()
		_ = wait.For(ctx, o.cfg.CommitEvery)
	}
}

// Release hands the partition over on a planned stop: nothing new is granted,
// what was computed is made durable, and the release record lets the next owner
// start at once.
func (o *Owner) Release() {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
}

func (o *Owner) release(ctx context.Context) error {
	entry := &wire.Entry{Kind: &wire.Entry_Release{Release: &wire.Release{Owner: o.cfg.Node}}}
	if _, err := o.stream.Write(ctx, o.epoch, []*wire.Entry{entry}); err != nil {
		return err
	}
	o.log.Info("partition released", logging.F("partition", o.number))
	return errReleased
}
