// Command pumice-standin runs stand-ins for the external systems (platform, engines
// and services) from a settings file.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"pumiceford/daemon"
	"pumiceford/daemon/plainlog"
	"pumiceford/settings"
	"pumiceford/version"
)

type args struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

// Version implements go-arg's Versioned.
func (args) Version() string { return "pumice-standin " + version.Version }

func main() {
	var a args
	arg.MustParse(&a)
	var set settings.Standin
	daemon.Main(os.Stderr, func() error {
		if err := settings.Load(a.Settings, &set); err != nil {
			return err
		}
		stop, cancel := daemon.StopContext()
		defer cancel()
		return plainlog.RunStandin(stop, &set)
	})
}
