package load_test

import (
	"testing"
	"time"

	"pumiceford/bench/load"
)

// withWorkspaces returns the scenario with twenty workspaces, of which the first sends surge
// times as much as each other one in peaks.
func withWorkspaces(s load.Scenario, surge float64) load.Scenario {
	s.Workspaces, s.Surge = 20, surge
	return withoutBatch(s)
}

// Guards against requests that wait in the queue of one target while slots of others become
// free, and against retries that are late there: in overload, requests that wait at the entry
// are in time more often.
func TestWaitingAtEntryServesMoreInTime(t *testing.T) {
	t.Parallel()
	large := withWorkspaces(overloaded(load.Fleet180, 1.3), 1)
	large.Duration = 6 * time.Second // one peak; more takes long under the race detector
	lost := withWorkspaces(overloaded(load.Fleet43, 0.9), 1)
	lost.LostFrom = 6 * time.Second
	for _, s := range []load.Scenario{
		withWorkspaces(overloaded(load.Fleet9, 1.1), 1), withWorkspaces(overloaded(load.Fleet9, 1.3), 1), withWorkspaces(overloaded(load.Fleet9, 1.6), 1),
		withWorkspaces(overloaded(load.Fleet43, 1.3), 1), withWorkspaces(overloaded(load.Fleet56, 1.3), 1), lost, large,
	} {
		atTarget, atEntry := load.Run(s, load.RefuseLate, 1), load.Run(s, load.WaitAtEntry, 1)
		t.Logf("%s, %d requests, waiting at targets and at entries:\n%s\n%s", s.Name, atTarget.Requests, atTarget.Others, atEntry.Others)
		if atEntry.Others.InTime() <= atTarget.Others.InTime() || atEntry.Others.First <= atTarget.Others.First {
			t.Errorf("%s: waiting at the entry serves fewer requests in time", s.Name)
		}
		if atEntry.Others.Late > atTarget.Others.Late/2 {
			t.Errorf("%s: %d late, waiting at targets %d; want at most half", s.Name, atEntry.Others.Late, atTarget.Others.Late)
		}
		if 100*(atEntry.Others.RefusedTwice-atTarget.Others.RefusedTwice) > atEntry.Requests {
			t.Errorf("%s: %d refused twice, waiting at targets %d; want at most a hundredth of the requests more", s.Name, atEntry.Others.RefusedTwice, atTarget.Others.RefusedTwice)
		}
	}
}

// Guards against a surge of one workspace that takes the slots of all others: those within their
// share are served at their first attempt more often, and nearly all in time.
func TestSurgeLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	for _, s := range []load.Scenario{load.Fleet9, load.Fleet43} {
		s = withWorkspaces(overloaded(s, 1.3), 6)
		atTarget, atEntry := load.Run(s, load.RefuseLate, 1), load.Run(s, load.WaitAtEntry, 1)
		t.Logf("%s, others and surging workspace, waiting at targets and at entries:\n%s\n%s\n%s\n%s", s.Name, atTarget.Others, atEntry.Others, atTarget.Surging, atEntry.Surging)
		if atEntry.Others.First*100 < atTarget.Others.First*110 || atEntry.Others.Late > atTarget.Others.Late/2 {
			t.Errorf("%s: %d of the others in time at the first attempt and %d late, waiting at targets %d and %d", s.Name, atEntry.Others.First, atEntry.Others.Late, atTarget.Others.First, atTarget.Others.Late)
		}
	}
}

// Guards against an overload that lasts and in which retries queue until nearly everybody is
// late: retries that wait in vain are queued only within a budget.
func TestLastingOverloadStillServesInTime(t *testing.T) {
	t.Parallel()
	s := withWorkspaces(overloaded(load.Fleet9, 1.2), 1)
	s.TroughRate = s.PeakRate
	atTarget, atEntry := load.Run(s, load.RefuseLate, 1), load.Run(s, load.WaitAtEntry, 1)
	t.Logf("waiting at targets and at entries:\n%s\n%s", atTarget.Others, atEntry.Others)
	if atEntry.Others.InTime() < 1.2*atTarget.Others.InTime() {
		t.Errorf("%.1f %% in time, waiting at targets %.1f %%; want a fifth more", atEntry.Others.InTime(), atTarget.Others.InTime())
	}
}
