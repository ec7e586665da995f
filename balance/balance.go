// Package balance chooses the target for a request. It is pure: what is known of
// the targets, the time and the request come in, a choice comes out.
//
// Targets admit requests in their order of arrival, so a request that waits
// inside one waits behind whatever came before it. The choice therefore goes
// first to a target with a free slot, then to one where batch work can be asked
// to leave, and only then to the shortest queue.
//
// Reported loads are some 50 ms old. At a peak ten requests come to eight entries
// in that time; all of them would meet at the one least loaded target and wait
// there while slots are free elsewhere. So among targets with a free slot the
// choice is drawn, by the square of the free slots.
package balance

import (
	"slices"
	"strings"
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
)

// Report is a target's load as its agent told it.
type Report struct {
	Active int // requests running, batch included
	Queued int
	Batch  int // running for batch
	Slots  int
	Room   int // seats that batch work can have
}

// View is what is known of one target.
type View struct {
	Instance targets.Instance

	report   Report
	heard    time.Time
	online   int // own online requests there
	atReport int // own online requests there when the report came
	seated   int // slots not free any more since the report, for batch
	conns    conns

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

// tier groups targets by how an online request would get a slot there.
type tier int

const (
	tierFree     tier = iota // a slot is free
	tierDisplace             // batch work has to leave one first
	tierQueue                // it would wait for another request to end
)

// place returns a target's tier and its weight among the others of that tier.
// Weights are squares, so that the emptier target is clearly preferred and still
// not chosen by all processes at once.
func (v *View) place(now time.Time) (tier, float64) {
	load, slots, batch := v.load(now), v.slots(), v.batch(now)
	switch {
	case load < slots:
		return tierFree, v.weigh(now, square(slots-load))
	case batch > 0 && load-batch < slots:
		return tierDisplace, square(slots - load + batch)
	}
	return tierQueue, 1 / square(1+load-slots)
}

// conns estimates the connections that this process keeps to a target.
type conns struct {
	busy int       // in use
	open int       // in use or idle
	used time.Time // when one was last taken or given back
}

// Weights and times of connections.
const (
	// idleFor is how long an idle connection stays open.
	idleFor = 8 * time.Second
	// idleWeight is how much a target with an idle connection is preferred among
	// those that have a free slot. A new connection takes a round trip and holds a
	// slot for a millisecond. In a replayed half minute of peaks and troughs 275 are
	// opened with it and 406 without; as many requests wait, 13 and 19 of some 2,360.
	idleWeight = 10
)

func (c *conns) take(now time.Time) {
	if now.Sub(c.used) > idleFor {
		c.open = c.busy
	}
	c.busy++
	c.open = max(c.open, c.busy)
	c.used = now
}

func (c *conns) give(now time.Time, reusable bool) {
	c.busy--
	if !reusable {
		c.open--
	}
	c.used = now
}

// idle reports whether a connection is there that nothing uses.
func (c *conns) idle(now time.Time) bool {
	return c.open > c.busy && now.Sub(c.used) <= idleFor
}

// weigh returns the weight of a target among others of its tier.
func (v *View) weigh(now time.Time, w float64) float64 {
	if v.conns.idle(now) {
		return idleWeight * w
	}
	return w
}

func square(n int) float64 {
	return float64(n) * float64(n)
}

// Table holds the views of all targets. It is not safe for concurrent use.
type Table struct {
	salt  uint64
	views map[string]*View
}

// NewTable returns an empty Table. The salt orders targets that are equally good
// for batch: processes with different salts, which see the same loads, do not all
// ask the same agent first.
func NewTable(salt uint64) *Table {
	return &Table{salt: salt, views: make(map[string]*View)}
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
func (t *Table) Began(now time.Time, id string) {
	if v := t.views[id]; v != nil {
		v.online++
		v.conns.take(now)
	}
}

// Ended counts an online request that ended there, and whether its connection
// can be used again.
func (t *Table) Ended(now time.Time, id string, reusable bool) {
	if v := t.views[id]; v != nil {
		v.online--
		v.conns.give(now, reusable)
	}
}

// BatchBegan counts an item sent to a target.
func (t *Table) BatchBegan(now time.Time, id string) {
	if v := t.views[id]; v != nil {
		v.conns.take(now)
	}
}

// BatchEnded counts an item that ended there.
func (t *Table) BatchEnded(now time.Time, id string, reusable bool) {
	if v := t.views[id]; v != nil {
		v.conns.give(now, reusable)
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
// when no target may get it. The draw is a random number from 0 up to 1.
func (t *Table) Pick(now time.Time, service string, tried map[string]bool, draw float64) (Choice, bool) {
	among := t.usable(now, service, tried, false)
	if len(among) == 0 {
		// All are ejected: a doubtful target is better than none.
		among = t.usable(now, service, tried, true)
	}
	if len(among) == 0 {
		return Choice{}, false
	}
	v := drawn(now, among, draw)
	c := Choice{Instance: v.Instance, Load: v.load(now), Batch: v.batch(now), Waiting: v.Waiting(now), Age: -1, Among: len(among)}
	if v.reported(now) {
		c.Age = now.Sub(v.heard)
	}
	return c, true
}

// usable returns the targets that may get a request, in a fixed order.
func (t *Table) usable(now time.Time, service string, tried map[string]bool, ejected bool) []*View {
	var out []*View
	for _, v := range t.views {
		if v.usable(now, service, tried, ejected) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *View) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
	return out
}

// drawn draws a target of the best tier.
func drawn(now time.Time, among []*View, draw float64) *View {
	best, sum := tierQueue, 0.0
	weights := make([]float64, len(among))
	for i, v := range among {
		at, w := v.place(now)
		if at < best {
			best, sum = at, 0
			clear(weights[:i])
		}
		if at == best {
			weights[i] = w
			sum += w
		}
	}
	left := draw * sum
	last := among[0]
	for i, v := range among {
		if weights[i] == 0 {
			continue
		}
		last = v
		if left -= weights[i]; left < 0 {
			break
		}
	}
	return last
}

// FreeElsewhere reports whether a target other than one has room for a request
// that waits there. One free slot may be gone when the request comes, so it takes
// two.
func (t *Table) FreeElsewhere(now time.Time, service, instance string) bool {
	const room = 2
	for id, v := range t.views {
		if id != instance && v.usable(now, service, nil, false) && v.reported(now) && v.Free(now) >= room {
			return true
		}
	}
	return false
}

// Alive reports whether a target's agent told of it lately: a request there that
// has no answer yet waits for a slot.
func (t *Table) Alive(now time.Time, id string) bool {
	v := t.views[id]
	return v != nil && !v.heard.IsZero() && now.Sub(v.heard) <= aliveFor
}

// aliveFor is how long an agent's word shows that its target answers: agents
// repeat themselves each 250 ms.
const aliveFor = 600 * time.Millisecond

func (v *View) usable(now time.Time, service string, tried map[string]bool, ejected bool) bool {
	if v.Instance.Service != service || v.Instance.Draining || v.Instance.Superseded || tried[v.Instance.ID] {
		return false
	}
	return ejected || !now.Before(v.ejected)
}

// Room is a target with the slots that are estimated to be free there.
type Room struct {
	Instance targets.Instance
	Free     int
	idle     bool // a connection is there for it
}

// Rooms returns the targets of a service whose agents have seats for batch work,
// those with an idle connection and then the most free first. Targets without an agent's word get no batch work: nobody would
// notice online requests waiting behind it.
func (t *Table) Rooms(now time.Time, service string) []Room {
	var out []Room
	for _, v := range t.views {
		if !v.usable(now, service, nil, false) || !v.reported(now) {
			continue
		}
		if free := min(v.Free(now), v.report.Room) - v.seated; free > 0 {
			out = append(out, Room{Instance: v.Instance, Free: free, idle: v.conns.idle(now)})
		}
	}
	slices.SortFunc(out, func(a, b Room) int {
		if a.idle != b.idle {
			if a.idle {
				return -1
			}
			return 1
		}
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
