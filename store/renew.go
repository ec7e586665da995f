package store

import (
	"context"
	"time"

	"pumiceford/internal/wait"
)

// Fractions of a lease. A lease that is up to renewAfterFraction and a check old when the store
// stops responding, and is renewed at the first check after it responds again, lasts through an
// outage of two thirds of its length.
const (
	renewAfterFraction = 1.0 / 7
	checkFraction      = 1.0 / 18
	minCheckInterval   = 20 * time.Millisecond
)

// KeepConfirmed keeps a lease confirmed until ctx ends: several times per lease it calls confirm,
// which ensures that the last confirmation is at most maxAge ago, as Follower.Confirm does. It
// calls onFailure for each error. Calls overlap, since an earlier one may hang on a connection that
// has become unresponsive, so confirm has to end by itself within a second or so.
func KeepConfirmed(ctx context.Context, lease time.Duration, confirm func(ctx context.Context, maxAge time.Duration) error, onFailure func()) {
	interval := max(time.Duration(checkFraction*float64(lease)), minCheckInterval)
	maxAge := time.Duration(renewAfterFraction * float64(lease))
	for wait.For(ctx, interval) == nil {
		go func() {
			if confirm(ctx, maxAge) != nil {
				onFailure()
			}
		}()
	}
}
