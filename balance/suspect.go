package balance

import "time"

// Limits for suspect targets.
const (
	// suspectDuration is how long one failure makes a target suspect. A target that fails
	// every request at once looks empty and would otherwise get more requests than any
	// healthy one. A healthy target that lost one response is cleared by its next success.
	suspectDuration = 2 * time.Second
	// minFailingEntries is the number of entries that must report failures of a target
	// before an entry without a failure of its own suspects it. A single entry may have
	// lost its own network connection.
	minFailingEntries = 2
)

// suspect reports whether a target may not respond: it failed for this process recently,
// it does not respond to its agent, other entries reported failures, or its agent has
// stopped reporting. If all targets are suspect, the choice among them still follows their
// free slots.
func (v *View) suspect(now time.Time) bool {
	age, ok := v.reportAge(now)
	return v.suspectAt(now, age, ok)
}

// suspectAt is suspect for a caller that knows the age of the last report and whether there
// is one.
func (v *View) suspectAt(now time.Time, age time.Duration, ok bool) bool {
	if !v.suspectUntil.IsZero() && now.Before(v.suspectUntil) {
		return true
	}
	if !ok {
		return false // a new target without a report from its agent yet
	}
	return age > aliveReportAge || v.report.Unresponsive || v.report.FailingEntries >= minFailingEntries
}
