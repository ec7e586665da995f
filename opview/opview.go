// Package opview builds what operators are shown of a fleet: workspaces with what they hold,
// wait for and are refused, and targets with their pace and state. Each entry reports what it
// knows, and the asked entry merges these reports. Merging is pure code; Collect does the I/O.
package opview

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pumiceford/balance"
	"pumiceford/fairshare"
	"pumiceford/refusals"
)

// Names of the reports that an entry gives to another one.
const (
	ReportShares  = "shares"
	ReportTargets = "targets"
)

const (
	// maxShareRows bounds the workspaces in the report of one entry, maxMergedRows those in
	// the merged report. Those with the least are added up in one row for each rank.
	maxShareRows  = 100
	maxMergedRows = 400
	// maxTargetRows bounds the targets in the report of one entry. Those without a current load
	// report are left out first: other entries have one.
	maxTargetRows = 200
)

// Share is what one workspace holds, waits for and is refused, at one rank.
type Share struct {
	Workspace string `json:"workspace"` // "" for callers without a known workspace
	// Others says that the row adds up workspaces without a row of their own.
	Others  bool    `json:"others,omitempty"`
	Rank    int     `json:"rank"`   // 0 is the most urgent
	Weight  float64 `json:"weight"` // relative to other workspaces of the rank
	Limit   float64 `json:"limit"`  // requests per second over all hosts; 0 for none
	Held    float64 `json:"held"`   // slots, averaged over some seconds
	Waiting float64 `json:"waiting"`
	// FairShare is the slots that it may hold while others wait; 0 without contention.
	FairShare float64 `json:"fair_share"`
	Excess    float64 `json:"excess"` // see fairshare.Standing
	AgeMs     int64   `json:"age_ms"` // of the oldest figures behind FairShare and Excess
	// Refused counts refused and failed requests by reason.
	Refused map[string]uint64 `json:"refused,omitempty"`

	load float64 // slots and requests that the row stands for; set by addShares
}

// Shares is the report on workspaces of one entry.
type Shares struct {
	Rows []Share `json:"rows"`
	// RefusedSeconds is the time over which Refused counts.
	RefusedSeconds float64 `json:"refused_seconds"`
}

// WorkspaceLimit returns the rank and the rate limit of a workspace in the catalog in force.
type WorkspaceLimit func(workspace string) (rank int, rate float64)

// NewShares builds the report of one entry from its account and its refusals.
func NewShares(now time.Time, usage []fairshare.Row, refused *refusals.Table, limit WorkspaceLimit) Shares {
	var s Shares
	for _, u := range usage {
		row := Share{Workspace: u.Workspace, Others: u.Others, Rank: u.Rank, Weight: u.Weight, Held: u.Held, Waiting: u.Waiting, Excess: u.Excess, AgeMs: u.Age.Milliseconds()}
		if !math.IsInf(u.FairShare, 0) {
			row.FairShare = u.FairShare
		}
		if !u.Others {
			_, row.Limit = limit(u.Workspace)
		}
		s.Rows = append(s.Rows, row)
	}
	rows, since := refused.Rows(now)
	s.RefusedSeconds = now.Sub(since).Seconds()
	for _, r := range rows {
		row := Share{Workspace: r.Workspace, Others: r.Others, Refused: r.Count}
		if !r.Others {
			row.Rank, row.Limit = limit(r.Workspace)
		}
		s.Rows = append(s.Rows, row)
	}
	s.Rows = mergeShares(s.Rows, maxShareRows)
	return s
}

// MergeShares merges the reports of two groups of entries.
func MergeShares(a, b Shares) Shares {
	return Shares{
		RefusedSeconds: max(a.RefusedSeconds, b.RefusedSeconds),
		Rows:           mergeShares(slices.Concat(a.Rows, b.Rows), maxMergedRows),
	}
}

// shareKey identifies a row. Rows of the others are told apart by rank only.
type shareKey struct {
	workspace string
	others    bool
	rank      int
}

// mergeShares adds up the rows of each workspace and rank, and orders them by rank, the
// heaviest first. Beyond limit, the lightest are added up by rank.
func mergeShares(rows []Share, limit int) []Share {
	merged := addShares(rows)
	slices.SortFunc(merged, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
	})
	kept, folded := 0, false
	for i := range merged {
		if merged[i].Others {
			continue
		}
		if kept++; kept > limit {
			merged[i].Workspace, merged[i].Others, merged[i].Limit, merged[i].Weight = "", true, 0, 0
			folded = true
		}
	}
	if folded {
		merged = addShares(merged)
	}
	slices.SortFunc(merged, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.load, a.load), cmp.Compare(a.Workspace, b.Workspace))
	})
	return merged
}

