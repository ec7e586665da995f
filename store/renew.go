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

// RenewAfter returns the age from which a confirmation is renewed so that the lease lasts
// through a store outage of two thirds of it.
func RenewAfter(lease time.Duration) time.Duration {
	return time.Duration(renewAfterFraction * float64(lease))
}

// KeepConfirmed calls confirm several times per lease until ctx ends. Calls overlap, since an
// earlier one may hang on a connection that has become unresponsive; confirm has to end by
// itself within a second or so, and to do nothing while the last confirmation is younger than
// RenewAfter.
func KeepConfirmed(ctx context.Context, lease time.Duration, confirm func(ctx context.Context)) {
	interval := max(time.Duration(checkFraction*float64(lease)), minCheckInterval)
	for wait.For(ctx, interval) == nil {
		go confirm(ctx)
	}
}
