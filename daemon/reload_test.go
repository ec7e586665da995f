package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/logging"
)

// Guards against a SIGHUP during start-up, after the first log line, that terminates the
// process with status 129. That happens if the signal is caught only once the loop that
// waits for it runs.
func TestReloadDuringStartupIsKept(t *testing.T) {
	signals := ReloadSignals()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	reloaded := make(chan struct{})
	go onReload(ctx, signals, logging.Logger{}, func() error {
		close(reloaded)
		return nil
	})
	select {
	case <-reloaded:
	case <-ctx.Done():
		t.Fatal("the signal was lost")
	}
}

// Guards against a reload loop that ends with the first error: invalid settings would then
// end the process, or later valid settings would not be applied.
func TestFailedReloadKeepsLoopRunning(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	signals := make(chan os.Signal)
	calls := make(chan int)
	go func() {
		n := 0
		onReload(ctx, signals, logging.Logger{}, func() error {
			n++
			calls <- n
			return errors.New("mistake")
		})
	}()
	for want := 1; want <= 2; want++ {
		signals <- syscall.SIGHUP
		if got := <-calls; got != want {
			t.Fatalf("got reload call %d, want %d", got, want)
		}
	}
}
