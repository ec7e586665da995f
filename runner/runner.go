// Package runner runs the items of batch jobs. Each process joins a group on the
// shared store, which assigns partitions to it. The process runs the open items of
// these partitions in seats that the agents beside the targets grant.
//
// An assignment is not a lock: after a change two processes may briefly run the
// same item. Only one result is listed, and it never changes.
package runner

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/estimate"
	"pumiceford/exchange"
	"pumiceford/fairshare"
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
	// Acquire returns a seat at a target, or nil if none is free there.
	Acquire(ctx context.Context, in targets.Instance, req seats.Request) (*seats.Seat, error)
	// Reserve waits for up to limit for a seat at a target. It returns nil if none was granted.
	Reserve(ctx context.Context, in targets.Instance, req seats.Request, limit time.Duration) (*seats.Seat, error)
}

// Config holds the settings and dependencies of a Runner.
type Config struct {
	Member string // name of this process in the group
	Group  string
	Store  *jobstore.Store
	Groups store.Groups
	View   *fleet.View
	// CatalogAsOf returns the time up to which the catalog is known to be the newest, the zero
	// time until the store has confirmed it.
	CatalogAsOf func() time.Time
	Sender      exchange.Sender
	Seats       Seats
	// Quarantine records runs whose connection broke.
	Quarantine *quarantine.Tracker
	Shares     *fairshare.Ledger // account of the slots held; nil for one of its own
	Log        logging.Logger
	Metrics    *metrics.Set
	// Headers returns the header to send with an item, given its own headers.
	Headers func(item map[string]string) map[string][]string
	// Work returns what an item's headers say of its size, without its class.
	Work func(item map[string]string) estimate.Work
	// Parts returns the parts of an item's prompt that others may share; nil if none are known.
	Parts func(item map[string]string) []quarantine.Part
	// MaxRunning limits how many items run at a time, which bounds memory.
	MaxRunning int
}

// Intervals, timeouts and limits of dispatch.
const (
	// dispatchInterval is how often the open items are scanned when nothing changes.
	dispatchInterval = 100 * time.Millisecond
	// minDispatchGap is the shortest pause between two scans. Agents report free seats
	// hundreds of times a second, and each scan goes through all open items.
	minDispatchGap = 20 * time.Millisecond
	// maxStateAge is how old the state of a job may be when an item is started. Items
	// of a job must not start later than three seconds after its end has been confirmed
	// to the client.
	maxStateAge = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before an item is retried after a
	// failed run.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxOutage is how long items are started from the last known state while the
	// store is unresponsive. A host that alone loses its connection to the store does
	// not learn of ended jobs.
	maxOutage = 30 * time.Second
	// maxUnlistedBytes bounds the results that wait to be listed: a fifth of the memory
	// of the smallest entry.
	maxUnlistedBytes = 36 << 20
	// routelessTimeout is how long an item may be without a route before it is given
	// up. It is longer than a burst of configuration changes lasts, in which a route may be
	// missing briefly.
	routelessTimeout = 6 * time.Second
	// refreshRetryInterval is the pause between refreshes of an unresponsive partition.
	refreshRetryInterval = time.Second
	// avoidFailedFor is how long after a failure an item avoids the targets at which it
	// failed: twice as long as one failure keeps a target suspect. After that, any
	// target is better than none.
	avoidFailedFor = 4 * time.Second
	// clockSkewMargin is added to an item's deadline so that no host gives it up early.
	// Two clocks that are each off by two seconds in opposite directions differ by
	// four; another two seconds are a reserve.
	clockSkewMargin = 6 * time.Second
	// backlogInterval is the shortest time between two counts of the items that wait for a
	// slot. It is short beside the seconds over which the account averages.
	backlogInterval = 250 * time.Millisecond
)

// Runner runs the items of the partitions that are assigned to this process.
type Runner struct {
	cfg Config

	mu            sync.Mutex   // not held during I/O
	assigned      map[int]bool // assigned partitions; true once their progress has been loaded
	items         map[jobstore.ItemKey]*itemState
	running       int
	reserving     int                         // items that wait for reserved seats
	estimates     *estimate.Model             // taken after mu
	refreshFailed map[int]time.Time           // time of the last failed refresh, by partition
	finished      map[int][]jobs.Outcome      // outcomes to be listed, by home partition
	obsolete      map[int][]jobstore.Progress // saved progress of items that are not open any more, by partition
	unlistedBytes int                         // size of the results that are not listed yet
	leaving       bool
	standby       atomic.Bool
	wake          chan struct{}
	wakeLister    chan struct{}
}

