// Package balance chooses the target for a request. It is pure: what is known of
// the targets, the time and the request come in, a choice comes out.
//
// Targets admit requests in their order of arrival, so a request that waits
// inside one waits behind whatever came before it. The choice therefore goes
// first to a target with a free slot, then to one where batch work can be asked
// to leave, and only then to the shortest queue.
package balance

import (
	"slices"
	"time"

	"pumiceford/routing"
	"pumiceford/targets"
)

// Limits and weights.
const (
	// reportFor is how long a reported load counts. Agents report at least each
	// second, so an older word means that the agent is gone.
	reportFor = 1500 * time.Millisecond
	// ejectFirst and ejectMost bound how long a target that failed gets nothing.
	// The first is some 50 steps of an engine; a target that stays down costs one
	// request each ejectMost.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// ejectAfter is how many spoiled or failed answers in a row eject a target.
	// Some answers of a sound target get lost; three in a row hardly do.
	ejectAfter = 3
	// nearBonus prefers targets of the own data centre among equals, in slots.
	// It must stay under one request, or load would not be even.
	nearBonus = 0.4
	// displaceCost is what a slot costs that batch work must leave first, in
	// slots: above any free slot, below any queue.
	displaceCost = 100
	queueCost    = 1000
)

// Report is a target's load as its agent told it.
type Report struct {
	Active int // requests running, batch included
	Queued int
	Batch  int // running for batch
	Slots  int
}

// View is what is known of one target.
type View struct {
	Instance targets.Instance

	report   Report
	heard    time.Time
	online   int // own online requests there
	atReport int // own online requests there when the report came
	seated   int // slots not free any more since the report, for batch

	failures  int
	ejections int
	ejected   time.Time // gets nothing until then
}

// load estimates the requests at the target: the reported ones corrected by
// what this process sent or saw end since.
func (v *View) load(now time.Time) int {
	if !v.reported(now) {
		return v.online
	}
	return max(v.report.Active+v.report.Queued+v.online-v.atReport, v.online)
}

func (v *View) reported(now time.Time) bool {
	return !v.heard.IsZero() && now.Sub(v.heard) <= reportFor
}

func (v *View) batch(now time.Time) int {
	if !v.reported(now) {
		return 0
	}
	return v.report.Batch
}

func (v *View) slots() int {
	return max(v.Instance.Slots, 1)
}

// Free estimates the slots that nothing uses.
func (v *View) Free(now time.Time) int {
	return v.slots() - v.load(now)
}

// Waiting estimates the online requests that wait for a slot there.
func (v *View) Waiting(now time.Time) int {
	return max(0, v.load(now)-v.batch(now)-v.slots())
}

// cost orders targets for an online request, the least first.
func (v *View) cost(now time.Time, dataCentre string) float64 {
	load, slots := v.load(now), v.slots()
	c := float64(load)
	switch {
	case load < slots:
	case v.batch(now) > 0:
		c = displaceCost + float64(load-v.batch(now))
	default:
		c = queueCost + float64(load)
	}
	if v.Instance.DataCentre == dataCentre {
		c -= nearBonus
	}
	return c
}

// Table holds the views of all targets. It is not safe for concurrent use.
type Table struct {
	dataCentre string // of this process
	salt       uint64
	views      map[string]*View
}

// NewTable returns an empty Table. The salt orders targets that are equally
// good: processes with different salts, which see the same loads, do not all
// choose the same target until the next report.
func NewTable(dataCentre string, salt uint64) *Table {
	return &Table{dataCentre: dataCentre, salt: salt, views: make(map[string]*View)}
}

// Replace takes the registered instances.
func (t *Table) Replace(all []targets.Instance) {
	named := make(map[string]bool, len(all))
	for _, in := range all {
		named[in.ID] = true
		if v := t.views[in.ID]; v != nil {
			v.Instance = in
			continue
		}
		t.views[in.ID] = &View{Instance: in}
	}
	for id := range t.views {
		if !named[id] {
			delete(t.views, id)
		}
	}
}

// Note takes a target's load.
func (t *Table) Note(now time.Time, id string, r Report) {
	v := t.views[id]
	if v == nil {
		return
	}
	v.report, v.heard, v.atReport, v.seated = r, now, v.online, 0
}

