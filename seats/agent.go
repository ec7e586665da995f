package seats

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/wire"
)

// Gauge asks the target beside this agent for its load.
type Gauge interface {
	Load(ctx context.Context) (Load, error)
}

// Intervals of an agent.
const (
	// pollBusy is how often the target is asked while batch work runs there or
	// an entry watches: a waiting online request is seen within it.
	pollBusy = 25 * time.Millisecond
	// pollIdle is how often while nobody asks.
	pollIdle = 250 * time.Millisecond
	// tellEvery bounds how often a watcher is told of a changed load. Where a slot may
	// be gone meanwhile, one is reserved at the target itself.
	tellEvery = 50 * time.Millisecond
	// tellAgain is when it is told an unchanged load, so that silence means that
	// the agent is gone.
	tellAgain   = 250 * time.Millisecond
	pollTimeout = 200 * time.Millisecond
	// staleAfter is how long the target may go without answering before no more
	// seats are granted and entries are told that it is silent. It answers its own
	// host within some milliseconds, however busy it is.
	staleAfter = 300 * time.Millisecond
	// witnessFor is how long an entry's word of a failure counts.
	witnessFor = 2 * time.Second
)

// AgentConfig says what an Agent works on.
type AgentConfig struct {
	Name  string // of this agent's host
	Gauge Gauge
	Log   logging.Logger
	// Metrics counts seats granted, refused and asked back.
	Metrics *metrics.Set
}

// Agent grants the seats of the target beside it and tells its load.
type Agent struct {
	cfg AgentConfig

	mu      sync.Mutex
	arbiter *Arbiter
	asked   map[uint64]chan struct{} // closed to ask for the seat back
	heard   time.Time                // last answer of the target
	unheard time.Time                // last time that it did not answer
	silent  bool                     // it has not answered for staleAfter
	room    int                      // seats that could be granted then
	users   int                      // open watches and seats
	changed chan struct{}            // closed and replaced when the load changes
	wanted  chan struct{}            // the first user came
	// witnesses are the entries that told of failures, with the moment of the last.
	witnesses map[string]time.Time
	leaving   bool
}

// reserveShare is the part of the agents that keep a slot free of batch work.
const reserveShare = 0.6

// Reserve returns how many slots the agent of a host keeps free of batch work.
// An online request takes one of these instead of cutting off an item; it can go
// to any target, so some targets with a free slot serve the whole fleet.
func Reserve(host string) int {
	const parts = 1000
	if float64(xxhash.Sum64String(host)%parts) < reserveShare*parts {
		return 1
	}
	return 0
}

// NewAgent returns an Agent.
func NewAgent(cfg AgentConfig) *Agent {
	return &Agent{
		cfg: cfg, arbiter: NewArbiter(0, Reserve(cfg.Name)),
		asked:   make(map[uint64]chan struct{}),
		changed: make(chan struct{}),
		wanted:  make(chan struct{}, 1),

		witnesses: make(map[string]time.Time),
	}
}

// Run polls the target until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	log := a.cfg.Log
	lost := false
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, pollTimeout)
		load, err := a.cfg.Gauge.Load(one)
		cancel()
		switch {
		case err != nil && !lost && ctx.Err() == nil:
			log.Warn("target does not answer", logging.F("error", err.Error()))
			lost = true
		case err == nil && lost:
			log.Info("target answers again", logging.F("active", load.Active))
			lost = false
		}
		if err == nil {
			a.report(load)
		} else {
			a.noAnswer()
		}
		a.rest(ctx)
	}
}

// rest waits until the target is to be asked again: at once when somebody starts
// to care.
func (a *Agent) rest(ctx context.Context) {
	_ = wait.ForChange(ctx, a.wanted, a.pause()) // whatever ended it, the target is asked
}

// enterLocked counts a watch or seat. a.mu is held.
func (a *Agent) enterLocked() {
	a.users++
	if a.users > 1 {
		return
	}
	select {
	case a.wanted <- struct{}{}:
	default:
	}
}

func (a *Agent) pause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.users > 0 {
		return pollBusy
	}
	return pollIdle
}

func (a *Agent) report(load Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard = time.Now()
	same := a.arbiter.Load() == load && !a.silent
	if a.silent {
		// It may have started again: what failed before says nothing of the new one, which
		// would get requests last while the others do its work.
		maps.DeleteFunc(a.witnesses, func(_ string, at time.Time) bool { return at.Before(a.unheard) })
	}
	a.silent = false
	before := a.room
	for _, id := range a.arbiter.Report(a.heard, load) {
		close(a.asked[id])
		delete(a.asked, id)
		a.cfg.Metrics.Count("seat_asked_back")
	}
	a.cfg.Metrics.Gauge("target_active", float64(load.Active))
	a.cfg.Metrics.Gauge("target_queued", float64(load.Queued))
	a.cfg.Metrics.Gauge("seats_held", float64(a.arbiter.Held()))
	a.room = max(a.arbiter.Room(a.heard), 0)
	if !same || (a.room > 0) != (before > 0) {
		a.wakeLocked()
	}
}

