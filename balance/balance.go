// Package balance chooses the target for a request. It does no I/O and reads no clock:
// the state of the targets, the time and the request come in, a choice comes out.
//
// Targets admit requests in their order of arrival, so a request that waits at a target
// waits behind all earlier ones. The choice therefore prefers a target with a free slot,
// then one where batch work can be asked to yield its slot, and only then the shortest
// queue.
//
// Reported loads are slightly out of date. At a peak several entries receive requests
// between two reports; with a least-loaded choice all of these requests go to the same
// target and wait there while slots are free elsewhere. Among targets with a free slot the
// choice is therefore a weighted random draw, by the square of the free slots.
package balance

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pumiceford/estimate"
	"pumiceford/targets"
)

// Table holds the state of all targets as this process knows it. It is not safe for
// concurrent use.
type Table struct {
	salt      uint64
	views     map[string]*View
	order     []*View // the values of views, sorted by instance ID
	estimates *estimate.Model

	scales      map[string]paceScale // by service
	paceChanges []PaceChange
	// figures and otherFigures are reused by paceScale, the others by Pick.
	figures, otherFigures []float64
	eligibleViews         []*View
	weights               []float64
}

// NewTable returns an empty Table. The salt breaks ties between targets that are equally
// good for batch work, so that processes with different salts and the same loads do not
// all ask the same agent first.
func NewTable(salt uint64) *Table {
	return &Table{salt: salt, views: make(map[string]*View), estimates: estimate.NewModel(), scales: make(map[string]paceScale)}
}

// Estimates returns the model of how long work holds its slots.
func (t *Table) Estimates() *estimate.Model {
	return t.estimates
}

// Replace sets the registered instances.
func (t *Table) Replace(all []targets.Instance) {
	named := make(map[string]bool, len(all))
	for _, in := range all {
		named[in.ID] = true
		// The load and the failures of an earlier incarnation do not apply to a
		// target that has restarted.
		if v := t.views[in.ID]; v != nil && v.Instance.StartedUnixMs == in.StartedUnixMs {
			if v.Instance.Draining && !in.Draining {
				v.speed = targetPace{} // it may resume at another speed
			}
			v.Instance = in
			continue
		}
		t.views[in.ID] = &View{Instance: in}
	}
	clear(t.scales)
	for id := range t.views {
		if !named[id] {
			delete(t.views, id)
		}
	}
	t.order = slices.SortedFunc(maps.Values(t.views), func(a, b *View) int { return strings.Compare(a.Instance.ID, b.Instance.ID) })
}

// UpdateLoad stores the load that a target's agent reported and resets the corrections made
// since the previous report. It ignores unknown targets.
func (t *Table) UpdateLoad(now time.Time, id string, r Report) {
	v := t.views[id]
	if v == nil {
		return
	}
	v.report, v.reportedAt, v.onlineAtReport, v.seatsTaken, v.reserveFailed = r, now, v.onlineInFlight, 0, false
	if r.Unresponsive {
		v.speed = targetPace{} // it may respond again after a restart
		return
	}
	t.observeTokenTimes(now, v, r)
}

// OnlineStarted records that an online request was sent to a target.
func (t *Table) OnlineStarted(now time.Time, id string) {
	if v := t.views[id]; v != nil {
		v.onlineInFlight++
		v.conns.acquire(now)
	}
}

// OnlineEnded records the end of an online request at a target. The argument reusable says
// whether its connection can be used again.
func (t *Table) OnlineEnded(now time.Time, id string, reusable bool) {
	if v := t.views[id]; v != nil {
		v.onlineInFlight = max(v.onlineInFlight-1, 0) // an earlier incarnation may have got the request
		v.conns.release(now, reusable)
	}
}

// BatchStarted records that a batch item was sent to a target.
func (t *Table) BatchStarted(now time.Time, id string) {
	if v := t.views[id]; v != nil {
		v.conns.acquire(now)
	}
}

