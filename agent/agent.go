// Package agent implements the process that runs beside one target. All requests
// to the engine pass through it: it queues, admits and runs them, and keeps responses
// until their readers have received them. It is authoritative on whether a request
// ran.
package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"pumiceford/admission"
	"pumiceford/config"
	"pumiceford/engine"
	"pumiceford/internal/defaults"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/online"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// Service is a plain service on the same host as the model engine.
type Service interface {
	// Do makes one call and never retries it.
	Do(ctx context.Context, method, path string, body []byte) (status int, contentType string, reply []byte, err error)
}

// Config holds the parts and limits of an agent. A zero limit means its default.
type Config struct {
	Name        string
	DataCentre  string
	Incarnation oplog.Incarnation
	Engine      engine.Engine      // nil when the target has only plain services
	Services    map[string]Service // by name
	Admission   admission.Settings

	// ResponseRetention is how long a finished response can still be read. Default 30 s.
	ResponseRetention time.Duration
	// KeyedResponseRetention is the same for requests with an idempotency key. Default
	// 10 min.
	KeyedResponseRetention time.Duration
	// TombstoneRetention is how long a revoked ID is refused. It must exceed
	// MaxTimeout. Default 15 min.
	TombstoneRetention time.Duration
	// OrphanTimeout is how long a request without a reader keeps running. Default 5 s.
	OrphanTimeout time.Duration
	// BatchQueueTime is the amount of batch work to keep queued, measured as the time
	// that it takes to run. Default 2 s.
	BatchQueueTime time.Duration
	// MaxHeldBytes bounds the results that are not yet durable. Default 32 MiB.
	MaxHeldBytes int
	// LeaseTimeout is how long after the last message of their owner queued batch
	// items may still start. Default 3 s.
	LeaseTimeout time.Duration

	Log     logging.Logger
	Metrics *metrics.Set
}

// Default values of Config.
const (
	defaultResponseRetention      = 30 * time.Second
	defaultKeyedResponseRetention = 10 * time.Minute
	defaultTombstoneRetention     = 15 * time.Minute
	defaultOrphanTimeout          = 5 * time.Second
	defaultBatchQueueTime         = 2 * time.Second
	defaultMaxHeldBytes           = 32 << 20
	defaultLeaseTimeout           = 3 * time.Second
)

// MaxTimeout is the longest time-out that a request may carry. Tombstones and
// idempotency keys are kept for longer.
const MaxTimeout = 10 * time.Minute

func (c Config) withDefaults() Config {
	defaults.Set(&c.ResponseRetention, defaultResponseRetention)
	defaults.Set(&c.KeyedResponseRetention, defaultKeyedResponseRetention)
	defaults.Set(&c.TombstoneRetention, defaultTombstoneRetention)
	defaults.Set(&c.OrphanTimeout, defaultOrphanTimeout)
	defaults.Set(&c.BatchQueueTime, defaultBatchQueueTime)
	defaults.Set(&c.LeaseTimeout, defaultLeaseTimeout)
	defaults.Set(&c.MaxHeldBytes, defaultMaxHeldBytes)
	if c.Metrics == nil {
		c.Metrics = metrics.New(c.Name)
	}
	return c
}

// Agent queues, admits and runs the work of one target. Lock order: Agent.mu, then
// the locks of online.Response and of the config follower. The holder of Agent.mu never
// calls the engine or the network and never waits for a channel.
type Agent struct {
	cfg Config
	ctx context.Context

	mu                sync.Mutex
	adm               *admission.Admission
	requests          map[string]*request
	tombstones        map[string]tombstone
	tombstonesSweptAt time.Time // last removal of expired tombstones
	items             map[itemID]*item
	partitions        map[uint32]*partition
	feeds             map[*feed]struct{}
	heldBytes         int       // size of the results that are not yet durable
	batchHeldUntil    time.Time // no batch item starts before, since the engine was unavailable
	rate              itemRate
	stopping          bool // the process is stopping
	drained           bool // an operator drains the host
	models            []string

	tasks  chan task // admitted entries for the worker pool
	wakeup chan struct{}

	follower *config.Follower
}

// task is one admitted entry for a worker.
type task struct {
	run func()
}

// New starts an agent that runs until ctx ends.
func New(ctx context.Context, cfg Config) *Agent {
	cfg = cfg.withDefaults()
	a := &Agent{
		cfg:        cfg,
		ctx:        ctx,
		adm:        admission.New(cfg.Admission),
		requests:   make(map[string]*request),
		tombstones: make(map[string]tombstone),
		items:      make(map[itemID]*item),
		partitions: make(map[uint32]*partition),
		feeds:      make(map[*feed]struct{}),
		tasks:      make(chan task, 2*cfg.Admission.Seats),
		wakeup:     make(chan struct{}, 1),
	}
	a.refreshModels(ctx)
	for range workerCount(cfg.Admission.Seats) {
		go a.worker()
	}
	go a.loop()
	return a
}

// workerCount returns the size of the worker pool. It is twice the seats, since a
// preempted item may still be stopping while the next entry starts in its seat.
func workerCount(seats int) int {
	return 2 * seats
}

