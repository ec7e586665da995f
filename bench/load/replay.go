package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumiceford/balance"
	"pumiceford/routing"
	"pumiceford/seats"
	"pumiceford/targets"
)

// Times and limits of the model. Those of the product's shells are repeated here
// because they belong to its input and output, which the model stands in for.
const (
	aim        = 300 * time.Millisecond
	firstEvent = 30 * time.Millisecond // after a slot was had
	travels    = 2 * time.Millisecond
	poll       = 25 * time.Millisecond // an agent asks its target
	firstLook  = 100 * time.Millisecond
	nextLook   = 30 * time.Millisecond
	runnerLook = 100 * time.Millisecond
	tellAgain  = 250 * time.Millisecond // an agent repeats itself
	reserving  = 4 * time.Millisecond   // a slot is reserved, or refused
	idleFor    = 8 * time.Second
	troughFor  = 3600 * time.Millisecond
	cycle      = 6 * time.Second
)

// replay is one run.
type replay struct {
	timeline
	shape    Shape
	policy   Policy
	began    time.Time
	targets  []*target
	byID     map[string]*target
	entries  []*entry
	choices  *rand.Rand
	arrivals *rand.Rand // of requests, the same whatever is chosen
	comes    *rand.Rand // of items, likewise
	out      Outcome
	used     time.Duration // of slots
}

// target is a modelled target: it admits in order of arrival.
type target struct {
	id      string
	slow    bool
	active  int
	queue   []*work
	held    int // slots reserved for requests on their way
	arbiter *seats.Arbiter
	seated  map[uint64]*work
	told    []*listener
}

// listener is an entry that a target's agent tells of loads.
type listener struct {
	entry *entry
	last  balance.Report
	at    time.Time
}

// A slow target takes slower/of times as long as the others.
const slower, of = 13, 10

// takes returns how long a target takes for what takes others d.
func (t *target) takes(d time.Duration) time.Duration {
	if t.slow {
		return d * slower / of
	}
	return d
}

// did returns how long others would have taken for what a target did in d.
func (t *target) did(d time.Duration) time.Duration {
	if t.slow {
		return d * of / slower
	}
	return d
}

// giveBack returns the seat of an item, if it has one.
func (t *target) giveBack(w *work) {
	if w.seat == 0 {
		return
	}
	t.arbiter.Release(w.seat)
	delete(t.seated, w.seat)
	w.seat = 0
}

// entry is one process that chooses.
type entry struct {
	table *balance.Table
	open  map[string]*conns // own connections by target
	batch []*work           // items that wait here
	own   map[string]int    // own requests by target
}

// conns counts the connections of an entry to one target.
type conns struct {
	busy, open int
	used       time.Time
}

// work is a request or an item.
type work struct {
	entry   *entry
	at      *target
	batch   bool
	arrived time.Time
	due     time.Time
	left    time.Duration // an item still has to run
	started time.Time
	running bool
	began   bool // its first event came
	// reserved says that a slot is kept for it where it goes.
	reserved bool
	back     bool // it was refused once and has come again
	visit    int  // counts the targets it was sent to
	seat     uint64
}

// Run replays a shape under a policy. The same seed gives the same arrivals.
func Run(shape Shape, policy Policy, seed uint64) Outcome {
	r := &replay{
		shape: shape, policy: policy, byID: make(map[string]*target),
		choices: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), comes: rand.New(rand.NewPCG(seed, 3)),
		out: Outcome{Shape: shape.Name, Policy: policy.Name, Batch: shape.Items > 0},
	}
	r.began = time.Unix(1000, 0)
	r.now = r.began
	r.build()
	r.arrive()
	if shape.Items > 0 {
		r.arriveItem()
	}
	r.runUntil(r.began.Add(shape.Lasts))
	r.conclude()
	return r.out
}

func (r *replay) build() {
	var all []targets.Instance
	for i := range r.shape.Targets {
		t := &target{
			id: fmt.Sprint("i", i), slow: r.shape.Mixed && i%3 == 0,
			arbiter: seats.NewArbiter(r.shape.Slots, seats.Reserve(fmt.Sprint("host", i))), seated: make(map[uint64]*work),
		}
		r.targets = append(r.targets, t)
		r.byID[t.id] = t
		all = append(all, targets.Instance{ID: t.id, Service: "s", Slots: r.shape.Slots})
		if !r.policy.Alone && !r.policy.Forward {
			r.after(time.Duration(i)*time.Millisecond/2, func() { r.report(t) })
		}
	}
	ids := make([]string, 0, len(all))
	for _, in := range all {
		ids = append(ids, in.ID)
	}
	for e := range r.shape.Entries {
		en := &entry{table: balance.NewTable(uint64(e)), open: make(map[string]*conns), own: make(map[string]int)}
		en.table.Replace(all)
		r.entries = append(r.entries, en)
		r.listen(en, ids)
		if !r.policy.Forward {
			r.after(time.Duration(e)*time.Millisecond, func() { r.dispatch(en) })
		}
	}
}

// listen has an entry told of the loads of its part of the targets.
func (r *replay) listen(e *entry, ids []string) {
	if r.policy.Watched > 0 {
		ids = routing.Top(ids, routing.Score(fmt.Sprint("entry", len(r.entries)), 1), r.policy.Watched)
	}
	for _, id := range ids {
		t := r.byID[id]
		t.told = append(t.told, &listener{entry: e})
	}
}

