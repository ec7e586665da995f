// Command pumiceford runs a process on the users' platform: an entry that serves
// callers, or an agent on the host of a target.
package main

// Importing C links the binary against the C library, which the platform's hosts require.

import "C"

import (
	"os"

	"github.com/alexflint/go-arg"

	"pumiceford/daemon"
	"pumiceford/platform"
	"pumiceford/version"
)

type roleArgs struct {
	Settings string `arg:"positional,env:PUMICEFORD_SETTINGS" help:"settings file, JSON with comments"`
}

type args struct {
	Entry *roleArgs `arg:"subcommand:entry" help:"serve callers and run batch jobs"`
	Agent *roleArgs `arg:"subcommand:agent" help:"allocate the seats of the target on this host"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return "pumiceford " + version.Version }

func main() {
	reloads := daemon.ReloadSignals()
	var a args
	parser := arg.MustParse(&a)
	daemon.Main(os.Stderr, func() error {
		stop, cancel := daemon.StopContext()
		defer cancel()
		switch {
		case a.Entry != nil:
			return platform.RunEntry(stop, reloads, a.Entry.Settings)
		case a.Agent != nil:
			return platform.RunAgent(stop, reloads, a.Agent.Settings)
		}
		parser.Fail("a role is required: entry or agent")
		return nil
	})
}
