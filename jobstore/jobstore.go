// Package jobstore keeps batch jobs on the shared store. Any process may write
// to any partition: each write is computed from the partition's folded state and
// appended only if the partition's end has not moved since. Partitions have no owner,
// so no write waits for an election or needs a fence. Package runner decides which process
// runs a job's items; two processes may run the same items for a while.
package jobstore

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
	"pumiceford/jobs"
	"pumiceford/logging"
	"pumiceford/store"
)

// Settings configures a Store.
type Settings struct {
	Topic string
	// ProgressTopic holds the progress of unfinished items.
	ProgressTopic  string
	Partitions     int
	MaxAppendBytes int           // maximum size of one append, in bytes
	Retention      time.Duration // how long results are readable after the job was accepted
}

// Timeouts, intervals and limits of the store.
const (
	// readWait bounds a read that waits for new records. The keep-alive detects a dead
	// connection sooner; this bound covers a store that accepts a call and never responds.
	readWait = 8 * time.Second
	// absenceMaxAge is the maximum age of the state on which a job is reported as not
	// found. It is below one second, the time within which every process must know an
	// accepted job.
	absenceMaxAge = 300 * time.Millisecond
	// conflictRetryDelay is the wait before a retry when another append changed the
	// partition's end first.
	conflictRetryDelay = 5 * time.Millisecond
	// refusedRetryDelay is the wait before a retry when the store refused an append or
	// the partition cannot be read.
	refusedRetryDelay = 60 * time.Millisecond
	// maxConcurrentLoads is how many partitions are loaded in full at a time: the narrowest
	// link carries 2 MB within the timeout of one load.
	maxConcurrentLoads = 2
	// idleTimeout is how long this process follows a partition after its last use. It is
	// longer than the interval at which callers poll a job. unfollowInterval is the interval
	// between checks for idle partitions.
	idleTimeout      = 15 * time.Second
	unfollowInterval = 5 * time.Second
	// runnerTimeout is how long after the last access by a local runner a partition counts
	// as run by this process. A runner accesses its partitions several times a second.
	runnerTimeout = 2 * time.Second
	// retentionMargin is added to the retention period to allow for clock skew.
	retentionMargin = 30 * time.Second
)

// Errors of the Store.
var (
	// ErrJobNotFound is returned only when the job certainly does not exist.
	ErrJobNotFound = errors.New("job not found")
	// ErrJobConflict is returned when a different job already has the id.
	ErrJobConflict = errors.New("a different job already has this id")
	// ErrStoreUnavailable is returned when the shared store is unresponsive, so that the
	// state of the job is not known. A write that returns it was not carried out.
	ErrStoreUnavailable = errors.New("job store is unavailable and the job's state is unknown")
	// ErrOutcomeUnknown is returned when a write may or may not have been carried out.
	ErrOutcomeUnknown = errors.New("job store did not answer and the write may have been carried out")
)

// Store accepts, reads and updates batch jobs. It is safe for concurrent use.
type Store struct {
	log      store.Log
	settings Settings
	logger   logging.Logger
	baseCtx  context.Context

	mu         sync.Mutex
	partitions map[int]*partition
	loadLimit  store.LoadLimit
	// storeHealth counts the attempts to accept a job over all partitions.
	storeHealth health
	// refusedCalls counts calls that were refused without an attempt.
	refusedCalls health
	// partitionHealth counts the attempts to accept a job by partition.
	partitionHealth map[int]*health
	acceptLatency   latencyEstimate
	// callerLimiter limits the reads of partitions that only callers use here.
	callerLimiter *store.ReadLimiter
}

// partition is one followed partition. Its table may be accessed only while the
// follower's state is locked.
type partition struct {
	number    int
	table     *jobs.Table
	follower  *store.Follower
	writeSlot chan struct{} // admits one writer of this process at a time
	// probeSlot admits one probe of an unavailable partition at a time.
	probeSlot    chan struct{}
	lastUsed     time.Time // guarded by Store.mu
	stop         context.CancelFunc
	runnerUsedAt atomic.Pointer[time.Time] // last access by a local runner; nil if there was none
}

