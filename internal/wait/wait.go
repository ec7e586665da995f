// Package wait provides delays that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It returns the error of ctx if ctx ended, else nil. It
// creates no timer if d is not positive: a select on a timer that has already fired crashes
// the runtime of Go 1.26.8 under the race detector in a synctest bubble, a few times in a
// thousand runs of a test (SIGSEGV in timer.maybeRunChan).
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

// ForChange waits until changed is closed or delivers a value, for at most d or until ctx
// ends. It reports whether changed did. Like For, it creates no timer if d is not positive.
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
