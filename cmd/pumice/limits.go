package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"pumiceford/daemon"
)

type limitsCmd struct {
	Metrics string `arg:"--metrics,required" help:"metrics address of an entry, host:port"`
	JSON    bool   `arg:"--json"`
}

// runLimits prints the rate-limit shares that an entry grants and the request rate of the
// workspaces whose callers it serves.
func runLimits(ctx context.Context, cmd *limitsCmd) error {
	ctx, cancel := context.WithTimeout(ctx, processCallTimeout)
	defer cancel()
	var limits daemon.Limits
	if err := callProcess(ctx, http.MethodGet, "http://"+cmd.Metrics+"/limits", &limits); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(limits)
	}
	fmt.Printf("configuration confirmed %.1f s ago\n\nlimits granted by this entry:\n", limits.ConfirmedSecondsAgo)
	err := printTable("WORKSPACE\tSHARE\tRATE\tLEFT\tDENIED", func(w *tabwriter.Writer) {
		for _, g := range limits.Grants {
			printRow(w, g.Workspace, g.Share, fmt.Sprintf("%.1f", g.Rate), fmt.Sprintf("%.1f", g.Remaining), fmt.Sprintf("%.1f", g.Denied))
		}
	})
	if err != nil {
		return err
	}
	fmt.Println("\ncallers of this entry:")
	return printTable("WORKSPACE\tPER SECOND\tGRANTERS", func(w *tabwriter.Writer) {
		for _, d := range limits.Demands {
			printRow(w, d.Workspace, fmt.Sprintf("%.1f", d.PerSecond), strings.Join(d.Granters, " "))
		}
	})
}
