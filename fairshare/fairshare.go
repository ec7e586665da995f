// Package fairshare accounts which workspaces hold the slots of the fleet, and decides whose
// work goes first when there are fewer slots than work. The decisions (Ledger, Sums) do no I/O
// and read no clock; Follow and Relay carry the account between entries and agents.
package fairshare

import (
	"cmp"
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
	Held    float64 // slots in use, averaged over averagingTime
	Waiting float64 // slots that requests and items wait for or were refused, averaged likewise
	// Others marks the sum of all workspaces of the rank that have no row of their own. The
	// workspace is then empty.
	Others bool
}

// MaxStarvation bounds how long rank and share may keep work waiting for a slot: work that has
// waited longer goes in order of arrival. It is shorter than the time budgets of callers, so
// that a request of a low rank can still be served within its own.
const MaxStarvation = 4 * time.Second

// Standing is the position of a holder among all that compete for slots. The zero Standing is
// that of a holder within its share.
type Standing struct {
	Rank int
	// Excess is how far the workspace is beyond its fair share, as a fraction of the share;
	// 0 if it is within its share.
	Excess float64
}

// Aged returns the standing of work that has waited for a slot. After MaxStarvation it is
// the first of all standings. Work of equal standing goes in order of arrival, so work that
// arrives later never goes before work that has waited that long.
func (s Standing) Aged(waited time.Duration) Standing {
	if waited >= MaxStarvation {
		return Standing{}
	}
	return s
}

// Compare orders standings. It returns a negative number if a goes first.
func Compare(a, b Standing) int {
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	return cmp.Compare(a.Excess, b.Excess)
}
