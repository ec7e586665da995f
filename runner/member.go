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

// Intervals and timeouts of group membership.
const (
	// memberTTL is how long an unresponsive member keeps its partitions: three missed
	// heartbeats. The items of a crashed member wait that long, out of the 18 seconds in
	// which they are due.
	memberTTL    = 1600 * time.Millisecond
	joinInterval = 500 * time.Millisecond
	// handOverTimeout bounds stopping the runs of lost partitions and saving their
	// progress.
	handOverTimeout = time.Second
	// loadProgressTimeout bounds loading the progress of the items of a new partition.
	// After it they restart from the first event.
	loadProgressTimeout = 1500 * time.Millisecond
	leaveTimeout        = 800 * time.Millisecond
	// takeOverRetryInterval is the pause between attempts to load a new partition.
	takeOverRetryInterval = 100 * time.Millisecond
	// takeOverWarnInterval is the interval of warnings about a partition that cannot be
	// loaded. Its items wait for this process, and nothing else reports that.
	takeOverWarnInterval = 3 * time.Second
)

// errHandOver is the cancellation cause of a run whose item another process continues.
var errHandOver = errors.New("item handed over")

// membershipLoop keeps this process in the group and applies its assignments.
func (r *Runner) membershipLoop(ctx context.Context) {
	var generation uint64
	joined := false
	for ctx.Err() == nil && !r.isLeaving() {
		if r.standby.Load() {
			// A leave deals the partitions anew, so a process that has not joined does not leave.
			// The membership of its predecessor under this name expires after memberTTL.
			if joined {
				r.stepDown(ctx)
			}
			generation, joined = 0, false
			for ctx.Err() == nil && r.standby.Load() && !r.isLeaving() {
				_ = wait.For(ctx, joinInterval)
			}
			continue
		}
		joined = true // also if no reply arrives
		m, err := r.cfg.Groups.Join(ctx, store.JoinRequest{
			Group: r.cfg.Group, Member: r.cfg.Member, Topics: []string{r.cfg.Store.Topic()},
			TTL: memberTTL, Generation: generation,
		})
		if err != nil {
			// The last assignment stays in force: no result is lost if another process
			// runs the same items as well.
			r.cfg.Metrics.Count("group_failures")
		} else {
			generation = m.Generation
			r.assign(ctx, m)
		}
		_ = wait.For(ctx, joinInterval)
	}
}

// SetStandby sets whether this process stays out of the group. On standby it hands its
// partitions over to the members; it joins again within joinInterval.
func (r *Runner) SetStandby(standby bool) {
	r.standby.Store(standby)
}

// stepDown hands all partitions over and leaves the group. If the store does not respond,
// the membership expires after memberTTL.
func (r *Runner) stepDown(ctx context.Context) {
	r.assign(ctx, store.Membership{})
	if !r.leaveGroup(ctx) {
		r.cfg.Metrics.Count("group_failures")
	}
}

// leaveGroup leaves the group. It reports whether that succeeded.
func (r *Runner) leaveGroup(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := r.cfg.Groups.Leave(ctx, r.cfg.Group, r.cfg.Member)
	if err != nil {
		r.cfg.Log.Warn("leaving the group failed; the membership expires on its own", logging.F("error", err.Error()))
	}
	return err == nil
}

// HasPartition reports whether a partition is assigned to this process.
func (r *Runner) HasPartition(part int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.assigned[part]
	return ok
}

func (r *Runner) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// assign applies an assignment. Lost partitions are handed over before the next heartbeat
// to the group, which releases them to another member. Their items are thus not run twice
// and resume from their progress.
func (r *Runner) assign(ctx context.Context, m store.Membership) {
	assigned := make(map[int]bool)
	for _, p := range m.Partitions {
		if p.Topic == r.cfg.Store.Topic() {
			assigned[p.Number] = true
		}
	}
	var gained, lost []int
	r.mu.Lock()
	for p := range assigned {
		if _, known := r.assigned[p]; !known {
			r.assigned[p] = false
			gained = append(gained, p)
		}
	}
	for p := range r.assigned {
		if !assigned[p] {
			delete(r.assigned, p)
			lost = append(lost, p)
		}
	}
	r.mu.Unlock()
	if len(gained)+len(lost) == 0 {
		return
	}
	slices.Sort(gained)
	r.cfg.Log.Info("partitions assigned", logging.F("generation", m.Generation), logging.F("count", len(assigned)),
		logging.F("gained", gained), logging.F("lost", lost))
	r.cfg.Metrics.SetGauge("partitions", float64(len(assigned)))
	for _, p := range gained {
		go r.takeOver(ctx, p)
	}
	r.handOver(ctx, lost)
}

