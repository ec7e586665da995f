package store

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
)

// Sink receives the records of a followed partition. The follower makes one call at a
// time and delivers records in offset order.
type Sink interface {
	// Reset replaces the whole state with the newest record of each key.
	Reset(recs []Record)
	// Apply applies a batch of consecutive records.
	Apply(recs ...Record)
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Wait is how long one read waits for records. It bounds the delay until an
	// unresponsive connection is detected.
	Wait time.Duration
	// Pause is the delay after a read that returns records. It bounds the rate of
	// calls for a busy partition.
	Pause time.Duration
	// ProbeInterval is the interval between the reads that check whether an outage has ended.
	// They start whether or not earlier ones have responded, so the end of an outage is
	// noticed within this interval. If it is zero, the next read starts after the previous
	// one has failed.
	ProbeInterval time.Duration
	// OnFailure is called when an outage is noticed, OnRecovery when a read succeeds after
	// it, with the time since the first read that failed.
	OnFailure  func(err error)
	OnRecovery func(outage time.Duration)
	// OnConfirmed is called with the time since the last confirmation whenever a read reaches the
	// end of the partition. It is called with the follower's lock held.
	OnConfirmed func(after time.Duration)
	// Prompt says that a read which has not responded soon after its wait is overdue: probes start
	// beside it, and the first response of any of them counts. Otherwise a read is given up
	// and then repeated. NewPromptFollower sets it.
	Prompt bool
	// NewestOnly says that only the newest record of each key matters: a follower that is behind
	// loads these in place of all records that it lacks.
	NewestOnly bool
	// LoadAge is the age from which a load counts as hung, so that another one starts beside it.
	// If it is zero, hungLoadAge is used.
	LoadAge time.Duration
	// LoadLimit bounds the number of concurrent full reads of partitions; nil sets no bound.
	LoadLimit LoadLimit
	// Clock is a monotonic clock for confirmation times; nil if they are not used.
	Clock func() time.Duration
}

// LoadLimit is a semaphore that bounds how many partitions a process loads in full at a time.
// Many concurrent loads over a slow link would all time out and start again.
type LoadLimit chan struct{}

// NewLoadLimit returns a semaphore that permits n concurrent loads.
func NewLoadLimit(n int) LoadLimit {
	return make(LoadLimit, n)
}

