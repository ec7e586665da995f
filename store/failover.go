package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts and limits of a Failover.
const (
	// callTimeout bounds a call that does not wait for records.
	callTimeout = 800 * time.Millisecond
	// slowResponseTimeout is how long a slow call may continue after the next backend has
	// been tried as well.
	slowResponseTimeout = 4 * time.Second
	// avoidInterval is how long a failed backend is avoided: long enough that an
	// unresponsive store does not delay each call, short enough to return to direct
	// calls soon.
	avoidInterval   = time.Second
	maxPeersPerCall = 2
	// maxPeerWait bounds the wait for records of a read through a peer: it depends on that
	// peer, which may stop at any moment.
	maxPeerWait = time.Second
	// overdueAfter is the time after which a response counts as overdue where changes have to be
	// known in time, in addition to the time for which the read waits. It covers the pauses of a
	// host whose processor share is used up.
	overdueAfter = 150 * time.Millisecond
	// promptHedgeDelay is the time after which such a read that does not wait is also made
	// through the next backend.
	promptHedgeDelay = 250 * time.Millisecond
)

// Joiner is the part of Groups that peers forward for each other.
type Joiner interface {
	Join(ctx context.Context, req JoinRequest) (Membership, error)
}

// Peer is a client of the store that makes its calls through another process.
type Peer interface {
	Log
	Joiner
}

// Failover is a Client that calls the store through peers while the store refuses
// this host or does not respond to it. A store may refuse single hosts for seconds while
// it serves the others; without peers, such a host could neither read changes nor
// accept jobs.
type Failover struct {
	direct Client
	peers  func() []Peer // in order of preference

	onOverdue func(Overdue)
	pages     *pageCalls

	mu               sync.Mutex
	avoidDirectUntil time.Time
	avoidPeersUntil  time.Time
	// directFailed is set when a direct call fails and cleared when one succeeds.
	// peersFailed is the same for calls through peers.
	directFailed bool
	peersFailed  bool
	// failedSince is the time of the first small direct call that failed since one succeeded, zero
	// if none has.
	failedSince time.Time
}

// NewFailover returns a Failover that prefers direct and falls back to the peers that
// peers returns, in that order.
func NewFailover(direct Client, peers func() []Peer) *Failover {
	return &Failover{direct: direct, peers: peers, onOverdue: func(Overdue) {}, pages: newPageCalls()}
}

// Overdue describes a call that has no response yet although one is due.
type Overdue struct {
	Backend string        // "direct" or the address of a peer
	Waited  time.Duration // since the call began
}

// OnOverdue sets the function that is called for each overdue call. It must not block and is set
// before the first call.
func (f *Failover) OnOverdue(fn func(Overdue)) {
	f.onOverdue = fn
}

// nameOf returns the name of a backend in the log.
func (f *Failover) nameOf(b Peer) string {
	if b == Peer(f.direct) {
		return "direct"
	}
	if s, ok := b.(fmt.Stringer); ok {
		return s.String()
	}
	return "peer"
}

// Append implements Log. It does not retry an append that gets no response, since
// the append may have been applied: the caller has to read the partition first.
func (f *Failover) Append(ctx context.Context, p Partition, recs []Record, at int64) (int64, error) {
	var lastErr error
	for _, b := range f.backends(true) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		end, err := b.Append(callCtx, p, recs, at)
		cancel()
		if !canFailOver(err) {
			f.recordSmall(b, err)
			return end, err
		}
		if ctx.Err() != nil {
			return 0, err
		}
		f.recordSmall(b, err)
		lastErr = err
		if errors.Is(err, ErrUnavailable) {
			break
		}
	}
	return 0, lastErr
}

// Read implements Log.
func (f *Failover) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	plan := callPlan{backends: f.backends(false), overdue: func(b Peer) time.Duration { return f.waitAt(b, wait) + callTimeout }}
	return firstResponse(ctx, f, plan, f.readCall(p, from, wait))
}

// waitAt returns how long a read through a backend waits for records.
func (f *Failover) waitAt(b Peer, wait time.Duration) time.Duration {
	if b == Peer(f.direct) {
		return wait
	}
	return min(wait, maxPeerWait)
}

// readCall returns a call that reads a partition.
func (f *Failover) readCall(p Partition, from int64, wait time.Duration) func(context.Context, Peer) (Page, error) {
	return func(ctx context.Context, b Peer) (Page, error) { return b.Read(ctx, p, from, f.waitAt(b, wait)) }
}