// addShares adds up the rows of each workspace and rank. Entries estimate fair shares
// of the whole fleet, each with its own knowledge; the smallest counts.
func addShares(rows []Share) []Share {
	index := make(map[shareKey]int)
	var out []Share
	for i := range rows {
		r := &rows[i]
		k := shareKey{r.Workspace, r.Others, r.Rank}
		n, ok := index[k]
		if !ok {
			index[k] = len(out)
			out = append(out, *r)
			out[len(out)-1].Refused = maps.Clone(r.Refused)
			continue
		}
		o := &out[n]
		o.Held, o.Waiting = o.Held+r.Held, o.Waiting+r.Waiting
		o.Weight, o.Limit, o.Excess = max(o.Weight, r.Weight), max(o.Limit, r.Limit), max(o.Excess, r.Excess)
		o.AgeMs = max(o.AgeMs, r.AgeMs)
		if o.FairShare == 0 || r.FairShare > 0 && r.FairShare < o.FairShare {
			o.FairShare = r.FairShare
		}
		if o.Refused == nil && len(r.Refused) > 0 {
			o.Refused = make(map[string]uint64)
		}
		for reason, c := range r.Refused {
			o.Refused[reason] += c
		}
	}
	for i := range out {
		out[i].load = out[i].Held + out[i].Waiting
		for _, c := range out[i].Refused {
			out[i].load += float64(c)
		}
	}
	return out
}

// unknownAge is the age in milliseconds of what is not known.
const unknownAge = -1

// Target is the state of one target.
type Target struct {
	Instance string `json:"instance"`
	Addr     string `json:"addr"`
	Service  string `json:"service"`
	// Pace is relative: at a target with pace 2 all work takes twice as long.
	Pace        float64 `json:"pace"`
	PaceAgeMs   int64   `json:"pace_age_ms"` // -1 if nothing is known of the pace
	Slots       int     `json:"slots"`
	Load        int     `json:"load"`  // requests, running and queued
	Batch       int     `json:"batch"` // of these, running for batch
	MemoryUsed  int     `json:"memory_used"`
	MemoryTotal int     `json:"memory_total"` // in tokens; 0 if unknown
	Draining    bool    `json:"draining,omitempty"`
	// SuspectAt and EjectedAt count the entries at which the target is suspect or ejected.
	SuspectAt    int   `json:"suspect_at"`
	EjectedAt    int   `json:"ejected_at"`
	EjectedForMs int64 `json:"ejected_for_ms"` // longest time left
	// ReportAgeMs is the age of the newest load report; -1 if no entry has one.
	ReportAgeMs int64 `json:"report_age_ms"`
}

// Targets is the report on targets of one entry.
type Targets struct {
	Rows []Target `json:"rows"`
	// LeftOut is the number of targets that have no row.
	LeftOut int `json:"left_out,omitempty"`
}

// NewTargets builds the report of one entry.
func NewTargets(now time.Time, all []balance.TargetStatus) Targets {
	var t Targets
	for _, st := range all {
		row := Target{
			Instance: st.Instance.ID, Addr: st.Instance.Addr, Service: st.Instance.Service, Draining: st.Instance.Draining,
			Pace: st.Pace, PaceAgeMs: ageMillis(st.PaceAge), Slots: st.Slots, Load: st.Load, Batch: st.Batch,
			MemoryUsed: st.MemoryUsed, MemoryTotal: st.MemoryTotal, ReportAgeMs: ageMillis(st.ReportAge),
		}
		if st.Suspect {
			row.SuspectAt = 1
		}
		if left := st.EjectedUntil.Sub(now); left > 0 {
			row.EjectedAt, row.EjectedForMs = 1, left.Milliseconds()
		}
		t.Rows = append(t.Rows, row)
	}
	slices.SortStableFunc(t.Rows, func(a, b Target) int { return compareAge(a.ReportAgeMs, b.ReportAgeMs) })
	if len(t.Rows) > maxTargetRows {
		t.LeftOut = len(t.Rows) - maxTargetRows
		t.Rows = t.Rows[:maxTargetRows]
	}
	sortTargets(t.Rows)
	return t
}

func ageMillis(d time.Duration) int64 {
	if d < 0 {
		return unknownAge
	}
	return d.Milliseconds()
}

// compareAge orders ages, unknown ones last.
func compareAge(a, b int64) int {
	return cmp.Compare(uint64(a), uint64(b)) // -1 becomes the largest
}

// MergeTargets merges the reports of two groups of entries: of each target the figures with
// the newest load report and the newest pace.
func MergeTargets(a, b Targets) Targets {
	out := Targets{Rows: slices.Clone(a.Rows)}
	index := make(map[string]int, len(a.Rows))
	for n := range a.Rows {
		index[a.Rows[n].Instance] = n
	}
	for _, r := range b.Rows {
		if n, ok := index[r.Instance]; ok {
			out.Rows[n] = newerTarget(out.Rows[n], r)
			continue
		}
		out.Rows = append(out.Rows, r)
	}
	known := max(len(a.Rows)+a.LeftOut, len(b.Rows)+b.LeftOut)
	out.LeftOut = max(known-len(out.Rows), 0)
	sortTargets(out.Rows)
	return out
}

func newerTarget(a, b Target) Target {
	out, older := a, b
	if compareAge(b.ReportAgeMs, a.ReportAgeMs) < 0 {
		out, older = b, a
	}
	if compareAge(older.PaceAgeMs, out.PaceAgeMs) < 0 {
		out.Pace, out.PaceAgeMs = older.Pace, older.PaceAgeMs
	}
	out.SuspectAt, out.EjectedAt = a.SuspectAt+b.SuspectAt, a.EjectedAt+b.EjectedAt
	out.EjectedForMs = max(a.EjectedForMs, b.EjectedForMs)
	return out
}

// sortTargets orders targets by service, the slowest first.
func sortTargets(rows []Target) {
	slices.SortFunc(rows, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Pace, a.Pace), cmp.Compare(a.Instance, b.Instance))
	})
}
