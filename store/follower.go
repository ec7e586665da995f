package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
)

// Sink receives the records of a followed partition, one call at a time and in
// their order.
type Sink interface {
	// Reset replaces all state by the newest records of all keys.
	Reset(recs []Record)
	// Apply takes records that came together, in their order.
	Apply(recs ...Record)
}

// FollowSettings shape a Follower.
type FollowSettings struct {
	// Wait is how long one read waits for records. A connection that has gone
	// silent is noticed that much later at most.
	Wait time.Duration
	// Pause is left between reads that return records, so that a busy partition
	// costs a bounded number of calls.
	Pause time.Duration
	// OnTrouble is told of the first read that fails, OnContact of the first that
	// succeeds after it.
	OnTrouble func(err error)
	OnContact func(away time.Duration)
	// Loads bounds the whole partitions that are read at a time; nil sets no bound.
	Loads Loads
	// Clock is a steady clock for Confirmed; nil where that is not used.
	Clock func() time.Duration
}

// Loads bounds how many whole partitions a process reads at a time. Many at once over a
// narrow link would all run into their timeouts and begin again.
type Loads chan struct{}

// NewLoads returns Loads that let n partitions be read at a time.
func NewLoads(n int) Loads {
	return make(Loads, n)
}

// acquire waits for a turn. The caller calls leave when it has read its partition.
func (l Loads) acquire(ctx context.Context) (leave func(), err error) {
	if l == nil {
		return func() {}, nil
	}
	select {
	case l <- struct{}{}:
		return func() { <-l }, nil
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrUnavailable)
	}
}

// Bounds of following.
const (
	// readTimeoutMargin is added to a read's wait before it counts as lost.
	readTimeoutMargin = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after failed reads.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// sharedLoadWait is how long a load that another caller has begun is waited for. It may
	// hang on a connection that has gone silent.
	sharedLoadWait = 500 * time.Millisecond
	// checkTimeout bounds one look at the end of a partition.
	checkTimeout = time.Second
)

// Follower keeps a Sink up to date with one partition.
type Follower struct {
	log       Log
	partition Partition
	cfg       FollowSettings

	mu         sync.Mutex
	sink       Sink
	loaded     bool
	loadsDone  int           // how often the whole partition was read
	loadSem    chan struct{} // one load of this partition at a time
	nextOffset int64         // offset of the next record to apply
	asOf       time.Time     // the state is known to be complete up to this moment
	// confirmed is when the last read that reached the end was begun, by set.Clock.
	confirmedAt  time.Duration
	hasConfirmed bool
	checkSem     chan struct{}
	changed      chan struct{} // closed and replaced at each change
}

// NewFollower returns a Follower. It reads nothing before Run or Catch.
func NewFollower(log Log, part Partition, sink Sink, set FollowSettings) *Follower {
	if set.OnTrouble == nil {
		set.OnTrouble = func(error) {}
	}
	if set.Clock == nil {
		set.Clock = func() time.Duration { return 0 }
	}
	if set.OnContact == nil {
		set.OnContact = func(time.Duration) {}
	}
	return &Follower{
		log: log, partition: part, sink: sink, cfg: set,
		checkSem: make(chan struct{}, 1),
		loadSem:  make(chan struct{}, 1),
		changed:  make(chan struct{}),
	}
}

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryDelay
	var since time.Time
	for ctx.Err() == nil {
		got, err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if since.IsZero() {
				since = time.Now()
				f.cfg.OnTrouble(err)
			}
			_ = wait.For(ctx, pause)
			pause = min(2*pause, maxRetryDelay)
			continue
		}
		if !since.IsZero() {
			f.cfg.OnContact(time.Since(since))
			since = time.Time{}
		}
		pause = minRetryDelay
		if got {
			_ = wait.For(ctx, f.cfg.Pause)
		}
	}
}

// readOnce makes one read. It reports whether records came.
func (f *Follower) readOnce(ctx context.Context) (bool, error) {
	f.mu.Lock()
	loaded, from := f.loaded, f.nextOffset
	f.mu.Unlock()
	if !loaded {
		return true, f.load(ctx)
	}
	return f.read(ctx, from, f.cfg.Wait)
}

// load reads the whole partition. Callers at the same time share one load: two
// of them would take twice the link for the same records.
func (f *Follower) load(ctx context.Context) error {
	before := f.loadCount()
	timer := time.NewTimer(sharedLoadWait)
	defer timer.Stop()
	select {
	case f.loadSem <- struct{}{}:
		defer func() { <-f.loadSem }()
	case <-timer.C:
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnavailable)
	}
	if f.loadCount() != before {
		return nil
	}
	leave, err := f.cfg.Loads.acquire(ctx)
	if err != nil {
		return err
	}
	defer leave()
	return f.loadNow(ctx)
}

