package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"pumiceford/logging"
)

// Reloads returns the SIGHUPs that come from now on. Every process has to take the
// signal: left alone it ends the process. So a command calls this before anything else,
// and above all before it reads its settings: one that comes while it starts is kept.
func Reloads() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// onReload calls reload for each signal until ctx ends.
func onReload(ctx context.Context, signals <-chan os.Signal, log logging.Logger, reload func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if err := reload(); err != nil {
			log.Error("settings not taken; those in force stay", logging.F("error", err.Error()))
			continue
		}
		log.Info("settings checked")
	}
}