// acquire waits until a load is permitted. The caller calls release after the load.
func (l LoadLimit) acquire(ctx context.Context) (release func(), err error) {
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

// Timeouts and delays of a Follower.
const (
	// PromptWait is how long a read of a prompt follower waits for records.
	PromptWait = 800 * time.Millisecond
	// readTimeoutMargin is added to the wait time of a read to get its timeout.
	readTimeoutMargin = 700 * time.Millisecond
	// ReadResponseTimeout is how long a read may take to begin to arrive, apart from the time
	// for which it waits for records. It exceeds the time for which a busy store queues reads:
	// reads that are given up in its queue and repeated would keep it busy for ever.
	ReadResponseTimeout = 3200 * time.Millisecond
	// loadTimeout bounds a full load, which may take several reads over a narrow link.
	loadTimeout = time.Minute
	// hungLoadAge is the age from which a load counts as hung, so that the next caller starts
	// another one.
	hungLoadAge = ReadResponseTimeout
	// checkTimeout bounds reading up to the end of a partition.
	checkTimeout = time.Second
	// sharedCheckWait is how long a caller waits for a read to the end started by another
	// caller, which may hang on an unresponsive connection.
	sharedCheckWait = 100 * time.Millisecond
)

// Follower keeps a Sink up to date with one partition. Its methods may be called
// concurrently.
type Follower struct {
	log       Log
	partition Partition
	cfg       FollowerConfig

	mu         sync.Mutex
	sink       Sink
	loaded     bool
	loading    *sharedLoad     // the last load started, nil if there was none
	runCtx     context.Context // of Run, nil before
	nextOffset int64           // offset of the next record to apply
	asOf       time.Time       // time up to which the state is known to be complete
	// confirmedAt is the start, by cfg.Clock, of the last read that reached the end.
	confirmedAt  time.Duration
	hasConfirmed bool
	checkSem     chan struct{} // lets concurrent callers share a read up to the end
	changed      chan struct{} // closed and replaced on each change
}

// NewFollower returns a Follower. It makes no reads until one of its methods is
// called.
func NewFollower(log Log, part Partition, sink Sink, cfg FollowerConfig) *Follower {
	if cfg.OnFailure == nil {
		cfg.OnFailure = func(error) {}
	}
	cfg.LoadAge = cmp.Or(cfg.LoadAge, hungLoadAge)
	if cfg.OnConfirmed == nil {
		cfg.OnConfirmed = func(time.Duration) {}
	}
	if cfg.Clock == nil {
		cfg.Clock = func() time.Duration { return 0 }
	}
	if cfg.OnRecovery == nil {
		cfg.OnRecovery = func(time.Duration) {}
	}
	return &Follower{
		log: log, partition: part, sink: sink, cfg: cfg,
		checkSem: make(chan struct{}, 1),
		changed:  make(chan struct{}),
	}
}

// NewPromptFollower returns a Follower of a small partition whose changes have to be applied within
// two seconds while the store serves this host or a peer of it, whatever holds up other peers. A
// change waits at most for a read that hangs (the pause, the wait and overdueAfter), and
// for the first probe to reach a backend that responds (promptHedgeDelay for each before it). A
// shorter wait than PromptWait may be set in cfg.
func NewPromptFollower(f *Failover, part Partition, sink Sink, cfg FollowerConfig) *Follower {
	cfg.Wait = min(cmp.Or(cfg.Wait, PromptWait), PromptWait)
	cfg.Prompt, cfg.ProbeInterval = true, ProbeInterval
	return NewFollower(f.Prompt(), part, sink, cfg)
}

// Run follows the partition until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.runCtx = ctx
	f.mu.Unlock()
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		received, err := f.follow(ctx, &retryDelay)
		switch {
		case err != nil:
		case received:
			_ = wait.For(ctx, f.cfg.Pause)
		case time.Since(began) < f.cfg.Wait:
			// A store that answers before the wait is over must not be asked without a pause.
			_ = wait.For(ctx, minRetryDelay)
		}
	}
}

// follow makes one read that waits for records, and probes if it fails or is overdue, until a
// response arrives. It reports whether the read returned records. retryDelay is the delay before
// the first probe after a failure.
func (f *Follower) follow(ctx context.Context, retryDelay *time.Duration) (received bool, err error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan readResult, 1)
	go func() {
		received, err := f.readOnce(readCtx, f.cfg.Wait)
		read <- readResult{received, err}
	}()
	var overdue <-chan time.Time
	if f.cfg.Prompt && f.isLoaded() {
		timer := time.NewTimer(f.cfg.Wait + overdueAfter)
		defer timer.Stop()
		overdue = timer.C
	}
	select {
	case r := <-read:
		switch {
		case ctx.Err() != nil:
			return false, ctx.Err()
		case r.err != nil:
			*retryDelay = f.waitForResponse(ctx, *retryDelay)
			return false, r.err
		}
		*retryDelay = minRetryDelay
		return r.received, nil
	case <-overdue:
		f.probeBeside(ctx, read)
		return false, errReadOverdue
	}
}

// readResult is the result of one read.
type readResult struct {
	received bool // it returned records
	err      error
}

// errReadOverdue reports that a read has not responded in time.
var errReadOverdue = errors.Mark(errors.New("no response to a read"), ErrUnavailable)

