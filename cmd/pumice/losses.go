package main

import (
	"encoding/json"
	"os"

	"pumiceford/losses"
)

type lossesCmd struct {
	JSON bool     `arg:"--json" help:"each loss, with its id and moment"`
	Plot string   `arg:"--plot" help:"SVG or PNG file for the losses of each second"`
	Logs []string `arg:"positional,required" help:"logs of the processes, one file each or several in one"`
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