// hasLocalRunner reports whether a runner of this process used the partition within
// runnerTimeout.
func (p *partition) hasLocalRunner() bool {
	at := p.runnerUsedAt.Load()
	return at != nil && time.Since(*at) < runnerTimeout
}

// New returns a Store whose followers run until ctx ends.
func New(ctx context.Context, log store.Log, settings Settings, logger logging.Logger) *Store {
	s := &Store{log: log, settings: settings, logger: logger, baseCtx: ctx, partitions: make(map[int]*partition), loadLimit: store.NewLoadLimit(maxConcurrentLoads), partitionHealth: make(map[int]*health), callerLimiter: store.NewReadLimiter()}
	go s.unfollowIdle(ctx)
	return s
}

// unfollowIdle stops following partitions that have not been used for idleTimeout.
// Without it a process would follow every partition that a caller ever used and, in the
// end, read the writes of all other processes.
func (s *Store) unfollowIdle(ctx context.Context) {
	for wait.For(ctx, unfollowInterval) == nil {
		now := time.Now()
		s.mu.Lock()
		for n, p := range s.partitions {
			if now.Sub(p.lastUsed) > idleTimeout {
				p.stop()
				delete(s.partitions, n)
			}
		}
		s.mu.Unlock()
	}
}

// FollowedPartitions returns the number of partitions that this process follows.
func (s *Store) FollowedPartitions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.partitions)
}

// CallerReadRate returns the current limit on this process's reads for its callers, in
// reads per second.
func (s *Store) CallerReadRate() float64 {
	return s.callerLimiter.Rate()
}

// Topic returns the topic that holds the partitions of jobs.
func (s *Store) Topic() string {
	return s.settings.Topic
}

// forRunner returns a partition for the runner of its items. The rate limit on callers'
// reads does not apply to the partition until runnerTimeout has passed.
func (s *Store) forRunner(number int) *partition {
	p := s.forCaller(number)
	now := time.Now()
	p.runnerUsedAt.Store(&now)
	return p
}

// forCaller returns a partition for a caller and starts following it on first use, so
// that a process follows only the partitions that it runs or that its callers use.
// Partitions that only callers use are read under a rate limit, so that these reads
// cannot take the store's capacity from the processes that run the jobs.
func (s *Store) forCaller(number int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[number]; p != nil {
		p.lastUsed = time.Now()
		return p
	}
	unreadable := func(key string, err error) {
		s.logger.Warn("job record cannot be decoded; skipping it", logging.F("partition", number),
			logging.F("key", key), logging.F("error", err.Error()))
	}
	p := &partition{number: number, table: jobs.NewTable(unreadable), writeSlot: make(chan struct{}, 1), probeSlot: make(chan struct{}, 1), lastUsed: time.Now()}
	part := store.Partition{Topic: s.settings.Topic, Number: number}
	log := store.RateLimitedLog{Log: s.log, Limiter: s.callerLimiter, Exempt: p.hasLocalRunner}
	p.follower = store.NewFollower(log, part, p.table, store.FollowerConfig{
		Wait: readWait, LoadLimit: s.loadLimit,
		OnFailure: func(err error) {
			s.logger.Warn("job partition does not answer", logging.F("partition", number), logging.F("error", err.Error()))
		},
		OnRecovery: func(outage time.Duration) {
			s.logger.Info("job partition answers again", logging.F("partition", number), logging.F("away_ms", outage.Milliseconds()))
		},
	})
	s.partitions[number] = p
	ctx, stop := context.WithCancel(s.baseCtx)
	p.stop = stop
	go p.follower.Run(ctx)
	return p
}

// ensureFresh brings the state to within absenceMaxAge of the store, as is needed before
// a job is reported as not found. It returns an error marked ErrStoreUnavailable if the
// store is unresponsive.
func (p *partition) ensureFresh(ctx context.Context) error {
	if err := p.follower.CatchUp(ctx, absenceMaxAge); err != nil {
		return errors.Mark(err, ErrStoreUnavailable)
	}
	return nil
}

