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
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/exchange"
	"pumiceford/fleet"
	"pumiceford/internal/wait"
	"pumiceford/jobs"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/schedule"
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
	Member string // of this process in the group
	Group  string
	Store  *jobstore.Store
	Groups store.Groups
	View   *fleet.View
	Sender exchange.Sender
	Seats  Seats
	// Quarantine takes the runs that broke.
	Quarantine *quarantine.Keeper
	Log        logging.Logger
	Metrics    *metrics.Set
	// Headers returns the header of an item's call.
	Headers func(item map[string]string) map[string][]string
	// MaxRunning bounds the items that run at a time, for memory.
	MaxRunning int
}

// Bounds of running.
const (
	// lookEvery is how often the open items are looked at when nothing changed.
	lookEvery = 100 * time.Millisecond
	// lookGap is left between two looks. Agents tell of free seats hundreds of times a
	// second, and each look goes through all open items.
	lookGap = 20 * time.Millisecond
	// startAge is how old the knowledge of a job may be when an item is started.
	// An ended job's items must not start once its end has been told for three
	// seconds.
	startAge = 1500 * time.Millisecond
	// backoffFirst and backoffMost bound the pause before an item is tried again
	// after a failure of a target.
	backoffFirst = 50 * time.Millisecond
	backoffMost  = time.Second
	// outageMost is how long items are started on what was known before the store
	// fell silent. A host that is cut off alone is not told of ended jobs.
	outageMost = 30 * time.Second
	// unlistedMost bounds the bytes of results that wait for the store: a fifth of
	// the smallest entry's memory.
	unlistedMost = 36 << 20
	// routelessFor is how long an item may be without a route before it is given
	// up: longer than a storm of configurations lasts.
	routelessFor = 6 * time.Second
	// askAgain is left between questions to a partition that does not answer.
	askAgain = time.Second
	// choosyFor is how long an item that failed avoids targets: twice as long as one
	// failure puts a target in doubt. Then any is better than none.
	choosyFor = 4 * time.Second
	// clockMargin is how far the wall clocks of two hosts may differ, each set wrong
	// by two seconds in its own direction, with as much again for chance: an item is
	// not given up before its time by any of them.
	clockMargin = 6 * time.Second
)

// Runner runs items.
type Runner struct {
	cfg Config

	mu       sync.Mutex   // held for memory only
	mine     map[int]bool // proposed partitions; true once their progress was read
	work     map[jobstore.ItemKey]*work
	running  int
	pace     *schedule.Pace
	unread   map[int]time.Time      // partitions that did not answer, and when
	finished map[int][]jobs.Outcome // to be listed, by partition
	unlisted int                    // bytes of results that are not listed yet
	leaving  bool
	wake     chan struct{}
	list     chan struct{}
}

// work is what this process knows of an open item beside the store: how far it
// came and when it may be tried again.
type work struct {
	key       jobstore.ItemKey
	content   quarantine.Key // set before the first run here
	part      int
	running   bool
	ended     chan struct{} // closed when the run has ended
	done      bool          // finished, about to be listed
	cancel    context.CancelCauseFunc
	saved     uint64    // last event that was kept on the store
	progress            // guarded by Runner.mu
	failed    int       // attempts that targets said had failed
	failedAt  []string  // instances that said so here, guarded by Runner.mu
	failedOn  time.Time // the last of these
	never     bool
	backoff   time.Duration
	notBefore time.Time
	noRoute   time.Time // since when the item has no route; zero while it has one
}

// progress is the output so far.
type progress struct {
	last uint64 // last whole event
	text []byte
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg: cfg, mine: make(map[int]bool), work: make(map[jobstore.ItemKey]*work),
		finished: make(map[int][]jobs.Outcome), pace: schedule.NewPace(),
		unread: make(map[int]time.Time),
		wake:   make(chan struct{}, 1), list: make(chan struct{}, 1),
	}
}

// Run runs items until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, loop := range []func(context.Context){r.membership, r.dispatch, r.lister, r.saver, r.sweeper, r.handOffs} {
		all.Add(1)
		go func() {
			defer all.Done()
			loop(ctx)
		}()
	}
	all.Wait()
}

