package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"pumiceford/targets"
)

// Evidence that holds a part.
const (
	// partHoldCrashes is the number of crashes that hold a part.
	partHoldCrashes = 5
	// partHoldDepth is the least Depth of one of them. One event that ends many targets, and
	// the retries that run into the next, do not reach it.
	partHoldDepth = 3
	// partHoldRequests is the least number of different requests among them. A single request
	// that crashes its targets is held by itself.
	partHoldRequests = 2
	// partMinUnexplained is the least number of crashes that no other part explains.
	partMinUnexplained = 2
	// provenHoldDelay is how long crashes must have counted, without a run that clears some of
	// them, to hold a part that requests completed with shortly before. A sound one completes
	// again meanwhile.
	provenHoldDelay = 2 * time.Second
)

// suspectPart is a part that may cause crashes.
type suspectPart struct {
	record *record
	place  int
	marks  []*trackedMark // that are not void
}

// findPartCulprits adds the parts that cause crashes to the culprits, and returns the crashes that
// they explain. Each crash has one cause: the part with the most crashes that are not explained
// yet, and of several the one deepest in its prompt, since more requests share the parts before
// it. Parts that requests completed with are examined last: one that all requests share is present
// at every crash.
func (t *Table) findPartCulprits(now time.Time) map[targets.Incarnation]bool {
	var unproven, proven []suspectPart
	for _, r := range t.records {
		if r.part == "" || r.weight() < partHoldCrashes*weightBeforeResponse {
			continue
		}
		s, isProven := suspectPart{record: r}, false
		for _, m := range r.marks {
			isProven = isProven || m.Void || m.Proven
			s.place = max(s.place, m.Place)
			if !m.Void {
				s.marks = append(s.marks, m)
			}
		}
		if isProven {
			proven = append(proven, s)
		} else {
			unproven = append(unproven, s)
		}
	}
	explained := make(map[targets.Incarnation]bool)
	t.blame(unproven, explained, func(s suspectPart) bool {
		return len(s.unexplained(explained)) >= partMinUnexplained && enoughToHold(s.marks)
	})
	t.blame(proven, explained, func(s suspectPart) bool {
		if !enoughToHold(s.unexplained(explained)) {
			return false
		}
		ripe := s.record.countsSince.Add(provenHoldDelay)
		if now.Before(ripe) && (t.recheckAt.IsZero() || ripe.Before(t.recheckAt)) {
			t.recheckAt = ripe
		}
		return !now.Before(ripe)
	})
	return explained
}

// blame makes the suspects culprits for which guilty returns true, the one with the most
// unexplained crashes first, and adds their crashes to explained.
func (t *Table) blame(suspects []suspectPart, explained map[targets.Incarnation]bool, guilty func(suspectPart) bool) {
	for {
		suspects = slices.DeleteFunc(suspects, func(s suspectPart) bool { return t.culprits[s.record.key] || !guilty(s) })
		if len(suspects) == 0 {
			return
		}
		worst := slices.MaxFunc(suspects, func(a, b suspectPart) int {
			return cmp.Or(
				cmp.Compare(len(a.unexplained(explained)), len(b.unexplained(explained))),
				cmp.Compare(a.place, b.place),
				bytes.Compare(a.record.key[:], b.record.key[:]),
			)
		})
		t.culprits[worst.record.key] = true
		for _, m := range worst.marks {
			explained[m.Target] = true
		}
	}
}

// unexplained returns the crashes that are not among the explained ones.
func (s suspectPart) unexplained(explained map[targets.Incarnation]bool) []*trackedMark {
	var out []*trackedMark
	for _, m := range s.marks {
		if !explained[m.Target] {
			out = append(out, m)
		}
	}
	return out
}

// enoughToHold reports whether crashes suffice to hold a part.
func enoughToHold(marks []*trackedMark) bool {
	depth, requests := 0, make(map[Key]bool)
	for _, m := range marks {
		depth = max(depth, m.Depth)
		requests[m.Request] = true
	}
	return len(marks) >= partHoldCrashes && depth >= partHoldDepth && len(requests) >= partHoldRequests
}
