// Package admission decides which entries an agent starts on its engine, and when.
//
// The engine serves requests in arrival order and has no priorities, so a queue
// inside it would put online requests behind batch items. The agent therefore
// queues every request itself and starts only as many as the engine runs at the
// same time. Online entries go first. Batch entries get the remaining seats, up to
// a limit that is derived from measured step times. The package does no I/O and
// reads no clock: callers pass in events and the time and carry out the actions
// that it returns.
package admission

import (
	"math"
	"time"

	"pumiceford/fairshare"
)

// Class is the priority class of an entry.
type Class int

// The classes. Online entries preempt batch entries.
const (
	Online Class = iota
	Batch
)

// Entry is one request or batch item that needs a seat.
type Entry struct {
	ID        string
	Class     Class
	Workspace string
	Weight    float64   // fair-queueing weight of the workspace; 1 if not positive
	Cost      float64   // expected tokens, prompt included
	Blocks    int       // KV cache blocks reserved while it runs
	Exclusive bool      // batch only: no other batch item may run beside it
	Deadline  time.Time // online only: rejected if not started by then; zero for none
	// Ref identifies the entry to the caller. Admission does not read it.
	Ref any

	queueItem *fairshare.Queued[*Entry] // nil unless it is queued
	started   time.Time
	progress  uint32 // tokens generated so far
}

// Settings configures an Admission.
type Settings struct {
	// Seats is how many sequences the engine runs in one step.
	Seats int
	// Blocks is how many KV cache blocks the engine has. 0 means no limit.
	Blocks int
	// Harm is the largest relative increase of the step time that batch may
	// cause while online entries run. Fleets that favour online latency use
	// about 0.02, fleets that favour batch throughput about 0.25.
	Harm float64
	// BurstWindow is how far ahead online arrivals are predicted and seats kept
	// free for them, default 50 ms.
	BurstWindow time.Duration
	// MaxQueue is the maximum number of queued online entries, default 8 times Seats.
	MaxQueue int
}

// Defaults of Settings, and the parameters of the estimators. Step times are in
// seconds.
const (
	defaultBurstWindow     = 50 * time.Millisecond
	defaultMaxQueuePerSeat = 8
	smoothingFactor        = 0.2 // weight of the newest sample in a moving average
	burstDeviations        = 2.0 // standard deviations above the mean arrivals to keep seats free for
	initialStepBase        = 2e-3
	initialStepPerSeq      = 3e-5
	forgettingFactor       = 0.995
)

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Start   ActionKind = iota + 1
	Preempt            // stop the entry; it is queued again
	Reject             // the deadline passed in the queue
)

// Action is a decision on an entry that the caller must carry out.
type Action struct {
	Kind  ActionKind
	Entry *Entry
}

// Admission holds the queued and running entries of one agent and decides which of
// them run. It is not safe for concurrent use.
type Admission struct {
	settings       Settings
	online         *fairshare.Queue[*Entry]
	batch          *fairshare.Queue[*Entry]
	running        map[string]*Entry
	onlineRunning  int
	batchRunning   int
	blocksInUse    int
	exclusive      *Entry
	stepTime       regression
	arrivals       arrivalPredictor
	batchHeldUntil time.Time
	serviceTime    float64 // moving average of the run time of online entries, in seconds
}

// New returns an Admission without entries. A zero BurstWindow or MaxQueue takes its
// default.
func New(settings Settings) *Admission {
	if settings.BurstWindow == 0 {
		settings.BurstWindow = defaultBurstWindow
	}
	if settings.MaxQueue == 0 {
		settings.MaxQueue = defaultMaxQueuePerSeat * settings.Seats
	}
	return &Admission{
		settings: settings,
		online:   fairshare.NewQueue[*Entry](),
		batch:    fairshare.NewQueue[*Entry](),
		running:  make(map[string]*Entry),
	}
}

// Offer queues a new entry. It reports false for an online entry if the queue is
// full or if the expected wait ends after the entry's deadline, so that the caller
// can refuse the request at once and tell its client to retry after RetryAfter. It
// always accepts a batch entry.
func (a *Admission) Offer(now time.Time, e *Entry) bool {
	if e.Class == Batch {
		push(a.batch, e)
		return true
	}
	a.arrivals.observe(now)
	if a.online.Len() >= a.settings.MaxQueue {
		return false
	}
	if !e.Deadline.IsZero() && now.Add(a.expectedWait()).After(e.Deadline) {
		return false
	}
	push(a.online, e)
	return true
}

// push queues an entry.
func push(q *fairshare.Queue[*Entry], e *Entry) {
	e.queueItem = q.Push(e.Workspace, e.Cost, e.Weight, e)
}

// pop removes the first entry of a queue.
func pop(q *fairshare.Queue[*Entry]) {
	q.Pop().Value.queueItem = nil
}

