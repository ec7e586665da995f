package runner_test

import (
	"context"
	"testing"
	"time"

	"pumiceford/quarantine"
	"pumiceford/standin/sharedstore"
	"pumiceford/targets"
)

// An item whose runs crash their targets was started again without end, each time at another
// target. It is held, its neighbours are done, and it stays open: an item may be sound after
// all, and its result is owed until its time is over.
func TestAHeldItemWaitsAndItsNeighboursAreDone(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(joined)
		js := spec("job", 2)
		it := js.GetItems()[0]
		it.Body = []byte("deadly")
		key := quarantine.NewKey(js.GetCaller(), "POST", js.GetHost(), it.GetPath(), it.GetBody())
		for _, id := range []string{"x", "y", "z"} {
			a.held.Broke(ctx, quarantine.Run{Key: key, Target: targets.Instance{ID: id}})
		}
		if err := a.jobs.Accept(ctx, js); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * whole)
		if n := len(e.runs(it.GetId())); n > 0 {
			t.Errorf("the held item ran %d times", n)
		}
		if res, err := a.jobs.Results(ctx, "job", 0, 0); err != nil || len(res.Items) != 1 {
			t.Fatalf("%d results, %v", len(res.Items), err)
		}
		a.held.Clear(key)
		time.Sleep(2 * whole)
		finished(ctx, t, a, "job", 2)
	})
}
