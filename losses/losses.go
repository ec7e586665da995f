// Package losses classifies the late, refused and failed requests, jobs and items in logs
// by cause. It is a pure function from the log lines of several processes to a report.
// Each cause is derived only from the lines of that request, job or item, never from
// outside knowledge of incidents.
package losses

import (
	"cmp"
	"slices"
	"time"

	"pumiceford/explain"
)

// Cause is the reason why a request, job or item was late or not served.
type Cause string

// Causes of losses. The values are printed in reports.
const (
	ProcessLost        Cause = "process gone"               // it was sent, and no line reports its end
	NotReady           Cause = "no catalog known"           // the process had just started
	NoRoute            Cause = "no such route"              // no route in the catalog has the host and path
	NoTarget           Cause = "no target"                  // no registered target may serve it
	NotRecorded        Cause = "origin not recorded"        // the version that began its stream could not be recorded
	OriginUnknown      Cause = "origin unknown"             // the version that began its stream is not known
	VersionGone        Cause = "version gone"               // no target of the version that began its stream may serve it
	Stopping           Cause = "entry stopping"             // its entry was being stopped and may have ended before it
	Quarantined        Cause = "held"                       // it is in quarantine: targets crashed while running it
	UnknownKey         Cause = "unknown key"                // no workspace has its key
	KeyUnconfirmed     Cause = "key not confirmed"          // the host could not confirm that its key is still valid
	OverLimit          Cause = "over its limit"             // its workspace exceeded its rate limit
	LimitUnknown       Cause = "no word of its limit"       // no process replied with its workspace's rate limit
	Overload           Cause = "refused for load"           // its estimated wait was too long
	ResponseLost       Cause = "answer lost"                // it may have been executed and must not be retried
	DeadlineExceeded   Cause = "time over"                  // its deadline passed while it waited
	TargetUnreachable  Cause = "target gone"                // it was retried: a target was unreachable or its connection broke
	TargetUnresponsive Cause = "target silent"              // it was retried: a target did not respond
	TargetFailed       Cause = "target failed"              // it was retried: a target responded with an error
	WrongInstance      Cause = "target was another one"     // it was retried: the registration of the target was stale
	TargetFull         Cause = "target full"                // it was retried: a target was full
	WaitedForSlot      Cause = "waited for a slot"          // all slots of its target were taken
	WaitedForBatch     Cause = "waited for batch to leave"  // batch work held slots of its target
	SlowTarget         Cause = "slow target"                // a slot was free, but the response came late
	OtherOnline        Cause = "other (online)"             // any other outcome
	JobAcceptedLate    Cause = "job not durable in time"    // its acceptance took too long or was retried
	JobRefused         Cause = "job refused"                // no partition accepted it
	ResultListedLate   Cause = "done and not listed"        // its result waited to be written to the store
	RunFailed          Cause = "run broken"                 // its target was lost or returned an error
	RunnerLost         Cause = "runner gone"                // the process that ran it stopped or handed it over
	Preempted          Cause = "cut off by online requests" // it gave its seat back and waited for another one
	WaitedForFirstSeat Cause = "waited for a first seat"    // it waited long before its first run
	SlowRun            Cause = "slow run"                   // its runs took most of the time
	ItemAbandoned      Cause = "item given up"              // it cannot succeed, or its deadline passed
)

// Loss is one request, job or item that was late or not served.
type Loss struct {
	Cause Cause     `json:"cause"`
	ID    string    `json:"id"` // of the request or job; JOB/INDEX for an item
	At    time.Time `json:"at"` // of its end, or of its last log line
	// LostMs is the delay beyond the requested time for a request or item, and the whole
	// acceptance time for a late job. It is 0 for requests and jobs that were never served.
	LostMs int64 `json:"lost_ms"`
}

// Report holds all losses, ordered by time.
type Report struct {
	Requests int    `json:"requests"` // that were sent, refused or ended
	Jobs     int    `json:"jobs"`
	Items    int    `json:"items"` // with a listed result
	Losses   []Loss `json:"losses"`
	// Unlisted counts refusals that lines count without their requests. A request that was
	// refused several times counts each time, also if it was served in the end.
	Unlisted map[Cause]int `json:"unlisted,omitempty"`
}

// maxAcceptTime is how long the acceptance of a job may take before it counts as late: the
// bound that callers require of all deployments, less their network round trip.
const maxAcceptTime = 400 * time.Millisecond

// Find returns the losses found in lines. It sorts lines by time in place.
func Find(lines []explain.Line) *Report {
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.Time.Compare(b.Time) })
	r := &Report{}
	online, batch := newOnline(), newBatch()
	for _, l := range lines {
		online.addLine(l)
		batch.addLine(l)
	}
	online.report(r)
	batch.report(r)
	slices.SortStableFunc(r.Losses, func(a, b Loss) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return r
}

func (r *Report) add(c Cause, id string, at time.Time, lost time.Duration) {
	r.Losses = append(r.Losses, Loss{Cause: c, ID: id, At: at, LostMs: lost.Milliseconds()})
}

// CauseSummary holds the totals of one cause.
type CauseSummary struct {
	Cause   Cause    `json:"cause"`
	Count   int      `json:"count"`
	LostMs  int64    `json:"lost_ms"`
	Seconds []string `json:"seconds"` // with the most losses, as TIME xCOUNT
	Example string   `json:"example"` // an ID for pumice explain
}

// maxBusiestSeconds bounds the seconds that a summary lists.
const maxBusiestSeconds = 3

// ByCause returns a summary of each cause, the most frequent first.
func (r *Report) ByCause() []CauseSummary {
	by := make(map[Cause]*CauseSummary)
	seconds := make(map[Cause]map[int64]int)
	for _, l := range r.Losses {
		s := by[l.Cause]
		if s == nil {
			s = &CauseSummary{Cause: l.Cause, Example: l.ID}
			by[l.Cause], seconds[l.Cause] = s, make(map[int64]int)
		}
		s.Count++
		s.LostMs += l.LostMs
		seconds[l.Cause][l.At.Unix()]++
	}
	var out []CauseSummary
	for c, s := range by {
		s.Seconds = busiestSeconds(seconds[c], maxBusiestSeconds)
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b CauseSummary) int { return cmp.Or(b.Count-a.Count, cmp.Compare(a.Cause, b.Cause)) })
	return out
}
