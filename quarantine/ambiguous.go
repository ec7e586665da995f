package quarantine

import (
	"time"

	"pumiceford/targets"
)

// Evidence that does not tell a culprit from sound work at targets that crash for another reason.
const (
	// nearFactor and minNear say which crashes are near those of a culprit: nearFactor times the
	// time between its first and its last crash before and after them, minNear at least.
	nearFactor = 4
	minNear    = 5 * time.Second
	// maxEventsSpread is by how many events the points may differ at which the responses to
	// requests with a part broke off, beside a factor of two. If more targets crashed without the
	// part than with it, maxEventsSpreadAmongOthers applies, and maxTookSpreadAmongOthers to the
	// times after which they broke off: runs that wait for a slot have no events yet.
	maxEventsSpread            = 8
	maxEventsSpreadAmongOthers = 2
	maxTookSpreadAmongOthers   = 50 * time.Millisecond
)

// findAmbiguous determines the culprits with ambiguous evidence. Whatever ends targets at random
// also ends those that run a certain sound request or part, a few times in a row. Then targets
// near these crashes end without it as well, and responses break off at any point, whereas a cause
// of crashes explains the crashes around it and ends its targets at one point of the response.
func (t *Table) findAmbiguous() {
	if len(t.culprits) == 0 {
		return
	}
	unexplained := t.unexplainedCrashes()
	for key, c := range t.culprits {
		c.ambiguous = t.records[key].isAmbiguous(unexplained)
	}
}

// unexplainedCrashes returns the times of the known crashes at which no culprit was, apart from
// culprits that completed at other times and may be sound.
func (t *Table) unexplainedCrashes() map[targets.Incarnation]time.Time {
	all := make(map[targets.Incarnation]time.Time)
	for _, r := range t.records {
		for target, m := range r.marks {
			if at, known := all[target]; !known || m.At.Before(at) {
				all[target] = m.At
			}
		}
	}
	for key := range t.culprits {
		r := t.records[key]
		if r.part != "" && r.proven() || r.cleared() {
			continue
		}
		for target, m := range r.marks {
			if !m.Void && !m.Owed {
				delete(all, target)
			}
		}
	}
	return all
}

// isAmbiguous reports whether the evidence against a culprit is ambiguous, given the crashes that no
// culprit explains.
func (r *record) isAmbiguous(unexplained map[targets.Incarnation]time.Time) bool {
	var first, last time.Time
	var fewest, most uint64             // events
	var shortest, longest time.Duration // until the crash
	crashes, doubted := 0, 0
	for _, m := range r.marks {
		switch {
		case m.Ambiguous && r.part == "":
			return true
		case m.Void || m.Owed:
			continue
		case m.Ambiguous:
			doubted++
		}
		if crashes == 0 || m.At.Before(first) {
			first = m.At
		}
		if m.At.After(last) {
			last = m.At
		}
		if crashes == 0 || m.Events < fewest {
			fewest = m.Events
		}
		if crashes == 0 || m.Took < shortest {
			shortest = m.Took
		}
		most, longest = max(most, m.Events), max(longest, m.Took)
		crashes++
	}
	if 2*doubted > crashes {
		return true // most of it says nothing of this part
	}
	near := max(nearFactor*last.Sub(first), minNear)
	others := 0
	for target, at := range unexplained {
		if r.marks[target] == nil && !at.Before(first.Add(-near)) && !at.After(last.Add(near)) {
			others++
		}
	}
	amongOthers := others > crashes
	switch {
	case r.part == "":
		return amongOthers
	case amongOthers:
		return most > 2*fewest+maxEventsSpreadAmongOthers || longest > 2*shortest+maxTookSpreadAmongOthers
	}
	return most > 2*fewest+maxEventsSpread
}
