package runner

import (
	"context"
	"sync"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/jobs"
	"pumiceford/jobstore"
	"pumiceford/logging"
)

// Intervals of upkeep.
const (
	// listEvery gathers results that finish together into one append. It is small
	// beside the five seconds that an item runs.
	listEvery = 40 * time.Millisecond
	// listTimeout bounds one attempt to list, listPause is left after it.
	listTimeout = 3 * time.Second
	listPause   = 100 * time.Millisecond
	// saveEvery is how often the progress of running items is kept: what a crash
	// repeats of an item's five seconds. 25 running items cost 12 records each
	// second for the whole fleet.
	saveEvery = 1500 * time.Millisecond
	// handOffEvery is how often jobs that are kept for another partition are looked
	// for: their results are readable that much later.
	handOffEvery = 250 * time.Millisecond
	// sweepEvery is how often jobs that are over are looked for.
	sweepEvery = 30 * time.Second
)

// sweeper drops jobs that need not be readable any more.
func (r *Runner) sweeper(ctx context.Context) {
	for wait.For(ctx, sweepEvery) == nil {
		for _, p := range r.partitions() {
			one, cancel := context.WithTimeout(ctx, listTimeout)
			if err := r.cfg.Store.Sweep(one, p, time.Now()); err != nil {
				r.cfg.Log.Warn("old jobs not dropped; tried again later", logging.F("partition", p), logging.F("error", err.Error()))
			}
			cancel()
		}
	}
}

// handOffs brings jobs that were taken in while their own partitions were away to
// these.
func (r *Runner) handOffs(ctx context.Context) {
	for wait.For(ctx, handOffEvery) == nil {
		for _, p := range r.partitions() {
			one, cancel := context.WithTimeout(ctx, listTimeout)
			// What fails is tried again; the job store's own line tells of it.
			if r.cfg.Store.HandOff(one, p) != nil {
				r.cfg.Metrics.Count("hand_off_failures")
			}
			cancel()
		}
	}
}

// saver keeps the progress of running items.
func (r *Runner) saver(ctx context.Context) {
	for wait.For(ctx, saveEvery) == nil {
		for _, p := range r.partitions() {
			one, cancel := context.WithTimeout(ctx, listTimeout)
			r.save(one, p)
			cancel()
		}
	}
}

// lister lists finished items, those of a partition together.
func (r *Runner) lister(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.list:
		}
		_ = wait.For(ctx, listEvery)
		// In its own goroutine: a partition whose append waits for the store must
		// not hold up the others.
		go r.listAll(ctx)
	}
}

// listAll lists what has finished and waits for it.
func (r *Runner) listAll(ctx context.Context) {
	r.mu.Lock()
	batch := r.finished
	r.finished = make(map[int][]jobs.Outcome)
	r.mu.Unlock()
	var all sync.WaitGroup
	for part, outs := range batch {
		all.Add(1)
		go func() {
			defer all.Done()
			r.listOne(ctx, part, outs)
		}()
	}
	all.Wait()
}

// listOne lists outcomes of one partition until the store has them or ctx ends.
func (r *Runner) listOne(ctx context.Context, part int, outs []jobs.Outcome) {
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, listTimeout)
		err := r.cfg.Store.List(one, part, outs)
		cancel()
		if err == nil {
			for _, o := range outs {
				r.cfg.Metrics.Count("results_listed")
				r.cfg.Log.Info("result listed", logging.F("job", o.Job), logging.F("index", o.Item),
					logging.F("dead", o.Dead), logging.F("bytes", len(o.Text)), logging.F("partition", part),
					logging.F("late_ms", time.Since(o.Due).Milliseconds()))
			}
			r.forget(ctx, outs)
			return
		}
		r.cfg.Log.Warn("results not listed; tried again", logging.F("partition", part),
			logging.F("results", len(outs)), logging.F("error", err.Error()))
		_ = wait.For(ctx, listPause)
	}
}

// forget drops the progress that was kept of listed items.
func (r *Runner) forget(ctx context.Context, outs []jobs.Outcome) {
	drop := make(map[int][]jobstore.Progress) // by the partition that ran the item
	r.mu.Lock()
	for _, o := range outs {
		r.unlisted -= len(o.Text)
		k := jobstore.ItemKey{Job: o.Job, Item: o.Item}
		if w := r.work[k]; w != nil && w.saved > 0 {
			drop[w.part] = append(drop[w.part], jobstore.Progress{Key: k, Done: true})
		}
	}
	r.mu.Unlock()
	one, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	for part, all := range drop {
		if err := r.cfg.Store.SaveProgress(one, part, all); err != nil {
			// It stays until the store's room is looked through; nothing reads it.
			r.cfg.Metrics.Count("progress_not_dropped")
		}
	}
}
