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

// LoadSource returns the load of the target on this agent's host.
type LoadSource interface {
	Load(ctx context.Context) (Load, error)
}

// Intervals of an agent.
const (
	// busyPollInterval is the polling interval of the target while batch work runs there
	// or an entry watches. A waiting online request is noticed within it.
	busyPollInterval = 25 * time.Millisecond
	// idlePollInterval is the polling interval once there have been no seats and no watches
	// for that time.
	idlePollInterval = 250 * time.Millisecond
	// minLoadInterval is the shortest interval between two loads sent to a watcher. If a
	// slot may be taken between two loads, an entry reserves it at the target itself.
	minLoadInterval = 50 * time.Millisecond
	// loadHeartbeat is the interval at which an unchanged load is sent, so that a missing
	// report means that the agent has failed.
	loadHeartbeat = 250 * time.Millisecond
	pollTimeout   = 200 * time.Millisecond
	// unresponsiveAfter is how long the target may leave polls unanswered before the agent
	// grants no more seats and reports it as unresponsive. A target responds to its own
	// host within a few milliseconds under any load.
	unresponsiveAfter = 300 * time.Millisecond
	// failureReportTTL is how long an entry's failure report counts.
	failureReportTTL = 2 * time.Second
	// maxReservationTime bounds how long a reservation waits, so that the agent forgets those
	// of an entry whose session broke, and orders items by recent estimates.
	maxReservationTime = 2 * time.Second
)

// AgentConfig configures an Agent.
type AgentConfig struct {
	Name       string // name of this agent's host
	LoadSource LoadSource
	Log        logging.Logger
	// Metrics counts the seats granted, refused and asked back.
	Metrics *metrics.Set
}

// Agent grants the seats of the target on its host and reports its load.
type Agent struct {
	cfg AgentConfig

	mu             sync.Mutex
	arbiter        *Arbiter
	pace           *Pace
	yieldRequests  map[uint64]chan struct{} // by seat ID; closed to ask for the seat back
	reservations   map[uint64]*waiter       // by the ID that the seat will have
	lastResponse   time.Time                // time of the target's last response
	lastNoResponse time.Time                // time of the last unanswered poll
	unresponsive   bool                     // polls have been unanswered for unresponsiveAfter
	freeSeats      int                      // seats that could be granted at lastResponse
	users          int                      // open watches, seats and reservations
	lastUsed       time.Time                // time at which users last became 0
	changed        chan struct{}            // closed and replaced when the load changes
	pollNow        chan struct{}            // receives a value when users becomes 1
	// failureReports is the time of the last failure report, by entry.
	failureReports map[string]time.Time
	draining       bool
}

// waiter is a reservation whose stream waits for an answer.
type waiter struct {
	answered chan struct{} // closed when the seat is granted or refused
	yield    chan struct{} // set before answered is closed if the seat is granted
}

// reservingShare is the share of the agents that keep a slot free of batch work.
const reservingShare = 0.6

// ReservedSlots returns the number of slots that the agent of a host keeps free of batch work. An
// online request takes such a slot instead of cutting off an item. Online requests can go
// to any target, so it is enough if some targets have a free slot.
func ReservedSlots(host string) int {
	const parts = 1000
	if float64(xxhash.Sum64String(host)%parts) < reservingShare*parts {
		return 1
	}
	return 0
}

// NewAgent returns an Agent.
func NewAgent(cfg AgentConfig) *Agent {
	return &Agent{
		cfg: cfg, arbiter: NewArbiter(0, ReservedSlots(cfg.Name)), pace: NewPace(),
		yieldRequests: make(map[uint64]chan struct{}),
		reservations:  make(map[uint64]*waiter),
		changed:       make(chan struct{}),
		pollNow:       make(chan struct{}, 1),

		failureReports: make(map[string]time.Time),
	}
}

