package balance

import (
	"cmp"
	"slices"
	"time"

	"pumiceford/estimate"
	"pumiceford/routing"
	"pumiceford/targets"
)

// BatchTarget is a target that can take batch work.
type BatchTarget struct {
	Instance targets.Instance
	Free     int     // estimated number of free slots that batch work may use
	Suspect  bool    // the target may not respond as expected
	Pace     float64 // see estimate.UsualPace
	idleConn bool    // this process has an idle connection to it
}

// Item is what is known of a batch item that needs a target. The zero Item stands for one of
// which nothing is known.
type Item struct {
	Remaining time.Duration // time that it still runs at estimate.UsualPace
	Due       time.Time
	Urgent    bool // it may also use the slots that are kept free of other items
}

// inTime reports whether the item completes by its due time at a pace.
func (i Item) inTime(now time.Time, pace float64) bool {
	return i.Due.IsZero() || float64(i.Remaining)*pace <= float64(i.Due.Sub(now))
}

// BatchTargets returns the targets for an item of which nothing is known, see BatchTargetsFor.
func (t *Table) BatchTargets(now time.Time, service string) []BatchTarget {
	all, _ := t.BatchTargetsFor(now, service, Item{})
	return all
}

// BatchTargetsFor returns the targets of a service whose agents have free seats for batch
// work. Suspect targets come last; otherwise targets with an idle connection come first, then
// those with the most free slots. Targets without a current report get no batch work, because
// no agent would notice online requests waiting behind it.
//
// Targets at which the item would be late are left to items with time to spare while it can
// still complete in time at a target with the usual pace. An item stays where it started
// until it has to yield, so it would be late there even if a faster target became free. The
// result tooSlow reports whether a target with free seats was left out for that.
func (t *Table) BatchTargetsFor(now time.Time, service string, item Item) (out []BatchTarget, tooSlow bool) {
	mayWait := item.inTime(now, estimate.UsualPace)
	for _, v := range t.order {
		if !v.takesBatch(now, service) {
			continue
		}
		seats := v.report.FreeSeats
		if item.Urgent {
			seats += v.report.UrgentSeats
		}
		free := min(v.Free(now), seats) - v.seatsTaken
		switch {
		case free <= 0:
		case mayWait && !item.inTime(now, v.usualPace(now)):
			tooSlow = true
		default:
			out = append(out, BatchTarget{Instance: v.Instance, Free: free, Suspect: v.suspect(now), Pace: v.usualPace(now), idleConn: v.conns.idle(now)})
		}
	}
	slices.SortFunc(out, func(a, b BatchTarget) int {
		if a.Suspect != b.Suspect {
			if b.Suspect {
				return -1
			}
			return 1
		}
		if a.idleConn != b.idleConn {
			if a.idleConn {
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
	return out, tooSlow
}

// takesBatch reports whether a target may get batch work of a service now.
func (v *View) takesBatch(now time.Time, service string) bool {
	return v.eligible(now, service, nil, false) && v.reported(now) && !v.report.Unresponsive
}

// ReservationTargets returns the targets of a service at which an item may wait for a seat:
// those with a current report that respond and are not suspect. Their order depends on draw
// only, so that items that wait at the same time spread over the agents.
func (t *Table) ReservationTargets(now time.Time, service string, draw uint64) []BatchTarget {
	var out []BatchTarget
	for _, v := range t.order {
		if v.takesBatch(now, service) && !v.suspect(now) {
			out = append(out, BatchTarget{Instance: v.Instance, Free: v.Free(now), Pace: v.usualPace(now)})
		}
	}
	slices.SortFunc(out, func(a, b BatchTarget) int {
		return cmp.Compare(routing.Score(b.Instance.ID, draw), routing.Score(a.Instance.ID, draw))
	})
	return out
}

// BestPace returns the lowest pace of the targets at which an item of a service may wait for a
// seat, or estimate.UsualPace if there is none.
func (t *Table) BestPace(now time.Time, service string) float64 {
	best := 0.0
	for _, v := range t.order {
		if v.takesBatch(now, service) && !v.suspect(now) {
			if p := v.usualPace(now); best == 0 || p < best {
				best = p
			}
		}
	}
	if best == 0 {
		return estimate.UsualPace
	}
	return best
}

// Serves reports whether a target with the given software may get work now.
func (t *Table) Serves(now time.Time, software targets.Software) bool {
	for _, v := range t.order {
		if v.Instance.Software() == software && v.eligible(now, software.Service, nil, true) {
			return true
		}
	}
	return false
}

// HasOtherSoftware reports whether a target is registered with other software than the given one.
func (t *Table) HasOtherSoftware(id string, software targets.Software) bool {
	v := t.views[id]
	return v != nil && v.Instance.Software() != software
}

// Eligible reports whether a target belongs to a service and may get work now.
func (t *Table) Eligible(now time.Time, service, id string) bool {
	v := t.views[id]
	return v != nil && v.eligible(now, service, nil, false)
}

// RecordSeatReply records whether an agent granted a seat. After a refusal the target counts as
// having no free seats until its next report.
func (t *Table) RecordSeatReply(id string, granted bool) {
	v := t.views[id]
	if v == nil {
		return
	}
	if granted {
		v.seatsTaken++
		return
	}
	v.seatsTaken = v.slots()
}
