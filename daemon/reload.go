package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"pumiceford/logging"
)

// ReloadSignals starts catching SIGHUP and returns the channel on which the signals arrive. An
// uncaught SIGHUP terminates the process, so a command calls this first, before it reads
// its settings. The channel buffers one signal, so a reload requested during start-up is
// not lost.
func ReloadSignals() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// onReload calls reload for each signal until ctx ends. A failed reload is logged and
// does not end the loop.
func onReload(ctx context.Context, signals <-chan os.Signal, log logging.Logger, reload func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if err := reload(); err != nil {
			log.Error("settings reload failed; keeping the current settings", logging.F("error", err.Error()))
			continue
		}
		log.Info("settings checked")
	}
}
