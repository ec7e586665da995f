package fairshare

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// averagingTime is the time constant of the averages. It is longer than a request holds
	// its slot and shorter than callers wait, so that a surge shows before others give up. It
	// also bounds what idling earns: after it, a workspace counts as if it had never idled.
	averagingTime = 2 * time.Second
	// maxRows bounds the workspaces with a row of their own, half of which are kept when it is
	// reached. A workspace without one holds less than 2/maxRows of the slots in use.
	maxRows = 512
	// maxRanks bounds the ranks that are told apart in the account. All lower ones share the
	// last.
	maxRanks = 8
	// planInterval is how long the fair shares are used after they were computed.
	planInterval = 50 * time.Millisecond
	// MaxAge is how long figures of another process are used after they arrived.
	MaxAge = 3 * time.Second
	// contended is the fraction of the slots in use that must be waited for before shares
	// count: less is the remainder of an average, not contention.
	contended = 0.01
	// minExcess is the smallest Excess other than 0. Below it the figures are not exact enough
	// to put one workspace behind another.
	minExcess = 0.02
)

// Ledger is the account of one process: the slots that its own requests and items hold, and
// what it was told of other processes. It is safe for concurrent use; its lock is taken last.
type Ledger struct {
	mu      sync.Mutex
	index   map[rowKey]int // position in rows
	rows    []row
	free    []int // unused positions in rows
	others  [maxRanks]row
	sources map[string]*source // by agent
	agents  int                // agents that this process follows
	// fraction is that of all agents that this process follows, and so the probability that
	// one of them hears any other process.
	fraction float64
	planned  time.Time
	dirty    bool // what was told has changed since the plan
	levels   [maxRanks]float64
	claims   [maxRanks][]claim // of a plan
	loads    []float64         // of a sweep
	report   []Usage
	reported time.Time // time of report
}

// rowKey identifies a row. Work of one workspace that has different ranks competes at each of
// them.
type rowKey struct {
	workspace string
	rank      int
}

// row is the account of one workspace at one rank.
type row struct {
	key     rowKey
	weight  float64
	at      time.Time // time of the averages
	active  int       // slots in use by this process
	queued  int       // requests that wait in this process
	backlog int       // items that wait in this process
	held    float64   // average of active
	waiting float64   // average of queued and backlog
	// Sums of what other processes hold and wait for, over the agents that told it.
	toldHeld, toldWaiting float64
}

// source is what one agent told last.
type source struct {
	at   time.Time
	rows []Usage
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	l := &Ledger{
		index: make(map[rowKey]int, maxRows), rows: make([]row, 0, maxRows), sources: make(map[string]*source), fraction: 1,
		loads: make([]float64, 0, maxRows),
	}
	for i := range l.claims {
		l.claims[i] = make([]claim, 0, maxRows+1)
		l.levels[i] = math.Inf(1)
		l.others[i].key.rank = i
	}
	return l
}

func clampRank(rank int) int {
	return min(max(rank, 0), maxRanks-1)
}

func keyOf(h Holder) rowKey {
	return rowKey{h.Workspace, clampRank(h.Rank)}
}

// Begin records that work of a holder was sent to a target.
func (l *Ledger) Begin(now time.Time, h Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rowLocked(now, h)
	r.advance(now)
	r.active++
}

// End records the end of work that Begin recorded with the same workspace and rank.
func (l *Ledger) End(now time.Time, h Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.beganLocked(h, func(r *row) bool { return r.active > 0 })
	r.advance(now)
	r.active = max(r.active-1, 0)
}

// Wait records that a request of a holder waits for a slot, until EndWait.
func (l *Ledger) Wait(now time.Time, h Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rowLocked(now, h)
	r.advance(now)
	r.queued++
}

// EndWait records that a request no longer waits.
func (l *Ledger) EndWait(now time.Time, h Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.beganLocked(h, func(r *row) bool { return r.queued > 0 })
	r.advance(now)
	r.queued = max(r.queued-1, 0)
}

// Refused records work that was turned away for lack of a slot, which it would have held for
// the given time. It counts as work that waits.
func (l *Ledger) Refused(now time.Time, h Holder, hold time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rowLocked(now, h)
	r.advance(now)
	r.waiting += hold.Seconds() / averagingTime.Seconds()
}

// SetBacklog replaces the number of items that wait for a slot in this process, by holder.
func (l *Ledger) SetBacklog(now time.Time, backlog map[Holder]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.eachLocked(func(r *row) {
		if r.backlog > 0 {
			r.advance(now)
			r.backlog = 0
		}
	})
	for h, n := range backlog {
		r := l.rowLocked(now, h)
		r.advance(now)
		r.backlog += n
	}
}

