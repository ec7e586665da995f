package opview

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// queryTimeout bounds the query of one entry.
	queryTimeout = time.Second
	// collectTimeout bounds all queries of one collection.
	collectTimeout = 8 * time.Second
	// maxConcurrentQueries bounds the queries that wait for replies, and with them the
	// replies in memory.
	maxConcurrentQueries = 8
	// maxEntries bounds the entries of one collection.
	maxEntries = 512
	// maxReportBytes bounds the report of one entry.
	maxReportBytes = 256 << 10
)

// Coverage says of which entries a report is made.
type Coverage struct {
	Complete bool      `json:"complete"` // all known entries have answered
	Entries  int       `json:"entries"`  // known, the asked one included
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"`
}

// Missing is an entry that has not answered.
type Missing struct {
	Entry string `json:"entry"` // address for other entries
	Why   string `json:"why"`
}

// Reply is the reply of one entry.
type Reply struct {
	Report []byte   // JSON
	Known  []string // addresses of the entries that it knows
}

// Query requests a report of the entry at an address.
type Query func(ctx context.Context, addr, report string) (Reply, error)

// errNoReport is returned for an entry that has no such report.
var errNoReport = errors.New("it has no such report; it runs another version")

// errNotAsked is returned for an entry for which no time was left.
var errNotAsked = errors.New("not asked; the time was over")

// errTooManyEntries is returned for the entries beyond maxEntries.
var errTooManyEntries = errors.New("not asked; more entries are known than one report asks")

// errReportTooLarge is returned for a report of more than maxReportBytes.
var errReportTooLarge = errors.New("its report is too large")

// Collect requests a report from the given entries and from all that these know, and merges
// them into own, the report of the asked entry. self is the address of that one. It returns
// the merged report and which entries have not answered.
func Collect[T any](ctx context.Context, self string, own T, known []string, report string, query Query, merge func(a, b T) T) (T, Coverage) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	c := collection[T]{query: query, report: report, merge: merge, seen: map[string]bool{self: true, "": true}, merged: own, cover: Coverage{Answered: 1, Missing: []Missing{}}}
	c.add(known)
	for len(c.next) > 0 {
		batch := c.next
		c.next = nil
		c.round(ctx, batch)
	}
	slices.SortFunc(c.cover.Missing, func(a, b Missing) int { return cmp.Compare(a.Entry, b.Entry) })
	if c.omitted {
		c.cover.Missing = append(c.cover.Missing, Missing{Entry: "others", Why: errTooManyEntries.Error()})
	}
	c.cover.Entries = c.cover.Answered + len(c.cover.Missing)
	c.cover.Complete = len(c.cover.Missing) == 0
	return c.merged, c.cover
}

// collection is the state of one Collect. mu guards seen, next, omitted, merged and cover.
type collection[T any] struct {
	query  Query
	report string
	merge  func(a, b T) T

	mu   sync.Mutex
	seen map[string]bool
	next []string // to be asked in the next round
	// omitted says that entries beyond maxEntries are known and not asked.
	omitted bool
	merged  T
	cover   Coverage
}

// add schedules the entries that have not been asked.
func (c *collection[T]) add(addrs []string) {
	for _, a := range addrs {
		switch {
		case c.seen[a]:
		case len(c.seen) >= maxEntries:
			c.omitted = true
		default:
			c.seen[a] = true
			c.next = append(c.next, a)
		}
	}
}

// round asks the given entries.
func (c *collection[T]) round(ctx context.Context, addrs []string) {
	var workers sync.WaitGroup
	work := make(chan string)
	for range min(maxConcurrentQueries, len(addrs)) {
		workers.Go(func() {
			for addr := range work {
				c.ask(ctx, addr)
			}
		})
	}
	for _, a := range addrs {
		work <- a
	}
	close(work)
	workers.Wait()
}

func (c *collection[T]) ask(ctx context.Context, addr string) {
	report, known, err := c.fetch(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.cover.Missing = append(c.cover.Missing, Missing{Entry: addr, Why: err.Error()})
		return
	}
	c.cover.Answered++
	c.merged = c.merge(c.merged, report)
	c.add(known)
}

func (c *collection[T]) fetch(ctx context.Context, addr string) (report T, known []string, err error) {
	if ctx.Err() != nil {
		return report, nil, errNotAsked
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := c.query(ctx, addr, c.report)
	switch {
	case err != nil:
		return report, nil, err
	case len(r.Report) == 0:
		return report, nil, errNoReport
	case len(r.Report) > maxReportBytes:
		return report, nil, errReportTooLarge
	}
	err = json.Unmarshal(r.Report, &report)
	return report, r.Known, err
}
