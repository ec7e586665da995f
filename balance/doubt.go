package balance

import "time"

// Limits of doubt.
const (
	// doubtFor is how long one failure counts against a target. A target that fails
	// at once looks empty, and drew more requests than any sound one; a sound one that
	// lost an answer is cleared by its next.
	doubtFor = 2 * time.Second
	// enoughWitnesses is how many entries have to tell of failures before another one
	// doubts a target that has not failed itself: one may be cut off by itself.
	enoughWitnesses = 2
)

// doubtful reports whether a target may not answer: it failed here lately, does not
// answer its agent, failed others, or its agent has fallen silent with it. Among
// targets that are all in doubt the choice is as it would be without.
func (v *View) doubtful(now time.Time) bool {
	if now.Before(v.doubted) {
		return true
	}
	if v.heard.IsZero() {
		return false // a new target whose agent has not told of it yet
	}
	return now.Sub(v.heard) > aliveFor || v.report.Silent || v.report.Witnesses >= enoughWitnesses
}