// Newest implements Log.
func (f *Failover) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	return f.pages.get(ctx, pageID{p, after}, func(ctx context.Context) (Snapshot, error) {
		plan := callPlan{
			backends:  f.backends(false),
			overdue:   func(Peer) time.Duration { return f.pages.patienceWith(p) },
			onOverdue: func() { f.pages.overdue(p) },
			patient:   true,
		}
		return firstResponse(ctx, f, plan, newestCall(p, after))
	})
}

// newestCall returns a call that reads the newest records of a partition.
func newestCall(p Partition, after string) func(context.Context, Peer) (Snapshot, error) {
	return func(ctx context.Context, b Peer) (Snapshot, error) { return b.Newest(ctx, p, after) }
}

// Prompt returns a Log for partitions whose changes have to be known in time. Its reads do not
// depend on one backend for longer than a fraction of a second: a read that waits counts as
// overdue soon after its wait, and other reads are also made directly if a peer does not respond.
func (f *Failover) Prompt() Log {
	return promptLog{f}
}

type promptLog struct{ *Failover }

// Read implements Log. A read that waits uses one backend; the caller makes other reads beside it
// once it is overdue.
func (l promptLog) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	plan := callPlan{backends: l.promptBackends(), overdue: noWait(promptHedgeDelay), prompt: true}
	if wait > 0 {
		plan.overdue = func(b Peer) time.Duration { return l.waitAt(b, wait) + overdueAfter }
		plan.unhedged = true
	}
	return firstResponse(ctx, l.Failover, plan, l.readCall(p, from, wait))
}

// Newest implements Log.
func (l promptLog) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	return firstResponse(ctx, l.Failover, callPlan{backends: l.promptBackends(), overdue: noWait(callTimeout)}, newestCall(p, after))
}

// promptBackends returns the backends to call, in order: the direct client is the second one at
// the latest, since it may serve this host again while the peers have stopped.
func (f *Failover) promptBackends() []Peer {
	all := f.backends(false)
	if last := len(all) - 1; last > 1 && all[last] == Peer(f.direct) {
		all[1], all[last] = all[last], all[1]
	}
	return all
}

// Join implements Groups.
func (f *Failover) Join(ctx context.Context, req JoinRequest) (Membership, error) {
	return firstResponse(ctx, f, callPlan{backends: f.backends(false), overdue: noWait(callTimeout)}, func(ctx context.Context, b Peer) (Membership, error) {
		return b.Join(ctx, req)
	})
}

// Leave implements Groups.
func (f *Failover) Leave(ctx context.Context, group, member string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.direct.Leave(ctx, group, member)
}

// Owners implements Groups.
func (f *Failover) Owners(ctx context.Context, group string) ([]Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owners, err := f.direct.Owners(ctx, group)
	f.recordSmall(f.direct, err)
	return owners, err
}

// callPlan says through which backends a call is made.
type callPlan struct {
	backends []Peer // in order
	// overdue returns the time after which a call through a backend is overdue.
	overdue func(Peer) time.Duration
	// unhedged says that the next call starts only when one has failed, not when it is overdue.
	unhedged bool
	// onOverdue is called when a call is overdue; nil if nothing depends on it.
	onOverdue func()
	// patient says that calls are given up only after a multiple of their overdue time.
	patient bool
	// prompt says that calls count as overdue so soon that the backend is avoided, but does not
	// count as failed.
	prompt bool
}

// timeout returns the time after which a call is given up that is overdue after the given time.
func (p *callPlan) timeout(overdue time.Duration) time.Duration {
	if p.patient {
		return max(givenUpFactor*overdue, overdue+slowResponseTimeout)
	}
	return overdue + slowResponseTimeout
}

// noWait returns the overdue time of a call that does not wait for records.
func noWait(d time.Duration) func(Peer) time.Duration {
	return func(Peer) time.Duration { return d }
}

