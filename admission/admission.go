// Package admission decides what an agent hands to its engine, and when.
//
// The engine admits in arrival order and knows no priority, so a queue inside it
// would put online requests behind batch items. The agent therefore holds every
// request itself and hands over only what the engine runs at once. Online goes
// first. Batch gets the seats that are left under a limit that follows from
// measured step times. The package is pure: events and the time come in, actions
// come out.
package admission

import (
	"math"
	"time"
)

// Class is the class of an entry.
type Class int

// The classes.
const (
	Online Class = iota
	Batch
)

// Entry is one request or batch item that wants a seat.
type Entry struct {
	ID        string
	Class     Class
	Workspace string
	Weight    float64 // the workspace's share
	Cost      float64 // expected tokens
	Blocks    int     // KV blocks while it runs
	Alone     bool    // batch only: no other batch item may run beside it
	Deadline  time.Time
	// Ref is the caller's own; admission does not look at it.
	Ref any

	item     *fairItem
	started  time.Time
	progress uint32
}

// Settings shape an Admission.
type Settings struct {
	// Seats is how many sequences the engine runs in one step.
	Seats int
	// Blocks is how many KV blocks the engine has. 0 means no limit.
	Blocks int
	// Harm is how much longer a step may get by batch while online requests
	// run, as a share: 0.02 near Ffitiad Gwyn's side, 0.25 near the Guild's.
	Harm float64
	// BurstWindow is the time for which arrivals are predicted and seats kept
	// free, default 50 ms.
	BurstWindow time.Duration
	// MaxQueue bounds the online entries that wait, default 8 times Seats.
	MaxQueue int
}

// Defaults of Settings.
const (
	defaultBurstWindow   = 50 * time.Millisecond
	defaultQueuePerSeat  = 8
	rateSmoothing        = 0.2 // weight of the newest interval in the arrival rate
	burstDeviations      = 2.0 // seats kept free for mean plus this many deviations
	initialStepBase      = 2e-3
	initialStepPerSeq    = 3e-5
	regressionForgetting = 0.995
)

// ActionKind is what to do with an entry.
type ActionKind int

// The kinds of actions.
const (
	Start ActionKind = iota + 1
	Preempt
	Reject // its deadline cannot be met any more
)

// Action is one decision.
type Action struct {
	Kind  ActionKind
	Entry *Entry
}

// Admission is the decision state of one agent. It is not safe for concurrent use.
type Admission struct {
	set       Settings
	online    *fairQueue
	batch     *fairQueue
	running   map[string]*Entry
	nOnline   int
	nBatch    int
	blocks    int
	alone     *Entry
	steps     regression
	arrivals  arrivalRate
	holdUntil time.Time
	service   float64 // smoothed seconds an online entry runs
}

// New returns an Admission.
func New(set Settings) *Admission {
	if set.BurstWindow == 0 {
		set.BurstWindow = defaultBurstWindow
	}
	if set.MaxQueue == 0 {
		set.MaxQueue = defaultQueuePerSeat * set.Seats
	}
	return &Admission{
		set:     set,
		online:  newFairQueue(),
		batch:   newFairQueue(),
		running: make(map[string]*Entry),
	}
}

// Offer takes a new entry. It reports false for an online entry when the queue
// is full, or when the wait it expects is longer than the entry's deadline
// allows; the caller gets its answer at once and is told to come back after
// RetryAfter.
func (a *Admission) Offer(now time.Time, e *Entry) bool {
	if e.Class == Batch {
		a.batch.push(e)
		return true
	}
	a.arrivals.note(now)
	if a.online.len() >= a.set.MaxQueue {
		return false
	}
	if !e.Deadline.IsZero() && now.Add(a.wait()).After(e.Deadline) {
		return false
	}
	a.online.push(e)
	return true
}

// HoldBatch starts no batch entry before until.
func (a *Admission) HoldBatch(until time.Time) {
	a.holdUntil = until
}

// SetHarm changes the tolerated harm.
func (a *Admission) SetHarm(harm float64) {
	a.set.Harm = harm
}

// wait estimates how long a new online entry waits for a seat.
func (a *Admission) wait() time.Duration {
	ahead := a.online.len() + a.nOnline - a.set.Seats + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(a.set.Seats) * a.service * float64(time.Second))
}

// RetryAfter tells a refused caller when a seat is likely.
func (a *Admission) RetryAfter() time.Duration {
	const least = 50 * time.Millisecond
	return max(least, a.wait())
}

// Next returns what to do now. The state already reflects the actions returned.
func (a *Admission) Next(now time.Time) []Action {
	var acts []Action
	acts = a.startOnline(now, acts)
	acts = a.shedBatch(acts)
	return a.startBatch(now, acts)
}

func (a *Admission) startOnline(now time.Time, acts []Action) []Action {
	for a.online.len() > 0 {
		e := a.online.peek()
		if !e.Deadline.IsZero() && now.After(e.Deadline) {
			a.online.pop()
			acts = append(acts, Action{Kind: Reject, Entry: e})
			continue
		}
		if a.nOnline >= a.set.Seats {
			return acts
		}
		var ok bool
		if acts, ok = a.makeRoom(e, acts); !ok {
			return acts
		}
		a.online.pop()
		a.begin(now, e)
		acts = append(acts, Action{Kind: Start, Entry: e})
	}
	return acts
}