// BatchEnded records the end of a batch item at a target. The argument reusable says
// whether its connection can be used again.
func (t *Table) BatchEnded(now time.Time, id string, reusable bool) {
	if v := t.views[id]; v != nil {
		v.conns.release(now, reusable)
	}
}

// ReserveFailed records that a target had no slot to reserve.
func (t *Table) ReserveFailed(id string) {
	if v := t.views[id]; v != nil {
		v.reserveFailed = true
	}
}

// Choice is the chosen target with the values that the choice is based on.
type Choice struct {
	Instance   targets.Instance
	Load       int           // estimated requests at the target, running and queued
	Batch      int           // reported requests running for batch
	Waiting    int           // estimated online requests waiting for a slot there
	Wait       time.Duration // estimated time until a slot becomes free there
	LoadAge    time.Duration // age of the load report; -1 if there is no current one
	Pace       float64       // see estimate.UsualPace
	PaceAge    time.Duration // age of the figure behind Pace; -1 if there is none
	Candidates int           // number of targets that could have been chosen
}

// Reported reports whether the choice is based on a current load report.
func (c Choice) Reported() bool {
	return c.LoadAge >= 0
}

// Request is what is known of an online request that needs a target.
type Request struct {
	Service string
	Work    estimate.Work
	// FirstEventWithin and EventGapWithin are the objectives of its route, 0 for none.
	FirstEventWithin, EventGapWithin time.Duration
	// Continues is the software whose output the request continues; nil if it continues none.
	Continues *targets.Software
}

// mayRunOn reports whether the request may run on the software of an instance.
func (r Request) mayRunOn(in targets.Instance) bool {
	return r.Continues == nil || *r.Continues == in.Software()
}

// Pick chooses the target of a service for a request of which nothing else is known, see
// PickFor.
func (t *Table) Pick(now time.Time, service string, tried map[string]bool, draw float64) (Choice, bool) {
	return t.PickFor(now, Request{Service: service}, tried, draw)
}

// PickFor chooses the target for an online request, leaving out the targets in tried. It
// returns false if there is no eligible target. The argument draw is a random number in
// [0, 1).
func (t *Table) PickFor(now time.Time, r Request, tried map[string]bool, draw float64) (Choice, bool) {
	return t.choose(now, r, t.candidates(now, r, tried), draw)
}

// PickReportedFor is like PickFor, but chooses only among targets with a current load report
// if there are any. It is used after a target without a report turned out to be full: a short
// queue of known length is then better than a queue of unknown length.
func (t *Table) PickReportedFor(now time.Time, r Request, tried map[string]bool, draw float64) (Choice, bool) {
	all := t.candidates(now, r, tried)
	reported := 0
	for _, v := range all {
		if v.reported(now) {
			all[reported] = v
			reported++
		}
	}
	if reported > 0 {
		all = all[:reported]
	}
	return t.choose(now, r, all, draw)
}

// candidates returns the targets that may get a request, sorted by instance ID. If all of
// them are ejected, it returns the ejected ones.
func (t *Table) candidates(now time.Time, r Request, tried map[string]bool) []*View {
	if all := t.eligible(now, r, tried, false); len(all) > 0 {
		return all
	}
	// All are ejected: a target that may fail is better than none.
	return t.eligible(now, r, tried, true)
}

// choose draws one of the candidates. It returns false if there are none.
func (t *Table) choose(now time.Time, r Request, candidates []*View, draw float64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	n := t.needsOf(r, candidates)
	v := t.drawWeighted(now, n, candidates, draw)
	c := Choice{
		Instance: v.Instance, Load: v.load(now), Batch: v.batch(now), Waiting: v.Waiting(now), Wait: t.wait(now, n, v), LoadAge: -1,
		Pace: v.pace(now), PaceAge: v.paceAge(now), Candidates: len(candidates),
	}
	if v.reported(now) {
		c.LoadAge = now.Sub(v.reportedAt)
	}
	return c, true
}

