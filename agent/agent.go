// Package agent is the process beside one target. It is the only gate to its
// engine: it queues, admits, runs and keeps answers until their readers have
// them, and it is the place of truth about whether a request ran.
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

// Service is a plain service beside the model engine.
type Service interface {
	// Do makes one call. Nothing repeats it.
	Do(ctx context.Context, method, path string, body []byte) (status int, contentType string, reply []byte, err error)
}

// Config says what an agent is made of.
type Config struct {
	Name        string
	DataCentre  string
	Incarnation oplog.Incarnation
	Engine      engine.Engine      // nil when only plain services stand here
	Services    map[string]Service // by name
	Admission   admission.Settings

	// AnswerKeep is how long a finished answer can still be read, default 30 s.
	AnswerKeep time.Duration
	// KeyedAnswerKeep is the same for requests with an idempotency key, default 10 min.
	KeyedAnswerKeep time.Duration
	// TombstoneKeep is how long a revoked id is refused. It must be above the
	// longest request deadline, default 15 min.
	TombstoneKeep time.Duration
	// OrphanAfter is how long a request without a reader goes on, default 5 s.
	OrphanAfter time.Duration
	// ReserveFor is how many seconds of batch work are kept queued, default 2 s.
	ReserveFor time.Duration
	// MaxHeldBytes bounds results that wait to become durable, default 32 MiB.
	MaxHeldBytes int
	// LeaseFor is how long queued batch items may start without word from their
	// owner, default 3 s.
	LeaseFor time.Duration

	Log     logging.Logger
	Metrics *metrics.Set
}

// Defaults of Config.
const (
	defaultAnswerKeep      = 30 * time.Second
	defaultKeyedAnswerKeep = 10 * time.Minute
	defaultTombstoneKeep   = 15 * time.Minute
	defaultOrphanAfter     = 5 * time.Second
	defaultReserveFor      = 2 * time.Second
	defaultMaxHeldBytes    = 32 << 20
	defaultLeaseFor        = 3 * time.Second
)

// MaxTimeout is the longest deadline that a request may carry. Tombstones and
// keys outlive it.
const MaxTimeout = 10 * time.Minute

func (c Config) withDefaults() Config {
	defaults.Set(&c.AnswerKeep, defaultAnswerKeep)
	defaults.Set(&c.KeyedAnswerKeep, defaultKeyedAnswerKeep)
	defaults.Set(&c.TombstoneKeep, defaultTombstoneKeep)
	defaults.Set(&c.OrphanAfter, defaultOrphanAfter)
	defaults.Set(&c.ReserveFor, defaultReserveFor)
	defaults.Set(&c.LeaseFor, defaultLeaseFor)
	defaults.Set(&c.MaxHeldBytes, defaultMaxHeldBytes)
	if c.Metrics == nil {
		c.Metrics = metrics.New(c.Name)
	}
	return c
}

// Agent is one agent. Lock order: Agent.mu, then the locks of Answer and of the
// config follower. No call to
// the engine, the network or a channel that can block is made under Agent.mu.
type Agent struct {
	cfg Config
	ctx context.Context

	mu        sync.Mutex
	adm       *admission.Admission
	requests  map[string]*request
	tombs     map[string]tombstone
	tombsAt   time.Time // when they were looked through last
	items     map[itemID]*item
	parts     map[uint32]*partition
	feeds     map[*feed]struct{}
	heldSize  int
	holdUntil time.Time // no batch before, because the engine took nothing
	rate      itemRate
	leaving   bool // the process is stopping
	drained   bool // operators want the host to leave
	models    []string

	work chan task // started entries for the pool of workers
	kick chan struct{}

	follower *config.Follower
}

// task is one started entry for a worker.
type task struct {
	run func()
}

// New starts an agent that runs until ctx ends.
func New(ctx context.Context, cfg Config) *Agent {
	cfg = cfg.withDefaults()
	a := &Agent{
		cfg:      cfg,
		ctx:      ctx,
		adm:      admission.New(cfg.Admission),
		requests: make(map[string]*request),
		tombs:    make(map[string]tombstone),
		items:    make(map[itemID]*item),
		parts:    make(map[uint32]*partition),
		feeds:    make(map[*feed]struct{}),
		work:     make(chan task, 2*cfg.Admission.Seats),
		kick:     make(chan struct{}, 1),
	}
	a.refreshModels(ctx)
	for range workers(cfg.Admission.Seats) {
		go a.worker()
	}
	go a.loop()
	return a
}