// noAnswer tells the watchers once the target has been silent for long enough.
func (a *Agent) noAnswer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unheard = time.Now()
	if !a.silent && time.Since(a.heard) > staleAfter {
		a.silent = true
		a.wakeLocked()
	}
}

// witness takes an entry's word that a request failed at the target.
func (a *Agent) witness(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.witnessedLocked()
	a.witnesses[entry] = time.Now()
	a.cfg.Metrics.Count("fault_told")
	if a.witnessedLocked() != before {
		a.wakeLocked()
	}
}

// witnessedLocked returns how many entries told of failures lately. a.mu is held.
func (a *Agent) witnessedLocked() int {
	for entry, at := range a.witnesses {
		if time.Since(at) > witnessFor {
			delete(a.witnesses, entry)
		}
	}
	return len(a.witnesses)
}

func (a *Agent) wakeLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Leave stops granting seats and asks for all of them back.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	for id, ch := range a.asked {
		close(ch)
		delete(a.asked, id)
	}
}

// Handle serves the streams of entries.
func (a *Agent) Handle(ctx context.Context, _ link.Class, call *wire.Call, st *link.Stream) {
	switch {
	case call.GetSeat() != nil:
		a.setSlots(call.GetSeat().GetSlots())
		a.serveSeat(ctx, call.GetSeat(), st)
	case call.GetLoadWatch() != nil:
		a.setSlots(call.GetLoadWatch().GetSlots())
		a.serveWatch(ctx, st)
	case call.GetFault() != nil:
		a.witness(call.GetFault().GetEntry())
	}
}

// setSlots takes the target's slots from an entry, which knows its registration.
func (a *Agent) setSlots(n uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 {
		a.arbiter.SetSlots(int(n))
	}
}

func (a *Agent) serveSeat(ctx context.Context, req *wire.SeatRequest, st *link.Stream) {
	id, asked, load := a.acquire(time.UnixMilli(req.GetDueUnixMs()))
	if st.Send(&wire.SeatReply{Granted: id != 0, Load: load}) != nil || id == 0 {
		a.release(id)
		return
	}
	defer a.release(id)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The holder sends nothing more: whatever comes is the stream's end.
		_ = st.Recv(&wire.SeatReply{})
	}()
	select {
	case <-ctx.Done():
	case <-ended:
	case <-asked:
		if st.Send(&wire.SeatReply{Yield: true}) != nil {
			return
		}
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
}

// acquire returns a seat, id 0 when there is none.
func (a *Agent) acquire(due time.Time) (uint64, chan struct{}, *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.leaving || now.Sub(a.heard) > staleAfter {
		return 0, nil, a.loadLocked()
	}
	id, ok := a.arbiter.Acquire(now, due)
	if !ok {
		a.cfg.Metrics.Count("seat_refused")
		return 0, nil, a.loadLocked()
	}
	a.cfg.Metrics.Count("seat_granted")
	asked := make(chan struct{})
	a.asked[id] = asked
	a.enterLocked()
	return id, asked, a.loadLocked()
}

func (a *Agent) release(id uint64) {
	if id == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arbiter.Release(id)
	delete(a.asked, id)
	a.users--
	a.wakeLocked()
}

func (a *Agent) loadLocked() *wire.Load {
	load := a.arbiter.Load()
	return &wire.Load{
		Active: uint32(load.Active),
		Queued: uint32(load.Queued),
		Batch:  uint32(a.arbiter.Held()),
		Slots:  uint32(max(a.arbiter.Slots(), 0)),
		Room:   uint32(max(a.arbiter.Room(time.Now()), 0)),

		Spare:  uint32(max(a.arbiter.Spare(time.Now()), 0)),
		Silent: a.silent, Witnesses: uint32(a.witnessedLocked()),
	}
}

// serveWatch tells the load until the stream or ctx ends.
func (a *Agent) serveWatch(ctx context.Context, st *link.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = st.Recv(&wire.Load{}) // the watcher sends nothing more
	}()
	a.mu.Lock()
	a.enterLocked()
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.users--
		a.mu.Unlock()
	}()
	for ctx.Err() == nil {
		a.mu.Lock()
		load, changed := a.loadLocked(), a.changed
		known := !a.heard.IsZero() // an agent that has just started knows nothing yet
		a.mu.Unlock()
		if known && st.Send(load) != nil {
			return
		}
		_ = wait.For(ctx, tellEvery)
		select {
		case <-changed:
		case <-time.After(tellAgain):
		case <-ctx.Done():
		}
	}
}