// logWrite logs the outcome of a write. The action is a past participle such as
// "accepted".
func (s *Store) logWrite(action, id string, number int, began time.Time, err error, extra ...logging.Field) {
	fields := append([]logging.Field{
		logging.F("job", id), logging.F("partition", number), logging.F("took_ms", time.Since(began).Milliseconds()),
	}, extra...)
	if err != nil {
		s.logger.Warn("job not "+action, append(fields, logging.F("error", err.Error()))...)
		return
	}
	s.logger.Info("job "+action, fields...)
}

func (p *partition) has(id string) bool {
	found := false
	p.follower.View(func(int64, <-chan struct{}) { found = p.table.Get(id) != nil })
	return found
}

// RecordOutcomes records the outcomes of items whose jobs belong to the given partition.
// Each outcome is listed at the next free position of its job's results.
func (s *Store) RecordOutcomes(ctx context.Context, number int, outcomes []jobs.Outcome) error {
	return s.update(ctx, s.forRunner(number), func(t *jobs.Table) ([]store.Record, error) {
		return t.List(outcomes)
	})
}

// RecordFailures records how many attempts of an item have failed. It sets impossible
// if a target reported that the item can never succeed.
func (s *Store) RecordFailures(ctx context.Context, id string, item, failed int, impossible bool) error {
	return s.update(ctx, s.forRunner(s.PartitionOf(id)), func(t *jobs.Table) ([]store.Record, error) {
		return t.Fail(id, item, failed, impossible)
	})
}

// DeleteExpired deletes the jobs of a partition whose retention period is over.
func (s *Store) DeleteExpired(ctx context.Context, number int, now time.Time) error {
	return s.update(ctx, s.forRunner(number), func(t *jobs.Table) ([]store.Record, error) {
		return t.Expired(now, s.settings.Retention+retentionMargin), nil
	})
}

// update appends the records that decide returns for the partition's state, and repeats
// this until decide returns none. After an append without a response it refreshes the
// state first: the records are either there or, once the partition's end has moved, can
// no longer be written.
func (s *Store) update(ctx context.Context, p *partition, decide func(*jobs.Table) ([]store.Record, error)) error {
	return s.updateUntil(ctx, p, func(error) bool { return false }, decide)
}

// updateUntil is like update, but stops after a failed append for which giveUp returns
// true.
func (s *Store) updateUntil(ctx context.Context, p *partition, giveUp func(error) bool, decide func(*jobs.Table) ([]store.Record, error)) error {
	select {
	case p.writeSlot <- struct{}{}:
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrStoreUnavailable)
	}
	defer func() { <-p.writeSlot }()
	if err := p.ensureLoaded(ctx); err != nil {
		return err
	}
	pendingAt := noPendingAppend // the end at which an append may still be carried out
	for {
		recs, at, err := p.decide(decide)
		if err != nil {
			return err
		}
		if len(recs) == 0 {
			return nil
		}
		if at != pendingAt {
			pendingAt = noPendingAppend
		}
		failedAt, err := s.appendOrObserve(ctx, p, recs, at)
		switch {
		case err == nil:
			continue
		case errors.Is(err, store.ErrFull) && pendingAt != noPendingAppend:
			return errors.Mark(err, ErrOutcomeUnknown)
		case errors.Is(err, store.ErrFull):
			return err
		case errors.Is(err, store.ErrUnavailable):
			pendingAt = failedAt
		}
		if giveUp(err) {
			return updateError(err, pendingAt)
		}
		if s.refreshAfterFailure(ctx, p, err) != nil && ctx.Err() != nil {
			return updateError(ctx.Err(), pendingAt)
		}
	}
}

// noPendingAppend means that no append of an update may still be carried out.
const noPendingAppend int64 = -1