// Began counts an online request sent to a target.
func (t *Table) Began(id string) {
	if v := t.views[id]; v != nil {
		v.online++
	}
}

// Ended counts an online request that ended there.
func (t *Table) Ended(id string) {
	if v := t.views[id]; v != nil {
		v.online--
	}
}

// Verdict is what a call showed of a target.
type Verdict int

// The verdicts.
const (
	Sound   Verdict = iota // it answered as it should
	Doubted                // an answer was spoiled, cut off or a failure
	Unfit                  // it could not be reached, or fell silent
)

// Judge takes what a call showed of a target. It returns how long the target is
// ejected, zero when it is not.
func (t *Table) Judge(now time.Time, id string, verdict Verdict) time.Duration {
	v := t.views[id]
	if v == nil {
		return 0
	}
	switch verdict {
	case Sound:
		v.failures, v.ejections = 0, 0
		return 0
	case Doubted:
		v.failures++
		if v.failures < ejectAfter {
			return 0
		}
	case Unfit:
	}
	if now.Before(v.ejected) {
		return 0
	}
	v.failures = 0
	d := min(ejectFirst<<min(v.ejections, maxShift), ejectMost)
	v.ejections++
	v.ejected = now.Add(d)
	return d
}

// maxShift keeps the doubling of ejections within an integer.
const maxShift = 10

// Choice is a target with what decided for it.
type Choice struct {
	Instance targets.Instance
	Load     int
	Batch    int
	Waiting  int           // online requests estimated to wait there
	Age      time.Duration // of the report that the estimate rests on; -1 for none
	Among    int           // targets that could have been chosen
}

// Pick chooses the target of a service for an online request. It reports false
// when no target may get it.
func (t *Table) Pick(now time.Time, service string, tried map[string]bool) (Choice, bool) {
	v, among := t.best(now, service, tried, false)
	if v == nil {
		// All are ejected: a doubtful target is better than none.
		v, among = t.best(now, service, tried, true)
	}
	if v == nil {
		return Choice{}, false
	}
	c := Choice{Instance: v.Instance, Load: v.load(now), Batch: v.batch(now), Waiting: v.Waiting(now), Age: -1, Among: among}
	if v.reported(now) {
		c.Age = now.Sub(v.heard)
	}
	return c, true
}

func (t *Table) best(now time.Time, service string, tried map[string]bool, ejected bool) (*View, int) {
	var best *View
	var least float64
	among := 0
	for _, v := range t.views {
		if !v.usable(now, service, tried, ejected) {
			continue
		}
		among++
		c := v.cost(now, t.dataCentre)
		if best == nil || c < least || (c == least && t.before(v, best)) {
			best, least = v, c
		}
	}
	return best, among
}

func (t *Table) before(a, b *View) bool {
	return routing.Score(a.Instance.ID, t.salt) > routing.Score(b.Instance.ID, t.salt)
}

func (v *View) usable(now time.Time, service string, tried map[string]bool, ejected bool) bool {
	if v.Instance.Service != service || v.Instance.Draining || tried[v.Instance.ID] {
		return false
	}
	return ejected || !now.Before(v.ejected)
}

// Room is a target with the slots that are estimated to be free there.
type Room struct {
	Instance targets.Instance
	Free     int
}

// Rooms returns the targets of a service whose agents told of a free slot, most
// free first. Targets without an agent's word get no batch work: nobody would
// notice online requests waiting behind it.
func (t *Table) Rooms(now time.Time, service string) []Room {
	var out []Room
	for _, v := range t.views {
		if !v.usable(now, service, nil, false) || !v.reported(now) {
			continue
		}
		if free := v.Free(now) - v.seated; free > 0 {
			out = append(out, Room{Instance: v.Instance, Free: free})
		}
	}
	slices.SortFunc(out, func(a, b Room) int {
		if a.Free != b.Free {
			return b.Free - a.Free
		}
		if routing.Score(a.Instance.ID, t.salt) > routing.Score(b.Instance.ID, t.salt) {
			return -1
		}
		return 1
	})
	return out
}

// Seated notes the answer of an agent that was asked for a seat. Until its next
// report a refusal means that nothing is free there.
func (t *Table) Seated(id string, granted bool) {
	v := t.views[id]
	if v == nil {
		return
	}
	if granted {
		v.seated++
		return
	}
	v.seated = v.slots()
}
