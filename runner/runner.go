// Package runner runs the items of batch jobs. Each process joins a group on the
// shared store, which proposes partitions to it; it runs the open items of those
// in seats that the agents beside the targets grant.
//
// The proposal is no lock: after a change two processes may run the same item
// for a moment. Only one result is listed, and it never changes.
package runner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"pumiceford/exchange"
	"pumiceford/fleet"
	"pumiceford/jobs"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/seats"
	"pumiceford/store"
	"pumiceford/targets"
)

// Seats grants seats at targets.
type Seats interface {
	// Acquire returns a seat at a target, nil when none is free there.
	Acquire(ctx context.Context, in targets.Instance, due time.Time) (*seats.Seat, error)
}

// Config says what a Runner works with.
type Config struct {
	Member  string // of this process in the group
	Group   string
	Store   *jobstore.Store
	Groups  store.Groups
	View    *fleet.View
	Sender  exchange.Sender
	Seats   Seats
	Log     logging.Logger
	Metrics *metrics.Set
	// Headers returns the header of an item's call.
	Headers func(item map[string]string) map[string][]string
	// MaxRunning bounds the items that run at a time, for memory.
	MaxRunning int
}

// Bounds of running.
const (
	// lookEvery is how often the open items are looked at when nothing changed.
	lookEvery = 100 * time.Millisecond
	// startAge is how old the knowledge of a job may be when an item is started.
	// An ended job's items must not start once its end has been told for three
	// seconds.
	startAge = 1500 * time.Millisecond
	// backoffFirst and backoffMost bound the pause before an item is tried again
	// after a failure of a target.
	backoffFirst = 50 * time.Millisecond
	backoffMost  = time.Second
	// listEvery gathers results that finish together into one append. It is small
	// beside the five seconds that an item runs.
	listEvery = 40 * time.Millisecond
	// listTimeout bounds one attempt to list; it is repeated.
	listTimeout = 3 * time.Second
	// sweepEvery is how often jobs that are over are looked for.
	sweepEvery = 30 * time.Second
)

// Runner runs items.
type Runner struct {
	cfg Config

	mu       sync.Mutex // held for memory only
	mine     map[int]bool
	work     map[workKey]*work
	running  int
	finished map[int][]jobs.Outcome // to be listed, by partition
	leaving  bool
	wake     chan struct{}
	list     chan struct{}
	idle     sync.WaitGroup
}

type workKey struct {
	job  string
	item int
}

// work is what this process knows of an open item beside the store: how far it
// came and when it may be tried again.
type work struct {
	key       workKey
	part      int
	running   bool
	done      bool // finished, about to be listed
	cancel    context.CancelFunc
	last      uint64 // last whole event
	text      []byte
	failed    int // attempts that targets said had failed
	never     bool
	backoff   time.Duration
	notBefore time.Time
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg: cfg, mine: make(map[int]bool), work: make(map[workKey]*work),
		finished: make(map[int][]jobs.Outcome),
		wake:     make(chan struct{}, 1), list: make(chan struct{}, 1),
	}
}

// Run runs items until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, loop := range []func(context.Context){r.membership, r.dispatch, r.lister, r.sweeper} {
		all.Add(1)
		go func() {
			defer all.Done()
			loop(ctx)
		}()
	}
	all.Wait()
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// candidate is an open item that may be started now.
type candidate struct {
	open jobstore.OpenItem
	part int
	due  time.Time
}

// dispatch starts open items, the earliest due first.
func (r *Runner) dispatch(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.wake:
		}
		for _, c := range r.candidates(time.Now()) {
			if ctx.Err() != nil || !r.start(ctx, c) {
				break
			}
		}
	}
}

