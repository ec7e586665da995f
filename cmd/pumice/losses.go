package main

import (
	"encoding/json"
	"os"

	"pumiceford/losses"
)

type lossesCmd struct {
	JSON bool     `arg:"--json" help:"print each loss as JSON, with its ID and time"`
	Plot string   `arg:"--plot" help:"write a plot of the losses per second to this SVG or PNG file"`
	Logs []string `arg:"positional,required" help:"log files; one file may hold the logs of several processes"`
}

func runLosses(cmd *lossesCmd) error {
	lines, err := readLogs(cmd.Logs)
	if err != nil {
		return err
	}
	report := losses.Find(lines)
	if cmd.Plot != "" {
		if err := report.Plot(cmd.Plot); err != nil {
			return err
		}
	}
	if cmd.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.Write(os.Stdout)
}
