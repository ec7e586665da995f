// Package balance chooses the target for a request. It is pure: what is known of
// the targets, the time and the request come in, a choice comes out.
//
// Targets admit requests in their order of arrival, so a request that waits
// inside one waits behind whatever came before it. The choice therefore goes
// first to a target with a free slot, then to one where batch work can be asked
// to leave, and only then to the shortest queue.
//
// Reported loads are a little old. At a peak several requests come to several entries
// between two reports; all of them would meet at the one least loaded target and wait
// there while slots are free elsewhere. So among targets with a free slot the
// choice is drawn, by the square of the free slots.
package balance

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pumiceford/targets"
)

// Table holds the views of all targets. It is not safe for concurrent use.
type Table struct {
	salt  uint64
	views map[string]*View
	order []*View                  // the same, by id
	holds map[string]time.Duration // a request holds its slot, by service
}

// NewTable returns an empty Table. The salt orders targets that are equally good
// for batch: processes with different salts, which see the same loads, do not all
// ask the same agent first.
func NewTable(salt uint64) *Table {
	return &Table{salt: salt, views: make(map[string]*View), holds: make(map[string]time.Duration)}
}

// Replace takes the registered instances.
func (t *Table) Replace(all []targets.Instance) {
	named := make(map[string]bool, len(all))
	for _, in := range all {
		named[in.ID] = true
		// What an earlier life did, its load and its failures, says nothing of a
		// target that has started again.
		if v := t.views[in.ID]; v != nil && v.Instance.Born == in.Born {
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
	t.order = slices.SortedFunc(maps.Values(t.views), func(a, b *View) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
}

// Note takes a target's load.
func (t *Table) Note(now time.Time, id string, r Report) {
	v := t.views[id]
	if v == nil {
		return
	}
	v.report, v.heard, v.atReport, v.seated, v.full = r, now, v.online, 0, false
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
		v.online = max(v.online-1, 0) // it may have begun in an earlier life
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

// Full notes that a target had no slot to reserve.
func (t *Table) Full(id string) {
	if v := t.views[id]; v != nil {
		v.full = true
	}
}

// Choice is a target with what decided for it.
type Choice struct {
	Instance targets.Instance
	Load     int
	Batch    int
	Waiting  int           // online requests estimated to wait there
	Wait     time.Duration // until a slot is estimated to come free there
	Age      time.Duration // of the report that the estimate rests on; -1 for none
	Among    int           // targets that could have been chosen
}

// Reported reports whether the target's load was reported lately.
func (c Choice) Reported() bool {
	return c.Age >= 0
}

// Pick chooses the target of a service for an online request. It reports false
// when no target may get it. The draw is a random number from 0 up to 1.
func (t *Table) Pick(now time.Time, service string, tried map[string]bool, draw float64) (Choice, bool) {
	return t.choose(now, t.candidates(now, service, tried), draw)
}

// PickReported is Pick among the targets whose load is known, as long as there are any.
// Once some of the others turned out to be full, a short queue that is known is better
// than one that is not.
func (t *Table) PickReported(now time.Time, service string, tried map[string]bool, draw float64) (Choice, bool) {
	all := t.candidates(now, service, tried)
	var known []*View
	for _, v := range all {
		if v.reported(now) {
			known = append(known, v)
		}
	}
	if len(known) > 0 {
		all = known
	}
	return t.choose(now, all, draw)
}

// candidates returns the targets that may get a request, in a fixed order.
func (t *Table) candidates(now time.Time, service string, tried map[string]bool) []*View {
	if all := t.usable(now, service, tried, false); len(all) > 0 {
		return all
	}
	// All are ejected: a doubtful target is better than none.
	return t.usable(now, service, tried, true)
}

// choose draws one of the candidates, if there are any.
func (t *Table) choose(now time.Time, among []*View, draw float64) (Choice, bool) {
	if len(among) == 0 {
		return Choice{}, false
	}
	v := drawn(now, among, draw)
	c := Choice{Instance: v.Instance, Load: v.load(now), Batch: v.batch(now), Waiting: v.Waiting(now), Wait: t.wait(now, v), Age: -1, Among: len(among)}
	if v.reported(now) {
		c.Age = now.Sub(v.heard)
	}
	return c, true
}

// usable returns the targets that are fit for a request, in a fixed order.
func (t *Table) usable(now time.Time, service string, tried map[string]bool, ejected bool) []*View {
	var out []*View
	for _, v := range t.order {
		if v.usable(now, service, tried, ejected) {
			out = append(out, v)
		}
	}
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

// MayMove reports whether a request that waits at a target should go to another
// one. One free slot may be gone when the request comes, so it takes two. All that
// wait see the same free slots, and each that moves loses its place in a queue and
// costs a connection, so on average only as many move as slots are free. The draw is a
// random number from 0 up to 1.
func (t *Table) MayMove(now time.Time, service, instance string, draw float64) bool {
	const room = 2
	free, waiting, roomy := 0, 0, false
	for id, v := range t.views {
		if !v.usable(now, service, nil, false) || !v.reported(now) {
			continue
		}
		n := v.Free(now)
		free += max(n, 0)
		waiting += max(-n, 0)
		roomy = roomy || id != instance && n >= room
	}
	return roomy && draw*float64(waiting) < float64(free)
}

// Alive reports whether a target's agent told of it lately: a request there that
// has no answer yet waits for a slot.
func (t *Table) Alive(now time.Time, id string) bool {
	v := t.views[id]
	return v != nil && !v.heard.IsZero() && now.Sub(v.heard) <= aliveFor && !v.report.Silent
}

// Serving returns how many targets of a service may get work at all.
func (t *Table) Serving(service string) int {
	n := 0
	for _, v := range t.views {
		if v.Instance.Service == service && !v.Instance.Draining && !v.Instance.Superseded {
			n++
		}
	}
	return n
}

// HasFree reports whether a target is told to have a free slot now.
func (t *Table) HasFree(now time.Time, id string) bool {
	v := t.views[id]
	return v != nil && v.reported(now) && v.Free(now) > 0
}

// Silent reports whether a target's agent says that it does not answer.
func (t *Table) Silent(now time.Time, id string) bool {
	v := t.views[id]
	return v != nil && v.reported(now) && v.report.Silent
}

// aliveFor is how long an agent's word shows that its target answers: longer than agents
// take to repeat themselves.
const aliveFor = 600 * time.Millisecond
