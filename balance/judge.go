package balance

import "time"

// Verdict is what a call showed of a target.
type Verdict int

// The verdicts.
const (
	Sound   Verdict = iota // it answered as it should
	Doubted                // an answer was spoiled, cut off or a failure
	Unfit                  // it could not be reached, or fell silent
	Late                   // a slot was free, and its answer did not begin in time
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
		v.failures, v.ejections, v.doubted = 0, 0, time.Time{}
		return 0
	case Late:
		v.doubted = now.Add(doubtFor)
		return 0
	case Doubted:
		v.doubted = now.Add(doubtFor)
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
