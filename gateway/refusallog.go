package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pumiceford/logging"
)

// Bounds of the lines about refusals. They answer floods of refused requests: each line costs
// more than the decision, and lines beyond what the log takes displace those of served
// requests.
const (
	refusalLogInterval = time.Second
	// maxLinesPerReason bounds the lines of an interval for one workspace and reason, and
	// maxRefusalLines those of all together.
	maxLinesPerReason = 10
	maxRefusalLines   = 100
	// maxRefusalGroups bounds the workspaces and reasons that are told apart in an interval.
	// The rest of each reason is counted together.
	maxRefusalGroups = 100
)

// refusalGroup is a workspace and a reason. Others stands for all further workspaces.
type refusalGroup struct {
	workspace string
	others    bool
	reason    Reason
}

// refusalSampler decides which refusals get a line of their own, and counts the others.
type refusalSampler struct {
	began  time.Time // of the interval
	lines  int
	groups map[refusalGroup]*groupCount
}

type groupCount struct{ lines, unlisted int }

// unlistedRefusals is the number of refusals of a group without lines of their own.
type unlistedRefusals struct {
	refusalGroup
	count int
}

// expired reports whether the interval is over.
func (s *refusalSampler) expired(now time.Time) bool {
	return now.Sub(s.began) >= refusalLogInterval
}

// next starts a new interval. It returns the refusals of the last one that had no lines,
// ordered by workspace and reason.
func (s *refusalSampler) next(now time.Time) (out []unlistedRefusals) {
	for g, c := range s.groups {
		if c.unlisted > 0 {
			out = append(out, unlistedRefusals{g, c.unlisted})
		}
	}
	slices.SortFunc(out, func(a, b unlistedRefusals) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.reason, b.reason))
	})
	s.began, s.lines = now, 0
	clear(s.groups)
	return out
}

// add counts a refusal. It reports whether the refusal gets a line.
func (s *refusalSampler) add(workspace string, reason Reason) (listed bool) {
	g := refusalGroup{workspace: workspace, reason: reason}
	c := s.groups[g]
	if c == nil && len(s.groups) >= maxRefusalGroups {
		g = refusalGroup{others: true, reason: reason}
		c = s.groups[g]
	}
	if c == nil {
		if s.groups == nil {
			s.groups = make(map[refusalGroup]*groupCount)
		}
		c = &groupCount{}
		s.groups[g] = c
	}
	if c.lines < maxLinesPerReason && s.lines < maxRefusalLines {
		c.lines++
		s.lines++
		return true
	}
	c.unlisted++
	return false
}

// refusalLog writes the lines about refusals. Refusals without a line of their own are counted
// in a line for each workspace and reason at the end of the interval, so that each is
// accounted for. It is safe for concurrent use; mu is not held while it logs.
type refusalLog struct {
	log logging.Logger

	mu      sync.Mutex
	sampler refusalSampler
	pending bool // report is scheduled
}

// listed reports whether a refusal gets a line of its own, which the caller then writes.
func (l *refusalLog) listed(now time.Time, workspace string, reason Reason) bool {
	l.mu.Lock()
	var unlisted []unlistedRefusals
	if l.sampler.expired(now) {
		unlisted = l.sampler.next(now)
	}
	listed := l.sampler.add(workspace, reason)
	if !listed && !l.pending {
		l.scheduleReport(now)
	}
	l.mu.Unlock()
	l.write(unlisted)
	return listed
}

// scheduleReport schedules report for the end of the interval. The caller holds l.mu.
func (l *refusalLog) scheduleReport(now time.Time) {
	l.pending = true
	time.AfterFunc(refusalLogInterval-now.Sub(l.sampler.began), l.report)
}

// report logs the counts of an interval in which a refusal got no line. If a later refusal has
// caused that, a new interval runs, whose end it waits for.
func (l *refusalLog) report() {
	now := time.Now()
	var unlisted []unlistedRefusals
	l.mu.Lock()
	if l.sampler.expired(now) {
		l.pending = false
		unlisted = l.sampler.next(now)
	} else {
		l.scheduleReport(now)
	}
	l.mu.Unlock()
	l.write(unlisted)
}

// write logs counts. Package losses parses these lines.
func (l *refusalLog) write(all []unlistedRefusals) {
	for _, u := range all {
		l.log.Info("requests refused", logging.F("workspace", u.workspace), logging.F("others", u.others),
			logging.F("outcome", u.reason), logging.F("count", u.count))
	}
}