// itemState is the local state of an open item, beyond what the store holds: its
// progress and when it may be retried. Runner.mu guards all fields but key, contentKey, parts and
// size, which do not change once set.
type itemState struct {
	key        jobstore.ItemKey
	contentKey quarantine.Key    // set before the first run in this process
	parts      []quarantine.Part // of its prompt that others may share; set with contentKey
	size       estimate.Work     // without its class; set with contentKey
	part       int
	running    bool
	ended      chan struct{} // closed when the run ends
	done       bool          // has an outcome that is being listed
	cancel     context.CancelCauseFunc
	savedEvent uint64    // last event whose progress is saved on the store; 0 if there is none
	savedAt    time.Time // when the progress was saved, or read from the store
	saveBegun  bool      // the store may have saved progress
	progress
	failures      int       // attempts for which targets responded with a failure
	failedTargets []string  // instances that did so in this process
	lastFailure   time.Time // time of the latest of these failures
	impossible    bool
	backoff       time.Duration
	notBefore     time.Time
	noRouteSince  time.Time // when the route was first missing; zero while there is one
	waitingSince  time.Time // when it began to wait for a seat; zero while it runs
	delayed       bool      // it has waited since its last run because of crashes
	// cancelReservations ends the wait for reserved seats; nil while there is none.
	cancelReservations context.CancelFunc
	reserveNotBefore   time.Time
	current            *runState // nil while it does not run
	moves              int       // times that it was taken to a faster target
}

// runState is what the decision to move a running item depends on.
type runState struct {
	candidate candidate
	service   string
	in        targets.Instance
	began     time.Time
	from      uint64
	next      *grant // the seat that the item moves to; nil while it stays
}

// grant is a granted seat with its target.
type grant struct {
	in   targets.Instance
	seat *seats.Seat
	run  *quarantine.Attempt // nil until the item starts
}

// progress is the output of an item so far.
type progress struct {
	lastEvent uint64 // ID of the last complete event
	text      []byte
	software  targets.Software // that wrote text
	instances []string         // IDs of the targets that wrote text
}

// New returns a Runner.
func New(cfg Config) *Runner {
	if cfg.Shares == nil {
		cfg.Shares = fairshare.NewLedger()
	}
	return &Runner{
		cfg: cfg, assigned: make(map[int]bool), items: make(map[jobstore.ItemKey]*itemState),
		finished: make(map[int][]jobs.Outcome), estimates: cfg.View.Estimates(),
		refreshFailed: make(map[int]time.Time), obsolete: make(map[int][]jobstore.Progress),
		wake: make(chan struct{}, 1), wakeLister: make(chan struct{}, 1),
	}
}

// Run runs items until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.membershipLoop, r.dispatchLoop, r.listLoop, r.saveLoop, r.sweepLoop, r.handOffLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// Wake triggers a scan of the open items, for use when a seat may have become free.
func (r *Runner) Wake() {
	signal(r.wake)
}

// signal wakes the receiver of ch without blocking; pending signals are merged.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// candidate is an open item that is ready to start.
type candidate struct {
	open jobstore.OpenItem
	part int
	schedule.Claim
}

// dispatchLoop starts open items in the order that package schedule defines: those that
// can still finish in time first, the earliest due first.
func (r *Runner) dispatchLoop(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	var counted time.Time // when the backlog was last counted
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.wake:
		}
		sc := scan{full: make(map[string]bool), leftOut: make(map[string]int)}
		candidates := r.candidates(time.Now())
		for _, c := range candidates {
			if ctx.Err() != nil {
				return
			}
			r.start(ctx, c, sc)
		}
		r.moveLateItems(ctx)
		if now := time.Now(); now.Sub(counted) >= backlogInterval {
			counted = now
			r.recordBacklog(now, candidates)
		}
		_ = wait.For(ctx, minDispatchGap)
	}
}

