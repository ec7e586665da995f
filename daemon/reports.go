package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/fairshare"
	"pumiceford/logging"
	"pumiceford/opview"
	"pumiceford/refusals"
)

// SharesReport is the report on the workspaces of the fleet, for operators.
type SharesReport struct {
	opview.Coverage
	opview.Shares
}

// TargetsReport is the report on the targets of the fleet, for operators.
type TargetsReport struct {
	opview.Coverage
	opview.Targets
}

// setUpReports prepares the reports of this entry. ledger is its account of slots.
func (n *entryNode) setUpReports(ledger *fairshare.Ledger) {
	n.refusals, n.usage, n.collecting = &refusals.Table{}, ledger.Usage, make(chan struct{}, 1)
	n.entries.Report = func(name string) []byte {
		switch name {
		case opview.ReportShares:
			return n.encodeReport(name, n.ownShares())
		case opview.ReportTargets:
			return n.encodeReport(name, n.ownTargets())
		}
		return nil
	}
}

// encodeReport encodes a report as JSON. It returns nil if that fails; the entry that asks then
// names this one as missing.
func (n *entryNode) encodeReport(name string, report any) []byte {
	raw, err := json.Marshal(report)
	if err != nil {
		n.log.Error("report not encoded", logging.F("report", name), logging.F("error", err.Error()))
		return nil
	}
	return raw
}

// ownShares returns the report on workspaces of this entry.
func (n *entryNode) ownShares() opview.Shares {
	now := time.Now()
	return opview.NewShares(now, n.usage(now), n.refusals, workspaceLimit(n.view.Catalog()))
}

// workspaceLimit looks up workspaces in a catalog, which may be nil. Work of a workspace
// without a priority of its own has the rank of its routes; its refusals are listed at rank 0.
func workspaceLimit(c *catalog.Catalog) opview.WorkspaceLimit {
	return func(workspace string) (rank int, rate float64) {
		if c == nil {
			return 0, 0
		}
		w := c.Workspace(workspace)
		if w != nil {
			rate = w.Rate
		}
		return catalog.Rank(nil, w), rate
	}
}

// ownTargets returns the report on targets of this entry.
func (n *entryNode) ownTargets() opview.Targets {
	now := time.Now()
	var all []balance.TargetStatus
	n.view.WithTable(func(t *balance.Table) { all = t.Snapshot(now) })
	return opview.NewTargets(now, all)
}

// sharesHandler serves the SharesReport of the fleet as JSON.
func (n *entryNode) sharesHandler(w http.ResponseWriter, r *http.Request) {
	var report SharesReport
	report.Shares, report.Coverage = collect(r.Context(), n, n.ownShares(), opview.ReportShares, opview.MergeShares)
	n.writeReport(w, report)
}

// targetsHandler serves the TargetsReport of the fleet as JSON.
func (n *entryNode) targetsHandler(w http.ResponseWriter, r *http.Request) {
	var report TargetsReport
	report.Targets, report.Coverage = collect(r.Context(), n, n.ownTargets(), opview.ReportTargets, opview.MergeTargets)
	n.writeReport(w, report)
}

// collect merges the reports of all entries that this one or another one knows. One
// collection runs at a time, so that requests of operators bound what it costs.
func collect[T any](ctx context.Context, n *entryNode, own T, report string, merge func(a, b T) T) (T, opview.Coverage) {
	select {
	case n.collecting <- struct{}{}:
		defer func() { <-n.collecting }()
	case <-ctx.Done():
	}
	known := slices.Concat(n.otherEntries(), n.entries.Known(time.Now()))
	query := func(ctx context.Context, addr, report string) (opview.Reply, error) {
		r, err := n.entries.Query(ctx, addr, report)
		return opview.Reply{Report: r.GetReport(), Known: r.GetKnown()}, err
	}
	return opview.Collect(ctx, n.set.Peers, own, known, report, query, merge)
}

func (n *entryNode) writeReport(w http.ResponseWriter, report any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		n.log.Warn("report not sent", logging.F("error", err.Error()))
	}
}