// Wake looks at the open items at once, when a seat may have become free.
func (r *Runner) Wake() {
	poke(r.wake)
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
	schedule.Item
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
		full := make(map[string]bool) // services without a free seat
		for _, c := range r.candidates(time.Now()) {
			if ctx.Err() != nil {
				return
			}
			r.start(ctx, c, full)
		}
		_ = wait.For(ctx, lookGap)
	}
}

// partitions returns the partitions whose items may be started here.
func (r *Runner) partitions() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return nil
	}
	var out []int
	for p, loaded := range r.mine {
		if loaded {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// candidates returns the items of this process's partitions that may start now,
// and stops what must not run any more.
func (r *Runner) candidates(now time.Time) []candidate {
	var out []candidate
	parts := r.partitions()
	open := make(map[jobstore.ItemKey]bool)
	for _, part := range parts {
		for _, it := range r.cfg.Store.Open(part) {
			open[it.Key()] = true
			if r.mayStart(now, part, it) {
				out = append(out, candidate{open: it, part: part})
			}
		}
	}
	r.stopClosed(parts, open)
	return r.order(now, out)
}

// order puts the items in the order in which they are to get seats.
func (r *Runner) order(now time.Time, all []candidate) []candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range all {
		c := &all[i]
		w := r.work[c.open.Key()]
		c.Item = schedule.Item{
			Due:   time.UnixMilli(c.open.Spec.GetDueUnixMs()),
			Left:  r.pace.Left(w.last),
			Begun: w.last > 0,
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		if c := schedule.Compare(now, a.Item, b.Item); c != 0 {
			return c
		}
		return cmp.Compare(a.open.Index, b.open.Index)
	})
	return all
}

func (r *Runner) mayStart(now time.Time, part int, it jobstore.OpenItem) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workLocked(it.Key(), part)
	if w.content == (quarantine.Key{}) {
		w.content = contentOf(it)
	}
	w.failed = max(w.failed, it.Failed)
	w.never = w.never || it.Impossible
	return !w.running && !w.done && !now.Before(w.notBefore)
}

func (r *Runner) workLocked(k jobstore.ItemKey, part int) *work {
	w := r.work[k]
	if w == nil {
		w = &work{key: k, part: part}
		r.work[k] = w
	}
	return w
}

// contentOf returns the key under which crashes of targets count against an item.
func contentOf(it jobstore.OpenItem) quarantine.Key {
	return quarantine.NewKey(it.Spec.GetCaller(), http.MethodPost, it.Spec.GetHost(), it.Item.GetPath(), it.Item.GetBody())
}

// errClosed says that an item is not open any more.
var errClosed = errors.New("item is not open any more")

// stopClosed ends the runs of items in these partitions that are not open any
// more, and forgets them.
func (r *Runner) stopClosed(parts []int, open map[jobstore.ItemKey]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, w := range r.work {
		switch {
		case open[k] || !slices.Contains(parts, w.part):
		case w.running:
			w.cancel(errClosed)
		default:
			delete(r.work, k)
		}
	}
}

// start starts one item when a seat is free.
func (r *Runner) start(ctx context.Context, c candidate, full map[string]bool) {
	r.mu.Lock()
	w := r.work[c.open.Key()]
	busy := r.running >= r.cfg.MaxRunning || w == nil
	r.mu.Unlock()
	if busy || r.settled(c, w) {
		return
	}
	// It stays open: it may be sound, and an item may be given up only when its time is
	// over. Other items would be cut off at each target that it crashes.
	if _, held := r.cfg.Quarantine.Held(w.content); held {
		return
	}
	service, ok := r.service(c)
	if !ok || full[service] {
		return
	}
	if !r.stillOpen(ctx, c) {
		return
	}
	seat, in := r.seat(ctx, service, r.failedAt(w), c.YieldRank(time.Now()))
	if seat == nil {
		// An item that failed before is choosy; others may still find a seat.
		full[service] = full[service] || len(r.failedAt(w)) == 0
		return
	}
	run, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	allowed := !r.leaving && r.mine[c.part]
	if allowed {
		w.running, w.cancel, w.ended = true, cancel, make(chan struct{})
		r.running++
	}
	r.mu.Unlock()
	if !allowed {
		cancel(nil)
		seat.Close()
		return
	}
	go func() {
		defer cancel(nil)
		defer seat.Close()
		r.run(run, cancel, c, w, in, seat)
	}()
}

