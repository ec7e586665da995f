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

// slowly grants a seat only after a while, in which something may happen.
type slowly struct {
	plenty
	meanwhile func(in targets.Instance)
}

// Acquire implements runner.Seats.
func (s *slowly) Acquire(ctx context.Context, in targets.Instance, due time.Time) (*seats.Seat, error) {
	s.meanwhile(in)
	return s.plenty.Acquire(ctx, in, due)
}

// Symptom: an item reaches a target four seconds after it was told that the target
// leaves.
// Sequence: the agents are asked for a seat in an order that was made before; some are
// gone and do not answer; the target begins to leave; its agent grants the seat.
// Cause: what was known of the targets was not looked at again before the item was sent.
func TestATargetThatBeginsToLeaveGetsNoItem(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n := startNode(ctx, s, e, "a")
		first := ""
		n.seats.meanwhile = func(in targets.Instance) {
			if first == "" {
				first = in.ID
				n.view.TargetSink().Apply(store.Record{Key: in.ID})
			}
		}
		for i := range 2 {
			n.view.TargetSink().Apply(store.Record{Key: fmt.Sprint("i", i), Value: []byte("1")})
		}
		time.Sleep(joined)
		accept(ctx, t, n, "job", 1)
		time.Sleep(2 * whole)
		finished(ctx, t, n, "job", 1)
		if to := e.sentTo("job-0"); len(to) != 1 || to[0] == first {
			t.Errorf("sent to %v; %s had gone", to, first)
		}
	})
}