// report asks a target for its load, asks seats back for what waits, and tells
// the entries that listen some milliseconds later.
func (r *replay) report(t *target) {
	load := seats.Load{Active: t.active, Queued: len(t.queue)}
	for _, id := range t.arbiter.Report(r.now, load) {
		w := t.seated[id]
		r.after(travels, func() { r.yield(w, id) })
	}
	told := balance.Report{
		Active: load.Active, Queued: load.Queued, Batch: t.arbiter.Held(), Slots: r.shape.Slots,
		Room: max(t.arbiter.Room(r.now), 0), Spare: max(t.arbiter.Spare(r.now), 0),
	}
	for _, l := range t.told {
		r.tell(t, l, told)
	}
	r.after(poll+time.Duration(r.choices.IntN(12))*time.Millisecond, func() { r.report(t) })
}

// tell tells a listener of a load that has changed, and now and then of one that has not.
func (r *replay) tell(t *target, l *listener, told balance.Report) {
	since := r.now.Sub(l.at)
	if since < r.policy.TellEvery || told == l.last && since < tellAgain {
		return
	}
	l.last, l.at = told, r.now
	r.out.Told++
	r.after(travels+time.Duration(r.choices.IntN(8))*time.Millisecond, func() { l.entry.table.Note(r.now, t.id, told) })
}

func (r *replay) arrive() {
	rate := r.shape.Trough
	if r.now.Sub(r.began)%cycle > troughFor {
		rate = r.shape.Peak
	}
	w := &work{entry: r.entries[r.arrivals.IntN(len(r.entries))], arrived: r.now}
	next := time.Duration(r.arrivals.ExpFloat64() / rate * float64(time.Second))
	r.out.Requests++
	r.send(w)
	r.after(next, r.arrive)
}

func (r *replay) arriveItem() {
	w := &work{
		entry: r.entries[r.comes.IntN(len(r.entries))], batch: true, arrived: r.now,
		due: r.now.Add(r.shape.DueWithin), left: r.shape.Runs,
	}
	next := time.Duration(r.comes.ExpFloat64() / r.shape.Items * float64(time.Second))
	if w.due.Before(r.began.Add(r.shape.Lasts)) {
		r.out.Items++
	}
	if r.policy.Forward {
		r.send(w)
	} else {
		w.entry.batch = append(w.entry.batch, w)
	}
	r.after(next, r.arriveItem)
}

// submit puts work into a target's queue, over a connection.
func (r *replay) submit(w *work) {
	w.entry.own[w.at.id]++
	r.connect(w)
	visit := w.visit
	r.after(travels, func() {
		if w.visit != visit {
			return
		}
		if w.reserved {
			w.reserved = false
			w.at.held--
			w.at.queue = append([]*work{w}, w.at.queue...)
		} else {
			w.at.queue = append(w.at.queue, w)
		}
		r.admit(w.at)
	})
}

func (r *replay) connect(w *work) {
	c := w.entry.open[w.at.id]
	if c == nil {
		c = &conns{}
		w.entry.open[w.at.id] = c
	}
	if r.now.Sub(c.used) > idleFor {
		c.open = c.busy
	}
	c.busy++
	if c.busy > c.open {
		c.open = c.busy
		r.out.Opened++
	}
}

// release ends work's stay at its target. A run that was not ended by the target
// costs its connection.
func (r *replay) release(w *work, whole bool) {
	c := w.entry.open[w.at.id]
	c.busy--
	c.used = r.now
	if !whole {
		c.open--
	}
	w.entry.own[w.at.id]--
	if w.batch && !r.policy.Forward {
		w.entry.table.BatchEnded(r.now, w.at.id, whole)
		return
	}
	w.entry.table.Ended(r.now, w.at.id, whole && !r.policy.CloseIdle)
}

// admit gives free slots to the work that waits longest.
func (r *replay) admit(t *target) {
	for t.active+t.held < r.shape.Slots && len(t.queue) > 0 {
		w := t.queue[0]
		t.queue = t.queue[1:]
		t.active++
		w.running, w.started = true, r.now
		visit, holds, first := w.visit, r.shape.Holds, firstEvent
		if w.batch {
			holds = w.left
		}
		holds, first = t.takes(holds), t.takes(first)
		r.after(first, func() { r.firstCame(w, visit) })
		r.after(holds, func() { r.finished(w, visit) })
	}
}

func (r *replay) firstCame(w *work, visit int) {
	if w.visit == visit && !w.batch {
		w.began = true
		took := r.now.Sub(w.arrived)
		r.out.Firsts = append(r.out.Firsts, took)
		if w.back && took <= aim {
			r.out.Back++
		}
	}
}

func (r *replay) finished(w *work, visit int) {
	if w.visit != visit {
		return
	}
	t := w.at
	t.active--
	r.used += r.now.Sub(w.started)
	if !w.batch {
		w.entry.table.NoteHold("s", r.now.Sub(w.started))
	}
	r.release(w, true)
	if w.batch {
		t.giveBack(w)
		if !r.now.After(w.due) && w.due.Before(r.began.Add(r.shape.Lasts)) {
			r.out.InTime++
		}
	}
	w.visit++
	r.admit(t)
}

// leave takes work away from its target.
func (r *replay) leave(w *work) {
	t := w.at
	w.visit++
	if w.running {
		w.running = false
		t.active--
		r.used += r.now.Sub(w.started)
	}
	t.queue = slices.DeleteFunc(t.queue, func(other *work) bool { return other == w })
	r.release(w, false)
	r.after(travels, func() { r.admit(t) })
}

func (r *replay) conclude() {
	o := &r.out
	slices.Sort(o.Firsts)
	for _, d := range o.Firsts {
		if d > aim {
			o.Late++
		}
	}
	if n := len(o.Firsts); n > 0 {
		const half, hundredth = 2, 100
		o.P50, o.P99 = o.Firsts[n/half], o.Firsts[n-1-n/hundredth]
	}
	slots := float64(r.shape.Targets*r.shape.Slots) * r.shape.Lasts.Seconds()
	o.Capacity = r.used.Seconds() / slots
}
