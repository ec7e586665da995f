package balance

import "time"

// Outcome is the result of a call to a target, as far as the target is responsible for it.
type Outcome int

// Results of a call.
const (
	Succeeded   Outcome = iota // the target responded as expected
	Failed                     // the response was invalid, cut off or an error
	Unreachable                // the target was unreachable or stopped responding
	Slow                       // a slot was free, but the response did not begin in time
)

// RecordOutcome records the result of a call to a target. It returns how long it ejects the
// target, or zero if it does not eject it.
func (t *Table) RecordOutcome(now time.Time, id string, outcome Outcome) time.Duration {
	v := t.views[id]
	if v == nil {
		return 0
	}
	switch outcome {
	case Succeeded:
		v.failures, v.ejections, v.suspectUntil = 0, 0, time.Time{}
		return 0
	case Slow:
		v.suspectUntil = now.Add(suspectDuration)
		return 0
	case Failed:
		v.suspectUntil = now.Add(suspectDuration)
		v.failures++
		if v.failures < ejectAfterFailures {
			return 0
		}
	case Unreachable:
	}
	if now.Before(v.ejectedUntil) {
		return 0
	}
	v.failures = 0
	d := min(minEjection<<min(v.ejections, maxEjectionShift), maxEjection)
	v.ejections++
	v.ejectedUntil = now.Add(d)
	return d
}

// maxEjectionShift bounds the doubling of ejections so that it does not overflow.
const maxEjectionShift = 10
