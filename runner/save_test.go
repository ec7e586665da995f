package runner

import (
	"context"
	"testing"

	"pumiceford/fleet"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// hookedLog calls beforeAppend for each append.
type hookedLog struct {
	store.Log
	beforeAppend func()
}

func (l hookedLog) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	l.beforeAppend()
	return l.Log.Append(ctx, p, recs, at)
}

// Guards against progress that is deleted for an item which another process continues, and against
// progress that stays for an item which was closed, while a save was in progress.
func TestSaveInProgress(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(r *Runner)
		deleted   int
	}{
		"partition handed over": {func(r *Runner) { clear(r.items); clear(r.assigned) }, 0},
		"item closed":           {func(r *Runner) { r.cancelClosed([]int{0}, nil) }, 1},
		"item goes on":          {func(*Runner) {}, 0},
	} {
		var r *Runner
		ms := metrics.New("a")
		log := hookedLog{sharedstore.New(1).ClientFor("a"), func() { c.meanwhile(r) }}
		r = New(Config{
			Store: jobstore.New(t.Context(), log, jobstore.Settings{Topic: "jobs", ProgressTopic: "progress", Partitions: 1, MaxAppendBytes: 1 << 20}, logging.Logger{}),
			View:  fleet.NewView(nil, 1, logging.Logger{}, ms), Metrics: ms,
		})
		k := jobstore.ItemKey{Job: "job"}
		if err := r.cfg.Store.Refresh(t.Context(), 0, 0); err != nil {
			t.Fatal(err)
		}
		r.assigned[0] = true
		r.items[k] = &itemState{key: k, progress: progress{lastEvent: 7, text: []byte("x")}}
		r.saveProgress(t.Context(), 0)
		if got := len(r.obsolete[0]); got != c.deleted {
			t.Errorf("%s: %d records are to be deleted, want %d", name, got, c.deleted)
		}
	}
}
