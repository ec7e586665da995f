package quarantine

import (
	"bytes"

	"pumiceford/targets"
)

// Weights of crashes, and sums of them that hold a request.
const (
	// weightSilent is that of a crash before the request's answer began, weightAnswered of
	// one after that.
	weightSilent   = 2
	weightAnswered = 1
	// weightExplained is taken off where another request is found to be the cause. Not all
	// of the weight: causes that met at the same targets explain each other's crashes.
	weightExplained = 1
	// weightHeld is enough: three crashes before the answer began that nothing explains. One
	// ends whatever ran beside its cause, and two may meet a sound request in a bad moment.
	weightHeld = 3 * weightSilent
	// weightCredible is enough for a request that has run well after a crash.
	weightCredible = 2 * weightHeld
)

// weight returns how much a crash counts that is not void.
func (m *noted) weight() int {
	if m.Answered {
		return weightAnswered
	}
	return weightSilent
}

// attribute decides which requests are the culprits. Each crash has one cause: the request whose
// crashes weigh most explains all of these, and they count less against the others. Without
// this a sound request that was sent from one crashed target to the next, beside the
// cause, would be held as well. Requests that have run well are looked at last: a popular
// one is at every target that crashes, and would explain all that the others did.
func (t *Table) attribute() {
	if !t.outdated {
		return
	}
	t.outdated = false
	clear(t.culprits)
	fresh, credible := newAttribution(), newAttribution()
	for _, r := range t.records {
		switch {
		case r.weight() < weightHeld:
		case r.credible():
			credible.add(r)
		default:
			fresh.add(r)
		}
	}
	fresh.findCulprits(weightHeld, t.culprits)
	for life := range fresh.explained {
		credible.explain(life)
	}
	credible.findCulprits(weightCredible, t.culprits)
}

// attribution finds the culprits among some requests.
type attribution struct {
	suspects  []*suspect
	at        map[targets.Life][]*suspect
	explained map[targets.Life]bool
}

// suspect is a request that may be a culprit.
type suspect struct {
	key     Key
	lives   []targets.Life
	weight  int // of its crashes, less what others explain
	culprit bool
}

func newAttribution() *attribution {
	return &attribution{at: make(map[targets.Life][]*suspect), explained: make(map[targets.Life]bool)}
}

func (a *attribution) add(r *record) {
	s := &suspect{key: r.key}
	for life, m := range r.marks {
		if !m.Void {
			s.lives = append(s.lives, life)
			a.at[life] = append(a.at[life], s)
			s.weight += m.weight()
		}
	}
	a.suspects = append(a.suspects, s)
}

// explain takes a crash whose cause is known.
func (a *attribution) explain(life targets.Life) {
	if a.explained[life] {
		return
	}
	a.explained[life] = true
	for _, s := range a.at[life] {
		s.weight -= weightExplained
	}
}

// findCulprits adds those whose crashes weigh at least so much to the culprits, the heaviest
// first.
func (a *attribution) findCulprits(least int, culprits map[Key]bool) {
	for {
		heaviest := a.heaviest(least)
		if heaviest == nil {
			return
		}
		heaviest.culprit = true
		culprits[heaviest.key] = true
		for _, life := range heaviest.lives {
			a.explain(life)
		}
	}
}

// heaviest returns the request whose crashes weigh most, nil when none is enough.
func (a *attribution) heaviest(least int) *suspect {
	var heaviest *suspect
	most := least
	for _, s := range a.suspects {
		if s.culprit {
			continue
		}
		if s.weight > most || s.weight == most && (heaviest == nil || bytes.Compare(s.key[:], heaviest.key[:]) < 0) {
			heaviest, most = s, s.weight
		}
	}
	return heaviest
}
