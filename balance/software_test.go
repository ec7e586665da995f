package balance_test

import (
	"math/rand/v2"
	"testing"

	"pumiceford/balance"
	"pumiceford/targets"
)

// Guards against a request that continues the output of one software version and is sent, or
// moved, to a target of another one because that target has more room.
func TestContinuedRequestStaysWithItsSoftware(t *testing.T) {
	t.Parallel()
	all := instances(4, 8)
	for i := range all {
		all[i].Version = []string{"v1", "v2", "v2", "v2"}[i]
	}
	table := balance.NewTable(1)
	table.Replace(all)
	table.UpdateLoad(start, "i0", balance.Report{Active: 8, Queued: 3, Slots: 8})
	for _, id := range []string{"i1", "i2", "i3"} {
		table.UpdateLoad(start, id, balance.Report{Slots: 8})
	}
	r := balance.Request{Service: "s", Continues: &targets.Software{Service: "s", Version: "v1"}}
	for range 100 {
		draw := rand.Float64()
		for _, pick := range []func() (balance.Choice, bool){
			func() (balance.Choice, bool) { return table.PickFor(start, r, nil, draw) },
			func() (balance.Choice, bool) { return table.PickReportedFor(start, r, nil, draw) },
		} {
			if c, ok := pick(); !ok || c.Instance.ID != "i0" || c.Candidates != 1 {
				t.Fatalf("picked %+v, %v, want i0 as the only candidate", c, ok)
			}
		}
		if table.ShouldMoveFor(start, r, "i0", nil, draw) {
			t.Fatal("moves although no other target of its version has a slot")
		}
	}
	if !table.ShouldMoveFor(start, balance.Request{Service: "s"}, "i0", nil, 0) {
		t.Fatal("a request that continues nothing does not move to a free target")
	}
	if c, ok := table.PickFor(start, r, map[string]bool{"i0": true}, 0); ok {
		t.Fatalf("picked %+v after the only target of its version was tried", c)
	}
	table.RecordOutcome(start, "i0", balance.Unreachable)
	table.RecordOutcome(start, "i0", balance.Unreachable)
	if c, ok := table.PickFor(start, r, nil, 0); !ok || c.Instance.ID != "i0" {
		t.Fatalf("picked %+v, %v while the target of its version is ejected, want i0", c, ok)
	}
}
