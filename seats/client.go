package seats

import (
	"context"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Bounds of the entry's side.
const (
	acquireTimeout = 250 * time.Millisecond
	watchPause     = 200 * time.Millisecond // between attempts to reach an agent
)

// Seat is a granted seat. It is held until Close.
type Seat struct {
	release func()
	// Yield is closed when the seat is to be given back at once.
	Yield <-chan struct{}
}

// Granted returns a seat that no agent knows of.
func Granted(yield <-chan struct{}) *Seat {
	return &Seat{release: func() {}, Yield: yield}
}

// Close gives the seat back.
func (s *Seat) Close() {
	s.release()
}

// Acquire asks the agent at peer for a seat for work that is due at a time. It
// returns nil when none is free, with the load that decided it.
func Acquire(ctx context.Context, peer *link.Peer, in targets.Instance, due time.Time) (*Seat, *wire.Load, error) {
	ask, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	call := &wire.Call{Kind: &wire.Call_Seat{Seat: &wire.SeatRequest{Instance: in.ID, Slots: uint32(in.Slots), DueUnixMs: due.UnixMilli()}}}
	st, err := peer.Open(ask, link.Batch, call)
	if err != nil {
		return nil, nil, err
	}
	st.SetDeadline(time.Now().Add(acquireTimeout))
	reply := &wire.SeatReply{}
	if err := st.Recv(reply); err != nil {
		st.Close()
		return nil, nil, err
	}
	if !reply.GetGranted() {
		st.Close()
		return nil, reply.GetLoad(), nil
	}
	st.SetDeadline(time.Time{})
	yield := make(chan struct{})
	go func() {
		more := &wire.SeatReply{}
		// A stream that ends without a word leaves the work running: an agent
		// that died must not cost what its target has done.
		if st.Recv(more) == nil && more.GetYield() {
			close(yield)
		}
	}()
	return &Seat{release: st.Close, Yield: yield}, reply.GetLoad(), nil
}

// Watch passes on each load that the agent at peer tells, until ctx ends.
func Watch(ctx context.Context, peer *link.Peer, in targets.Instance, heard func(*wire.Load)) {
	for ctx.Err() == nil {
		watchOnce(ctx, peer, in, heard)
		_ = wait.For(ctx, watchPause)
	}
}

func watchOnce(ctx context.Context, peer *link.Peer, in targets.Instance, heard func(*wire.Load)) {
	call := &wire.Call{Kind: &wire.Call_LoadWatch{LoadWatch: &wire.LoadWatch{Instance: in.ID, Slots: uint32(in.Slots)}}}
	st, err := peer.Open(ctx, link.Control, call)
	if err != nil {
		return // the session's own log tells of lost peers
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	for {
		load := &wire.Load{}
		if st.Recv(load) != nil {
			return
		}
		heard(load)
	}
}

// faultTimeout bounds telling an agent of a failure. Nothing waits for it.
const faultTimeout = 500 * time.Millisecond

// TellFault tells the agent at peer that a request of an entry failed at its target.
// A word that is lost costs nothing: the next failure is told again.
func TellFault(peer *link.Peer, entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	defer cancel()
	st, err := peer.Open(ctx, link.Control, &wire.Call{Kind: &wire.Call_Fault{Fault: &wire.TargetFault{Entry: entry}}})
	if err == nil {
		st.Close()
	}
}