func (f *Follower) isLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// readOnce loads the partition or makes one read, which waits up to wait for records. It
// reports whether it received records.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) (bool, error) {
	f.mu.Lock()
	loaded, from := f.loaded, f.nextOffset
	f.mu.Unlock()
	if !loaded {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.LoadAge)
		defer cancel()
		return true, f.load(ctx)
	}
	margin := readTimeoutMargin
	if f.cfg.Prompt {
		margin = ReadResponseTimeout // it is overdue long before, and goes on beside others
	}
	// Probes get as much time as reads that wait: a read that is given up in the queue of a
	// busy store and repeated prolongs the queue.
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+margin)
	defer cancel()
	return f.read(ctx, from, wait)
}

// sharedLoad is a full load that several callers wait for.
type sharedLoad struct {
	startedAt time.Time     // zero while the load waits for the limit; guarded by Follower.mu
	done      chan struct{} // closed at the end
	err       error         // set before done is closed
}

// inProgress reports whether the load has not ended and does not hang. The caller holds
// Follower.mu.
func (l *sharedLoad) inProgress(hungAge time.Duration) bool {
	select {
	case <-l.done:
		return false
	default:
		return l.startedAt.IsZero() || time.Since(l.startedAt) < hungAge
	}
}

// load reads the whole partition. Concurrent callers share one load, since each further one
// would transfer the same records again. The load goes on when the callers stop waiting.
func (f *Follower) load(ctx context.Context) error {
	l := f.startLoad(ctx)
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnavailable)
	}
}

// startLoad returns the load in progress, or starts one if there is none or it hangs.
func (f *Follower) startLoad(ctx context.Context) *sharedLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loading != nil && f.loading.inProgress(f.cfg.LoadAge) {
		return f.loading
	}
	l := &sharedLoad{done: make(chan struct{})}
	f.loading = l
	if f.runCtx != nil {
		ctx = f.runCtx
	}
	go func() {
		defer close(l.done)
		release, err := f.cfg.LoadLimit.acquire(ctx)
		if err != nil {
			l.err = err
			return
		}
		defer release()
		f.mu.Lock()
		l.startedAt = time.Now()
		f.mu.Unlock()
		l.err = f.loadNow(ctx)
	}()
	return l
}

// loadNow reads the whole partition and replaces the state.
func (f *Follower) loadNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	start, startClock := time.Now(), f.cfg.Clock()
	snap, err := NewestAll(ctx, f.log, f.partition)
	if err != nil {
		return err
	}
	if before := start.Sub(snap.ReadAt); !snap.ReadAt.IsZero() && before > 0 {
		start, startClock = snap.ReadAt, startClock-before
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && snap.End < f.nextOffset {
		return nil // concurrent reads have already moved past the snapshot
	}
	f.sink.Reset(snap.Records)
	f.loaded, f.nextOffset = true, snap.End
	f.advanceAsOfLocked(start)
	f.confirmLocked(startClock)
	f.notifyLocked()
	return nil
}

// read makes one read and applies its records, or loads the partition if records at from
// are no longer retained. It reports whether the read returned records.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (bool, error) {
	start, startClock := time.Now(), f.cfg.Clock()
	page, err := f.log.Read(ctx, f.partition, from, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		return false, f.load(ctx)
	}
	if err != nil {
		return false, err
	}
	// A page without the records that follow does not bring the reader any further.
	if isBehind := f.apply(page, start, startClock, wait); isBehind && (f.cfg.NewestOnly || len(page.Records) == 0) {
		return true, f.load(ctx)
	}
	return len(page.Records) > 0, nil
}

// apply applies a page of a read that began at start and waited up to wait for records. It reports
// whether further records follow the page.
func (f *Follower) apply(page Page, start time.Time, startClock, wait time.Duration) (isBehind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(page.Records)
	if f.nextOffset < page.End {
		return true
	}
	if len(page.Records) == 0 && time.Since(start) >= wait {
		start = start.Add(wait) // no record arrived while the store waited
	}
	f.advanceAsOfLocked(start)
	f.confirmLocked(startClock)
	return false
}

