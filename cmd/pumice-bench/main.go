// Command pumice-bench runs the load, path and ledger benchmarks.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"pumiceford/bench"
	"pumiceford/bench/load"
	"pumiceford/daemon"
	"pumiceford/version"
)

type ledgerCmd struct {
	JSON bool `arg:"--json"`
}

type pathCmd struct {
	JSON bool `arg:"--json"`
}

type loadCmd struct {
	JSON bool   `arg:"--json"`
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the random arrivals"`
	Plot string `arg:"--plot" help:"write a plot of the tail latencies to this SVG or PNG file"`
}

type args struct {
	Load   *loadCmd   `arg:"subcommand:load" help:"simulate peaks of online requests beside batch work under several policies"`
	Path   *pathCmd   `arg:"subcommand:path" help:"measure the latency that entry and agent add to a one-token request"`
	Ledger *ledgerCmd `arg:"subcommand:ledger" help:"compare the batch ledger with a naive one"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return "pumice-bench " + version.Version }

func main() {
	var a args
	p := arg.MustParse(&a)
	if p.Subcommand() == nil {
		p.Fail("a subcommand is required: load, path or ledger")
	}
	ctx, cancel := daemon.StopContext()
	defer cancel()
	daemon.Main(os.Stderr, func() error {
		if a.Load != nil {
			return runLoad(a.Load)
		}
		if a.Ledger != nil {
			return runLedger(ctx, a.Ledger)
		}
		return runPath(ctx, a.Path)
	})
}

func runLoad(cmd *loadCmd) error {
	var all []load.Outcome
	for _, scenario := range []load.Scenario{load.Fleet9, load.Fleet18, load.Fleet56, load.Fleet180} {
		for _, policy := range []load.Policy{load.WaitAtEntry, load.RefuseLate, load.PartialReports, load.AllReports, load.NoReports, load.NaiveForwarder} {
			all = append(all, load.Run(scenario, policy, cmd.Seed))
		}
		noBatch := scenario
		noBatch.ItemRate = 0
		all = append(all, load.Run(noBatch, load.AllReports, cmd.Seed))
	}
	if cmd.Plot != "" {
		if err := load.Plot(all, cmd.Plot); err != nil {
			return err
		}
	}
	if cmd.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	for _, o := range all {
		fmt.Println(o)
	}
	return nil
}

func runLedger(ctx context.Context, cmd *ledgerCmd) error {
	l, err := bench.RunLedger(ctx)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return json.NewEncoder(os.Stdout).Encode(l)
	}
	for _, line := range l.Lines {
		fmt.Printf("%-45s %8.0f items/s %9.2f appends/1000 items %8.1f log bytes/item\n",
			line.Name, line.ItemsPerSecond, line.AppendsPer1000Items, line.LogBytesPerItem)
	}
	fmt.Printf("memory of a completed item: %.2f bytes, naive %.0f bytes\n", l.MemoryBytesPerItem, l.NaiveMemoryBytesPerItem)
	fmt.Printf("takeover with a million items: %.2f s from the first record, %.2f s from a snapshot\n", l.ReplayAllSeconds, l.ReplaySnapshotSeconds)
	return nil
}

func runPath(ctx context.Context, cmd *pathCmd) error {
	p, err := bench.RunPath(ctx)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return json.NewEncoder(os.Stdout).Encode(p)
	}
	for _, l := range p.Lines {
		fmt.Printf("%-25s p50 %6.3f ms  p99 %6.3f ms  %4.0f us of CPU time per request, all processes\n", l.Name, l.P50Ms, l.P99Ms, l.CPUMicrosPerRequest)
	}
	fmt.Printf("added at %d requests/s: p50 %.3f ms, p99 %.3f ms; noise between the direct runs %.3f ms\n", p.RequestsPerSecond, p.AddedP50Ms, p.AddedP99Ms, p.NoiseP50Ms)
	return nil
}
