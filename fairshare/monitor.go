package fairshare

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
)

const (
	monitorInterval = time.Second
	// overExcess is the Excess from which a workspace is logged as beyond its share, and
	// withinExcess that at which it is within again. Hysteresis bounds the lines.
	overExcess   = 0.25
	withinExcess = 0.05
	// maxLines bounds the lines in one interval.
	maxLines = 8
	// maxGauges bounds the workspaces with gauges: the heaviest.
	maxGauges = 16
)

// Monitor logs which workspaces are beyond their fair shares, and sets the gauges of the
// heaviest.
type Monitor struct {
	ledger  *Ledger
	log     logging.Logger
	metrics *metrics.Set
	over    map[rowKey]bool // rows logged as beyond their shares
}

// NewMonitor returns a Monitor of an account.
func NewMonitor(l *Ledger, log logging.Logger, m *metrics.Set) *Monitor {
	return &Monitor{ledger: l, log: log, metrics: m, over: make(map[rowKey]bool)}
}

// Run logs and sets gauges until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for wait.For(ctx, monitorInterval) == nil {
		rows := m.ledger.Usage(time.Now())
		m.logChanges(rows)
		m.setGauges(rows)
	}
}

// logChanges logs the rows that have come to be beyond their shares, or within them again.
func (m *Monitor) logChanges(rows []Row) {
	lines := 0
	seen := make(map[rowKey]bool, len(m.over))
	for _, r := range rows {
		k := keyOf(r.Holder)
		was := m.over[k] && !r.Others
		is := !r.Others && (r.Excess >= overExcess || was && r.Excess > withinExcess)
		if was == is || lines == maxLines {
			if was {
				seen[k] = true // logged once the number of lines allows
			}
			continue
		}
		lines++
		message := "workspace within its share again"
		if is {
			seen[k] = true
			message = "workspace beyond its share"
		}
		m.log.Info(message, logging.F("workspace", r.Workspace), logging.F("rank", r.Rank), logging.F("weight", r.Weight),
			logging.F("held", round(r.Held)), logging.F("waiting", round(r.Waiting)),
			logging.F("fleet_held", round(r.FleetHeld)), logging.F("fleet_waiting", round(r.FleetWaiting)),
			logging.F("fair_share", round(r.FairShare)), logging.F("excess", round(r.Excess)),
			logging.F("age_ms", r.Age.Milliseconds()), logging.F("complete", r.Complete))
	}
	m.over = seen
}

// round rounds a figure for a log line. It returns -1 for +Inf, which stands for a fair share
// without contention.
func round(v float64) float64 {
	const digits = 100
	if math.IsInf(v, 1) {
		return -1
	}
	return math.Round(v*digits) / digits
}

func (m *Monitor) setGauges(rows []Row) {
	held, waiting, excess := make(map[string]float64), make(map[string]float64), make(map[string]float64)
	over := 0
	heaviestFirst := slices.Clone(rows)
	slices.SortStableFunc(heaviestFirst, func(a, b Row) int { return cmp.Compare(b.FleetHeld+b.FleetWaiting, a.FleetHeld+a.FleetWaiting) })
	for _, r := range heaviestFirst {
		if r.Excess > 0 {
			over++
		}
		name := r.Workspace
		if _, ok := held[name]; r.Others || !ok && len(held) == maxGauges {
			name = metrics.OtherWorkspaces
		}
		held[name] += r.FleetHeld
		waiting[name] += r.FleetWaiting
		excess[name] = max(excess[name], r.Excess)
	}
	m.metrics.SetGauge("workspaces_over_share", float64(over))
	m.metrics.SetWorkspaceGauges("slots_held", held)
	m.metrics.SetWorkspaceGauges("slots_waiting", waiting)
	m.metrics.SetWorkspaceGauges("share_excess", excess)
}