// partitions returns the assigned partitions whose progress has been loaded, sorted.
func (r *Runner) partitions() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return nil
	}
	var out []int
	for p, loaded := range r.assigned {
		if loaded {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// candidates returns the ready items of this process's partitions in dispatch order,
// and cancels the runs of items that are no longer open.
func (r *Runner) candidates(now time.Time) []candidate {
	var out []candidate
	var scanned []int // partitions whose open items are known
	open := make(map[jobstore.ItemKey]bool)
	for _, part := range r.partitions() {
		items, known := r.cfg.Store.OpenItems(part)
		if !known {
			continue // a partition that was not used for a while, as in a suspended process, is loaded again
		}
		scanned = append(scanned, part)
		for _, it := range items {
			open[it.Key()] = true
			if r.ready(now, part, it) {
				out = append(out, candidate{open: it, part: part})
			}
		}
	}
	r.cancelClosed(scanned, open)
	return r.sorted(now, out)
}

// sorted sorts the candidates by the order in which they get seats. It leaves out those whose
// partition has been handed over since they were found.
func (r *Runner) sorted(now time.Time, cs []candidate) []candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	cs = slices.DeleteFunc(cs, func(c candidate) bool { return r.items[c.open.Key()] == nil })
	standings := make(map[fairshare.Holder]fairshare.Standing)
	for i := range cs {
		c := &cs[i]
		st := r.items[c.open.Key()]
		c.Standing = r.standing(now, c.open, standings)
		c.Item = schedule.Item{
			Due:       time.UnixMilli(c.open.Spec.GetDueUnixMs()),
			Remaining: r.estimates.Remaining(r.work(c.open, st), estimate.UsualPace, st.lastEvent),
			Started:   st.lastEvent > 0,
		}
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		if c := schedule.CompareClaims(now, a.Claim, b.Claim); c != 0 {
			return c
		}
		return cmp.Compare(a.open.Index, b.open.Index)
	})
	return cs
}

// ready reports whether an item is neither running, done nor backing off. It merges the
// failures recorded on the store into the item's state.
func (r *Runner) ready(now time.Time, part int, it jobstore.OpenItem) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.itemLocked(it.Key(), part)
	if st.contentKey == (quarantine.Key{}) {
		st.contentKey, st.size = contentKeyOf(it), r.cfg.Work(it.Item.GetHeaders())
		if r.cfg.Parts != nil {
			st.parts = r.cfg.Parts(it.Item.GetHeaders())
		}
	}
	st.failures = max(st.failures, it.FailedAttempts)
	st.impossible = st.impossible || it.Impossible
	if !st.readyAt(now) {
		return false
	}
	if st.waitingSince.IsZero() {
		st.waitingSince = now
	}
	return true
}

// readyAt reports whether an item may start. The caller holds Runner.mu.
func (st *itemState) readyAt(now time.Time) bool {
	return !st.running && !st.done && !now.Before(st.notBefore)
}

// itemLocked returns the state of an item and creates it if needed. The caller holds r.mu.
func (r *Runner) itemLocked(k jobstore.ItemKey, part int) *itemState {
	st := r.items[k]
	if st == nil {
		st = &itemState{key: k, part: part}
		r.items[k] = st
	}
	return st
}

// content returns what crashes are counted against. The fields are set before the item starts.
func (st *itemState) content() quarantine.Content {
	return quarantine.Content{Key: st.contentKey, Parts: st.parts, Owed: true}
}

// contentKeyOf returns the quarantine key under which target crashes are counted for an
// item.
func contentKeyOf(it jobstore.OpenItem) quarantine.Key {
	return quarantine.NewKey(it.Spec.GetCaller(), http.MethodPost, it.Spec.GetHost(), it.Item.GetPath(), it.Item.GetBody())
}

// errItemClosed is the cancellation cause of a run whose item is no longer open.
var errItemClosed = errors.New("item is no longer open")