func (a *Agent) worker() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case t := <-a.tasks:
			t.run()
		}
	}
}

const (
	// sweepInterval is the interval of the checks for expired responses, orphaned
	// requests and expired leases.
	sweepInterval = 100 * time.Millisecond
	// tombstoneSweepInterval is longer, since there are thousands of tombstones and
	// each is kept for minutes.
	tombstoneSweepInterval = 10 * time.Second
)

func (a *Agent) loop() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	modelsAt := time.Now()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.wakeup:
		case now := <-tick.C:
			a.sweep(now)
			if now.Sub(modelsAt) > time.Second {
				modelsAt = now
				a.refreshModels(a.ctx)
			}
		}
		a.schedule()
	}
}

func (a *Agent) refreshModels(ctx context.Context) {
	if a.cfg.Engine == nil {
		return
	}
	models, err := a.cfg.Engine.Models(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	a.models = models
	a.mu.Unlock()
}

// wake makes the loop run schedule again.
func (a *Agent) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// schedule applies the actions that admission asks for and passes started entries to
// the worker pool. The channel holds twice the seats, so that a send blocks the loop
// no longer than a worker takes to receive.
func (a *Agent) schedule() {
	a.mu.Lock()
	actions := a.adm.Next(time.Now())
	var tasks []task
	for _, action := range actions {
		if t, ok := a.applyAction(action); ok {
			tasks = append(tasks, t)
		}
	}
	a.mu.Unlock()
	for _, t := range tasks {
		select {
		case a.tasks <- t:
		case <-a.ctx.Done():
		}
	}
}

// applyAction applies one action of admission. It returns a task when an entry
// starts. Agent.mu must be held.
func (a *Agent) applyAction(action admission.Action) (task, bool) {
	id := action.Entry.ID
	if action.Entry.Class == admission.Batch {
		return a.applyItemAction(action)
	}
	r := a.requests[id]
	if r == nil {
		return task{}, false
	}
	switch action.Kind {
	case admission.Reject:
		r.lifecycle.Fire(online.TriggerRevoke)
		r.response.Fail(deadlineFailure())
		r.finishedAt = time.Now()
	case admission.Start:
		r.lifecycle.Fire(online.TriggerStart)
		r.running = true
		return task{run: func() { a.runRequest(r) }}, true
	}
	return task{}, false
}

func (a *Agent) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.tombstonesSweptAt) >= tombstoneSweepInterval {
		a.tombstonesSweptAt = now
		maps.DeleteFunc(a.tombstones, func(_ string, t tombstone) bool { return now.After(t.until) })
	}
	for id, r := range a.requests {
		a.sweepRequest(now, id, r)
	}
	a.checkLeases(now)
}

// Status returns the agent's status for its heartbeats.
func (a *Agent) Status() *wire.NodeStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	onlineRunning, onlineQueued, batchRunning, _ := a.adm.Counts()
	return &wire.NodeStatus{
		Node:          a.cfg.Name,
		DataCentre:    a.cfg.DataCentre,
		Incarnation:   a.cfg.Incarnation[:],
		Leaving:       a.draining(),
		ConfigOffset:  a.configOffset(),
		Models:        a.models,
		Services:      a.serviceNames(),
		Seats:         uint32(a.cfg.Admission.Seats),
		OnlineRunning: uint32(onlineRunning),
		OnlineQueued:  uint32(onlineQueued),
		BatchRunning:  uint32(batchRunning),
	}
}

func (a *Agent) serviceNames() []string {
	return slices.Sorted(maps.Keys(a.cfg.Services))
}

// draining reports whether the agent accepts no new work. Agent.mu must be held.
func (a *Agent) draining() bool {
	return a.stopping || a.drained
}

// Handle serves one stream that an entry opened.
func (a *Agent) Handle(ctx context.Context, _ link.Class, call *wire.Call, st *link.Stream) {
	switch k := call.GetKind().(type) {
	case *wire.Call_Start:
		a.handleStart(ctx, k.Start, st)
	case *wire.Call_Attach:
		a.handleAttach(ctx, k.Attach, st)
	case *wire.Call_Revoke:
		a.handleRevoke(k.Revoke, st)
	case *wire.Call_ConfigFetch:
		a.handleConfigFetch(k.ConfigFetch, st)
	case *wire.Call_Feed:
		a.handleFeed(ctx, k.Feed, st)
	}
}

// Shutdown refuses new work, hands queued batch items back and waits until all running
// work has finished and its results are durable, or ctx ends. It returns the number
// of requests and batch items that were still unfinished at the end of ctx.
func (a *Agent) Shutdown(ctx context.Context) int {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.wake()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if a.idle() {
			return 0
		}
		select {
		case <-ctx.Done():
			return a.unfinished()
		case <-tick.C:
		}
	}
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.requests {
		if r.finishedAt.IsZero() || r.readers > 0 {
			return false
		}
	}
	return len(a.items) == 0
}

func (a *Agent) unfinished() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.requests {
		if r.finishedAt.IsZero() {
			n++
		}
	}
	for _, it := range a.items {
		if it.state == itemRunning {
			n++
		}
	}
	return n
}
