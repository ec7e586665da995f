package store

import (
	"context"
	"time"

	"pumiceford/internal/wait"
)

// Fractions of a lease. An unresponsive store goes unnoticed until the next renewal, and reads
// that are pending when it responds again get no reply. At these fractions a store that does
// not respond for two thirds of a lease lets no lease run out.
const (
	renewAfterFraction = 1.0 / 7
	checkLeaseFraction = 1.0 / 18
	minRenewalInterval = 20 * time.Millisecond
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
	interval := max(time.Duration(checkLeaseFraction*float64(lease)), minRenewalInterval)
	for wait.For(ctx, interval) == nil {
		go confirm(ctx)
	}
}