// remove removes an entry from its queue, if it is queued.
func remove(q *fairshare.Queue[*Entry], e *Entry) {
	q.Remove(e.queueItem)
	e.queueItem = nil
}

// HoldBatch prevents batch entries from starting before until.
func (a *Admission) HoldBatch(until time.Time) {
	a.batchHeldUntil = until
}

// SetHarm changes the tolerated relative increase of the step time.
func (a *Admission) SetHarm(maxSlowdown float64) {
	a.settings.Harm = maxSlowdown
}

// expectedWait estimates how long a new online entry waits for a seat.
func (a *Admission) expectedWait() time.Duration {
	ahead := a.online.Len() + a.onlineRunning - a.settings.Seats + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(a.settings.Seats) * a.serviceTime * float64(time.Second))
}

// RetryAfter returns how long a refused client should wait before it retries: the
// time until a seat is expected to be free, and at least 50 ms.
func (a *Admission) RetryAfter() time.Duration {
	const minRetryAfter = 50 * time.Millisecond
	return max(minRetryAfter, a.expectedWait())
}

// Next returns the actions to carry out now. The Admission already counts them as
// done.
func (a *Admission) Next(now time.Time) []Action {
	var actions []Action
	actions = a.startOnline(now, actions)
	actions = a.preemptExcessBatch(actions)
	return a.startBatch(now, actions)
}

func (a *Admission) startOnline(now time.Time, actions []Action) []Action {
	for a.online.Len() > 0 {
		e := a.online.Peek().Value
		if !e.Deadline.IsZero() && now.After(e.Deadline) {
			pop(a.online)
			actions = append(actions, Action{Kind: Reject, Entry: e})
			continue
		}
		if a.onlineRunning >= a.settings.Seats {
			return actions
		}
		var ok bool
		if actions, ok = a.makeRoom(e, actions); !ok {
			return actions
		}
		pop(a.online)
		a.addRunning(now, e)
		actions = append(actions, Action{Kind: Start, Entry: e})
	}
	return actions
}

// makeRoom preempts batch entries until e fits. It reports false if e does not fit
// and no batch entry is left.
func (a *Admission) makeRoom(e *Entry, actions []Action) ([]Action, bool) {
	for !a.fits(e) {
		victim := a.victim()
		if victim == nil {
			return actions, false
		}
		actions = a.preempt(victim, actions)
	}
	return actions, true
}

func (a *Admission) fits(e *Entry) bool {
	if len(a.running) >= a.settings.Seats {
		return false
	}
	return a.settings.Blocks == 0 || a.blocksInUse+e.Blocks <= a.settings.Blocks
}

// victim returns the running batch entry with the fewest tokens, so that preemption
// loses the least work. It returns nil if no batch entry runs.
func (a *Admission) victim() *Entry {
	var best *Entry
	for _, e := range a.running {
		if e.Class != Batch {
			continue
		}
		if best == nil || e.progress < best.progress || (e.progress == best.progress && e.ID < best.ID) {
			best = e
		}
	}
	return best
}

func (a *Admission) preempt(e *Entry, actions []Action) []Action {
	a.removeRunning(e)
	e.queueItem = a.batch.PushFront(e.Workspace, e)
	return append(actions, Action{Kind: Preempt, Entry: e})
}

// preemptExcessBatch preempts batch entries above the limit that applies with the
// current number of online entries.
func (a *Admission) preemptExcessBatch(actions []Action) []Action {
	limit := a.slowdownLimit()
	for a.batchRunning > limit {
		actions = a.preempt(a.victim(), actions)
	}
	return actions
}

// slowdownLimit returns how many batch entries may run beside the running online
// entries without lengthening a step by more than the tolerated increase.
func (a *Admission) slowdownLimit() int {
	if a.onlineRunning == 0 {
		return a.settings.Seats
	}
	base, slope := a.stepTime.fit()
	if slope <= 0 {
		return a.settings.Seats
	}
	step := base + slope*float64(a.onlineRunning)
	return int(a.settings.Harm * step / slope)
}

// startLimit returns the number of running batch entries at which no further one
// starts: the slowdown limit, or fewer if seats must stay free for the predicted
// online arrivals.
func (a *Admission) startLimit(now time.Time) int {
	free := a.settings.Seats - a.onlineRunning - a.arrivals.seatsToReserve(now, a.settings.BurstWindow)
	return min(a.slowdownLimit(), free)
}

func (a *Admission) startBatch(now time.Time, actions []Action) []Action {
	if now.Before(a.batchHeldUntil) {
		return actions
	}
	limit := a.startLimit(now)
	for a.batch.Len() > 0 && a.batchRunning < limit && a.exclusive == nil && a.online.Len() == 0 {
		e := a.batch.Peek().Value
		if !a.fits(e) || (e.Exclusive && a.batchRunning > 0) {
			return actions
		}
		pop(a.batch)
		a.addRunning(now, e)
		actions = append(actions, Action{Kind: Start, Entry: e})
	}
	return actions
}

