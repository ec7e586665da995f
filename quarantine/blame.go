package quarantine

import (
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
	// minDoubtedHold is the shortest hold of such a part, and of a culprit with ambiguous evidence.
	// When targets crash again and again for another reason, nothing completes, and a part that
	// all requests share is held although it is sound. doubtedHoldFactor is the ratio of a hold to
	// the time between the last two crashes, so that the next holds are longer if it goes on to
	// crash targets.
	minDoubtedHold    = 10 * time.Second
	doubtedHoldFactor = 4
	// owedDelay is how long after the last crash owed work waits for its next run. The whole wait
	// ends at MaxOwedDelay, whatever the evidence is.
	owedDelay    = 5 * time.Second
	MaxOwedDelay = 2 * owedDelay
	// untestedCrashes is the number of crashes of which a key must be cleared before a run with it
	// tests another key.
	untestedCrashes = 2
)

// holdDuration returns how long a culprit is held after its last crash.
func (r *record) holdDuration(ambiguous bool) time.Duration {
	if !ambiguous && (r.part == "" || !r.proven()) {
		return HoldDuration
	}
	var last, previous time.Time
	for _, m := range r.marks {
		switch {
		case m.Void || m.Owed:
		case m.At.After(last):
			last, previous = m.At, last
		case m.At.After(previous):
			previous = m.At
		}
	}
	return min(max(doubtedHoldFactor*last.Sub(previous), minDoubtedHold), HoldDuration)
}

// findPartCulprits adds the parts that cause crashes to the culprits, and returns the crashes that
// are explained then. Parts that requests completed with are examined last: one that all requests
// share is present at every crash.
func (t *Table) findPartCulprits(now time.Time, counts evidence, explained map[targets.Incarnation]bool, as culprit) map[targets.Incarnation]bool {
	unproven, proven := newAttribution(counts, as), newAttribution(counts, as)
	each := func(*trackedMark) int { return explainedDiscount } // an explained crash does not count at all
	for _, r := range t.records {
		switch {
		case r.part == "" || r.weight() < partHoldCrashes*weightBeforeResponse || t.culprits[r.key] != nil:
		case r.proven():
			proven.add(r, each)
		default:
			unproven.add(r, each)
		}
	}
	unproven.explainAll(explained)
	unproven.findCulprits(partMinUnexplained*explainedDiscount, func(c *candidate) bool { return enoughToHold(c.marks) }, t.culprits)
	proven.explainAll(unproven.explained)
	proven.findCulprits(partHoldCrashes*explainedDiscount, func(c *candidate) bool {
		unexplained := slices.DeleteFunc(slices.Clone(c.marks), func(m *trackedMark) bool { return proven.explained[m.Target] })
		return enoughToHold(unexplained) && t.isDue(now, c.record.countsSince.Add(provenHoldDelay))
	}, t.culprits)
	return proven.explained
}

// isDue reports whether a time has come. If not, the culprits are recomputed then.
func (t *Table) isDue(now, at time.Time) bool {
	if !now.Before(at) {
		return true
	}
	if t.recheckAt.IsZero() || at.Before(t.recheckAt) {
		t.recheckAt = at
	}
	return false
}

// proven reports whether requests with the part have completed, shortly before a crash or after.
func (r *record) proven() bool {
	for _, m := range r.marks {
		if m.Proven {
			return true
		}
	}
	return r.cleared()
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
