// Package refusals counts the refused and failed requests of an entry by workspace and
// reason, for operators. It reads no clock.
package refusals

import (
	"sync"
	"time"
)

const (
	// maxWorkspaces bounds the workspaces that are told apart; the others share one row.
	maxWorkspaces = 100
	// window is how long refusals are counted together. Rows covers the current window and
	// the one before.
	window = 30 * time.Second
)

// Row is the number of refusals of one workspace, or of all others, by reason.
type Row struct {
	Workspace string // "" for callers without a known workspace
	Others    bool   // all workspaces without a row of their own; Workspace is ""
	Count     map[string]uint64
}

// Table counts refusals. The zero Table is empty; a nil Table counts nothing. It is safe for
// concurrent use, and its lock is taken last.
type Table struct {
	mu      sync.Mutex
	current period
	before  period
}

// period is one window of a table.
type period struct {
	start  time.Time
	rows   []tableRow
	index  map[string]int // of rows, by workspace
	others map[string]uint64
}

// tableRow is the row of a workspace. weight orders the rows: a workspace that replaces
// another one inherits its weight, so that a workspace with many refusals stays although many
// with few appear between them.
type tableRow struct {
	workspace string
	weight    uint64
	count     map[string]uint64
}

// Count counts one refusal.
func (t *Table) Count(now time.Time, workspace, reason string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.current.add(workspace, reason)
}

// Rows returns the refusals of the last one to two windows, in no order, and the time since
// which they were counted.
func (t *Table) Rows(now time.Time) (rows []Row, since time.Time) {
	if t == nil {
		return nil, now
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	all := make(map[string]*Row)
	var others Row
	for _, p := range []*period{&t.before, &t.current} {
		for i := range p.rows {
			r := &p.rows[i]
			if all[r.workspace] == nil {
				all[r.workspace] = &Row{Workspace: r.workspace, Count: make(map[string]uint64)}
			}
			addCounts(all[r.workspace].Count, r.count)
		}
		if len(p.others) > 0 {
			if others.Count == nil {
				others = Row{Others: true, Count: make(map[string]uint64)}
			}
			addCounts(others.Count, p.others)
		}
	}
	for _, r := range all {
		rows = append(rows, *r)
	}
	if others.Count != nil {
		rows = append(rows, others)
	}
	since = t.current.start
	if !t.before.start.IsZero() {
		since = t.before.start
	}
	return rows, since
}

// advance starts a new window if the current one is over.
func (t *Table) advance(now time.Time) {
	passed := now.Sub(t.current.start)
	switch {
	case passed < window:
		return
	case passed < 2*window:
		t.before = t.current
		t.current = period{start: t.current.start.Add(window)}
	default:
		t.before, t.current = period{}, period{start: now}
	}
	t.current.index, t.current.others = make(map[string]int), make(map[string]uint64)
}

func (p *period) add(workspace, reason string) {
	i, ok := p.index[workspace]
	switch {
	case ok:
	case len(p.rows) < maxWorkspaces:
		i = len(p.rows)
		p.rows = append(p.rows, tableRow{workspace: workspace, count: make(map[string]uint64)})
		p.index[workspace] = i
	default:
		i = p.lightest()
		r := &p.rows[i]
		addCounts(p.others, r.count)
		clear(r.count)
		delete(p.index, r.workspace)
		r.workspace = workspace
		p.index[workspace] = i
	}
	p.rows[i].weight++
	p.rows[i].count[reason]++
}

func (p *period) lightest() int {
	least := 0
	for i := range p.rows {
		if p.rows[i].weight < p.rows[least].weight {
			least = i
		}
	}
	return least
}

func addCounts(to, from map[string]uint64) {
	for reason, n := range from {
		to[reason] += n
	}
}
