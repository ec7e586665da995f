package quarantine

import (
	"bytes"
	"cmp"
	"container/heap"
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
//
// Accepted work does not crash targets by itself, so its crashes hold no request and excuse
// none. They are attributed last, and only delay further owed work.
func (t *Table) updateCulprits(now time.Time) {
	if !t.recheckAt.IsZero() && !now.Before(t.recheckAt) {
		t.dirty = true
	}
	if !t.dirty {
		return
	}
	t.dirty, t.recheckAt = false, time.Time{}
	clear(t.culprits)
	explained := t.attribute(now, requestsOnly, nil, culprit{})
	t.findAmbiguous()
	t.attribute(now, anyWork, explained, culprit{owedOnly: true})
}

// attribute adds the causes of the crashes that count and are not explained yet to the culprits.
// It returns all crashes that are explained then.
func (t *Table) attribute(now time.Time, counts evidence, explained map[targets.Incarnation]bool, as culprit) map[targets.Incarnation]bool {
	byParts := t.findPartCulprits(now, counts, explained, as)
	uncleared, cleared := newAttribution(counts, as), newAttribution(counts, as)
	for _, r := range t.records {
		switch {
		case r.part != "" || r.weight() < holdThreshold || t.culprits[r.key] != nil:
		case r.cleared():
			cleared.add(r, (*trackedMark).weight)
		default:
			uncleared.add(r, (*trackedMark).weight)
		}
	}
	always := func(*candidate) bool { return true }
	uncleared.explainAll(byParts)
	uncleared.findCulprits(holdThreshold, always, t.culprits)
	cleared.explainAll(uncleared.explained)
	cleared.findCulprits(clearedHoldThreshold, always, t.culprits)
	return cleared.explained
}

// culprit is what is known of a request or part that crashes are attributed to.
type culprit struct {
	ambiguous bool // targets crash without it as well, see findAmbiguous
	owedOnly  bool // it delays owed work and holds no request
}

// evidence says which crashes count.
type evidence func(*trackedMark) bool

// requestsOnly counts the crashes under requests whose callers wait.
func requestsOnly(m *trackedMark) bool { return !m.Owed }

// anyWork counts all crashes.
func anyWork(*trackedMark) bool { return true }

// attribution finds the culprits among a set of requests or parts.
type attribution struct {
	counts     evidence
	as         culprit // what is recorded of each culprit
	candidates []*candidate
	byTarget   map[targets.Incarnation][]*candidate
	explained  map[targets.Incarnation]bool
}

// candidate is a request or part that may be a culprit.
type candidate struct {
	record *record
	place  int            // the largest one of its marks
	marks  []*trackedMark // that are not void and count
	weight int            // sum over its crashes, less the discounts for explained ones
}

func newAttribution(counts evidence, as culprit) *attribution {
	return &attribution{counts: counts, as: as, byTarget: make(map[targets.Incarnation][]*candidate), explained: make(map[targets.Incarnation]bool)}
}

// add adds a candidate whose crashes have the given weights.
func (a *attribution) add(r *record, weight func(*trackedMark) int) {
	c := &candidate{record: r}
	for target, m := range r.marks {
		c.place = max(c.place, m.Place)
		if !m.Void && a.counts(m) {
			c.marks = append(c.marks, m)
			a.byTarget[target] = append(a.byTarget[target], c)
			c.weight += weight(m)
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

func (a *attribution) explainAll(all map[targets.Incarnation]bool) {
	for target := range all {
		a.explain(target)
	}
}

// findCulprits adds the candidates with at least the given weight for which guilty returns true
// to culprits, the heaviest first. A candidate that is not guilty does not become so when further
// crashes are explained.
func (a *attribution) findCulprits(minWeight int, guilty func(*candidate) bool, culprits map[Key]*culprit) {
	var queue candidateQueue
	for _, c := range a.candidates {
		queue = append(queue, queuedCandidate{c, c.weight})
	}
	heap.Init(&queue)
	for len(queue) > 0 {
		next := heap.Pop(&queue).(queuedCandidate)
		switch {
		case next.weight < minWeight:
			return
		case next.weight != next.candidate.weight:
			heap.Push(&queue, queuedCandidate{next.candidate, next.candidate.weight})
		case guilty(next.candidate):
			found := a.as
			culprits[next.record.key] = &found
			for _, m := range next.marks {
				a.explain(m.Target)
			}
		}
	}
}

// queuedCandidate is a candidate with its weight at the time when it was queued. Weights only
// decrease.
type queuedCandidate struct {
	*candidate
	weight int
}

// candidateQueue is a heap with the heaviest candidate first. Of equal weights it is the one
// deepest in its prompt, since more requests share the parts before it, and then the one with the
// lowest key.
type candidateQueue []queuedCandidate

// Len implements heap.Interface.
func (q candidateQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q candidateQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(b.place, a.place), bytes.Compare(a.record.key[:], b.record.key[:])) < 0
}

// Swap implements heap.Interface.
func (q candidateQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *candidateQueue) Push(x any) { *q = append(*q, x.(queuedCandidate)) }

// Pop implements heap.Interface.
func (q *candidateQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