// Run polls the target until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	log := a.cfg.Log
	unanswered := false
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		load, err := a.cfg.LoadSource.Load(pollCtx)
		cancel()
		switch {
		case err != nil && !unanswered && ctx.Err() == nil:
			log.Warn("target does not answer", logging.F("error", err.Error()))
			unanswered = true
		case err == nil && unanswered:
			log.Info("target answers again", logging.F("active", load.Active))
			unanswered = false
		}
		if err == nil {
			a.recordLoad(load)
		} else {
			a.recordNoResponse()
		}
		a.waitForPoll(ctx)
	}
}

// waitForPoll waits until the next poll is due: after the polling interval, or at once when
// the first seat or watch begins.
func (a *Agent) waitForPoll(ctx context.Context) {
	_ = wait.ForChange(ctx, a.pollNow, a.pollInterval()) // the poll follows whatever ended the wait
}

// addUserLocked counts a watch or seat, and requests a poll if it is the first. a.mu is held.
func (a *Agent) addUserLocked() {
	a.users++
	if a.users > 1 {
		return
	}
	select {
	case a.pollNow <- struct{}{}:
	default:
	}
}

// removeUserLocked counts the end of a watch, seat or reservation. a.mu is held.
func (a *Agent) removeUserLocked() {
	a.users--
	if a.users == 0 {
		a.lastUsed = time.Now()
	}
}

// pollInterval returns the time until the next poll. The last load before a user leaves still
// counts what that user ran, so the target is polled often for a while afterwards.
func (a *Agent) pollInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.users > 0 || time.Since(a.lastUsed) < idlePollInterval {
		return busyPollInterval
	}
	return idlePollInterval
}

// recordLoad stores the target's load, asks seats back if requests wait, and notifies the
// watchers of a change.
func (a *Agent) recordLoad(load Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastResponse = time.Now()
	previous := a.arbiter.Load()
	same := previous.Active == load.Active && previous.Queued == load.Queued && !a.unresponsive
	if a.unresponsive {
		// The target may have restarted. Failures of the earlier incarnation must not
		// count against the new one, which would otherwise get requests only after all
		// other targets.
		maps.DeleteFunc(a.failureReports, func(_ string, at time.Time) bool { return at.Before(a.lastNoResponse) })
		a.pace.Reset()
	}
	a.pace.Observe(a.lastResponse, load.Runs)
	a.unresponsive = false
	before := a.freeSeats
	for _, id := range a.arbiter.Report(a.lastResponse, load) {
		if yield, ok := a.yieldRequests[id]; ok { // not asked back by Drain
			close(yield)
			delete(a.yieldRequests, id)
			a.cfg.Metrics.Count("seat_asked_back")
		}
	}
	a.grantReservationsLocked()
	a.cfg.Metrics.SetGauge("target_active", float64(load.Active))
	a.cfg.Metrics.SetGauge("target_queued", float64(load.Queued))
	a.cfg.Metrics.SetGauge("seats_held", float64(a.arbiter.Held()))
	a.cfg.Metrics.SetGauge("seat_reservations", float64(a.arbiter.Waiting()))
	a.freeSeats = max(a.arbiter.FreeSeats(a.lastResponse), 0)
	if !same || (a.freeSeats > 0) != (before > 0) {
		a.notifyLocked()
	}
}

// recordNoResponse records an unanswered poll and notifies the watchers once the target has
// not responded for unresponsiveAfter.
func (a *Agent) recordNoResponse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNoResponse = time.Now()
	if !a.unresponsive && time.Since(a.lastResponse) > unresponsiveAfter {
		a.unresponsive = true
		a.notifyLocked()
	}
}

// recordFailure records an entry's report that a request failed at the target.
func (a *Agent) recordFailure(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.failingEntriesLocked()
	a.failureReports[entry] = time.Now()
	a.cfg.Metrics.Count("fault_told")
	if a.failingEntriesLocked() != before {
		a.notifyLocked()
	}
}

// failingEntriesLocked returns the number of entries that reported failures within
// failureReportTTL. a.mu is held.
func (a *Agent) failingEntriesLocked() int {
	for entry, at := range a.failureReports {
		if time.Since(at) > failureReportTTL {
			delete(a.failureReports, entry)
		}
	}
	return len(a.failureReports)
}

