package load_test

import (
	"testing"
	"time"

	"pumiceford/bench/load"
)

// Guards against batch items that miss their due time although a tenth of all slots is
// free of batch work in each trough. Six in ten agents reserve a slot for online
// requests. When batch items could never use it, 696 of 1,408 items were in time; 765
// are since items that are due soon may use it. Late first events rise from 1,523 to
// 1,629 of 10,374 (with other arrivals from 1,495 to 1,420). For 42 s, 48 targets of
// seven slots receive peaks of 440 requests a second and twice the items that they can
// complete.
func TestBacklogUsesReservedSlots(t *testing.T) {
	t.Parallel()
	scenario := load.Fleet56
	scenario.Name, scenario.Targets, scenario.ItemRate, scenario.Duration = "backlog", 48, 60, 42*time.Second
	const inTime, late = 740, 1700
	got := load.Run(scenario, load.AllReports, 1)
	t.Logf("\n%s", got)
	if got.InTime < inTime || got.Late > late {
		t.Errorf("%d items in time and %d first events late, want at least 740 and at most 1,700", got.InTime, got.Late)
	}
}

// Guards against batch items that may use a reserved slot too late to complete in time.
// An item could use it only in the last 7 s before its due time, of which its run takes
// 5 s; then 204 and 1,180 items were in time. It happens with 1.4 to 2.2 times the usual
// items; both fleets receive 2.2 times here.
func TestBacklogUsesReservedSlotsEarly(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		scenario load.Scenario
		items    float64 // a second
		inTime   int
	}{
		{load.Fleet9, 11, 230},
		{load.Fleet56, 66, 1190},
	} {
		c.scenario.ItemRate, c.scenario.Duration = c.items, 42*time.Second
		for _, policy := range []load.Policy{load.RefuseLate, load.WaitAtEntry} {
			got := load.Run(c.scenario, policy, 1)
			t.Logf("\n%s", got)
			if got.InTime < c.inTime {
				t.Errorf("%s: %d of %d items in time, want at least %d", c.scenario.Name, got.InTime, got.Items, c.inTime)
			}
		}
	}
}