// cancelClosed cancels the runs of items in these partitions that are no longer open,
// and removes the state of those that do not run. Their saved progress is deleted later.
func (r *Runner) cancelClosed(parts []int, open map[jobstore.ItemKey]bool) {
	asOf := make(map[int]time.Time, len(parts))
	for _, part := range parts {
		asOf[part] = r.cfg.Store.AsOf(part)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, st := range r.items {
		known, scanned := asOf[st.part]
		switch {
		case open[k] || !scanned:
		case st.running:
			st.cancel(errItemClosed)
		case st.mayHaveSaved() && !known.After(st.savedAt):
			// The state may be from before the job was accepted.
		default:
			st.stopWaiting()
			r.dropProgressLocked(st)
			delete(r.items, k)
		}
	}
}

// scan is what one scan of the open items has found so far, by service.
type scan struct {
	full    map[string]bool // there is no free seat
	leftOut map[string]int  // items that left out a free seat
}

// maxLeftOut is the number of items in one scan that may leave out a free seat. It bounds the
// time that a scan of a long backlog takes.
const maxLeftOut = 32

// start runs one item if a seat is free, and else leaves reservations for it.
func (r *Runner) start(ctx context.Context, c candidate, sc scan) {
	r.mu.Lock()
	st := r.items[c.open.Key()]
	busy := r.running >= r.cfg.MaxRunning || st == nil
	r.mu.Unlock()
	if busy || !r.startable(c, st) {
		return
	}
	if hold := r.cfg.Quarantine.Held(st.content()); hold != nil {
		r.reportDelay(c, st, hold)
		return
	}
	service, ok := r.service(c)
	if !ok || sc.full[service] && !r.mayReserve(time.Now(), st) {
		return
	}
	if !r.jobStateUsable(ctx, c) {
		return
	}
	avoid := r.targetsToAvoid(st)
	if !sc.full[service] {
		g, leftOut := r.acquireSeat(ctx, service, avoid, c)
		if g.seat != nil {
			r.launch(ctx, c, st, service, g)
			return
		}
		// An item that failed before avoids some targets, one that would be late at a slow
		// target leaves it to others, and one with output waits for its software version; others
		// may still find a seat.
		if leftOut {
			sc.leftOut[service]++
		}
		sc.full[service] = len(avoid) == 0 && !leftOut || sc.leftOut[service] >= maxLeftOut
	}
	r.reserve(ctx, c, st, service, avoid)
}

// reportDelay logs and counts that an item waits because targets crashed under it, or under work
// with a part of its prompt: once until its next run.
func (r *Runner) reportDelay(c candidate, st *itemState, hold *quarantine.Hold) {
	r.mu.Lock()
	known := st.delayed
	st.delayed = true
	r.mu.Unlock()
	if known {
		return
	}
	r.cfg.Metrics.Count("item_delayed")
	r.cfg.Log.Info("item waits: targets crashed under it, or under work with a part of its prompt", logging.F("job", c.open.Job), logging.F("item", c.open.Item.GetId()),
		logging.F("index", c.open.Index), logging.F("key", hold.Key.String()), logging.F("part", hold.Part), logging.F("left_ms", hold.Left.Milliseconds()),
		logging.F("due_in_ms", time.Until(c.Due).Milliseconds()))
}

// launch runs an item in a granted seat. It gives the seat back and returns false if the item
// must not start any more.
func (r *Runner) launch(ctx context.Context, c candidate, st *itemState, service string, g grant) bool {
	now := time.Now()
	runCtx, cancel := context.WithCancelCause(ctx)
	mistaken := r.mistaken(r.writersOf(st))
	// While the item waited for its seat it may have become held, and its route may have changed.
	run, hold := r.cfg.Quarantine.Begin(st.content())
	routed := r.isRoutedTo(c, service)
	g.run = run
	r.mu.Lock()
	allowed := hold == nil && routed && !r.leaving && r.assigned[c.part] && r.items[c.open.Key()] == st && st.readyAt(now) && r.running < r.cfg.MaxRunning
	var waited time.Duration
	var discarded progress
	if allowed {
		discarded = st.continueWith(g.in, mistaken)
		st.running, st.delayed, st.cancel, st.ended = true, false, cancel, make(chan struct{})
		st.current = &runState{candidate: c, service: service, in: g.in, began: now, from: st.lastEvent}
		if !st.waitingSince.IsZero() {
			waited = now.Sub(st.waitingSince)
		}
		st.waitingSince = time.Time{}
		st.stopWaiting()
		r.running++
	}
	r.mu.Unlock()
	if !allowed {
		cancel(nil)
		r.cfg.Quarantine.End(run)
		r.cfg.Metrics.Count("seat_not_used")
		g.seat.Close()
		return false
	}
	if discarded.lastEvent > 0 {
		r.cfg.Metrics.Count("item_started_anew")
		r.cfg.Log.Info("item starts anew; its output is of other software", logging.F("job", c.open.Job), logging.F("item", c.open.Item.GetId()),
			logging.F("events", discarded.lastEvent), logging.F("service_before", discarded.software.Service), logging.F("version_before", discarded.software.Version),
			logging.F("instance", g.in.ID), logging.F("version", g.in.Version), logging.F("waited_ms", waited.Milliseconds()))
	}
	r.cfg.Metrics.Observe("seat_wait", c.open.Spec.GetWorkspace(), waited)
	go func() {
		defer cancel(nil)
		next := r.run(runCtx, cancel, c, st, g, waited)
		g.seat.Close()
		r.cfg.Quarantine.End(run)
		if next != nil {
			r.launch(ctx, c, st, service, *next)
		}
	}()
	return true
}

// continueWith prepares an item for a run at a target. It discards and returns the output so far
// if that was written by other software, or may have been. The caller holds Runner.mu.
func (st *itemState) continueWith(in targets.Instance, mistaken bool) (discarded progress) {
	if st.lastEvent == 0 || mistaken || st.software != in.Software() {
		discarded = st.progress
		st.progress, st.savedEvent = progress{software: in.Software()}, 0
	}
	if !slices.Contains(st.instances, in.ID) {
		st.instances = append(st.instances, in.ID)
	}
	return discarded
}

// writers returns the progress without its text.
func (p *progress) writers() progress {
	return progress{lastEvent: p.lastEvent, software: p.software, instances: slices.Clone(p.instances)}
}

// writersOf returns the progress of an item without its text.
func (r *Runner) writersOf(st *itemState) progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return st.writers()
}