// notifyLocked wakes the watchers. a.mu is held.
func (a *Agent) notifyLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Drain stops granting seats, refuses all reservations and asks all granted seats back.
func (a *Agent) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	for id, w := range a.reservations {
		a.arbiter.Cancel(id)
		close(w.answered)
		delete(a.reservations, id)
	}
	for id, ch := range a.yieldRequests {
		close(ch)
		delete(a.yieldRequests, id)
	}
}

// Handle serves a stream of an entry: a seat, a load watch or a failure report.
func (a *Agent) Handle(ctx context.Context, _ link.Class, call *wire.Call, st *link.Stream) {
	switch {
	case call.GetSeat() != nil:
		a.setSlots(call.GetSeat().GetSlots())
		a.serveSeat(ctx, call.GetSeat(), st)
	case call.GetLoadWatch() != nil:
		a.setSlots(call.GetLoadWatch().GetSlots())
		a.serveWatch(ctx, st)
	case call.GetFault() != nil:
		a.recordFailure(call.GetFault().GetEntry())
	}
}

// setSlots sets the target's number of slots, which entries know from its registration. It
// ignores 0.
func (a *Agent) setSlots(n uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 {
		a.arbiter.SetSlots(int(n))
	}
}

// serveSeat answers a request for a seat, after a wait if the entry allows one, and holds a
// granted seat until the stream ends.
func (a *Agent) serveSeat(ctx context.Context, call *wire.SeatRequest, st *link.Stream) {
	req := decodeRequest(call)
	id, yield, load := a.acquire(req)
	var ended <-chan struct{}
	if limit := time.Duration(call.GetWaitMs()) * time.Millisecond; id == 0 && limit > 0 {
		ended = streamEnd(st)
		id, yield, load = a.waitForSeat(ctx, req, min(limit, maxReservationTime), ended)
	}
	if st.Send(&wire.SeatReply{Granted: id != 0, Load: load}) != nil || id == 0 {
		a.release(id)
		return
	}
	defer a.release(id)
	if ended == nil {
		ended = streamEnd(st)
	}
	select {
	case <-ctx.Done():
	case <-ended:
	case <-yield:
		if st.Send(&wire.SeatReply{Yield: true}) != nil {
			return
		}
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
}

// streamEnd returns a channel that is closed at the end of a stream on which the entry sends
// nothing more.
func streamEnd(st *link.Stream) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = st.Recv(&wire.SeatReply{})
	}()
	return ended
}

// decodeRequest returns the request of an entry.
func decodeRequest(r *wire.SeatRequest) Request {
	return Request{
		Due: time.UnixMilli(r.GetDueUnixMs()), Workspace: r.GetWorkspace(), Rank: int(r.GetRank()),
		Remaining: time.Duration(r.GetRemainingMs()) * time.Millisecond,
		Excess:    r.GetExcess(), Started: r.GetStarted(), Late: r.GetLate(),
		Waited: time.Duration(r.GetWaitedMs()) * time.Millisecond,
	}
}

// mayGrantLocked reports whether the agent grants seats at all now. a.mu is held.
func (a *Agent) mayGrantLocked(now time.Time) bool {
	return !a.draining && now.Sub(a.lastResponse) <= unresponsiveAfter
}

// waitForSeat leaves a reservation and waits for up to limit, or until the stream or ctx
// ends. It returns the same as acquire.
func (a *Agent) waitForSeat(ctx context.Context, req Request, limit time.Duration, ended <-chan struct{}) (uint64, chan struct{}, *wire.Load) {
	id, w, load := a.reserve(req)
	if id == 0 {
		return 0, nil, load
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.answered:
	case <-ended:
	case <-ctx.Done():
	case <-timer.C:
	}
	return a.endReservation(id, w)
}

// reserve leaves a reservation. The ID is 0 if the agent takes none.
func (a *Agent) reserve(req Request) (uint64, *waiter, *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.mayGrantLocked(now) {
		return 0, nil, a.loadLocked()
	}
	id, ok := a.arbiter.Reserve(now, req)
	if !ok {
		a.cfg.Metrics.Count("seat_reservation_refused")
		return 0, nil, a.loadLocked()
	}
	a.cfg.Metrics.Count("seat_reserved")
	w := &waiter{answered: make(chan struct{})}
	a.reservations[id] = w
	a.addUserLocked()
	a.grantReservationsLocked()
	return id, w, nil
}

