// Package wait holds the one pause that every part uses.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and returns the context's error.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