// SetFollowed sets with how many of all agents this process exchanges figures.
func (l *Ledger) SetFollowed(agents, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.agents, l.fraction, l.dirty = agents, float64(max(agents, 1))/float64(max(all, agents, 1)), true
}

// Merge replaces what an agent told: the sum over the other entries that it heard from. The
// Ledger keeps rows.
func (l *Ledger) Merge(now time.Time, agent string, rows []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources[agent] = &source{at: now, rows: rows}
	l.dirty = true
}

// Forget drops what an agent told.
func (l *Ledger) Forget(agent string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sources, agent)
	l.dirty = true
}

// Standing returns the standing of a holder.
func (l *Ledger) Standing(now time.Time, h Holder) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planLocked(now)
	st := Standing{Rank: h.Rank}
	i, ok := l.index[keyOf(h)]
	if !ok {
		return st
	}
	r := &l.rows[i]
	r.setWeight(h.Weight)
	r.advance(now)
	st.Excess = l.excessLocked(r)
	return st
}

// excessLocked returns how far a row is beyond its fair share as a fraction. l.mu is held.
func (l *Ledger) excessLocked(r *row) float64 {
	lv := l.levels[r.key.rank]
	if math.IsInf(lv, 1) {
		return 0
	}
	held, share := l.ownWeightLocked()*r.held+r.toldHeld, r.weight*lv
	if held <= share*(1+minExcess) {
		return 0
	}
	return held/share - 1
}

// ownWeightLocked returns the factor of this process's own figures beside the sums that the
// agents told. An agent's sum leaves out the process that it is told to, and contains any
// other with the probability fraction. l.mu is held.
func (l *Ledger) ownWeightLocked() float64 {
	if len(l.sources) == 0 {
		return 1
	}
	return float64(len(l.sources)) * l.fraction
}

// planLocked computes the levels of all ranks if they are older than planInterval. l.mu is
// held.
func (l *Ledger) planLocked(now time.Time) {
	if !l.dirty && now.Sub(l.planned) < planInterval && !now.Before(l.planned) {
		return
	}
	l.planned = now
	l.tallyLocked(now)
	own := l.ownWeightLocked()
	var held, waiting, weight [maxRanks]float64
	for i := range l.claims {
		l.claims[i] = l.claims[i][:0]
	}
	for i := range l.rows {
		r := &l.rows[i]
		r.advance(now)
		h, w := own*r.held+r.toldHeld, own*r.waiting+r.toldWaiting
		if h+w < minHeld {
			continue
		}
		k := r.key.rank
		held[k] += h
		waiting[k] += w
		weight[k] += r.weight
		l.claims[k] = append(l.claims[k], claim{weight: r.weight, demand: h + w})
	}
	for k := range l.others {
		r := &l.others[k]
		r.advance(now)
		h, w := own*r.held+r.toldHeld, own*r.waiting+r.toldWaiting
		if n := len(l.claims[k]); n > 0 && h+w > 0 {
			// Each slot held or waited for is at most one more workspace of usual weight.
			l.claims[k] = append(l.claims[k], claim{weight: (h + w) / own * weight[k] / float64(n), demand: h + w})
		}
		held[k] += h
		waiting[k] += w
		l.levels[k] = math.Inf(1)
		if waiting[k] > contended*held[k] {
			l.levels[k] = level(l.claims[k], held[k])
		}
	}
}

// tallyLocked adds up what fresh sources told and drops the others. l.mu is held.
func (l *Ledger) tallyLocked(now time.Time) {
	for agent, s := range l.sources {
		if now.Sub(s.at) > MaxAge {
			delete(l.sources, agent)
			l.dirty = true
		}
	}
	if !l.dirty {
		return
	}
	l.dirty = false
	l.eachLocked(func(r *row) { r.toldHeld, r.toldWaiting = 0, 0 })
	for _, s := range l.sources {
		for _, u := range s.rows {
			r := &l.others[clampRank(u.Rank)]
			if !u.Others {
				r = l.rowLocked(now, Holder{Workspace: u.Workspace, Rank: u.Rank})
				if r.active == 0 && r.held < minHeld {
					r.setWeight(u.Weight) // the configuration of this process goes first
				}
			}
			r.toldHeld += u.Held
			r.toldWaiting += u.Waiting
		}
	}
}

// minHeld is the number of slots below which an average counts as nothing.
const minHeld = 0.001

// eachLocked calls do with all rows. l.mu is held.
func (l *Ledger) eachLocked(do func(*row)) {
	for i := range l.rows {
		do(&l.rows[i])
	}
	for i := range l.others {
		do(&l.others[i])
	}
}