// failedAt returns the targets that an item is to avoid, for choosyFor after it has
// failed.
func (r *Runner) failedAt(w *work) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(w.failedOn) > choosyFor {
		return nil
	}
	return slices.Clone(w.failedAt)
}

// stillOpen reports whether an item may be started by what is known of its job.
// While the store does not answer, items of accepted jobs go on: nobody can end a
// job meanwhile, and waiting left half of the slots idle through an outage. What
// finishes is held until it can be listed, up to unlistedMost.
func (r *Runner) stillOpen(ctx context.Context, c candidate) bool {
	if c.open.HandOff != nil && r.refreshed(ctx, c.open.Home) {
		// Its own partition answers, and may have the job already: a hint that was
		// written beside it is not run. It is handed off or dropped within moments.
		return false
	}
	parts := []int{c.part}
	if c.open.Home != c.part {
		parts = append(parts, c.open.Home)
	}
	for _, part := range parts {
		if r.refreshed(ctx, part) {
			continue
		}
		if time.Since(r.cfg.Store.AsOf(part)) > outageMost || !r.mayHold() {
			return false
		}
	}
	return true
}

// refreshed makes sure that a partition's state is fresh enough to start items. A
// partition that did not answer is not asked for each item: one that is silent took a
// second each time, and items of all other partitions waited behind it.
func (r *Runner) refreshed(ctx context.Context, part int) bool {
	r.mu.Lock()
	wait := time.Since(r.unread[part]) < askAgain
	r.mu.Unlock()
	if wait {
		return time.Since(r.cfg.Store.AsOf(part)) <= startAge
	}
	if r.cfg.Store.Refresh(ctx, part, startAge) == nil {
		return true
	}
	r.mu.Lock()
	r.unread[part] = time.Now()
	r.mu.Unlock()
	return false
}

// mayHold reports whether one more result may wait for the store.
func (r *Runner) mayHold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unlisted < unlistedMost
}

// settled lists an item that needs no run: it can never be done, failed too
// often, or may be given up.
func (r *Runner) settled(c candidate, w *work) bool {
	r.mu.Lock()
	failed, never := w.failed, w.never
	r.mu.Unlock()
	now := time.Now()
	route, routeless := r.route(c), r.routeless(now, c, w)
	attempts := 1
	if route != nil {
		attempts = max(route.Attempts, 1)
	}
	late := now.After(time.UnixMilli(c.open.Spec.GetAbandonUnixMs()).Add(clockMargin))
	if !never && failed < attempts && !late && !routeless {
		return false
	}
	why := "failed too often"
	switch {
	case never:
		why = "a target says that it can never be done"
	case late:
		why = "its time is over"
	case routeless:
		why = "its route was removed"
	}
	r.cfg.Log.Warn("item given up", logging.F("job", c.open.Job), logging.F("item", c.open.Item.GetId()),
		logging.F("why", why), logging.F("failed", failed))
	r.cfg.Metrics.Count("item_given_up")
	r.finish(w, c, jobs.Outcome{Job: c.open.Job, Item: c.open.Index, Dead: true})
	return true
}

// routeless reports whether an item has had no route for routelessFor. A route
// may be missing for a moment while configurations follow each other.
func (r *Runner) routeless(now time.Time, c candidate, w *work) bool {
	known, route := r.cfg.View.Catalog() != nil, r.route(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !known || route != nil:
		w.noRoute = time.Time{}
	case w.noRoute.IsZero():
		w.noRoute = now
	}
	return !w.noRoute.IsZero() && now.Sub(w.noRoute) >= routelessFor
}

// finish has an outcome listed at its job's own partition.
func (r *Runner) finish(w *work, c candidate, o jobs.Outcome) {
	o.HandOff, o.Due = c.open.HandOff, time.UnixMilli(c.open.Spec.GetDueUnixMs())
	r.mu.Lock()
	w.done = true
	r.unlisted += len(o.Text)
	r.finished[c.open.Home] = append(r.finished[c.open.Home], o)
	r.mu.Unlock()
	poke(r.list)
}