// applyLocked applies the records that have not been applied yet. f.mu is held.
func (f *Follower) applyLocked(recs []Record) {
	var unapplied []Record
	for _, r := range recs {
		if r.Offset != f.nextOffset {
			continue // already applied by a concurrent read
		}
		unapplied = append(unapplied, r)
		f.nextOffset = r.Offset + 1
	}
	if len(unapplied) > 0 {
		f.sink.Apply(unapplied...)
		f.notifyLocked()
	}
}

func (f *Follower) advanceAsOfLocked(at time.Time) {
	if at.After(f.asOf) {
		f.asOf = at
	}
}

// confirmLocked records that the state is complete up to the time at. f.mu is held.
func (f *Follower) confirmLocked(at time.Duration) {
	if f.hasConfirmed {
		f.cfg.OnConfirmed(f.cfg.Clock() - f.confirmedAt)
	}
	f.confirmedAt, f.hasConfirmed = max(f.confirmedAt, at), true
}

// ConfirmedAt returns the latest time, by the configured clock, at which the state is known to
// have held all records of the partition. This is the start of a read, since a read that
// waits for records may miss one that is written meanwhile. It reports false until a read has
// reached the end of the partition.
func (f *Follower) ConfirmedAt() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt, f.hasConfirmed
}

func (f *Follower) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// CatchUp ensures that the state is at most maxAge old. If it may be older, it reads up to the
// end of the partition; concurrent callers share that read.
func (f *Follower) CatchUp(ctx context.Context, maxAge time.Duration) error {
	oldest := time.Now().Add(-maxAge)
	return f.readToEndUnless(ctx, func() bool { return !f.AsOf().Before(oldest) })
}

// Confirm ensures that the last confirmation is at most maxAge ago. Otherwise it reads up to
// the end of the partition; concurrent callers share that read.
func (f *Follower) Confirm(ctx context.Context, maxAge time.Duration) error {
	oldest := f.cfg.Clock() - maxAge
	confirmed := func() bool {
		at, ok := f.ConfirmedAt()
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

// errUnconfirmed reports that a read succeeded without reaching the partition's end
// recently enough, for example a read shared with an earlier caller.
var errUnconfirmed = errors.New("read did not confirm the end of the partition")

// readToEndUnless reads up to the end of the partition unless isCurrent returns true.
func (f *Follower) readToEndUnless(ctx context.Context, isCurrent func() bool) error {
	if isCurrent() {
		return nil
	}
	timer := time.NewTimer(sharedCheckWait)
	defer timer.Stop()
	select {
	case f.checkSem <- struct{}{}:
		defer func() { <-f.checkSem }()
	case <-timer.C:
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnavailable)
	}
	// The read of another caller may have brought the state up to date meanwhile.
	if isCurrent() {
		return nil
	}
	return f.readToEnd(ctx)
}

// readToEnd reads repeatedly, without waiting for new records, until a read returns none.
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
			continue // a shared load may have started before this call
		}
		received, err := f.readNow(ctx, from)
		if err != nil || !received {
			return err
		}
	}
}

// readNow makes one read that does not wait for records.
func (f *Follower) readNow(ctx context.Context, from int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMargin)
	defer cancel()
	return f.read(ctx, from, 0)
}

// View calls fn with the lock of the follower held, so that fn may read the state of the
// sink. It passes the offset of the next record to apply and a channel that is closed at the
// next change. It reports false, without calling fn, while nothing has been loaded.
func (f *Follower) View(fn func(end int64, changed <-chan struct{})) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return false
	}
	fn(f.nextOffset, f.changed)
	return true
}

// ApplyAppended applies records that an append of this process wrote at offset at, without
// waiting for the read that returns them. It sets the offsets in recs.
func (f *Follower) ApplyAppended(recs []Record, at int64) {
	for i := range recs {
		recs[i].Offset = at + int64(i)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(recs)
}

// AsOf returns the time up to which the state is known to be complete.
func (f *Follower) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}
