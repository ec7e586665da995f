package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Patience with a call for a page of newest records.
const (
	// maxPatience bounds the time after which a page is also requested through the next backend.
	maxPatience = 16 * callTimeout
	// givenUpFactor is the ratio of the time after which such a call is given up to the patience.
	givenUpFactor = 6
	// minOutage is the length of an outage of direct calls after which calls for pages that began
	// in it are made again: the store may never respond to them.
	minOutage = 1500 * time.Millisecond
)

// pageID identifies a page of newest records.
type pageID struct {
	partition Partition
	after     string
}

// pageCalls are the calls for pages of newest records that a process makes. Each page is requested
// by one call at a time, which all its readers share. If calls for a partition get no response in
// time, later ones get more time: many processes whose pages share a narrow link would otherwise
// fill it with copies that are given up before they have arrived.
type pageCalls struct {
	mu       sync.Mutex
	inFlight map[pageID]*pageCall
	patience map[Partition]time.Duration // callTimeout if absent
}

// pageCall is one call for a page.
type pageCall struct {
	id      pageID
	cancel  context.CancelFunc
	readers int           // guarded by pageCalls.mu; the call is cancelled when none is left
	done    chan struct{} // closed at the end
	page    Snapshot      // set before done is closed, like err
	err     error
}

func newPageCalls() *pageCalls {
	return &pageCalls{inFlight: make(map[pageID]*pageCall), patience: make(map[Partition]time.Duration)}
}

// get returns a page from the call in progress for it, or from fetch. It waits until ctx ends at most.
func (c *pageCalls) get(ctx context.Context, id pageID, fetch func(context.Context) (Snapshot, error)) (Snapshot, error) {
	call := c.join(ctx, id, fetch)
	defer c.leave(call)
	select {
	case <-call.done:
		page := call.page
		page.Records = slices.Clip(page.Records) // readers append to it
		return page, call.err
	case <-ctx.Done():
		return Snapshot{}, errors.Mark(ctx.Err(), ErrUnavailable)
	}
}

// join returns the call in progress for a page, or starts one.
func (c *pageCalls) join(ctx context.Context, id pageID, fetch func(context.Context) (Snapshot, error)) *pageCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call := c.inFlight[id]; call != nil {
		call.readers++
		return call
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	call := &pageCall{id: id, cancel: cancel, readers: 1, done: make(chan struct{})}
	c.inFlight[id] = call
	go func() {
		defer cancel()
		began := time.Now()
		call.page, call.err = fetch(ctx)
		call.page.ReadAt = began
		c.mu.Lock()
		c.removeLocked(call)
		if call.err == nil {
			c.setPatienceLocked(id.partition, 2*time.Since(began))
		}
		c.mu.Unlock()
		close(call.done)
	}()
	return call
}

// leave ends the wait of a reader.
func (c *pageCalls) leave(call *pageCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.readers--; call.readers == 0 {
		call.cancel()
		c.removeLocked(call)
	}
}

// removeLocked makes the next reader start another call. The caller holds c.mu.
func (c *pageCalls) removeLocked(call *pageCall) {
	if c.inFlight[call.id] == call {
		delete(c.inFlight, call.id)
	}
}

// patienceWith returns the time after which a call for a page of a partition is overdue.
func (c *pageCalls) patienceWith(p Partition) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.patience[p], callTimeout)
}

// overdue doubles the patience with the pages of a partition.
func (c *pageCalls) overdue(p Partition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPatienceLocked(p, 2*max(c.patience[p], callTimeout))
}

func (c *pageCalls) setPatienceLocked(p Partition, d time.Duration) {
	if d <= callTimeout {
		delete(c.patience, p)
		return
	}
	c.patience[p] = min(d, maxPatience)
}

// restart ends all calls and forgets that earlier ones were overdue: they began in an outage that
// is over, and their readers ask again.
func (c *pageCalls) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.patience)
	for _, call := range c.inFlight {
		call.cancel()
		c.removeLocked(call)
	}
}