// firstResponse makes an idempotent call with hedging: it calls the backends in order and
// starts the next call when one fails or is overdue. An overdue call
// continues meanwhile for up to slowResponseTimeout; otherwise a large response over a slow
// link would be requested repeatedly without ever completing.
func firstResponse[T any](ctx context.Context, f *Failover, plan callPlan, call func(context.Context, Peer) (T, error)) (T, error) {
	type response struct {
		backend Peer
		result  T
		err     error
	}
	var zero T
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	record := f.recordSmall
	if plan.patient {
		record = f.recordResult
	}
	responses := make(chan response, len(plan.backends))
	timer := time.NewTimer(plan.overdue(plan.backends[0]))
	defer timer.Stop()
	started, inFlight := 0, 0
	var startedAt time.Time // of the latest call
	startNext := func() {
		if started == len(plan.backends) {
			return
		}
		b := plan.backends[started]
		overdue := plan.overdue(b)
		started++
		inFlight++
		startedAt = time.Now()
		timer.Reset(overdue)
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, plan.timeout(overdue))
			defer cancel()
			result, err := call(callCtx, b)
			responses <- response{b, result, err}
		}()
	}
	startNext()
	var lastErr error
	for inFlight > 0 {
		select {
		case r := <-responses:
			inFlight--
			if !canFailOver(r.err) {
				record(r.backend, r.err)
				return r.result, r.err
			}
			if ctx.Err() != nil {
				return zero, r.err
			}
			record(r.backend, r.err)
			lastErr = r.err
			startNext()
		case <-timer.C:
			if plan.prompt {
				f.avoid(plan.backends[started-1])
			} else {
				record(plan.backends[started-1], ErrUnavailable)
			}
			f.noteOverdue(plan.backends[started-1], time.Since(startedAt))
			if plan.onOverdue != nil {
				plan.onOverdue()
			}
			if !plan.unhedged {
				startNext()
			}
		case <-ctx.Done():
			return zero, errors.Mark(ctx.Err(), ErrUnavailable)
		}
	}
	return zero, lastErr
}

// Reconnector is implemented by clients that keep idle connections open.
type Reconnector interface {
	// DropIdle closes the idle connections, so that the next call opens a new one.
	DropIdle()
}

// noteOverdue reports that a backend has not responded in time. Idle connections to the store may
// have gone silent together with that of the call.
func (f *Failover) noteOverdue(b Peer, waited time.Duration) {
	f.onOverdue(Overdue{f.nameOf(b), waited})
	if r, ok := b.(Reconnector); ok && b == Peer(f.direct) {
		r.DropIdle()
	}
}

// DirectReachable reports whether direct calls reach the store. It returns false after a
// direct call that got no response or was refused, until another one succeeds.
func (f *Failover) DirectReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.directFailed
}

// Unreachable reports whether no backend reaches the store: the last direct call failed, and
// so did the last call through peers, or there are no peers.
func (f *Failover) Unreachable() bool {
	noPeers := len(f.peers()) == 0
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directFailed && (f.peersFailed || noPeers)
}

// canFailOver reports whether another backend may serve a call that failed with err.
func canFailOver(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRefused)
}

// backends returns the backends to call, in order. After a failed direct call, reads try
// the direct client first again once avoidInterval has passed. Appends do so only after
// such a read has succeeded, since an append without a response cannot be retried elsewhere
// and a caller waits for it.
func (f *Failover) backends(isAppend bool) []Peer {
	f.mu.Lock()
	now := time.Now()
	directLast, skipPeers := now.Before(f.avoidDirectUntil) || isAppend && f.directFailed, now.Before(f.avoidPeersUntil)
	f.mu.Unlock()
	var peers []Peer
	if !skipPeers {
		peers = f.peers()
		peers = peers[:min(len(peers), maxPeersPerCall)]
	}
	if directLast {
		return append(peers, f.direct)
	}
	return append([]Peer{f.direct}, peers...)
}

// recordResult updates the state of direct calls or of calls through peers by the result of a call.
// An error that every backend would return is a response, too.
func (f *Failover) recordResult(backend Peer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(backend, err)
}

func (f *Failover) recordLocked(backend Peer, err error) {
	failed, until := canFailOver(err), time.Time{}
	if failed {
		until = time.Now().Add(avoidInterval)
	}
	f.avoidUntilLocked(backend, until)
	if backend == Peer(f.direct) {
		f.directFailed = failed
	} else {
		f.peersFailed = failed
	}
}

// avoid makes the next calls prefer other backends.
func (f *Failover) avoid(backend Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidUntilLocked(backend, time.Now().Add(avoidInterval))
}

func (f *Failover) avoidUntilLocked(backend Peer, until time.Time) {
	if backend == Peer(f.direct) {
		f.avoidDirectUntil = until
	} else {
		f.avoidPeersUntil = until
	}
}

// recordSmall is recordResult for a call with a small response. When an outage of direct calls
// ends, the calls for pages that began in it are made again. Slow pages are no sign of an outage.
func (f *Failover) recordSmall(backend Peer, err error) {
	f.mu.Lock()
	f.recordLocked(backend, err)
	outageEnded := false
	if backend == Peer(f.direct) {
		switch {
		case !f.directFailed:
			outageEnded = !f.failedSince.IsZero() && time.Since(f.failedSince) >= minOutage
			f.failedSince = time.Time{}
		case f.failedSince.IsZero():
			f.failedSince = time.Now()
		}
	}
	f.mu.Unlock()
	if outageEnded {
		f.pages.restart()
	}
}