// rowLocked returns the row of a holder and creates it if needed. l.mu is held.
func (l *Ledger) rowLocked(now time.Time, h Holder) *row {
	k := keyOf(h)
	i, ok := l.index[k]
	if !ok {
		if len(l.free) == 0 && len(l.rows) == maxRows {
			l.sweepLocked(now)
		}
		if n := len(l.free); n > 0 {
			i, l.free = l.free[n-1], l.free[:n-1]
		} else {
			i, l.rows = len(l.rows), append(l.rows, row{})
		}
		l.rows[i] = row{key: k, weight: 1, at: now}
		l.index[k] = i
	}
	r := &l.rows[i]
	r.setWeight(h.Weight)
	return r
}

// beganLocked returns the row in which earlier work of a holder was counted: its own, or that
// of the other workspaces if its row was swept meanwhile. l.mu is held.
func (l *Ledger) beganLocked(h Holder, has func(*row) bool) *row {
	k := keyOf(h)
	if i, ok := l.index[k]; ok && has(&l.rows[i]) {
		return &l.rows[i]
	}
	return &l.others[k.rank]
}

// sweepLocked adds the lighter half of the rows to those of the other workspaces. l.mu is held.
func (l *Ledger) sweepLocked(now time.Time) {
	own := l.ownWeightLocked()
	load := func(r *row) float64 {
		return own*(r.held+float64(r.active)+r.waiting) + r.toldHeld + r.toldWaiting
	}
	l.loads = l.loads[:0]
	for i := range l.rows {
		l.rows[i].advance(now)
		l.loads = append(l.loads, load(&l.rows[i]))
	}
	slices.Sort(l.loads)
	median := l.loads[maxRows/2-1]
	for i := range l.rows {
		r := &l.rows[i]
		if load(r) > median || len(l.free) == maxRows/2 {
			continue
		}
		o := &l.others[r.key.rank]
		o.advance(now)
		o.active += r.active
		o.queued += r.queued
		o.backlog += r.backlog
		o.held += r.held
		o.waiting += r.waiting
		o.toldHeld += r.toldHeld
		o.toldWaiting += r.toldWaiting
		delete(l.index, r.key)
		*r = row{}
		l.free = append(l.free, i)
	}
}

func (r *row) setWeight(w float64) {
	if w > 0 {
		r.weight = w
	}
}

// advance brings the averages to a time. An earlier time than before changes nothing.
func (r *row) advance(now time.Time) {
	d := now.Sub(r.at)
	if d <= 0 {
		return
	}
	r.at = now
	f := math.Exp(-d.Seconds() / averagingTime.Seconds())
	r.held = float64(r.active) + (r.held-float64(r.active))*f
	waiting := float64(r.queued + r.backlog)
	r.waiting = waiting + (r.waiting-waiting)*f
}

// Row is one workspace at one rank in the account, for operators. All figures are slots.
type Row struct {
	Holder
	Others        bool          // all workspaces of the rank that have no row of their own
	Held, Waiting float64       // of this process
	FleetHeld     float64       // of all processes, an estimate
	FleetWaiting  float64       // of all processes, an estimate
	FairShare     float64       // of all processes; +Inf without contention
	Excess        float64       // see Standing
	Age           time.Duration // of the oldest figures of other processes that are used
	Complete      bool          // figures of all agents that this process follows are used
}

// Usage returns the rows with slots in use or waited for, by rank, the heaviest first.
func (l *Ledger) Usage(now time.Time) []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planLocked(now)
	var age time.Duration
	for _, s := range l.sources {
		age = max(age, now.Sub(s.at))
	}
	own := l.ownWeightLocked()
	var out []Row
	add := func(r *row, others bool) {
		r.advance(now)
		o := Row{
			Holder: Holder{Workspace: r.key.workspace, Rank: r.key.rank, Weight: r.weight}, Others: others, Held: r.held, Waiting: r.waiting,
			FleetHeld: r.held + r.toldHeld/own, FleetWaiting: r.waiting + r.toldWaiting/own, Age: age, Complete: len(l.sources) >= l.agents,
		}
		if o.FleetHeld+o.FleetWaiting < minHeld {
			return
		}
		o.FairShare = math.Inf(1)
		if !others {
			o.FairShare, o.Excess = r.weight*l.levels[r.key.rank]/own, l.excessLocked(r)
		}
		out = append(out, o)
	}
	for i := range l.rows {
		add(&l.rows[i], false)
	}
	for i := range l.others {
		add(&l.others[i], true)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.FleetHeld+b.FleetWaiting, a.FleetHeld+a.FleetWaiting), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}