// grantReservationsLocked grants the seats that can be granted now to reservations, the most
// pressing first. a.mu is held.
func (a *Agent) grantReservationsLocked() {
	now := time.Now()
	if len(a.reservations) == 0 || !a.mayGrantLocked(now) {
		return
	}
	for id, ok := a.arbiter.GrantNext(now); ok; id, ok = a.arbiter.GrantNext(now) {
		w := a.reservations[id]
		delete(a.reservations, id)
		w.yield = make(chan struct{})
		a.yieldRequests[id] = w.yield
		close(w.answered)
		a.cfg.Metrics.Count("seat_granted_reserved")
	}
}

// endReservation ends the wait of a reservation. It returns the granted seat, if there is one.
func (a *Agent) endReservation(id uint64, w *waiter) (uint64, chan struct{}, *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.yield != nil {
		return id, w.yield, a.loadLocked()
	}
	if a.reservations[id] != nil {
		a.arbiter.Cancel(id)
		delete(a.reservations, id)
	}
	a.cfg.Metrics.Count("seat_reservation_ended")
	a.removeUserLocked()
	return 0, nil, a.loadLocked()
}

// acquire returns the ID of a granted seat, a channel that is closed to ask for it back and
// the load. The ID is 0 if no seat is granted.
func (a *Agent) acquire(req Request) (uint64, chan struct{}, *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.mayGrantLocked(now) {
		return 0, nil, a.loadLocked()
	}
	id, ok := a.arbiter.Acquire(now, req)
	if !ok && a.arbiter.Waiting() > 0 {
		a.grantReservationsLocked() // a seat may have been refused for one of them
		id, ok = a.arbiter.Acquire(now, req)
	}
	if !ok {
		a.cfg.Metrics.Count("seat_refused")
		return 0, nil, a.loadLocked()
	}
	a.cfg.Metrics.Count("seat_granted")
	yield := make(chan struct{})
	a.yieldRequests[id] = yield
	a.addUserLocked()
	return id, yield, a.loadLocked()
}

func (a *Agent) release(id uint64) {
	if id == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arbiter.Release(id)
	delete(a.yieldRequests, id)
	a.removeUserLocked()
	a.grantReservationsLocked()
	a.notifyLocked()
}

func (a *Agent) loadLocked() *wire.Load {
	load := a.arbiter.Load()
	quick, usual := a.pace.TokenTimes()
	return &wire.Load{
		Active: uint32(load.Active),
		Queued: uint32(load.Queued),
		Batch:  uint32(a.arbiter.Held()),
		Slots:  uint32(max(a.arbiter.Slots(), 0)),
		Room:   uint32(max(a.arbiter.FreeSeats(time.Now())-a.arbiter.Waiting(), 0)),

		Spare:  uint32(max(a.arbiter.UrgentSeats(time.Now()), 0)),
		Silent: a.unresponsive, Witnesses: uint32(a.failingEntriesLocked()),

		TokenUs: uint32(quick.Microseconds()), UsualTokenUs: uint32(usual.Microseconds()),
		MemoryUsed: uint32(load.MemoryUsed), MemoryTotal: uint32(load.MemoryTotal),
	}
}

// serveWatch sends the load until the stream or ctx ends.
func (a *Agent) serveWatch(ctx context.Context, st *link.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = st.Recv(&wire.Load{}) // returns at the end of the stream
	}()
	a.mu.Lock()
	a.addUserLocked()
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.removeUserLocked()
		a.mu.Unlock()
	}()
	for ctx.Err() == nil {
		a.mu.Lock()
		load, changed := a.loadLocked(), a.changed
		known := !a.lastResponse.IsZero() // false until the target's first response
		a.mu.Unlock()
		if known && st.Send(load) != nil {
			return
		}
		_ = wait.For(ctx, minLoadInterval)
		select {
		case <-changed:
		case <-time.After(loadHeartbeat):
		case <-ctx.Done():
		}
	}
}
