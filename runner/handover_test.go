package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/fleet"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/standin/sharedstore"
	"pumiceford/wire"
)

// Guards against a process that ends by a nil pointer when a partition is handed over while its
// items are sorted.
func TestItemsHandedOverDuringAScanAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ms := metrics.New("a")
		r := New(Config{
			Store: jobstore.New(ctx, sharedstore.New(2).ClientFor("a"), jobstore.Settings{Topic: "jobs", Partitions: 2}, logging.Logger{}),
			View:  fleet.NewView(nil, 1, logging.Logger{}, ms), Metrics: ms,
		})
		var found []candidate
		for part := range 2 {
			r.assigned[part] = true
			open := jobstore.OpenItem{Job: string(rune('a' + part)), Spec: &wire.JobSpec{}, Item: &wire.JobItem{}}
			r.itemLocked(open.Key(), part)
			found = append(found, candidate{open: open, part: part})
		}
		r.handOver(ctx, []int{0})
		if got := r.sorted(time.Now(), found); len(got) != 1 || got[0].part != 1 {
			t.Errorf("got %d candidates, want only the one of the partition that stays", len(got))
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
