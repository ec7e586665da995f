package seats

import (
	"context"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Timeouts and delays of the entry's side.
const (
	acquireTimeout  = 250 * time.Millisecond
	watchRetryDelay = 200 * time.Millisecond // between attempts to reach an agent
)

// Seat is a granted seat. It is held until Close.
type Seat struct {
	release func()
	// Yield is closed when the agent asks for the seat back.
	Yield <-chan struct{}
}

// NewLocalSeat returns a seat without an agent.
func NewLocalSeat(yield <-chan struct{}) *Seat {
	return NewSeat(yield, func() {})
}

// NewSeat returns a seat that Close gives back by calling release.
func NewSeat(yield <-chan struct{}, release func()) *Seat {
	return &Seat{release: release, Yield: yield}
}

// Close gives the seat back.
func (s *Seat) Close() {
	s.release()
}

// Request is what an agent needs to know of an item that asks for a seat.
type Request struct {
	Due       time.Time // as schedule.Item.YieldDue returns it
	Workspace string
	Rank      int           // 0 is the most urgent
	Excess    float64       // see fairshare.Standing
	Remaining time.Duration // estimated time that the item still has to run
	Started   bool          // the item has made progress
	Late      bool          // the item can no longer be done in time
	Waited    time.Duration // time that the item has waited for a seat
}

// Acquire asks the agent at peer for a seat. It returns a nil Seat if none is free. The
// returned load is the one that the agent decided by.
func Acquire(ctx context.Context, peer *link.Peer, in targets.Instance, req Request) (*Seat, *wire.Load, error) {
	return ask(ctx, peer, in, req, 0)
}

// Reserve asks the agent at peer for a seat and waits there for up to limit until one is free
// and no more pressing item waits for it. It returns a nil Seat if the agent grants none. When
// ctx ends, the reservation is cancelled.
func Reserve(ctx context.Context, peer *link.Peer, in targets.Instance, req Request, limit time.Duration) (*Seat, error) {
	seat, _, err := ask(ctx, peer, in, req, limit)
	return seat, err
}

// ask sends a request for a seat and waits for its answer, which the agent may delay by limit.
func ask(ctx context.Context, peer *link.Peer, in targets.Instance, req Request, limit time.Duration) (*Seat, *wire.Load, error) {
	openCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	call := &wire.Call{Kind: &wire.Call_Seat{Seat: &wire.SeatRequest{
		Instance: in.ID, Slots: uint32(in.Slots), DueUnixMs: req.Due.UnixMilli(),
		Workspace: req.Workspace, Rank: int32(req.Rank), RemainingMs: req.Remaining.Milliseconds(),
		Excess: req.Excess, Started: req.Started, Late: req.Late, WaitedMs: req.Waited.Milliseconds(), WaitMs: limit.Milliseconds(),
	}}}
	st, err := peer.Open(openCtx, link.Batch, call)
	if err != nil {
		return nil, nil, err
	}
	st.SetDeadline(time.Now().Add(limit + acquireTimeout))
	keep := context.AfterFunc(ctx, st.Close)
	defer keep()
	reply := &wire.SeatReply{}
	if err := st.Recv(reply); err != nil {
		st.Close()
		return nil, nil, err
	}
	if !reply.GetGranted() || !keep() {
		st.Close() // a grant that arrives after ctx has ended is given back
		return nil, reply.GetLoad(), nil
	}
	st.SetDeadline(time.Time{})
	yield := make(chan struct{})
	go func() {
		more := &wire.SeatReply{}
		// The end of the stream alone does not stop the work: the failure of an agent
		// must not discard what the target has done.
		if st.Recv(more) == nil && more.GetYield() {
			close(yield)
		}
	}()
	return NewSeat(yield, st.Close), reply.GetLoad(), nil
}

// Watch calls onLoad with each load that the agent at peer sends, until ctx ends. It
// reconnects after errors.
func Watch(ctx context.Context, peer *link.Peer, in targets.Instance, onLoad func(*wire.Load)) {
	for ctx.Err() == nil {
		watchOnce(ctx, peer, in, onLoad)
		_ = wait.For(ctx, watchRetryDelay)
	}
}

func watchOnce(ctx context.Context, peer *link.Peer, in targets.Instance, onLoad func(*wire.Load)) {
	call := &wire.Call{Kind: &wire.Call_LoadWatch{LoadWatch: &wire.LoadWatch{Instance: in.ID, Slots: uint32(in.Slots)}}}
	st, err := peer.Open(ctx, link.Control, call)
	if err != nil {
		return // the session logs lost peers
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	for {
		load := &wire.Load{}
		if st.Recv(load) != nil {
			return
		}
		onLoad(load)
	}
}

// failureReportTimeout bounds sending a failure report. No request waits for it.
const failureReportTimeout = 500 * time.Millisecond

// ReportFailure reports to the agent at peer that a request of an entry failed at the agent's
// target. A lost report does no harm, because the next failure is reported again.
func ReportFailure(peer *link.Peer, entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), failureReportTimeout)
	defer cancel()
	st, err := peer.Open(ctx, link.Control, &wire.Call{Kind: &wire.Call_Fault{Fault: &wire.TargetFault{Entry: entry}}})
	if err == nil {
		st.Close()
	}
}
