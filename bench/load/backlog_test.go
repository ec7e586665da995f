package load_test

import (
	"testing"
	"time"

	"pumiceford/bench/load"
)

// Symptom: under a backlog items wait for their first seat until they are late, while
// a tenth of all slots is free of batch work through each trough.
// Sequence: 48 targets of seven slots, peaks of 440 requests a second, and twice as
// many items as they can do for 42 seconds.
// Cause: six agents in ten left a slot free whatever it cost. Of 1,408 items 696 were
// in time, 765 since items that are due soon may have it; of 10,374 first events 1,523
// were late, 1,629 now (1,495 and 1,420 with other arrivals).
func TestABacklogUsesTheReservedSlots(t *testing.T) {
	shape := load.Grown
	shape.Name, shape.Targets, shape.Items, shape.Lasts = "backlog", 48, 60, 42*time.Second
	const inTime, late = 740, 1700
	got := load.Run(shape, load.Seats, 1)
	t.Logf("\n%s", got)
	if got.InTime < inTime || got.Late > late {
		t.Errorf("%d items in time, %d first events late", got.InTime, got.Late)
	}
}
