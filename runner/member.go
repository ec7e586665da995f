package runner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/store"
)

// Intervals and bounds of membership.
const (
	// memberTTL is how long a silent member keeps its partitions: three missed
	// calls. Its items wait that long when it dies, of the 18 seconds they have.
	memberTTL = 1600 * time.Millisecond
	joinEvery = 500 * time.Millisecond
	// handOverTimeout bounds stopping the runs of a partition and keeping how far
	// they came.
	handOverTimeout = time.Second
	// progressTimeout bounds reading how far the items of a new partition came;
	// without an answer they start anew.
	progressTimeout = 1500 * time.Millisecond
	leaveTimeout    = 800 * time.Millisecond
	// takeOverPause is left between attempts to read a new partition.
	takeOverPause = 100 * time.Millisecond
	// tellTakeOver is how often a partition that cannot be read is told of: its items
	// wait for this process, which would say nothing otherwise.
	tellTakeOver = 3 * time.Second
)

// errHandOver says that another process goes on with an item.
var errHandOver = errors.New("item handed over")

// membership keeps this process in the group and takes what is proposed to it.
func (r *Runner) membership(ctx context.Context) {
	var generation uint64
	for ctx.Err() == nil && !r.isLeaving() {
		m, err := r.cfg.Groups.Join(ctx, store.JoinRequest{
			Group: r.cfg.Group, Member: r.cfg.Member, Topics: []string{r.cfg.Store.Topic()},
			TTL: memberTTL, Generation: generation,
		})
		if err != nil {
			// What was proposed last still counts: nothing is lost when another
			// process runs it as well.
			r.cfg.Metrics.Count("group_failures")
		} else {
			generation = m.Generation
			r.assign(ctx, m)
		}
		_ = wait.For(ctx, joinEvery)
	}
}

// Holds reports whether a partition is proposed to this process.
func (r *Runner) Holds(part int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.mine[part]
	return ok
}

func (r *Runner) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// assign takes a proposal. Partitions that went are handed over before the next
// call to the group, which lets another member have them: so their items are not
// run twice and go on where they are.
func (r *Runner) assign(ctx context.Context, m store.Membership) {
	proposed := make(map[int]bool)
	for _, p := range m.Partitions {
		if p.Topic == r.cfg.Store.Topic() {
			proposed[p.Number] = true
		}
	}
	var gained, lost []int
	r.mu.Lock()
	for p := range proposed {
		if _, known := r.mine[p]; !known {
			r.mine[p] = false
			gained = append(gained, p)
		}
	}
	for p := range r.mine {
		if !proposed[p] {
			delete(r.mine, p)
			lost = append(lost, p)
		}
	}
	r.mu.Unlock()
	if len(gained)+len(lost) == 0 {
		return
	}
	slices.Sort(gained)
	r.cfg.Log.Info("partitions proposed", logging.F("generation", m.Generation), logging.F("count", len(proposed)),
		logging.F("gained", gained), logging.F("lost", lost))
	r.cfg.Metrics.Gauge("partitions", float64(len(proposed)))
	for _, p := range gained {
		go r.takeOver(ctx, p)
	}
	r.handOver(ctx, lost)
}

// takeOver reads how far the items of a partition came, and lets them start.
func (r *Runner) takeOver(ctx context.Context, part int) {
	// The jobs have to be known before the progress counts: what belongs to no
	// open item is forgotten.
	began, told := time.Now(), time.Now()
	for err := r.cfg.Store.Refresh(ctx, part, startAge); err != nil; err = r.cfg.Store.Refresh(ctx, part, startAge) {
		if wait.For(ctx, takeOverPause) != nil || !r.Holds(part) {
			return
		}
		if time.Since(told) >= tellTakeOver {
			told = time.Now()
			r.cfg.Log.Warn("partition not taken over yet; its items wait", logging.F("partition", part),
				logging.F("for_ms", time.Since(began).Milliseconds()), logging.F("error", err.Error()))
		}
	}
	one, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	all, err := r.cfg.Store.LoadProgress(one, part)
	for err != nil && wait.For(one, takeOverPause) == nil {
		all, err = r.cfg.Store.LoadProgress(one, part)
	}
	if err != nil {
		r.cfg.Log.Warn("progress not read; items start anew", logging.F("partition", part), logging.F("error", err.Error()))
	}
	r.mu.Lock()
	for _, p := range all {
		w := r.workLocked(p.Key, part)
		if !w.running && p.Last > w.last {
			w.last, w.text, w.saved = p.Last, p.Text, p.Last
		}
	}
	if _, still := r.mine[part]; still {
		r.mine[part] = true
	}
	r.mu.Unlock()
	poke(r.wake)
}

// handOver stops the runs of partitions that went to other processes and keeps
// how far they came.
func (r *Runner) handOver(ctx context.Context, lost []int) {
	if len(lost) == 0 {
		return
	}
	bound, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	r.stopRuns(bound, func(w *work) bool { return slices.Contains(lost, w.part) })
	for _, part := range lost {
		r.save(bound, part)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, w := range r.work {
		if slices.Contains(lost, w.part) && !w.running && !w.done {
			delete(r.work, k)
		}
	}
}

// stopRuns ends runs and waits until they have ended.
func (r *Runner) stopRuns(ctx context.Context, which func(*work) bool) {
	var ended []chan struct{}
	r.mu.Lock()
	for _, w := range r.work {
		if w.running && which(w) {
			w.cancel(errHandOver)
			ended = append(ended, w.ended)
		}
	}
	r.mu.Unlock()
	for _, ch := range ended {
		select {
		case <-ch:
		case <-ctx.Done():
			return
		}
	}
}

// Leave stops running items, keeps how far they came, lists what has finished and
// leaves the group, so that another process goes on at once.
func (r *Runner) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	parts := make([]int, 0, len(r.mine))
	for p := range r.mine {
		parts = append(parts, p)
	}
	r.mu.Unlock()
	bound, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	r.stopRuns(bound, func(*work) bool { return true })
	for _, part := range parts {
		r.save(bound, part)
	}
	r.listAll(bound)
	last, done := context.WithTimeout(ctx, leaveTimeout)
	defer done()
	if err := r.cfg.Groups.Leave(last, r.cfg.Group, r.cfg.Member); err != nil {
		r.cfg.Log.Warn("group not left; the store notices later", logging.F("error", err.Error()))
	}
	r.cfg.Log.Info("items handed over", logging.F("partitions", len(parts)))
}

// save keeps how far the open items of a partition came since the last time.
func (r *Runner) save(ctx context.Context, part int) {
	var all []jobstore.Progress
	r.mu.Lock()
	for _, w := range r.work {
		if w.part == part && !w.done && w.last > w.saved {
			all = append(all, jobstore.Progress{Key: w.key, Last: w.last, Text: slices.Clone(w.text)})
		}
	}
	r.mu.Unlock()
	if len(all) == 0 {
		return
	}
	if err := r.cfg.Store.SaveProgress(ctx, part, all); err != nil {
		r.cfg.Metrics.Count("progress_not_saved")
		r.cfg.Log.Warn("progress not kept", logging.F("partition", part), logging.F("items", len(all)), logging.F("error", err.Error()))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range all {
		if w := r.work[p.Key]; w != nil {
			w.saved = max(w.saved, p.Last)
		}
	}
}
