package fairshare

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pumiceford/logging"
	"pumiceford/metrics"
)

// Guards against a workspace that takes the slots of others without a trace in the log, and
// against a log that grows with the workspaces or repeats itself.
func TestMonitorLogsChangesOfShares(t *testing.T) {
	var out bytes.Buffer
	l := NewLedger()
	m := NewMonitor(l, logging.New(logging.Settings{Writer: &out}), metrics.New("test"))
	check := func(now time.Time, want string, lines int) {
		t.Helper()
		out.Reset()
		rows := l.Usage(now)
		m.logChanges(rows)
		m.setGauges(rows)
		if got := strings.Count(out.String(), want); got != lines {
			t.Fatalf("%d lines with %q, want %d: %s", got, want, lines, out.String())
		}
	}
	for i := range 40 {
		hold(l, start, Holder{Workspace: fmt.Sprint("over", i)}, 10, 0)
	}
	var small []Holder
	for i := range 40 {
		small = append(small, Holder{Workspace: fmt.Sprint("small", i)})
		hold(l, start, small[i], 1, 20)
	}
	now := start.Add(settled)
	const over, within = "workspace beyond its share", "workspace within its share again"
	for range 40 / maxLines {
		check(now, over, maxLines)
	}
	check(now, over, 0)
	for _, h := range small {
		release(l, now, h, 1, 20)
	}
	now = now.Add(3 * settled)
	check(now, within, maxLines)
}
