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

// judge decides which requests are guilty. Each crash has one cause: the request whose
// crashes weigh most explains all of these, and they count less against the others. Without
// this a sound request that was sent from one crashed target to the next, beside the
// cause, would be held as well. Requests that have run well are looked at last: a popular
// one is at every target that crashes, and would explain all that the others did.
func (t *Table) judge() {
	if !t.unjudged {
		return
	}
	t.unjudged = false
	clear(t.guilty)
	fresh, credible := newTrial(), newTrial()
	for _, r := range t.records {
		switch {
		case r.weight() < weightHeld:
		case r.credible():
			credible.add(r)
		default:
			fresh.add(r)
		}
	}
	fresh.convict(weightHeld, t.guilty)
	for life := range fresh.explained {
		credible.explain(life)
	}
	credible.convict(weightCredible, t.guilty)
}

// trial finds the guilty among some requests.
type trial struct {
	suspects  []*suspect
	at        map[targets.Life][]*suspect
	explained map[targets.Life]bool
}

// suspect is a request in a trial.
type suspect struct {
	key    Key
	lives  []targets.Life
	weight int // of its crashes, less what others explain
	guilty bool
}

func newTrial() *trial {
	return &trial{at: make(map[targets.Life][]*suspect), explained: make(map[targets.Life]bool)}
}

func (tr *trial) add(r *record) {
	s := &suspect{key: r.key}
	for life, m := range r.marks {
		if !m.Void {
			s.lives = append(s.lives, life)
			tr.at[life] = append(tr.at[life], s)
			s.weight += m.weight()
		}
	}
	tr.suspects = append(tr.suspects, s)
}

// explain takes a crash whose cause is known.
func (tr *trial) explain(life targets.Life) {
	if tr.explained[life] {
		return
	}
	tr.explained[life] = true
	for _, s := range tr.at[life] {
		s.weight -= weightExplained
	}
}

// convict adds those whose crashes weigh at least so much to the guilty, the heaviest
// first.
func (tr *trial) convict(least int, guilty map[Key]bool) {
	for {
		worst := tr.worst(least)
		if worst == nil {
			return
		}
		worst.guilty = true
		guilty[worst.key] = true
		for _, life := range worst.lives {
			tr.explain(life)
		}
	}
}

// worst returns the request whose crashes weigh most, nil when none is enough.
func (tr *trial) worst(least int) *suspect {
	var worst *suspect
	most := least
	for _, s := range tr.suspects {
		if s.guilty {
			continue
		}
		if s.weight > most || s.weight == most && (worst == nil || bytes.Compare(s.key[:], worst.key[:]) < 0) {
			worst, most = s, s.weight
		}
	}
	return worst
}
