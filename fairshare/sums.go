package fairshare

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxTold bounds the workspaces in a message, so that its size does not grow with their
// number.
const maxTold = 16

// reportInterval is how long a report is used: it goes to several agents.
const reportInterval = 200 * time.Millisecond

// Report returns what this process tells the agents: its heaviest workspaces, and the sum of
// the others by rank. It returns nil if no workspace holds or waits for anything. Work of
// callers that need no key counts only beside that of workspaces, because shares decide
// nothing where there are none. The caller must not change the result.
func (l *Ledger) Report(now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := now.Sub(l.reported); d < 0 || d >= reportInterval {
		l.reported, l.report = now, l.reportLocked(now)
	}
	return l.report
}

// reportLocked returns a new report. l.mu is held.
func (l *Ledger) reportLocked(now time.Time) []Usage {
	var all []Usage
	anyWorkspace := false
	add := func(r *row, others bool) {
		r.advance(now)
		if r.held+r.waiting < minHeld {
			return
		}
		anyWorkspace = anyWorkspace || others || r.key.workspace != ""
		all = append(all, Usage{Holder: Holder{Workspace: r.key.workspace, Rank: r.key.rank, Weight: r.weight}, Held: r.held, Waiting: r.waiting, Others: others})
	}
	for i := range l.rows {
		add(&l.rows[i], false)
	}
	for i := range l.others {
		add(&l.others[i], true)
	}
	if !anyWorkspace {
		return nil
	}
	return heaviest(all)
}

// heaviest returns the maxTold heaviest workspaces, and the sum of the others by rank. It
// reorders its argument.
func heaviest(all []Usage) []Usage {
	slices.SortFunc(all, func(a, b Usage) int {
		if a.Others != b.Others {
			return cmp.Compare(btoi(a.Others), btoi(b.Others))
		}
		return cmp.Or(cmp.Compare(b.Held+b.Waiting, a.Held+a.Waiting), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
	})
	named := 0
	for named < min(len(all), maxTold) && !all[named].Others {
		named++
	}
	var others [maxRanks]Usage
	for _, u := range all[named:] {
		o := &others[clampRank(u.Rank)]
		o.Held += u.Held
		o.Waiting += u.Waiting
	}
	out := slices.Clone(all[:named])
	for rank, o := range others {
		if o.Held+o.Waiting > 0 {
			o.Rank, o.Others = rank, true
			out = append(out, o)
		}
	}
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Sums adds up in an agent what the entries that follow it told. It is safe for concurrent
// use; its lock is taken last.
type Sums struct {
	mu      sync.Mutex
	streams uint64
	entries map[string]*told // by name
}

// told is what one entry told last.
type told struct {
	stream uint64
	at     time.Time
	rows   []Usage
}

// NewSums returns empty Sums.
func NewSums() *Sums {
	return &Sums{entries: make(map[string]*told)}
}

// Open returns the number of a new stream of an entry. Streams opened earlier no longer count.
func (s *Sums) Open(entry string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	s.entries[entry] = &told{stream: s.streams}
	return s.streams
}

// Close drops what an entry told on a stream, unless it has opened another one since.
func (s *Sums) Close(entry string, stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.entries[entry]; t != nil && t.stream == stream {
		delete(s.entries, entry)
	}
}

// Update replaces what an entry told. Sums keeps rows.
func (s *Sums) Update(now time.Time, entry string, stream uint64, rows []Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.entries[entry]; t != nil && t.stream == stream {
		t.at, t.rows = now, rows
	}
}

// For returns what an entry is told: the heaviest workspaces of all other entries that told
// something within MaxAge, and the sum of the others by rank.
func (s *Sums) For(now time.Time, entry string) []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := make(map[rowKey]int)
	var all []Usage
	for name, t := range s.entries {
		if name == entry || now.Sub(t.at) > MaxAge {
			continue
		}
		for _, u := range t.rows {
			k := keyOf(u.Holder)
			i, ok := position[k]
			if u.Others || !ok {
				if !u.Others {
					position[k] = len(all)
				}
				all = append(all, u)
				continue
			}
			all[i].Held += u.Held
			all[i].Waiting += u.Waiting
			all[i].Weight = max(all[i].Weight, u.Weight)
		}
	}
	return heaviest(all)
}