// makeRoom preempts batch until an online entry fits.
func (a *Admission) makeRoom(e *Entry, acts []Action) ([]Action, bool) {
	for !a.fits(e) {
		victim := a.victim()
		if victim == nil {
			return acts, false
		}
		acts = a.preempt(victim, acts)
	}
	return acts, true
}

func (a *Admission) fits(e *Entry) bool {
	if len(a.running) >= a.set.Seats {
		return false
	}
	return a.set.Blocks == 0 || a.blocks+e.Blocks <= a.set.Blocks
}

// victim returns the running batch entry with the least progress, so that the
// least work is lost.
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

func (a *Admission) preempt(e *Entry, acts []Action) []Action {
	a.end(e)
	a.batch.pushFront(e)
	return append(acts, Action{Kind: Preempt, Entry: e})
}

// shedBatch preempts batch above the limit for the online entries that run now.
func (a *Admission) shedBatch(acts []Action) []Action {
	limit := a.harmLimit()
	for a.nBatch > limit {
		acts = a.preempt(a.victim(), acts)
	}
	return acts
}

// harmLimit is how many batch entries keep the step within the tolerated harm.
func (a *Admission) harmLimit() int {
	if a.nOnline == 0 {
		return a.set.Seats
	}
	base, slope := a.steps.fit()
	if slope <= 0 {
		return a.set.Seats
	}
	step := base + slope*float64(a.nOnline)
	return int(a.set.Harm * step / slope)
}

// startLimit is how many batch entries may run before another one starts: the
// harm limit, less the seats kept free for the burst that arrivals predict.
func (a *Admission) startLimit(now time.Time) int {
	free := a.set.Seats - a.nOnline - a.arrivals.reserve(now, a.set.BurstWindow)
	return min(a.harmLimit(), free)
}

func (a *Admission) startBatch(now time.Time, acts []Action) []Action {
	if now.Before(a.holdUntil) {
		return acts
	}
	limit := a.startLimit(now)
	for a.batch.len() > 0 && a.nBatch < limit && a.alone == nil && a.online.len() == 0 {
		e := a.batch.peek()
		if !a.fits(e) || (e.Alone && a.nBatch > 0) {
			return acts
		}
		a.batch.pop()
		a.begin(now, e)
		acts = append(acts, Action{Kind: Start, Entry: e})
	}
	return acts
}

func (a *Admission) begin(now time.Time, e *Entry) {
	e.started = now
	a.running[e.ID] = e
	a.blocks += e.Blocks
	if e.Class == Online {
		a.nOnline++
		return
	}
	a.nBatch++
	if e.Alone {
		a.alone = e
	}
}

func (a *Admission) end(e *Entry) bool {
	if a.running[e.ID] != e {
		return false
	}
	delete(a.running, e.ID)
	a.blocks -= e.Blocks
	if e.Class == Online {
		a.nOnline--
		return true
	}
	a.nBatch--
	if a.alone == e {
		a.alone = nil
	}
	return true
}

// Finish takes an entry out, running or queued.
func (a *Admission) Finish(now time.Time, e *Entry) {
	if a.end(e) {
		if e.Class == Online {
			a.noteService(now.Sub(e.started).Seconds())
		}
		return
	}
	if e.Class == Online {
		a.online.remove(e)
		return
	}
	a.batch.remove(e)
}

func (a *Admission) noteService(seconds float64) {
	if a.service == 0 {
		a.service = seconds
		return
	}
	a.service += rateSmoothing * (seconds - a.service)
}

// Progress notes how many tokens an entry has.
func (a *Admission) Progress(e *Entry, tokens uint32) {
	e.progress = tokens
}

// NoteStep takes one measured engine step: the time between two tokens of a
// sequence, with how many sequences ran.
func (a *Admission) NoteStep(running int, took time.Duration) {
	a.steps.add(float64(running), took.Seconds())
}

// Counts returns running and queued entries.
func (a *Admission) Counts() (onlineRunning, onlineQueued, batchRunning, batchQueued int) {
	return a.nOnline, a.online.len(), a.nBatch, a.batch.len()
}

// Running returns how many sequences run.
func (a *Admission) Running() int {
	return len(a.running)
}

// regression fits step time = base + slope * running by least squares with
// exponential forgetting.
type regression struct {
	n, sx, sy, sxx, sxy float64
}

func (r *regression) add(x, y float64) {
	r.n = r.n*regressionForgetting + 1
	r.sx = r.sx*regressionForgetting + x
	r.sy = r.sy*regressionForgetting + y
	r.sxx = r.sxx*regressionForgetting + x*x
	r.sxy = r.sxy*regressionForgetting + x*y
}

// minSamples and minVariance say when a fit can be trusted.
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

// arrivalRate predicts the arrivals of the next moment.
type arrivalRate struct {
	last time.Time
	gap  float64 // smoothed seconds between arrivals
}

func (r *arrivalRate) note(now time.Time) {
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
	r.gap += rateSmoothing * (gap - r.gap)
}

// reserve returns how many seats to keep free for the coming window. The rate
// decays while no one arrives.
func (r *arrivalRate) reserve(now time.Time, window time.Duration) int {
	if r.last.IsZero() || r.gap == 0 {
		return 0
	}
	gap := max(r.gap, now.Sub(r.last).Seconds())
	mean := window.Seconds() / max(gap, 1e-6)
	return int(math.Ceil(mean + burstDeviations*math.Sqrt(mean) - 0.5))
}
