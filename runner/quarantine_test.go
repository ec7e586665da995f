package runner_test

import (
	"context"
	"testing"
	"time"

	"pumiceford/quarantine"
	"pumiceford/standin/sharedstore"
	"pumiceford/targets"
)

// Guards against an item that crashes one target after another because it is retried without
// end. It must be quarantined while the other items of its job finish. It must also stay
// open: the item may be harmless, and its result is due until its deadline.
func TestQuarantinedItemWaitsWhileOthersFinish(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(joinTime)
		js := spec("job", 2)
		it := js.GetItems()[0]
		it.Body = []byte("deadly")
		key := quarantine.NewKey(js.GetCaller(), "POST", js.GetHost(), it.GetPath(), it.GetBody())
		for _, id := range []string{"x", "y", "z"} {
			a.quarantine.RecordBroken(ctx, quarantine.BrokenRun{Attempt: &quarantine.Attempt{Content: quarantine.Content{Key: key}}, Target: targets.Instance{ID: id}})
		}
		if err := a.jobs.Accept(ctx, js); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * itemDuration)
		if n := len(e.runs(it.GetId())); n > 0 {
			t.Errorf("the quarantined item ran %d times, want 0", n)
		}
		if res, err := a.jobs.Results(ctx, "job", 0, 0); err != nil || len(res.Items) != 1 {
			t.Fatalf("got %d results and error %v, want 1 result", len(res.Items), err)
		}
		a.quarantine.Clear(key)
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, a, "job", 2)
	})
}
