package estimate_test

import (
	"testing"
	"time"

	"pumiceford/estimate"
)

// The estimates follow the observed runs.
func TestEstimatesFollowObservedRuns(t *testing.T) {
	e := estimate.NewModel()
	for range 100 {
		e.ObserveRun(estimate.Work{}, estimate.UsualPace, 50, 50*40*time.Millisecond)
		e.ObserveItem(estimate.Work{}, 300)
	}
	if left := e.Remaining(estimate.Work{}, estimate.UsualPace, 100); left < 7*time.Second || left > 9*time.Second {
		t.Fatalf("200 events of 40 ms each: estimated %s, want 7 to 9 s", left)
	}
	if e.Remaining(estimate.Work{}, estimate.UsualPace, 1000) <= 0 {
		t.Fatal("no time left for an item with more events than usual")
	}
}
