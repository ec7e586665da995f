package balance

import "time"

// Verdict is the result of a call to a target, as far as the target is responsible for it.
type Verdict int

// Results of a call.
const (
	Sound   Verdict = iota // the target answered as expected
	Doubted                // the answer was invalid, cut off or an error
	Unfit                  // the target was unreachable or stopped responding
	Late                   // a slot was free, but the answer did not begin in time
)

// Judge records the result of a call to a target. It returns how long it ejects the
// target, or zero if it does not eject it.
func (t *Table) Judge(now time.Time, id string, outcome Verdict) time.Duration {
	v := t.views[id]
	if v == nil {
		return 0
	}
	switch outcome {
	case Sound:
		v.failures, v.ejections, v.suspectUntil = 0, 0, time.Time{}
		return 0
	case Late:
		v.suspectUntil = now.Add(suspectDuration)
		return 0
	case Doubted:
		v.suspectUntil = now.Add(suspectDuration)
		v.failures++
		if v.failures < ejectAfterFailures {
			return 0
		}
	case Unfit:
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
