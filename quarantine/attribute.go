package quarantine

import (
	"bytes"
	"time"

	"pumiceford/targets"
)

// Weights of crashes and the sums of weights at which a request is held.
const (
	// weightBeforeResponse is the weight of a crash before the request's response began,
	// weightDuringResponse that of a crash after it.
	weightBeforeResponse = 2
	weightDuringResponse = 1
	// explainedDiscount is subtracted from a crash that is attributed to another request. It is
	// less than the whole weight because requests that each crash targets and ran on the same
	// ones would otherwise clear each other.
	explainedDiscount = 1
	// holdThreshold corresponds to three unexplained crashes before the response began. A single
	// crash ends all requests that run beside its cause, and a sound request can be present at
	// two crashes by coincidence.
	holdThreshold = 3 * weightBeforeResponse
	// clearedHoldThreshold applies to a request that has completed after a crash.
	clearedHoldThreshold = 2 * holdThreshold
)

// weight returns the weight of a crash that is not void. Crashes of parts are told apart by other
// evidence than whether a response had begun.
func (m *trackedMark) weight() int {
	if m.ResponseBegan && m.Part == "" {
		return weightDuringResponse
	}
	return weightBeforeResponse
}

// updateCulprits recomputes the requests that cause crashes. Each crash has one cause: the
// request with the largest weight explains all of its crashes, which then count less against
// the others. Otherwise a sound request that is retried beside the cause on one crashed target
// after another would be held as well. Requests that have completed after a crash are examined
// last: a popular request is present on every target that crashes and would explain the crashes
// of all others.
//
// Parts are examined before requests: a part explains the crashes of all requests with it.
func (t *Table) updateCulprits(now time.Time) {
	if !t.recheckAt.IsZero() && !now.Before(t.recheckAt) {
		t.dirty = true
	}
	if !t.dirty {
		return
	}
	t.dirty, t.recheckAt = false, time.Time{}
	clear(t.culprits)
	explainedByParts := t.findPartCulprits(now)
	uncleared, cleared := newAttribution(), newAttribution()
	for _, r := range t.records {
		switch {
		case r.part != "" || r.weight() < holdThreshold:
		case r.cleared():
			cleared.add(r)
		default:
			uncleared.add(r)
		}
	}
	for target := range explainedByParts {
		uncleared.explain(target)
	}
	uncleared.findCulprits(holdThreshold, t.culprits)
	for target := range uncleared.explained {
		cleared.explain(target)
	}
	cleared.findCulprits(clearedHoldThreshold, t.culprits)
}

// attribution finds the culprits among a set of requests.
type attribution struct {
	candidates []*candidate
	byTarget   map[targets.Incarnation][]*candidate
	explained  map[targets.Incarnation]bool
}

// candidate is a request that may be a culprit.
type candidate struct {
	key     Key
	targets []targets.Incarnation
	weight  int // sum over its crashes, less the discounts for explained ones
	culprit bool
}

func newAttribution() *attribution {
	return &attribution{byTarget: make(map[targets.Incarnation][]*candidate), explained: make(map[targets.Incarnation]bool)}
}

func (a *attribution) add(r *record) {
	c := &candidate{key: r.key}
	for target, m := range r.marks {
		if !m.Void {
			c.targets = append(c.targets, target)
			a.byTarget[target] = append(a.byTarget[target], c)
			c.weight += m.weight()
		}
	}
	a.candidates = append(a.candidates, c)
}

// explain records that the cause of a crash is known and reduces the weight of the candidates
// that ran on its target.
func (a *attribution) explain(target targets.Incarnation) {
	if a.explained[target] {
		return
	}
	a.explained[target] = true
	for _, c := range a.byTarget[target] {
		c.weight -= explainedDiscount
	}
}

// findCulprits adds the candidates with at least the given weight to culprits, the heaviest
// first.
func (a *attribution) findCulprits(minWeight int, culprits map[Key]bool) {
	for {
		heaviest := a.heaviest(minWeight)
		if heaviest == nil {
			return
		}
		heaviest.culprit = true
		culprits[heaviest.key] = true
		for _, target := range heaviest.targets {
			a.explain(target)
		}
	}
}

// heaviest returns the candidate with the largest weight of at least the given one, or nil if
// there is none. Equal weights are ordered by key.
func (a *attribution) heaviest(minWeight int) *candidate {
	var heaviest *candidate
	maxWeight := minWeight
	for _, c := range a.candidates {
		if c.culprit {
			continue
		}
		if c.weight > maxWeight || c.weight == maxWeight && (heaviest == nil || bytes.Compare(c.key[:], heaviest.key[:]) < 0) {
			heaviest, maxWeight = c, c.weight
		}
	}
	return heaviest
}
