package refusals_test

import (
	"fmt"
	"testing"
	"time"

	"pumiceford/refusals"
)

var start = time.Unix(1_000_000, 0)

func total(rows []refusals.Row) (n uint64) {
	for _, r := range rows {
		for _, c := range r.Count {
			n += c
		}
	}
	return n
}

// Guards against a table that grows with the number of workspaces, loses refusals, or loses
// the workspace with most of them among many with few.
func TestHeaviestWorkspacesKeepTheirRows(t *testing.T) {
	var table refusals.Table
	const workspaces = 32_000
	for n := range workspaces {
		table.Count(start, fmt.Sprint("w", n), "unknown_key")
		if n%20 == 0 {
			table.Count(start, "heavy", "over_limit")
		}
	}
	rows, _ := table.Rows(start)
	if len(rows) > 101 || total(rows) != workspaces+workspaces/20 {
		t.Errorf("%d rows with %d refusals", len(rows), total(rows))
	}
	for _, r := range rows {
		if r.Workspace == "heavy" && r.Count["over_limit"] >= workspaces/20*9/10 {
			return
		}
	}
	t.Error("the workspace with most refusals has no row with most of them")
}

// Guards against refusals that are shown long after they ended, or that vanish at once.
func TestRowsCoverTheLastWindows(t *testing.T) {
	var table refusals.Table
	table.Count(start, "w", "overload")
	for _, c := range []struct {
		after time.Duration
		want  uint64
	}{{0, 1}, {40 * time.Second, 1}, {70 * time.Second, 0}} {
		if rows, since := table.Rows(start.Add(c.after)); total(rows) != c.want || c.after < time.Minute && !since.Equal(start) {
			t.Errorf("after %s: %d refusals since %s, want %d", c.after, total(rows), since, c.want)
		}
	}
}

func BenchmarkCount(b *testing.B) {
	var table refusals.Table
	names := make([]string, 32_000)
	for n := range names {
		names[n] = fmt.Sprint("w", n)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		table.Count(start, names[n%len(names)], "over_limit")
	}
}
