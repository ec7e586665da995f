package runner_test

import (
	"context"
	"testing"
	"time"

	"pumiceford/standin/sharedstore"
)

// Guards against an account that knows only online work: an item holds a slot while it runs
// and wants one while it waits, and is accounted to its workspace.
func TestItemsAreAccounted(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n := startNode(ctx, s, e, "a")
		n.seats.setRefusing(true)
		time.Sleep(joinTime)
		job := spec("job", 8)
		job.Workspace = "w"
		if err := n.jobs.Accept(ctx, job); err != nil {
			t.Fatal(err)
		}
		expect := func(state string, held, waiting bool) {
			t.Helper()
			rows := n.shares.Usage(time.Now())
			if len(rows) != 1 || rows[0].Workspace != "w" || rows[0].Held > 0.5 != held || rows[0].Waiting > 0.5 != waiting {
				t.Errorf("%s: got %+v", state, rows)
			}
		}
		time.Sleep(20 * time.Second)
		expect("no seats", false, true)
		n.seats.setRefusing(false)
		time.Sleep(itemDuration / 2)
		expect("running", true, true) // both are averages
		time.Sleep(time.Minute)
		if rows := n.shares.Usage(time.Now()); len(rows) > 0 {
			t.Errorf("%+v is left", rows)
		}
	})
}
