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

// Intervals and timeouts of the background loops.
const (
	// listDelay is the wait before results are listed, so that results that finish
	// together share one append. It is short compared to the five seconds of a run.
	listDelay = 40 * time.Millisecond
	// storeTimeout bounds one request to the store.
	storeTimeout = 3 * time.Second
	// listRetryPause is the pause after a failed attempt to list results.
	listRetryPause = 100 * time.Millisecond
	// saveInterval is how often the progress of running items is saved. A crash repeats
	// up to that much of an item's five seconds. 25 running items cost 12 records per
	// second for the whole fleet.
	saveInterval = 1500 * time.Millisecond
	// handOffInterval is how often hints are handed off to their home partitions. The
	// results of these jobs become readable up to that much later.
	handOffInterval = 250 * time.Millisecond
	// sweepInterval is how often expired jobs are dropped.
	sweepInterval = 30 * time.Second
)

// sweepLoop drops jobs whose retention period has passed.
func (r *Runner) sweepLoop(ctx context.Context) {
	for wait.For(ctx, sweepInterval) == nil {
		for _, p := range r.partitions() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			if err := r.cfg.Store.DeleteExpired(callCtx, p, time.Now()); err != nil {
				r.cfg.Log.Warn("expired jobs not dropped; will retry", logging.F("partition", p), logging.F("error", err.Error()))
			}
			cancel()
		}
	}
}

// handOffLoop hands off jobs that were accepted at another partition, because their home
// partition was unavailable, to the home partition.
func (r *Runner) handOffLoop(ctx context.Context) {
	for wait.For(ctx, handOffInterval) == nil {
		for _, p := range r.partitions() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			// Failures are retried; the job store logs them.
			if r.cfg.Store.HandOff(callCtx, p) != nil {
				r.cfg.Metrics.Count("hand_off_failures")
			}
			cancel()
		}
	}
}

// saveLoop saves the progress of running items, and deletes that of closed ones. A save in progress can
// thus not follow the deletion.
func (r *Runner) saveLoop(ctx context.Context) {
	for wait.For(ctx, saveInterval) == nil {
		for _, p := range r.partitions() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			r.saveProgress(callCtx, p)
			cancel()
		}
		r.deleteObsolete(ctx)
	}
}

// listLoop lists finished items in batches.
func (r *Runner) listLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeLister:
		}
		_ = wait.For(ctx, listDelay)
		// A goroutine per batch, because a partition whose append waits for the store
		// must not delay the others.
		go r.listFinished(ctx)
	}
}

// listFinished lists all finished items, by partition, and waits until that is done.
func (r *Runner) listFinished(ctx context.Context) {
	r.mu.Lock()
	batch := r.finished
	r.finished = make(map[int][]jobs.Outcome)
	r.mu.Unlock()
	var wg sync.WaitGroup
	for part, outs := range batch {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.listPartition(ctx, part, outs)
		}()
	}
	wg.Wait()
}

// listPartition lists outcomes of one partition. It retries until the store has them or ctx
// is done.
func (r *Runner) listPartition(ctx context.Context, part int, outs []jobs.Outcome) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := r.cfg.Store.RecordOutcomes(callCtx, part, outs)
		cancel()
		if err == nil {
			for _, o := range outs {
				r.cfg.Metrics.Count("results_listed")
				r.cfg.Log.Info("result listed", logging.F("job", o.Job), logging.F("index", o.Item),
					logging.F("dead", o.Dead), logging.F("bytes", len(o.Text)), logging.F("partition", part),
					logging.F("late_ms", time.Since(o.Due).Milliseconds()))
			}
			r.dropProgress(outs)
			return
		}
		r.cfg.Log.Warn("results not listed; will retry", logging.F("partition", part),
			logging.F("results", len(outs)), logging.F("error", err.Error()))
		_ = wait.For(ctx, listRetryPause)
	}
}

// dropProgress has the saved progress of listed items deleted.
func (r *Runner) dropProgress(outs []jobs.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range outs {
		r.unlistedBytes -= len(o.Text)
		if st := r.items[jobstore.ItemKey{Job: o.Job, Item: o.Item}]; st != nil {
			r.dropProgressLocked(st)
		}
	}
}

// dropProgressLocked has the saved progress of an item deleted that is not open any more. The caller
// holds r.mu.
func (r *Runner) dropProgressLocked(st *itemState) {
	if st.mayHaveSaved() {
		r.obsolete[st.part] = append(r.obsolete[st.part], jobstore.Progress{Key: st.key, Listed: true})
		st.savedEvent, st.saveBegun = 0, false
	}
}

// mayHaveSaved reports whether the store may have saved progress of an item. The caller holds
// Runner.mu.
func (st *itemState) mayHaveSaved() bool { return st.savedEvent > 0 || st.saveBegun }

// deleteObsolete deletes the saved progress of items that are not open any more. It keeps what fails
// for the next call.
func (r *Runner) deleteObsolete(ctx context.Context) {
	r.mu.Lock()
	obsolete := r.obsolete
	r.obsolete = make(map[int][]jobstore.Progress)
	r.mu.Unlock()
	for part, all := range obsolete {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := r.cfg.Store.SaveProgress(callCtx, part, all)
		cancel()
		if err == nil {
			continue
		}
		r.cfg.Metrics.Count("progress_not_dropped")
		r.mu.Lock()
		r.obsolete[part] = append(r.obsolete[part], all...)
		r.mu.Unlock()
	}
}
