// Package daemon builds the processes from their settings and runs them until a
// signal stops them. The main packages of the commands only call it.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Main runs a command. If the command fails, the error is written to w and the process
// exits with status 1.
func Main(w io.Writer, run func() error) {
	if err := run(); err != nil {
		// If the error cannot be written either, the exit status still reports it.
		_, _ = fmt.Fprintf(w, "error: %v\n", err)
		os.Exit(1)
	}
}

// StopContext returns a context that ends at the first SIGTERM or SIGINT.
func StopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// WaitStop waits until stop ends. It reports false if ctx ended first.
func WaitStop(ctx, stop context.Context) bool {
	select {
	case <-stop.Done():
		return true
	case <-ctx.Done():
		return false
	}
}

// ConnFlushDelay is how long a stopping agent waits for the last frames and
// acknowledgements to be sent on its connections.
const ConnFlushDelay = 200 * time.Millisecond
