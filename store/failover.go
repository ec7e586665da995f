package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of Failover.
const (
	// callTimeout bounds a call that waits for nothing: three times the 240 ms
	// that a store takes at its slowest seen.
	callTimeout = 800 * time.Millisecond
	// avoidFor is how long a way that failed is tried last: long enough that a
	// silent store does not hold up each call, short enough to return to the
	// direct way soon.
	avoidFor = time.Second
	// peersTried bounds the peers asked for one call.
	peersTried = 2
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

	mu          sync.Mutex
	avoidDirect time.Time
	avoidPeers  time.Time
}

// NewFailover returns a Failover.
func NewFailover(direct Client, peers func() []Peer) *Failover {
	return &Failover{direct: direct, peers: peers}
}

// Append implements Log. An append without an answer is not repeated here: the
// caller reads what became of it first.
func (f *Failover) Append(ctx context.Context, p Partition, recs []Record, at int64) (int64, error) {
	var end int64
	err := f.call(ctx, callTimeout, false, func(ctx context.Context, way Peer) (err error) {
		end, err = way.Append(ctx, p, recs, at)
		return err
	})
	return end, err
}

// Read implements Log.
func (f *Failover) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	var page Page
	err := f.call(ctx, wait+callTimeout, true, func(ctx context.Context, way Peer) (err error) {
		page, err = way.Read(ctx, p, from, wait)
		return err
	})
	return page, err
}

// Newest implements Log.
func (f *Failover) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	var snap Snapshot
	err := f.call(ctx, callTimeout, true, func(ctx context.Context, way Peer) (err error) {
		snap, err = way.Newest(ctx, p, after)
		return err
	})
	return snap, err
}

// Join implements Groups.
func (f *Failover) Join(ctx context.Context, req JoinRequest) (Membership, error) {
	var m Membership
	err := f.call(ctx, callTimeout, true, func(ctx context.Context, way Peer) (err error) {
		m, err = way.Join(ctx, req)
		return err
	})
	return m, err
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

// call makes a call by the direct way and then by peers, the direct way last
// while it is avoided. Only calls that change nothing, or the same again, are
// repeated after no answer.
func (f *Failover) call(ctx context.Context, timeout time.Duration, repeat bool, do func(context.Context, Peer) error) error {
	var last error
	for _, way := range f.ways() {
		one, cancel := context.WithTimeout(ctx, timeout)
		err := do(one, way)
		cancel()
		if err == nil || !passing(err) {
			f.note(way, nil)
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		f.note(way, err)
		last = err
		if !repeat && errors.Is(err, ErrUnavailable) {
			return err
		}
	}
	return last
}

// passing reports whether another way may serve a call that failed so.
func passing(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRefused)
}

func (f *Failover) ways() []Peer {
	f.mu.Lock()
	now := time.Now()
	directLast, noPeers := now.Before(f.avoidDirect), now.Before(f.avoidPeers)
	f.mu.Unlock()
	var peers []Peer
	if !noPeers {
		peers = f.peers()
		peers = peers[:min(len(peers), peersTried)]
	}
	if directLast {
		return append(peers, f.direct)
	}
	return append([]Peer{f.direct}, peers...)
}

func (f *Failover) note(way Peer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := time.Time{}
	if err != nil {
		until = time.Now().Add(avoidFor)
	}
	if way == Peer(f.direct) {
		f.avoidDirect = until
		return
	}
	f.avoidPeers = until
}