func (a *Admission) addRunning(now time.Time, e *Entry) {
	e.started = now
	a.running[e.ID] = e
	a.blocksInUse += e.Blocks
	if e.Class == Online {
		a.onlineRunning++
		return
	}
	a.batchRunning++
	if e.Exclusive {
		a.exclusive = e
	}
}

func (a *Admission) removeRunning(e *Entry) bool {
	if a.running[e.ID] != e {
		return false
	}
	delete(a.running, e.ID)
	a.blocksInUse -= e.Blocks
	if e.Class == Online {
		a.onlineRunning--
		return true
	}
	a.batchRunning--
	if a.exclusive == e {
		a.exclusive = nil
	}
	return true
}

// Remove removes an entry, whether it runs or is queued.
func (a *Admission) Remove(now time.Time, e *Entry) {
	if a.removeRunning(e) {
		if e.Class == Online {
			a.observeServiceTime(now.Sub(e.started).Seconds())
		}
		return
	}
	if e.Class == Online {
		remove(a.online, e)
		return
	}
	remove(a.batch, e)
}

func (a *Admission) observeServiceTime(seconds float64) {
	if a.serviceTime == 0 {
		a.serviceTime = seconds
		return
	}
	a.serviceTime += smoothingFactor * (seconds - a.serviceTime)
}

// SetProgress records how many tokens an entry has generated.
func (a *Admission) SetProgress(e *Entry, tokens uint32) {
	e.progress = tokens
}

// ObserveStep adds one measured engine step to the step time model: took is the time
// between two tokens of a sequence, and running is how many sequences ran.
func (a *Admission) ObserveStep(running int, took time.Duration) {
	a.stepTime.add(float64(running), took.Seconds())
}

// Counts returns the numbers of running and queued entries.
func (a *Admission) Counts() (onlineRunning, onlineQueued, batchRunning, batchQueued int) {
	return a.onlineRunning, a.online.Len(), a.batchRunning, a.batch.Len()
}

// Running returns how many entries run.
func (a *Admission) Running() int {
	return len(a.running)
}

// regression fits the step time in seconds as base + slope*running by least squares
// with exponential forgetting.
type regression struct {
	n, sx, sy, sxx, sxy float64
}

func (r *regression) add(x, y float64) {
	r.n = r.n*forgettingFactor + 1
	r.sx = r.sx*forgettingFactor + x
	r.sy = r.sy*forgettingFactor + y
	r.sxx = r.sxx*forgettingFactor + x*x
	r.sxy = r.sxy*forgettingFactor + x*y
}

// With fewer than minSamples samples, fit returns the initial values. With a sum of
// squared deviations below minVariance in the number of running sequences, the data
// does not determine the slope, and fit returns the initial one.
const (
	minSamples  = 30
	minVariance = 1.0
)

func (r *regression) fit() (base, slope float64) {
	if r.n < minSamples {
		return initialStepBase, initialStepPerSeq
	}
	variance := r.sxx - r.sx*r.sx/r.n
	if variance < minVariance {
		return max(r.sy/r.n-initialStepPerSeq*r.sx/r.n, 0), initialStepPerSeq
	}
	slope = (r.sxy - r.sx*r.sy/r.n) / variance
	base = (r.sy - slope*r.sx) / r.n
	if slope <= 0 || base <= 0 {
		return max(r.sy/r.n, initialStepBase), initialStepPerSeq
	}
	return base, slope
}

// arrivalPredictor predicts the online arrivals of the near future.
type arrivalPredictor struct {
	last time.Time
	gap  float64 // moving average of the time between arrivals, in seconds
}

func (r *arrivalPredictor) observe(now time.Time) {
	if r.last.IsZero() {
		r.last = now
		return
	}
	gap := now.Sub(r.last).Seconds()
	r.last = now
	if r.gap == 0 {
		r.gap = gap
		return
	}
	r.gap += smoothingFactor * (gap - r.gap)
}

// seatsToReserve returns how many seats to keep free for the arrivals of the coming
// window. It treats arrivals as a Poisson process, whose deviation is the square root
// of the mean. The predicted rate decays while no request arrives.
func (r *arrivalPredictor) seatsToReserve(now time.Time, window time.Duration) int {
	if r.last.IsZero() || r.gap == 0 {
		return 0
	}
	gap := max(r.gap, now.Sub(r.last).Seconds())
	mean := window.Seconds() / max(gap, 1e-6)
	return int(math.Ceil(mean + burstDeviations*math.Sqrt(mean) - 0.5))
}