func (f *Follower) loadCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loadsDone
}

func (f *Follower) loadNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+readTimeoutMargin)
	defer cancel()
	began, clock := time.Now(), f.cfg.Clock()
	snap, err := NewestAll(ctx, f.log, f.partition)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadsDone++
	if f.loaded && snap.End < f.nextOffset {
		return nil // it went on by reads meanwhile
	}
	f.sink.Reset(snap.Records)
	f.loaded, f.nextOffset = true, snap.End
	f.advanceAsOfLocked(began)
	f.confirmLocked(clock)
	f.notifyLocked()
	return nil
}

func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	began, clock := time.Now(), f.cfg.Clock()
	page, err := f.log.Read(ctx, f.partition, from, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		return false, f.load(ctx)
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(page.Records)
	switch {
	case len(page.Records) == 0:
		f.advanceAsOfLocked(began.Add(wait)) // the store waited that long in vain
	case f.nextOffset >= page.End:
		f.advanceAsOfLocked(began)
	}
	if f.nextOffset >= page.End {
		f.confirmLocked(clock)
	}
	return len(page.Records) > 0, nil
}

// applyLocked takes the records that were not applied yet. f.mu is held.
func (f *Follower) applyLocked(recs []Record) {
	var fresh []Record
	for _, r := range recs {
		if r.Offset != f.nextOffset {
			continue // applied by a read that ran beside this one
		}
		fresh = append(fresh, r)
		f.nextOffset = r.Offset + 1
	}
	if len(fresh) > 0 {
		f.sink.Apply(fresh...)
		f.notifyLocked()
	}
}

func (f *Follower) advanceAsOfLocked(at time.Time) {
	if at.After(f.asOf) {
		f.asOf = at
	}
}

func (f *Follower) confirmLocked(at time.Duration) {
	f.confirmedAt, f.hasConfirmed = max(f.confirmedAt, at), true
}

// Confirmed returns a moment, by the clock of the settings, at which the state held all
// that had been written. It counts from the begin of a read: a read that waits for
// records may miss one that is written meanwhile. It reports false before the first one.
func (f *Follower) Confirmed() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt, f.hasConfirmed
}

func (f *Follower) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Catch makes sure that the state is at most maxAge old, reading the partition's
// end when it may be older. Callers at the same time share one read.
func (f *Follower) Catch(ctx context.Context, maxAge time.Duration) error {
	oldest := time.Now().Add(-maxAge)
	return f.readToEndUnless(ctx, func() bool { return !f.AsOf().Before(oldest) })
}

// Confirm makes sure that Confirmed is at most maxAge ago, as Catch does for the state.
func (f *Follower) Confirm(ctx context.Context, maxAge time.Duration) error {
	oldest := f.cfg.Clock() - maxAge
	confirmed := func() bool {
		at, ok := f.Confirmed()
		return ok && at >= oldest
	}
	if err := f.readToEndUnless(ctx, confirmed); err != nil {
		return err
	}
	if !confirmed() {
		return errors.Mark(errUnconfirmed, ErrUnavailable)
	}
	return nil
}

// errUnconfirmed says that a read succeeded without showing the partition's end, as one
// that was shared with an earlier caller.
var errUnconfirmed = errors.New("partition's end was not read")

// readToEndUnless reads the partition's end unless enough reports that this is not needed.
func (f *Follower) readToEndUnless(ctx context.Context, enough func() bool) error {
	if enough() {
		return nil
	}
	select {
	case f.checkSem <- struct{}{}:
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnavailable)
	}
	defer func() { <-f.checkSem }()
	// The read that was waited for may have served this caller as well.
	if enough() {
		return nil
	}
	return f.readToEnd(ctx)
}

func (f *Follower) readToEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for {
		f.mu.Lock()
		loaded, from := f.loaded, f.nextOffset
		f.mu.Unlock()
		if !loaded {
			if err := f.load(ctx); err != nil {
				return err
			}
			continue // a load that was shared may have begun before this was asked
		}
		got, err := f.read(ctx, from, 0)
		if err != nil || !got {
			return err
		}
	}
}

// Look calls fn with the state locked, the offset at which the partition was
// seen to end, and a channel that is closed at the next change. It reports false
// without a call while nothing was loaded.
func (f *Follower) Look(fn func(end int64, changed <-chan struct{})) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return false
	}
	fn(f.nextOffset, f.changed)
	return true
}

// Appended takes records that an append put at an offset, without waiting for
// the read that will bring them.
func (f *Follower) Appended(recs []Record, at int64) {
	for i := range recs {
		recs[i].Offset = at + int64(i)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(recs)
}

// AsOf returns the moment up to which the state is known to be complete.
func (f *Follower) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}