// takeOver loads the progress of a partition's items and then lets them start.
func (r *Runner) takeOver(ctx context.Context, part int) {
	// Load the jobs before the progress: progress of items that are not open is discarded.
	began, warned := time.Now(), time.Now()
	for err := r.cfg.Store.Refresh(ctx, part, maxStateAge); err != nil; err = r.cfg.Store.Refresh(ctx, part, maxStateAge) {
		if wait.For(ctx, takeOverRetryInterval) != nil || !r.HasPartition(part) {
			return
		}
		if time.Since(warned) >= takeOverWarnInterval {
			warned = time.Now()
			r.cfg.Log.Warn("partition not loaded yet; its items wait", logging.F("partition", part),
				logging.F("for_ms", time.Since(began).Milliseconds()), logging.F("error", err.Error()))
		}
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadProgressTimeout)
	defer cancel()
	all, err := r.cfg.Store.LoadProgress(loadCtx, part)
	for err != nil && wait.For(loadCtx, takeOverRetryInterval) == nil {
		all, err = r.cfg.Store.LoadProgress(loadCtx, part)
	}
	if err != nil {
		r.cfg.Log.Warn("progress not loaded; items restart from the first event", logging.F("partition", part), logging.F("error", err.Error()))
	}
	loaded := time.Now()
	r.mu.Lock()
	for _, p := range all {
		st := r.itemLocked(p.Key, part)
		if !st.running && p.LastEvent > st.lastEvent {
			st.progress = progress{lastEvent: p.LastEvent, text: p.Text, software: p.Software, instances: p.Instances}
			st.savedEvent, st.savedAt = p.LastEvent, loaded
		}
	}
	if _, ok := r.assigned[part]; ok {
		r.assigned[part] = true
	}
	r.mu.Unlock()
	signal(r.wake)
}

// handOver stops the runs of lost partitions and saves their progress, so that other
// processes can resume them.
func (r *Runner) handOver(ctx context.Context, lost []int) {
	if len(lost) == 0 {
		return
	}
	stopCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	r.stopRuns(stopCtx, func(st *itemState) bool { return slices.Contains(lost, st.part) })
	for _, part := range lost {
		r.saveProgress(stopCtx, part)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, st := range r.items {
		if slices.Contains(lost, st.part) && !st.running && !st.done {
			st.stopWaiting()
			delete(r.items, k)
		}
	}
}

// stopRuns cancels the runs that match and waits until they have ended or ctx is done.
func (r *Runner) stopRuns(ctx context.Context, match func(*itemState) bool) {
	var ended []chan struct{}
	r.mu.Lock()
	for _, st := range r.items {
		if st.running && match(st) {
			st.cancel(errHandOver)
			ended = append(ended, st.ended)
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

// Leave stops running items, saves their progress, lists finished items and leaves the
// group, so that other processes resume the items without waiting for memberTTL.
func (r *Runner) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	parts := make([]int, 0, len(r.assigned))
	for p := range r.assigned {
		parts = append(parts, p)
	}
	for _, st := range r.items {
		st.stopWaiting()
	}
	r.mu.Unlock()
	stopCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	r.stopRuns(stopCtx, func(*itemState) bool { return true })
	for _, part := range parts {
		r.saveProgress(stopCtx, part)
	}
	r.listFinished(stopCtx)
	r.deleteObsolete(stopCtx)
	r.leaveGroup(ctx) // a failure is logged, and the process ends anyway
	r.cfg.Log.Info("items handed over", logging.F("partitions", len(parts)))
}

// saveProgress saves the progress that a partition's items have made since the last save.
func (r *Runner) saveProgress(ctx context.Context, part int) {
	var all []jobstore.Progress
	r.mu.Lock()
	for _, st := range r.items {
		if st.part == part && !st.done && st.lastEvent > st.savedEvent {
			st.saveBegun = true
			all = append(all, jobstore.Progress{Key: st.key, LastEvent: st.lastEvent, Text: slices.Clone(st.text), Software: st.software, Instances: slices.Clone(st.instances)})
		}
	}
	r.mu.Unlock()
	if len(all) == 0 {
		return
	}
	if err := r.cfg.Store.SaveProgress(ctx, part, all); err != nil {
		r.cfg.Metrics.Count("progress_not_saved")
		r.cfg.Log.Warn("progress not saved", logging.F("partition", part), logging.F("items", len(all)), logging.F("error", err.Error()))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range all {
		if st := r.items[p.Key]; st != nil {
			st.savedEvent, st.savedAt = max(st.savedEvent, p.LastEvent), time.Now()
		}
	}
}
