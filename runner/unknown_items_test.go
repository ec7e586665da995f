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
)

// Guards against runs that are cancelled, and progress that is forgotten, because their partition
// is not loaded at the moment: a process that was suspended has stopped following it.
func TestRunsGoOnWhileTheirPartitionIsNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := sharedstore.New(1)
		s.SetFault("a", sharedstore.NoResponse)
		ms := metrics.New("a")
		r := New(Config{
			Store: jobstore.New(ctx, s.ClientFor("a"), jobstore.Settings{Topic: "jobs", Partitions: 1}, logging.Logger{}),
			View:  fleet.NewView(nil, 1, logging.Logger{}, ms), Metrics: ms,
		})
		runCtx, cancelRun := context.WithCancelCause(ctx)
		k := jobstore.ItemKey{Job: "job"}
		r.assigned[0] = true
		r.items[k] = &itemState{key: k, running: true, cancel: cancelRun, progress: progress{lastEvent: 7}}
		if found := r.candidates(time.Now()); len(found) != 0 {
			t.Errorf("candidates %v, want none", found)
		}
		if runCtx.Err() != nil {
			t.Errorf("the run was cancelled: %v", context.Cause(runCtx))
		}
		if st := r.items[k]; st == nil || st.lastEvent != 7 {
			t.Errorf("state %+v, want it as it was", st)
		}
		cancelRun(nil)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
