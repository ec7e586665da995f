package quarantine

import (
	"bytes"

	"pumiceford/targets"
)

// Numbers of crashes that hold a request.
const (
	// crashesHeld are enough where nothing else explains them. One crash ends whatever ran
	// beside its cause, and two may meet a sound request in a bad moment.
	crashesHeld = 3
	// crashesInAll are enough where others explain some of them, but not all: causes that
	// met at the same targets explain each other's.
	crashesInAll = 5
	// crashesCredible are enough for a request that has run well after a crash.
	crashesCredible = 2 * crashesHeld
)

// judge decides which requests are guilty. Each crash has one cause: the request that is
// at most crashes explains all of these, and they count against nobody else. Without
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
		case r.live() < crashesHeld:
		case r.credible():
			credible.add(r)
		default:
			fresh.add(r)
		}
	}
	fresh.convict(crashesHeld, t.guilty)
	for life := range fresh.explained {
		credible.explain(life)
	}
	credible.convict(crashesCredible, t.guilty)
	for _, s := range fresh.suspects {
		if s.crashes >= crashesInAll && s.left > 0 {
			t.guilty[s.key] = true
		}
	}
}

// trial finds the guilty among some requests.
type trial struct {
	suspects  []*suspect
	at        map[targets.Life][]*suspect
	explained map[targets.Life]bool
}

// suspect is a request in a trial.
type suspect struct {
	key     Key
	lives   []targets.Life
	crashes int
	left    int // crashes that nothing explains yet
	guilty  bool
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
		}
	}
	s.crashes = len(s.lives)
	s.left = s.crashes
	tr.suspects = append(tr.suspects, s)
}

// explain takes a crash whose cause is known.
func (tr *trial) explain(life targets.Life) {
	if tr.explained[life] {
		return
	}
	tr.explained[life] = true
	for _, s := range tr.at[life] {
		s.left--
	}
}

// convict adds those with at least so many unexplained crashes to the guilty, those with
// the most first.
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

// worst returns the request at most unexplained crashes, nil when none is at enough.
func (tr *trial) worst(least int) *suspect {
	var worst *suspect
	most := least
	for _, s := range tr.suspects {
		if s.guilty {
			continue
		}
		if s.left > most || s.left == most && (worst == nil || bytes.Compare(s.key[:], worst.key[:]) < 0) {
			worst, most = s, s.left
		}
	}
	return worst
}