// updateError marks cause as ErrOutcomeUnknown if an append may still be carried out, and
// as ErrStoreUnavailable otherwise.
func updateError(cause error, pendingAt int64) error {
	if pendingAt != noPendingAppend {
		return errors.Mark(cause, ErrOutcomeUnknown)
	}
	return errors.Mark(cause, ErrStoreUnavailable)
}

// ensureLoaded loads the partition if it has not been loaded yet.
func (p *partition) ensureLoaded(ctx context.Context) error {
	if p.follower.View(func(int64, <-chan struct{}) {}) {
		return nil
	}
	return p.ensureFresh(ctx)
}

// decide calls decide on the partition's state. It returns the records and the
// partition's end at that state.
func (p *partition) decide(decide func(*jobs.Table) ([]store.Record, error)) (recs []store.Record, at int64, err error) {
	p.follower.View(func(end int64, _ <-chan struct{}) {
		at = end
		recs, err = decide(p.table)
	})
	return recs, at, err
}

// appendOrObserve appends records. It also returns, without an error, as soon as the
// follower sees that the partition's end has moved: the records are then either there or
// can no longer be written. This way a lost response does not delay the caller if the
// follower reads the records sooner. With an error it returns the end at which the
// failed call was made.
func (s *Store) appendOrObserve(ctx context.Context, p *partition, recs []store.Record, at int64) (int64, error) {
	if len(splitAppends(recs, s.settings.MaxAppendBytes)) > 1 {
		return s.append(ctx, p, recs, at) // the first of several calls moves the end itself
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	appended := make(chan error, 1)
	go func() {
		_, err := s.append(ctx, p, recs, at)
		appended <- err
	}()
	for {
		advanced, changed := p.advancedPast(at)
		if advanced {
			return at, nil
		}
		select {
		case err := <-appended:
			return at, err
		case <-changed:
		}
	}
}

// advancedPast reports whether the partition's end is beyond at. The channel is closed
// at the next change.
func (p *partition) advancedPast(at int64) (advanced bool, changed <-chan struct{}) {
	p.follower.View(func(end int64, ch <-chan struct{}) { advanced, changed = end > at, ch })
	return advanced, changed
}

// append writes records from the given end on, in as many calls as their size requires.
// Each call is conditional on the end that the previous call left. With an error it
// returns the end at which the failed call was made: that call may still be carried out
// there.
func (s *Store) append(ctx context.Context, p *partition, recs []store.Record, at int64) (int64, error) {
	part := store.Partition{Topic: s.settings.Topic, Number: p.number}
	for group := range slices.Values(splitAppends(recs, s.settings.MaxAppendBytes)) {
		if _, err := s.log.Append(ctx, part, group, at); err != nil {
			return at, err
		}
		p.follower.ApplyAppended(group, at)
		at += int64(len(group))
	}
	return at, nil
}

// recordOverheadBytes is an allowance for a record's key and length fields.
const recordOverheadBytes = 300

// splitAppends splits records into appends of at most limit bytes. A record that exceeds
// the limit gets an append of its own.
func splitAppends(recs []store.Record, limit int) [][]store.Record {
	var out [][]store.Record
	size := 0
	for _, r := range recs {
		n := len(r.Value) + recordOverheadBytes
		if len(out) == 0 || size+n > limit {
			out = append(out, nil)
			size = 0
		}
		out[len(out)-1] = append(out[len(out)-1], r)
		size += n
	}
	return out
}

// refreshAfterFailure brings the state up to date after a failed append and waits for
// the retry delay.
func (s *Store) refreshAfterFailure(ctx context.Context, p *partition, cause error) error {
	var conflict *store.ConflictError
	delay := refusedRetryDelay
	if errors.As(cause, &conflict) {
		delay = conflictRetryDelay
	}
	err := p.follower.CatchUp(ctx, 0)
	if err != nil {
		delay = refusedRetryDelay
	}
	if werr := wait.For(ctx, delay); werr != nil {
		return werr
	}
	return err
}
