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

// Symptom: a process ends (exit 129) although each of its parts takes the signal.
// Sequence: SIGHUP comes while the process starts, after its first log line.
// Cause: the signal was only caught once the loop ran that waits for it.
func TestAReloadDuringTheStartIsKept(t *testing.T) {
	signals := Reloads()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	taken := make(chan struct{})
	go onReload(ctx, signals, logging.Logger{}, func() error {
		close(taken)
		return nil
	})
	select {
	case <-taken:
	case <-ctx.Done():
		t.Fatal("the signal is lost")
	}
}

// Symptom: settings with a mistake end the process that was told to take them, or the
// next good ones are not taken.
// Cause guarded against: a loop that ends with the first error.
func TestAReloadThatFailsEndsNothing(t *testing.T) {
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
			t.Fatalf("call %d, want %d", got, want)
		}
	}
}
