// Package wait holds the pauses that every part uses.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and returns the context's error. Without a time to
// wait it takes no timer: to select on one that has fired already crashes the runtime of
// Go 1.26.8 under the race detector in a synctest bubble, a few times in a thousand runs
// of a test (SIGSEGV in timer.maybeRunChan).
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// ForChange waits until changed is closed or received from, for at most d or until ctx
// ends. It reports whether that came. Without a time to wait it takes no timer, as For.
func ForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}