// eligible returns the targets that may get a request, sorted by instance ID. With
// includeEjected it includes the ejected ones. The result is valid until the next call.
func (t *Table) eligible(now time.Time, r Request, tried map[string]bool, includeEjected bool) []*View {
	out := t.eligibleViews[:0]
	for _, v := range t.order {
		if r.mayRunOn(v.Instance) && v.eligible(now, r.Service, tried, includeEjected) {
			out = append(out, v)
		}
	}
	t.eligibleViews = out
	return out
}

// drawWeighted draws a target of the best tier by weight. The argument draw is a random
// number in [0, 1).
func (t *Table) drawWeighted(now time.Time, n needs, candidates []*View, draw float64) *View {
	best, sum := tierQueue, 0.0
	weights := slices.Grow(t.weights[:0], len(candidates))[:len(candidates)]
	t.weights = weights
	clear(weights)
	for i, v := range candidates {
		vTier, w := v.rank(now, n)
		if vTier < best {
			best, sum = vTier, 0
			clear(weights[:i])
		}
		if vTier == best {
			weights[i] = w
			sum += w
		}
	}
	left := draw * sum
	last := candidates[0]
	for i, v := range candidates {
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

// ShouldMove reports whether a request that waits at a target should move to another one. It
// requires two free slots at the other target, because one free slot may be taken before
// the request arrives. All waiting requests see the same free slots, and each move gives
// up a place in a queue and costs a connection; so on average only as many requests move
// as there are free slots. The argument draw is a random number in [0, 1).
func (t *Table) ShouldMove(now time.Time, service, instance string, draw float64) bool {
	return t.ShouldMoveFor(now, Request{Service: service}, instance, nil, draw)
}

// ShouldMoveFor is like ShouldMove, but considers only the targets at which the request may run, and
// moves it to none that is in tried.
func (t *Table) ShouldMoveFor(now time.Time, r Request, instance string, tried map[string]bool, draw float64) bool {
	const minFree = 2
	free, waiting, otherFree := 0, 0, false
	for id, v := range t.views {
		if !r.mayRunOn(v.Instance) || !v.eligible(now, r.Service, nil, false) || !v.reported(now) {
			continue
		}
		n := v.Free(now)
		free += max(n, 0)
		waiting += max(-n, 0)
		otherFree = otherFree || id != instance && !tried[id] && n >= minFree
	}
	return otherFree && draw*float64(waiting) < float64(free)
}

// HasOther reports whether a request may be sent to a target that is neither the given one nor in
// tried.
func (t *Table) HasOther(now time.Time, r Request, instance string, tried map[string]bool) bool {
	return slices.ContainsFunc(t.candidates(now, r, tried), func(v *View) bool { return v.Instance.ID != instance })
}

// Alive reports whether a target's agent has recently reported that the target responds. A
// request there without a response is then waiting for a slot.
func (t *Table) Alive(now time.Time, id string) bool {
	v := t.views[id]
	return v != nil && !v.reportedAt.IsZero() && now.Sub(v.reportedAt) <= aliveReportAge && !v.report.Unresponsive
}

// CountInService returns the number of targets of a service that are neither draining nor
// superseded.
func (t *Table) CountInService(service string) int {
	n := 0
	for _, v := range t.views {
		if v.Instance.Service == service && !v.Instance.Draining && !v.Instance.Superseded {
			n++
		}
	}
	return n
}

// HasFreeSlot reports whether a target has a free slot according to a current load report.
func (t *Table) HasFreeSlot(now time.Time, id string) bool {
	v := t.views[id]
	return v != nil && v.reported(now) && v.Free(now) > 0
}

// Unresponsive reports whether a target's agent currently reports that the target does not
// respond.
func (t *Table) Unresponsive(now time.Time, id string) bool {
	v := t.views[id]
	return v != nil && v.reported(now) && v.report.Unresponsive
}

// aliveReportAge is the maximum age of a report that shows that the target responds. It is
// longer than the interval at which agents repeat their reports.
const aliveReportAge = 600 * time.Millisecond