// mistaken reports whether output may be of other software than the runner took it for: a target
// that wrote some of it has started again with other software since, and the runner may have
// learned that late. The caller does not hold Runner.mu.
func (r *Runner) mistaken(written progress) (mistaken bool) {
	r.cfg.View.WithTable(func(t *balance.Table) {
		mistaken = slices.ContainsFunc(written.instances, func(id string) bool { return t.HasOtherSoftware(id, written.software) })
	})
	return mistaken
}

// targetsToAvoid returns the targets at which an item failed, until avoidFailedFor has
// passed since its last failure.
func (r *Runner) targetsToAvoid(st *itemState) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(st.lastFailure) > avoidFailedFor {
		return nil
	}
	return slices.Clone(st.failedTargets)
}

// jobStateUsable reports whether the known state of an item's job is recent enough to
// start the item. While the store is unresponsive, items of accepted jobs still start:
// no client can end a job meanwhile, and waiting left half of the slots idle during an
// outage. Results are held until they can be listed, up to maxUnlistedBytes.
func (r *Runner) jobStateUsable(ctx context.Context, c candidate) bool {
	if c.open.HandOff != nil && r.refresh(ctx, c.open.Home) {
		// The job's home partition responds and may already have the job, so its hint is
		// not run. The hint is handed off or dropped shortly.
		return false
	}
	parts := []int{c.part}
	if c.open.Home != c.part {
		parts = append(parts, c.open.Home)
	}
	for _, part := range parts {
		if r.refresh(ctx, part) {
			continue
		}
		if time.Since(r.cfg.Store.AsOf(part)) > maxOutage || !r.mayHoldResult() {
			return false
		}
	}
	return true
}

// refresh brings a partition's state up to date and reports whether it is recent enough
// to start items. It does not retry an unresponsive partition for each item: each request
// to it takes a second, and the items of all other partitions wait behind that request.
func (r *Runner) refresh(ctx context.Context, part int) bool {
	r.mu.Lock()
	backingOff := time.Since(r.refreshFailed[part]) < refreshRetryInterval
	r.mu.Unlock()
	if backingOff {
		return time.Since(r.cfg.Store.AsOf(part)) <= maxStateAge
	}
	if r.cfg.Store.Refresh(ctx, part, maxStateAge) == nil {
		return true
	}
	r.mu.Lock()
	r.refreshFailed[part] = time.Now()
	r.mu.Unlock()
	return false
}

// mayHoldResult reports whether one more result may wait to be listed.
func (r *Runner) mayHoldResult() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unlistedBytes < maxUnlistedBytes
}

// finish queues an outcome to be listed at the home partition of its job.
func (r *Runner) finish(st *itemState, c candidate, o jobs.Outcome) {
	o.HandOff, o.Due = c.open.HandOff, time.UnixMilli(c.open.Spec.GetDueUnixMs())
	r.mu.Lock()
	st.done = true
	r.unlistedBytes += len(o.Text)
	r.finished[c.open.Home] = append(r.finished[c.open.Home], o)
	r.mu.Unlock()
	signal(r.wakeLister)
}