func (r *Runner) partitions() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return nil
	}
	out := make([]int, 0, len(r.mine))
	for p := range r.mine {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

// candidates returns the items of this process's partitions that may start now,
// and stops what must not run any more.
func (r *Runner) candidates(now time.Time) []candidate {
	var out []candidate
	open := make(map[workKey]bool)
	for _, part := range r.partitions() {
		items, _, _ := r.cfg.Store.Open(part)
		for _, it := range items {
			open[workKey{it.Job, it.Index}] = true
			if r.mayStart(now, part, it) {
				due := time.UnixMilli(it.Spec.GetDueUnixMs())
				out = append(out, candidate{open: it, part: part, due: due})
			}
		}
	}
	r.stopClosed(open)
	slices.SortStableFunc(out, func(a, b candidate) int {
		if c := a.due.Compare(b.due); c != 0 {
			return c
		}
		return cmp.Compare(a.open.Index, b.open.Index)
	})
	return out
}

func (r *Runner) mayStart(now time.Time, part int, it jobstore.OpenItem) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := workKey{it.Job, it.Index}
	w := r.work[k]
	if w == nil {
		w = &work{key: k, part: part}
		r.work[k] = w
	}
	w.failed = max(w.failed, it.Failed)
	w.never = w.never || it.Impossible
	return !w.running && !w.done && !now.Before(w.notBefore)
}

// stopClosed ends runs of items that are not open any more, or whose partition
// was proposed to another process, and forgets them.
func (r *Runner) stopClosed(open map[workKey]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return // what runs may finish
	}
	for k, w := range r.work {
		switch {
		case open[k] || w.done:
		case w.running:
			// A run whose partition went to another process goes on: its result
			// is as good, and the other one has to start from nothing.
			if r.mine[w.part] {
				w.cancel()
			}
		default:
			delete(r.work, k)
		}
	}
}

// start starts one item. It reports whether more may be started.
func (r *Runner) start(ctx context.Context, c candidate) bool {
	r.mu.Lock()
	full := r.running >= r.cfg.MaxRunning
	w := r.work[workKey{c.open.Job, c.open.Index}]
	r.mu.Unlock()
	if full || w == nil {
		return !full
	}
	if done, next := r.settled(c, w); done {
		return next
	}
	if err := r.cfg.Store.Refresh(ctx, c.part, startAge); err != nil {
		return false // whether the job still runs cannot be told
	}
	service, ok := r.service(c)
	if !ok {
		return true
	}
	seat, in := r.seat(ctx, service, c.due)
	if seat == nil {
		return false
	}
	run, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	w.running, w.cancel = true, cancel
	r.running++
	r.mu.Unlock()
	r.idle.Add(1)
	go func() {
		defer r.idle.Done()
		defer cancel()
		defer seat.Close()
		r.run(run, c, w, in, seat)
	}()
	return true
}

// settled lists an item that needs no run: it can never be done, failed too
// often, or may be given up.
func (r *Runner) settled(c candidate, w *work) (done, next bool) {
	r.mu.Lock()
	failed, never := w.failed, w.never
	r.mu.Unlock()
	attempts := 1
	if route := r.route(c); route != nil {
		attempts = max(route.Attempts, 1)
	}
	late := time.Now().After(time.UnixMilli(c.open.Spec.GetAbandonUnixMs()).Add(clockMargin))
	if !never && failed < attempts && !late {
		return false, true
	}
	why := "failed too often"
	switch {
	case never:
		why = "a target says that it can never be done"
	case late:
		why = "its time is over"
	}
	r.cfg.Log.Warn("item given up", logging.F("job", c.open.Job), logging.F("item", c.open.Item.GetId()),
		logging.F("why", why), logging.F("failed", failed))
	r.cfg.Metrics.Count("item_given_up")
	r.finish(w, c.part, jobs.Outcome{Job: c.open.Job, Item: c.open.Index, Dead: true})
	return true, true
}

// clockMargin is how far the wall clocks of two hosts may differ: an item is not
// given up before its time by any of them.
const clockMargin = 3 * time.Second

func (r *Runner) finish(w *work, part int, o jobs.Outcome) {
	r.mu.Lock()
	w.done = true
	r.finished[part] = append(r.finished[part], o)
	r.mu.Unlock()
	poke(r.list)
}

// Leave stops starting items, waits until what runs has ended or until ctx ends,
// lists what came of it and leaves the group.
func (r *Runner) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		r.idle.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	r.listAll(bound)
	if err := r.cfg.Groups.Leave(bound, r.cfg.Group, r.cfg.Member); err != nil {
		r.cfg.Log.Warn("group not left; the store notices later", logging.F("error", err.Error()))
	}
}

// leaveTimeout bounds the last calls to the store.
const leaveTimeout = 800 * time.Millisecond
