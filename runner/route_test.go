package runner_test

import (
	"context"
	"testing"
	"time"

	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// Guards against a late item that moves to another target of a service to which its route no
// longer sends it.
func TestItemDoesNotMoveWithinAServiceThatItsRouteLeft(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		e.slowAtFirst()
		n := startNode(ctx, s, e, "a")
		n.view.TargetSink().Apply(store.Record{Key: "i1", Value: []byte("1")})
		time.Sleep(joinTime)
		acceptJob(ctx, t, n, "job", 1)
		e.awaitRun("job-0")
		n.setCatalog("moved")
		time.Sleep((events + 2) * slowInterval)
		if to := e.sentTo("job-0"); len(to) != 1 {
			t.Errorf("item sent to %v, want no target of its old service after the first", to)
		}
		checkFinished(ctx, t, n, "job", 1)
	})
}

// Guards against an item that starts in a reserved seat at a service that its route has left
// while the item waited.
func TestReservedSeatAtAServiceThatTheRouteLeftIsNotUsed(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		var n *node
		n, ag := startFull(ctx, s, e, func(string) bool { return n != nil && n.view.Catalog().Version == 4 })
		acceptJob(ctx, t, n, "job", 1)
		time.Sleep(500 * time.Millisecond)
		n.setCatalog("moved")
		time.Sleep(itemDuration)
		if runs := e.runs("job-0"); len(runs) != 0 {
			t.Errorf("item ran %d times at its old service, want 0", len(runs))
		}
		if _, _, held := ag.state(); held != 0 {
			t.Errorf("%d seats held, want 0", held)
		}
	})
}
