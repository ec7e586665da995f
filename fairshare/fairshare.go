// Package fairshare accounts which workspaces hold the slots of the fleet, and decides whose
// work goes first when there are fewer slots than work. It does no I/O and reads no clock.
package fairshare

import (
	"cmp"
	"sync"
	"time"
)

// Holder is the workspace that a request or an item belongs to, as the configuration in force
// describes it.
type Holder struct {
	Workspace string  // "" if callers need no key
	Rank      int     // 0 is the most urgent
	Weight    float64 // share of the slots relative to other workspaces of the rank; 0 counts as 1
}

// Usage is the number of slots that a workspace holds or waits for.
type Usage struct {
	Holder
	Held    float64 // slots in use, averaged over some seconds
	Waiting float64 // requests and items that wait for a slot
}

// Standing is the position of a holder among all that compete for slots. The zero Standing is
// that of a holder within its share.
type Standing struct {
	Rank int
	// Excess is how far the workspace is beyond its fair share, as a fraction of the share;
	// 0 if it is within its share.
	Excess float64
}

// Compare orders standings. It returns a negative number if a goes first.
func Compare(a, b Standing) int {
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	return cmp.Compare(a.Excess, b.Excess)
}

// Ledger is the account of one process: the slots that its own requests and items hold, and
// what it was told of other processes. It is safe for concurrent use; its lock is taken last.
type Ledger struct {
	mu sync.Mutex
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{}
}

// Begin records that work of a holder was sent to a target.
func (l *Ledger) Begin(_ time.Time, _ Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// End records the end of work that Begin recorded.
func (l *Ledger) End(_ time.Time, _ Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// Wait records that a request of a holder waits for a slot, until EndWait.
func (l *Ledger) Wait(_ time.Time, _ Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// EndWait records that a request no longer waits.
func (l *Ledger) EndWait(_ time.Time, _ Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// Standing returns the standing of a holder.
func (l *Ledger) Standing(_ time.Time, _ Holder) Standing {
	return Standing{}
}
