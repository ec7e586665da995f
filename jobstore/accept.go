package jobstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/jobs"
	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/wire"
)

// Timeouts and limits of accepting a job.
const (
	// alternateCount is how many other partitions may accept a job while its home is
	// unavailable. With a third of all partitions unavailable, almost every job still finds
	// one that responds.
	alternateCount = 3
	// minHedgeDelay and maxHedgeDelay bound the wait for one partition before the next
	// candidate is tried as well. An append takes many times longer on a small host, and a
	// fixed delay made such hosts store jobs twice. Callers expect a response within half
	// a second.
	minHedgeDelay = 100 * time.Millisecond
	maxHedgeDelay = 250 * time.Millisecond
	// hedgeLatencyFactor is the hedge delay as a multiple of the mean latency of an attempt.
	hedgeLatencyFactor = 4
	// latencySampleWeight is the weight of a new sample in the moving average.
	latencySampleWeight = 0.1
	// acceptTimeout bounds the acceptance of a job. It allows for an append to a slow store
	// and one conflict over the partition's end.
	acceptTimeout = 900 * time.Millisecond
	// unresponsiveLatencyFactor is the multiple of a successful attempt's latency after which a
	// concurrent attempt without a response counts as failed.
	unresponsiveLatencyFactor = 4
	// unavailableBackoff is how long a partition is not tried after a failed attempt, and
	// how long the whole store is not tried after outageThreshold failures in a row, unless
	// a probe succeeds sooner.
	unavailableBackoff = 3 * time.Second
	outageThreshold    = 4
	probeTimeout       = 300 * time.Millisecond
)

// UnavailableError is returned while the job store is unavailable. It is marked as
// ErrStoreUnavailable when nothing was written, and as ErrOutcomeUnknown otherwise.
type UnavailableError struct {
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "job store is unavailable; retry after " + e.RetryAfter.String()
}

// Accept stores a job. When it returns nil, the job is durable, by this call or an
// earlier one. While the job's home partition is unavailable, an alternate keeps the job
// as a hint until it can be handed off.
func (s *Store) Accept(ctx context.Context, spec *wire.JobSpec) error {
	began := time.Now()
	number, known, err := s.accept(ctx, spec)
	s.logWrite("accepted", spec.GetId(), number, began, err, logging.F("items", len(spec.GetItems())), logging.F("known", known),
		logging.F("home", s.PartitionOf(spec.GetId())))
	return err
}

