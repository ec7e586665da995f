package runner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pumiceford/seats"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/targets"
)

// hookedSeats calls beforeGrant for each request for a seat, before it grants one.
type hookedSeats struct {
	seatPool
	beforeGrant func(in targets.Instance)
	// reserve answers reservations; nil grants none.
	reserve func(ctx context.Context, in targets.Instance) *seats.Seat
}

// Reserve implements runner.Seats.
func (s *hookedSeats) Reserve(ctx context.Context, in targets.Instance, req seats.Request, limit time.Duration) (*seats.Seat, error) {
	if s.reserve == nil {
		return s.seatPool.Reserve(ctx, in, req, limit)
	}
	return s.reserve(ctx, in), nil
}

// Acquire implements runner.Seats.
func (s *hookedSeats) Acquire(ctx context.Context, in targets.Instance, req seats.Request) (*seats.Seat, error) {
	s.beforeGrant(in)
	return s.seatPool.Acquire(ctx, in, req)
}

// Guards against an item that reaches a target four seconds after the runner learnt that the
// target is draining. The runner requests a seat from the agents in an order that it computed
// before, and some agents are unresponsive; in the meantime a target starts draining, and its
// agent still grants the seat. The state of the targets must be checked again before the item
// is sent.
func TestDrainingTargetGetsNoItem(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n := startNode(ctx, s, e, "a")
		first := ""
		n.seats.beforeGrant = func(in targets.Instance) {
			if first == "" {
				first = in.ID
				n.view.TargetSink().Apply(store.Record{Key: in.ID})
			}
		}
		for i := range 2 {
			n.view.TargetSink().Apply(store.Record{Key: fmt.Sprint("i", i), Value: []byte("1")})
		}
		time.Sleep(joinTime)
		acceptJob(ctx, t, n, "job", 1)
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, n, "job", 1)
		if to := e.sentTo("job-0"); len(to) != 1 || to[0] == first {
			t.Errorf("item sent to %v, want one target other than the draining %s", to, first)
		}
	})
}
