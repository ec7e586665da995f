package runner_test

import (
	"context"
	"testing"
	"time"

	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// savedProgress returns the number of progress records that the store keeps.
func savedProgress(s *sharedstore.Store) (n int) {
	for p := range parts {
		n += s.ClientFor("reader").KeyCount(store.Partition{Topic: "progress", Number: p})
	}
	return n
}

// startWithProgress starts a node with a job whose items have saved progress.
func startWithProgress(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) *node {
	t.Helper()
	e.slow = func(string) bool { return true }
	n := startNode(ctx, s, e, "a")
	time.Sleep(joinTime)
	acceptJob(ctx, t, n, "job", 3)
	time.Sleep(4 * slowInterval)
	if savedProgress(s) == 0 {
		t.Fatal("no progress is saved")
	}
	return n
}

// Guards against progress of items that stays on the store for good after their job has ended.
func TestProgressOfEndedJobIsDeleted(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n := startWithProgress(ctx, t, s, e)
		if err := n.jobs.End(ctx, "job"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second) // the next read of the partition confirms that the job is over
		if left := savedProgress(s); left != 0 {
			t.Errorf("%d records of progress are left, want 0", left)
		}
	})
}

// Guards against the same if the process that saved the progress was killed, or the store did not
// answer when it was to be deleted.
func TestProgressIsDeletedByItsNextOwner(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n := startWithProgress(ctx, t, s, e)
		n.stop()
		other := openJobs(ctx, s.ClientFor("b"))
		if err := other.End(ctx, "job"); err != nil {
			t.Fatal(err)
		}
		for p := range parts {
			s.SetPartitionFault(store.Partition{Topic: "progress", Number: p}, sharedstore.Refuse)
		}
		next := startNode(ctx, s, e, "c")
		time.Sleep(500 * time.Millisecond)
		for p := range parts {
			s.SetPartitionFault(store.Partition{Topic: "progress", Number: p}, sharedstore.NoFault)
		}
		time.Sleep(joinTime + 20*time.Second)
		next.stop()
		if left := savedProgress(s); left != 0 {
			t.Errorf("%d records of progress are left, want 0", left)
		}
	})
}
