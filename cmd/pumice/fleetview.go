package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"pumiceford/daemon"
	"pumiceford/opview"
)

type sharesCmd struct {
	Metrics string `arg:"--metrics,required" help:"metrics address of any entry, host:port"`
	JSON    bool   `arg:"--json"`
}

type targetsCmd struct {
	Metrics string `arg:"--metrics,required" help:"metrics address of any entry, host:port"`
	JSON    bool   `arg:"--json"`
}

// runShares prints which workspaces of the fleet hold slots, wait and are refused.
func runShares(ctx context.Context, cmd *sharesCmd) error {
	ctx, cancel := context.WithTimeout(ctx, processCallTimeout)
	defer cancel()
	var report daemon.SharesReport
	if err := callProcess(ctx, http.MethodGet, "http://"+cmd.Metrics+"/shares", &report); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(report)
	}
	fmt.Println(coverageText(report.Coverage))
	fmt.Printf("refusals of the last %.0f s\n\n", report.RefusedSeconds)
	return printTable("WORKSPACE\tRANK\tWEIGHT\tLIMIT\tHELD\tWAITING\tFAIR SHARE\tEXCESS\tAGE\tREFUSED", func(w *tabwriter.Writer) {
		for _, s := range report.Rows {
			printRow(w, shareName(s), s.Rank, orDash(s.Weight), orDash(s.Limit), fmt.Sprintf("%.1f", s.Held), fmt.Sprintf("%.1f", s.Waiting),
				orDash(s.FairShare), fmt.Sprintf("%.2f", s.Excess), ageText(s.AgeMs), refusedText(s.Refused))
		}
	})
}

// runTargets prints the pace, room and state of the targets of the fleet.
func runTargets(ctx context.Context, cmd *targetsCmd) error {
	ctx, cancel := context.WithTimeout(ctx, processCallTimeout)
	defer cancel()
	var report daemon.TargetsReport
	if err := callProcess(ctx, http.MethodGet, "http://"+cmd.Metrics+"/targets", &report); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(report)
	}
	fmt.Println(coverageText(report.Coverage))
	if report.LeftOut > 0 {
		fmt.Printf("%d targets without a current report are left out\n", report.LeftOut)
	}
	fmt.Println()
	return printTable("INSTANCE\tSERVICE\tADDRESS\tPACE\tAGE\tLOAD\tSLOTS\tBATCH\tMEMORY\tSTATE\tREPORT", func(w *tabwriter.Writer) {
		for _, t := range report.Rows {
			printRow(w, t.Instance, t.Service, t.Addr, fmt.Sprintf("%.2f", t.Pace), ageText(t.PaceAgeMs), t.Load, t.Slots, t.Batch,
				memoryText(t), stateText(t), ageText(t.ReportAgeMs))
		}
	})
}

// coverageText says of which entries a report is made.
func coverageText(c opview.Coverage) string {
	text := fmt.Sprintf("%d of %d entries answered", c.Answered, c.Entries)
	for _, m := range c.Missing {
		text += fmt.Sprintf("\nmissing: %s: %s", m.Entry, m.Why)
	}
	return text
}

func shareName(s opview.Share) string {
	switch {
	case s.Others:
		return "(others)"
	case s.Workspace == "":
		return "(none)"
	}
	return s.Workspace
}

// refusedText lists counts by reason, the largest first.
func refusedText(counts map[string]uint64) string {
	reasons := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var out []string
	for _, r := range reasons {
		out = append(out, fmt.Sprintf("%s %d", r, counts[r]))
	}
	return strings.Join(out, ", ")
}

func orDash(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}

// ageText returns an age in milliseconds as text, "-" if it is unknown.
func ageText(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String()
}

func memoryText(t opview.Target) string {
	if t.MemoryTotal == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d", t.MemoryUsed, t.MemoryTotal)
}

// stateText returns why a target gets less work than others.
func stateText(t opview.Target) string {
	var out []string
	if t.Draining {
		out = append(out, "draining")
	}
	if t.EjectedAt > 0 {
		out = append(out, fmt.Sprintf("ejected at %d entries, up to %s more", t.EjectedAt, ageText(t.EjectedForMs)))
	}
	if t.SuspectAt > 0 {
		out = append(out, fmt.Sprintf("suspect at %d entries", t.SuspectAt))
	}
	return cmp.Or(strings.Join(out, "; "), "in use")
}
