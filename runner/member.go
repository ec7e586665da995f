package runner

import (
	"context"
	"sync"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/jobs"
	"pumiceford/logging"
	"pumiceford/store"
)

// Intervals of membership.
const (
	// memberTTL is how long a silent member keeps its partitions: three missed
	// calls. Its items wait that long when it dies, of the 18 seconds they have.
	memberTTL = 2500 * time.Millisecond
	joinEvery = 800 * time.Millisecond
)

// membership keeps this process in the group and takes what is proposed to it.
func (r *Runner) membership(ctx context.Context) {
	var generation uint64
	for ctx.Err() == nil {
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
			r.assign(m)
		}
		_ = wait.For(ctx, joinEvery)
	}
}

func (r *Runner) assign(m store.Membership) {
	mine := make(map[int]bool)
	for _, p := range m.Partitions {
		if p.Topic == r.cfg.Store.Topic() {
			mine[p.Number] = true
		}
	}
	r.mu.Lock()
	changed := len(mine) != len(r.mine)
	for p := range mine {
		changed = changed || !r.mine[p]
	}
	if changed {
		r.mine = mine
	}
	leaving := r.leaving
	r.mu.Unlock()
	if !changed || leaving {
		return
	}
	r.cfg.Log.Info("partitions proposed", logging.F("generation", m.Generation), logging.F("count", len(mine)))
	r.cfg.Metrics.Gauge("partitions", float64(len(mine)))
	for p := range mine {
		r.cfg.Store.Follow(p)
	}
	poke(r.wake)
}

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
			r.cfg.Metrics.Count("items_listed")
			return
		}
		r.cfg.Log.Warn("results not listed; tried again", logging.F("partition", part),
			logging.F("results", len(outs)), logging.F("error", err.Error()))
		_ = wait.For(ctx, listPause)
	}
}

// listPause is left after results could not be listed.
const listPause = 100 * time.Millisecond