// workers returns the size of the pool: preempted items may still be leaving
// their seat while their successors start.
func workers(seats int) int {
	return 2 * seats
}

func (a *Agent) worker() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case t := <-a.work:
			t.run()
		}
	}
}

// Intervals of expiry, lease checks and model refresh.
const (
	housekeepEvery = 100 * time.Millisecond
	// tombsEvery is the interval at which tombstones are looked through: there
	// are thousands, and each stays for minutes.
	tombsEvery = 10 * time.Second
)

func (a *Agent) loop() {
	tick := time.NewTicker(housekeepEvery)
	defer tick.Stop()
	modelsAt := time.Now()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.kick:
		case now := <-tick.C:
			a.housekeep(now)
			if now.Sub(modelsAt) > time.Second {
				modelsAt = now
				a.refreshModels(a.ctx)
			}
		}
		a.decide()
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

// wake makes the loop decide again.
func (a *Agent) wake() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// decide carries out what admission wants. Starts go to the pool of workers;
// its channel holds twice the seats, so that sending does not block the loop
// for longer than a worker needs to pick up.
func (a *Agent) decide() {
	a.mu.Lock()
	acts := a.adm.Next(time.Now())
	var tasks []task
	for _, act := range acts {
		if t, ok := a.carryOut(act); ok {
			tasks = append(tasks, t)
		}
	}
	a.mu.Unlock()
	for _, t := range tasks {
		select {
		case a.work <- t:
		case <-a.ctx.Done():
		}
	}
}

// carryOut applies one action under Agent.mu.
func (a *Agent) carryOut(act admission.Action) (task, bool) {
	id := act.Entry.ID
	if act.Entry.Class == admission.Batch {
		return a.carryOutItem(act)
	}
	r := a.requests[id]
	if r == nil {
		return task{}, false
	}
	switch act.Kind {
	case admission.Reject:
		r.life.Fire(online.TriggerRevoke)
		r.answer.Fail(deadlineFailure())
		r.finishedAt = time.Now()
	case admission.Start:
		r.life.Fire(online.TriggerStart)
		r.running = true
		return task{run: func() { a.runRequest(r) }}, true
	}
	return task{}, false
}

func (a *Agent) housekeep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.tombsAt) >= tombsEvery {
		a.tombsAt = now
		maps.DeleteFunc(a.tombs, func(_ string, t tombstone) bool { return now.After(t.until) })
	}
	for id, r := range a.requests {
		a.housekeepRequest(now, id, r)
	}
	a.checkLeases(now)
}

// Status returns what the agent says of itself on heartbeats.
func (a *Agent) Status() *wire.NodeStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	onRun, onQueue, batchRun, _ := a.adm.Counts()
	return &wire.NodeStatus{
		Node:          a.cfg.Name,
		DataCentre:    a.cfg.DataCentre,
		Incarnation:   a.cfg.Incarnation[:],
		Leaving:       a.closing(),
		ConfigOffset:  a.configOffset(),
		Models:        a.models,
		Services:      a.serviceNames(),
		Seats:         uint32(a.cfg.Admission.Seats),
		OnlineRunning: uint32(onRun),
		OnlineQueued:  uint32(onQueue),
		BatchRunning:  uint32(batchRun),
	}
}

func (a *Agent) serviceNames() []string {
	return slices.Sorted(maps.Keys(a.cfg.Services))
}

// closing reports whether nothing new is taken. Agent.mu must be held.
func (a *Agent) closing() bool {
	return a.leaving || a.drained
}

// Handle serves one stream from an entry.
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

// Leave stops new work, hands queued batch items back, and returns when
// everything that runs has finished and its results are durable, or ctx ends.
// It reports how many requests were cut off by the end of ctx.
func (a *Agent) Leave(ctx context.Context) int {
	a.mu.Lock()
	a.leaving = true
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
