package shutdown_test

import (
	"testing"
	"time"

	"pumiceford/shutdown"
)

// Guards against work that is taken although it may not end before the process does.
func TestPlan(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name             string
		deadline, latest time.Duration // from now; a deadline of 0 is no stop
		want             bool
	}{
		{"no stop", 0, time.Hour, true},
		{"ends well before the deadline", 7 * time.Second, 5 * time.Second, true},
		{"ends after the deadline", 7 * time.Second, 7*time.Second + 1, false},
		{"ends with the deadline, too late for its response", 7 * time.Second, 7 * time.Second, false},
		{"the deadline has passed", -time.Second, time.Second, false},
	} {
		p := shutdown.NewPlan()
		if c.deadline != 0 {
			p.Begin(now.Add(c.deadline))
			p.Begin(now.Add(time.Hour)) // has no effect
		}
		if got := p.Allows(now.Add(c.latest)); got != c.want {
			t.Errorf("%s: allowed %t, want %t", c.name, got, c.want)
		}
		if p.Stopping() != (c.deadline != 0) {
			t.Errorf("%s: stopping %t", c.name, p.Stopping())
		}
	}
	var never *shutdown.Plan
	if !never.Allows(now.Add(time.Hour)) || never.Stopping() || never.Begun() != nil {
		t.Error("a process without a plan is never stopped")
	}
}
