package main

import (
	"os"

	"pumiceford/explain"
)

type explainCmd struct {
	ID    string   `arg:"positional,required" help:"ID of a request, job or item"`
	Files []string `arg:"positional,required" help:"log files; one file may hold the logs of several processes"`
}

// runExplain prints the log lines that concern one ID.
func runExplain(cmd *explainCmd) error {
	all, err := readLogs(cmd.Files)
	if err != nil {
		return err
	}
	return explain.Find(all, cmd.ID).Write(os.Stdout, cmd.ID)
}

func readLogs(names []string) ([]explain.Line, error) {
	var all []explain.Line
	for _, name := range names {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // read-only
	return explain.Read(name, f)
}
