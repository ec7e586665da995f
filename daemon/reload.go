package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"pumiceford/logging"
)

// onReload calls reload at each SIGHUP until ctx ends. Every process has to take
// the signal: left alone it ends the process.
func onReload(ctx context.Context, log logging.Logger, reload func() error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if err := reload(); err != nil {
			log.Error("settings not taken; those in force stay", logging.F("error", err.Error()))
			continue
		}
		log.Info("settings checked")
	}
}
