package balance

import (
	"math"
	"time"

	"pumiceford/estimate"
)

// needs is what a request needs of a target, computed once for a choice.
type needs struct {
	// maxPace is the pace beyond which the objectives of the request's route are missed.
	maxPace float64
	// memory is the number of tokens that the request is expected to occupy. It is 0 if it is
	// unknown or larger than the memory of every candidate.
	memory int
}

// needsOf returns what a request needs.
func (t *Table) needsOf(r Request, candidates []*View) needs {
	n := needs{maxPace: math.Inf(1)}
	if r.FirstEventWithin > 0 {
		n.limitPace(r.FirstEventWithin, t.estimates.FirstEvent(r.Service, r.Work, estimate.UsualPace).High)
	}
	if r.EventGapWithin > 0 {
		n.limitPace(r.EventGapWithin, t.estimates.EventGap(r.Service, r.Work, estimate.UsualPace).High)
	}
	if memory := t.estimates.Memory(r.Work).Mean; memory > 0 {
		for _, v := range candidates {
			if memory <= v.report.MemoryTotal {
				n.memory = memory
				break
			}
		}
	}
	return n
}

// limitPace lowers maxPace to the pace at which something that takes usual at the usual pace
// takes as long as the objective. It never excludes targets with the usual pace: an objective
// that they miss is missed everywhere.
func (n *needs) limitPace(objective, usual time.Duration) {
	if usual > 0 {
		n.maxPace = min(n.maxPace, max(float64(objective)/float64(usual), paceHysteresis))
	}
}

// hasMemory reports whether the target's memory has room for a request according to the last
// report. Targets that do not report their memory count as having room.
func (v *View) hasMemory(n needs) bool {
	return n.memory == 0 || v.report.MemoryTotal == 0 || v.report.MemoryUsed+n.memory <= v.report.MemoryTotal
}
