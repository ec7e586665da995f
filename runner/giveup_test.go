package runner_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pumiceford/standin/sharedstore"
)

// failFirst makes the first run of each item fail.
func (e *engine) failFirst() {
	e.status = func(_ string, n int) int {
		if n == 0 {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	}
}

// awaitRun waits until a run of an item has begun.
func (e *engine) awaitRun(id string) {
	for len(e.runs(id)) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// startFailed accepts a job of one item at a node and stops the node after the item's first run
// has failed.
func startFailed(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
	t.Helper()
	e.failFirst()
	n := startNode(ctx, s, e, "a")
	time.Sleep(joinTime)
	n.seats.setRefusing(true)
	acceptJob(ctx, t, n, "job", 1)
	n.seats.setRefusing(false)
	e.awaitRun("job-0")
	n.seats.setRefusing(true)
	time.Sleep(time.Second) // the failure is saved
	n.stop()
}

// checkNotGivenUp checks that no result of a job is listed.
func checkNotGivenUp(ctx context.Context, t *testing.T, n *node, id string) {
	t.Helper()
	if res, err := n.jobs.Results(ctx, id, 0, 0); err != nil || len(res.Items) != 0 {
		t.Fatalf("results %v, error %v, want none yet", res.Items, err)
	}
}

// Guards against an item that is given up after one failure by a process that has loaded it but
// knows no configuration yet.
func TestFailedItemWaitsForTheConfiguration(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		startFailed(ctx, t, s, e)
		n := startNodeWithoutCatalog(ctx, s, e, "b")
		time.Sleep(2 * joinTime)
		checkNotGivenUp(ctx, t, n, "job")
		n.setCatalog("1")
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, n, "job", 1)
	})
}

// Guards against an item that is given up after one failure because its route is missing for a
// moment between two configurations.
func TestFailedItemWaitsForItsRoute(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		startFailed(ctx, t, s, e)
		n := startNodeWithoutCatalog(ctx, s, e, "b")
		n.setCatalog("none")
		time.Sleep(joinTime)
		checkNotGivenUp(ctx, t, n, "job")
		n.setCatalog("restored")
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, n, "job", 1)
	})
}

// Guards against items that are given up by an old configuration: the one of a copy may lack a
// route that was added since, and the store cannot be asked.
func TestUnconfirmedConfigurationGivesUpNoItem(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n := startNode(ctx, s, e, "a")
		time.Sleep(joinTime)
		lastConfirmed := time.Now()
		n.confirmedAt.Store(&lastConfirmed)
		n.setCatalog("none")
		acceptJob(ctx, t, n, "job", 1)
		time.Sleep(10 * time.Second)
		checkNotGivenUp(ctx, t, n, "job")
		n.setCatalog("restored")
		n.confirmedAt.Store(nil)
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, n, "job", 1)
	})
}