// accept stores a job. It returns the partition that has the job and whether that
// partition had it before the call.
func (s *Store) accept(ctx context.Context, spec *wire.JobSpec) (number int, known bool, err error) {
	home := s.forCaller(s.PartitionOf(spec.GetId()))
	if home.has(spec.GetId()) {
		return home.number, true, s.acceptHome(ctx, home, spec)
	}
	if hint, n := s.knownHint(spec.GetId()); hint != nil {
		if !jobs.SameWork(hint, spec) {
			return n, true, ErrJobConflict
		}
		return n, true, nil
	}
	candidates := s.candidates(home, spec.GetId())
	if len(candidates) == 0 {
		return home.number, false, errors.Mark(s.unavailableError(), ErrStoreUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	number, err = s.acceptHedged(ctx, spec, candidates)
	return number, false, err
}

// attempt is one attempt to have a partition accept a job.
type attempt struct {
	partition int
	began     time.Time
	ended     bool
	err       error
}

// acceptHedged tries the candidates in order until one accepts the job. It starts the
// next attempt when one fails or the hedge delay has passed without a response. Surplus
// copies are dropped like any other hint of the job.
func (s *Store) acceptHedged(ctx context.Context, spec *wire.JobSpec, candidates []int) (int, error) {
	home := s.PartitionOf(spec.GetId())
	results := make(chan *attempt, len(candidates))
	var attempts []*attempt
	delay := s.acceptLatency.hedgeDelay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	start := func() {
		if len(attempts) == len(candidates) {
			return
		}
		a := &attempt{partition: candidates[len(attempts)], began: time.Now()}
		attempts = append(attempts, a)
		timer.Reset(delay)
		go func() {
			if a.partition == home {
				a.err = s.acceptHome(ctx, s.forCaller(home), spec)
			} else {
				a.err = s.acceptHint(ctx, a.partition, spec)
			}
			results <- a
		}()
	}
	start()
	unknown := false
	for remaining := len(candidates); remaining > 0; {
		select {
		case a := <-results:
			remaining--
			a.ended = true
			if isFinal(a.err) {
				s.recordSuccess(attempts, a)
				if errors.Is(a.err, store.ErrFull) && (unknown || anyPending(attempts)) {
					return a.partition, errors.Mark(a.err, ErrOutcomeUnknown)
				}
				return a.partition, a.err
			}
			s.recordAttempt(a, false)
			unknown = unknown || errors.Is(a.err, ErrOutcomeUnknown)
			start()
		case <-timer.C:
			start()
		}
	}
	if unknown {
		return home, errors.Mark(s.unavailableError(), ErrOutcomeUnknown)
	}
	return home, errors.Mark(s.unavailableError(), ErrStoreUnavailable)
}

// anyPending reports whether an attempt that has started has no result yet. It may still
// store the job.
func anyPending(attempts []*attempt) bool {
	return slices.ContainsFunc(attempts, func(a *attempt) bool { return !a.ended })
}

// isFinal reports whether an attempt's result is returned to the caller, because no other
// partition would give a better one.
func isFinal(err error) bool {
	return err == nil || errors.Is(err, ErrJobConflict) || errors.Is(err, store.ErrFull)
}

// Unavailable returns the error for a call that is refused without an attempt because the
// store is known to be unavailable. It is an UnavailableError marked as
// ErrStoreUnavailable.
func (s *Store) Unavailable() error {
	now := time.Now()
	s.refusedCalls.expire(now, unavailableBackoff)
	s.refusedCalls.record(now, false)
	return errors.Mark(&UnavailableError{RetryAfter: s.refusedCalls.retryAfter(now)}, ErrStoreUnavailable)
}

// unavailableError returns the error for a job that no partition accepted.
func (s *Store) unavailableError() *UnavailableError {
	return &UnavailableError{RetryAfter: s.storeHealth.retryAfter(time.Now())}
}

func (s *Store) recordAttempt(a *attempt, ok bool) {
	now := time.Now()
	s.healthOf(a.partition).record(now, ok)
	s.storeHealth.record(now, ok)
}

// recordSuccess records a successful attempt. An earlier attempt that still has no
// response after unresponsiveLatencyFactor times the winner's latency counts as failed. The
// comparison is relative, so that a store that is slow in all partitions marks none as
// unavailable.
func (s *Store) recordSuccess(attempts []*attempt, winner *attempt) {
	s.recordAttempt(winner, true)
	took := time.Since(winner.began)
	s.acceptLatency.observe(took)
	for _, a := range attempts {
		if !a.ended && a != winner && time.Since(a.began) > unresponsiveLatencyFactor*took {
			s.healthOf(a.partition).record(time.Now(), false)
		}
	}
}

// acceptHome stores a job in its home partition p. It does not retry an append that the
// store refused if there are other partitions: trying one of them is a better use of the
// caller's time. It returns ErrJobConflict if a different job has the id.
func (s *Store) acceptHome(ctx context.Context, p *partition, spec *wire.JobSpec) error {
	conflict := false
	refused := func(err error) bool { return s.settings.Partitions > 1 && errors.Is(err, store.ErrRefused) }
	err := s.updateUntil(ctx, p, refused, func(t *jobs.Table) ([]store.Record, error) {
		if j := t.Get(spec.GetId()); j != nil {
			conflict = !jobs.SameWork(j.Spec, spec)
			return nil, nil
		}
		return t.Accept(spec)
	})
	if err == nil && conflict {
		return ErrJobConflict
	}
	return err
}

// acceptHint stores a job as a hint in an alternate partition. The records are the same
// whichever process writes them, so the append is unconditional and does not need the
// partition's state. A copy that is written late is dropped when the job is over.
func (s *Store) acceptHint(ctx context.Context, number int, spec *wire.JobSpec) error {
	recs, err := jobs.HintRecords(spec)
	if err != nil {
		return err
	}
	part := store.Partition{Topic: s.settings.Topic, Number: number}
	for _, group := range splitAppends(recs, s.settings.MaxAppendBytes) {
		if _, err := s.log.Append(ctx, part, group, store.AnyEnd); err != nil {
			if errors.Is(err, store.ErrUnavailable) {
				return errors.Mark(err, ErrOutcomeUnknown)
			}
			return err
		}
	}
	return nil
}

// hint returns the job that this partition keeps for its home under the given id, or nil
// if it keeps none.
func (p *partition) hint(id string) (spec *wire.JobSpec) {
	p.follower.View(func(int64, <-chan struct{}) { spec = p.table.Hint(id) })
	return spec
}

// latencyEstimate is a moving average of the latency of successful attempts.
type latencyEstimate struct {
	mu   sync.Mutex
	mean time.Duration
}

func (e *latencyEstimate) observe(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mean += time.Duration(latencySampleWeight * float64(took-e.mean))
}

// hedgeDelay returns how long to wait for one attempt before the next is started.
func (e *latencyEstimate) hedgeDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(max(hedgeLatencyFactor*e.mean, minHedgeDelay), maxHedgeDelay)
}
