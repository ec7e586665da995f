package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of Failover.
const (
	// callTimeout bounds a call that waits for nothing.
	callTimeout = 800 * time.Millisecond
	// slowAnswerTimeout bounds an answer beyond the time after which another way is
	// tried as well.
	slowAnswerTimeout = 4 * time.Second
	// avoidInterval is how long a way that failed is tried last: long enough that a
	// silent store does not hold up each call, short enough to return to the
	// direct way soon.
	avoidInterval = time.Second
	// maxPeersPerCall bounds the peers asked for one call.
	maxPeersPerCall = 2
)

// Joiner is the part of Groups that peers carry out for each other.
type Joiner interface {
	Join(ctx context.Context, req JoinRequest) (Membership, error)
}

// Peer is a way to the store through another process.
type Peer interface {
	Log
	Joiner
}

// Failover is a Client that goes through peers while the store refuses this
// host or does not answer it. A store may turn single hosts away for seconds
// while it serves the others; without the way through peers such a host could
// neither learn of changes nor accept jobs.
type Failover struct {
	direct Client
	peers  func() []Peer // ways to try, best first

	mu               sync.Mutex
	avoidDirectUntil time.Time
	avoidPeersUntil  time.Time
	// unproved says that the direct way has failed and not answered since, peersFailed
	// the same of the ways through peers.
	directFailed bool
	peersFailed  bool
}

// NewFailover returns a Failover.
func NewFailover(direct Client, peers func() []Peer) *Failover {
	return &Failover{direct: direct, peers: peers}
}

// Append implements Log. An append without an answer is not repeated here: the
// caller reads what became of it first.
func (f *Failover) Append(ctx context.Context, p Partition, recs []Record, at int64) (int64, error) {
	var last error
	for _, way := range f.backends(true) {
		one, cancel := context.WithTimeout(ctx, callTimeout)
		end, err := way.Append(one, p, recs, at)
		cancel()
		if err == nil || !canFailOver(err) {
			f.recordResult(way, nil)
			return end, err
		}
		if ctx.Err() != nil {
			return 0, err
		}
		f.recordResult(way, err)
		last = err
		if errors.Is(err, ErrUnavailable) {
			break
		}
	}
	return 0, last
}

// Read implements Log.
func (f *Failover) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	return firstAnswer(ctx, f, wait+callTimeout, func(ctx context.Context, way Peer) (Page, error) {
		return way.Read(ctx, p, from, wait)
	})
}

// Newest implements Log.
func (f *Failover) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	return firstAnswer(ctx, f, callTimeout, func(ctx context.Context, way Peer) (Snapshot, error) {
		return way.Newest(ctx, p, after)
	})
}

// Join implements Groups.
func (f *Failover) Join(ctx context.Context, req JoinRequest) (Membership, error) {
	return firstAnswer(ctx, f, callTimeout, func(ctx context.Context, way Peer) (Membership, error) {
		return way.Join(ctx, req)
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
	return f.direct.Owners(ctx, group)
}

// firstAnswer makes a call that changes nothing, or the same again, by the ways in
// turn: the next one when a way fails, or has not answered after quiet. A way that
// is only slow goes on meanwhile, for slowAnswerTimeout: a large answer over a narrow link
// would otherwise be asked for again and again.
func firstAnswer[T any](ctx context.Context, f *Failover, quiet time.Duration, do func(context.Context, Peer) (T, error)) (T, error) {
	type answer struct {
		way Peer
		got T
		err error
	}
	var none T
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ways := f.backends(false)
	answers := make(chan answer, len(ways))
	timer := time.NewTimer(quiet)
	defer timer.Stop()
	begun, running := 0, 0
	begin := func() {
		if begun == len(ways) {
			return
		}
		way := ways[begun]
		begun++
		running++
		timer.Reset(quiet)
		go func() {
			one, cancel := context.WithTimeout(ctx, quiet+slowAnswerTimeout)
			defer cancel()
			got, err := do(one, way)
			answers <- answer{way, got, err}
		}()
	}
	begin()
	var last error
	for running > 0 {
		select {
		case a := <-answers:
			running--
			if a.err == nil || !canFailOver(a.err) {
				f.recordResult(a.way, nil)
				return a.got, a.err
			}
			if ctx.Err() != nil {
				return none, a.err
			}
			f.recordResult(a.way, a.err)
			last = a.err
			begin()
		case <-timer.C:
			f.recordResult(ways[begun-1], ErrUnavailable)
			begin()
		case <-ctx.Done():
			return none, errors.Mark(ctx.Err(), ErrUnavailable)
		}
	}
	return none, last
}

// Reaches reports whether the direct way works, as far as the last call over it tells.
func (f *Failover) Reaches() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.directFailed
}

// Away reports whether no way works, as far as the last calls tell.
func (f *Failover) Away() bool {
	noPeers := len(f.peers()) == 0
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directFailed && (f.peersFailed || noPeers)
}

// canFailOver reports whether another way may serve a call that failed so.
func canFailOver(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRefused)
}

// backends returns the ways to try, in order. A direct way that has failed is tried again
// after avoidInterval, but not by an append: an append that is not answered cannot be
// repeated elsewhere, and a caller waits for it. A read that succeeds clears it.
func (f *Failover) backends(appends bool) []Peer {
	f.mu.Lock()
	now := time.Now()
	directLast, noPeers := now.Before(f.avoidDirectUntil) || appends && f.directFailed, now.Before(f.avoidPeersUntil)
	f.mu.Unlock()
	var peers []Peer
	if !noPeers {
		peers = f.peers()
		peers = peers[:min(len(peers), maxPeersPerCall)]
	}
	if directLast {
		return append(peers, f.direct)
	}
	return append([]Peer{f.direct}, peers...)
}

func (f *Failover) recordResult(way Peer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := time.Time{}
	if err != nil {
		until = time.Now().Add(avoidInterval)
	}
	if way == Peer(f.direct) {
		f.avoidDirectUntil, f.directFailed = until, err != nil
		return
	}
	f.avoidPeersUntil, f.peersFailed = until, err != nil
}
