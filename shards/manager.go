package shards

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/store"
)

// Intervals, time-outs and bounds of shard ownership.
const (
	// watchInterval is the mean interval at which the owners of watched shards are probed.
	watchInterval = time.Second
	// unownedCheckInterval is how often watched shards are checked for a missing owner if no
	// record changes.
	unownedCheckInterval = time.Second
	// neededPollInterval is how often a process that needs no shards checks whether it does.
	neededPollInterval = 20 * time.Millisecond
	// readsPerLease is the number of reads per lease that wait for records. They only bring new
	// records early; renew keeps the view confirmed.
	readsPerLease = 2
	// takeoverTimeout is how long an owner may fail to act before its shards are taken over.
	// Most killed processes restart sooner and resume their shards.
	takeoverTimeout = 3 * time.Second
	// isolatedTakeoverTimeout replaces takeoverTimeout while no other process replies, because
	// this process may then be the one that is cut off.
	isolatedTakeoverTimeout = 2 * takeoverTimeout
	// maxProbes is how many other processes are probed before this one counts as cut off.
	maxProbes = 3
	// probeTimeout is the time-out of a probe.
	probeTimeout = 400 * time.Millisecond
	// maxWriteAttempts is the maximum number of attempts to write records while others write to
	// the partition.
	maxWriteAttempts = 8
	// maxWriteJitter bounds the random pause that keeps processes from writing together.
	maxWriteJitter = 40 * time.Millisecond
	// claimSpacing is how much longer a process waits before it takes another shard for each
	// that it owns. Of several processes that watch a shard, the one with the fewest takes it.
	claimSpacing = maxWriteJitter + 20*time.Millisecond
	// writeTimeout bounds all attempts of a write together.
	writeTimeout = 2 * time.Second
)

// Config configures how a process takes and keeps shards.
type Config struct {
	Self      string        // address of this process
	Shards    int           // number of shards
	Lease     time.Duration // how long a confirmed view is valid
	Log       store.Log
	Partition store.Partition
	// Needed reports whether any shards are needed at present.
	Needed func() bool
	// Watches reports whether this process has to ensure that some process acts for a shard.
	// Several processes may watch a shard; the store lets only one of them take it.
	Watches func(shard int) bool
	// IsActing asks the process at addr whether it acts for a shard. replied is false if no
	// reply arrives.
	IsActing func(ctx context.Context, addr string, shard int) (acts, replied bool)
	// Clock is monotonic and includes the time in which the host is suspended.
	Clock   func() time.Duration
	Logger  logging.Logger
	Metrics *metrics.Set
	// Handicap is the number of shards that the process counts in addition to those that it
	// owns when it waits before it takes another one. nil counts none.
	Handicap func() int
}

// Manager takes, renews and releases the shards of a process. It is safe for concurrent use.
type Manager struct {
	cfg      Config
	follower *store.Follower
	// table is guarded by the follower's lock: only Look and the sink access it.
	table *Table

	mu      sync.Mutex
	leaving bool
	outages map[int]outage
	// unownedSince is when watched shards without an owner were first seen without one.
	unownedSince map[int]time.Duration
}

// outage records since when the owner of a shard has not been acting for it.
type outage struct {
	owner string
	since time.Duration
}

// NewManager prepares the shards of a process. It reads and writes no records before Run.
func NewManager(cfg Config) *Manager {
	m := &Manager{cfg: cfg, table: NewTable(cfg.Self, cfg.Lease), outages: make(map[int]outage), unownedSince: make(map[int]time.Duration)}
	m.follower = store.NewFollower(cfg.Log, cfg.Partition, sink{m}, store.FollowerConfig{Wait: cfg.Lease / readsPerLease, Clock: cfg.Clock})
	return m
}

// sink folds records into the table. The follower makes one call at a time and holds its
// lock during the call.
type sink struct{ m *Manager }

// Reset implements store.Sink.
func (s sink) Reset(recs []store.Record) {
	s.m.table.Reset(s.m.cfg.Clock(), recs)
}

// Apply implements store.Sink.
func (s sink) Apply(recs ...store.Record) {
	now := s.m.cfg.Clock()
	for _, r := range recs {
		s.m.table.Apply(now, r)
	}
}

// viewTable calls fn with the table and the end offset of the records, unless none have
// been read. fn runs under the lock of the follower.
func (m *Manager) viewTable(fn func(t *Table, end int64)) {
	m.follower.View(func(end int64, _ <-chan struct{}) { fn(m.table, end) })
}

// Owner returns the address of the process that acts for a shard, "" if none is known.
func (m *Manager) Owner(shard int) (addr string) {
	m.viewTable(func(t *Table, _ int64) { addr = t.Owner(shard) })
	return addr
}

// Active returns the time since which this process has been acting for a shard. It returns
// false while the process must not act.
func (m *Manager) Active(shard int) (since time.Duration, ok bool) {
	if m.isLeaving() {
		return 0, false
	}
	confirmed, known := m.follower.ConfirmedAt()
	if !known {
		return 0, false
	}
	m.viewTable(func(t *Table, _ int64) { since, ok = t.Active(shard, m.cfg.Clock(), confirmed) })
	return since, ok
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// Run takes and renews shards until ctx ends. It waits until shards are needed.
func (m *Manager) Run(ctx context.Context) {
	for !m.cfg.Needed() {
		if wait.For(ctx, neededPollInterval) != nil {
			return
		}
	}
	go m.follower.Run(ctx)
	go m.renew(ctx)
	go m.takeUnowned(ctx)
	for {
		m.watch(ctx)
		m.settle(ctx)
		// The pause is random so that processes that start together do not write together.
		pause := watchInterval/2 + rand.N(watchInterval)
		if wait.For(ctx, pause) != nil {
			return
		}
	}
}

// takeUnowned takes watched shards as soon as they have no owner.
func (m *Manager) takeUnowned(ctx context.Context) {
	for {
		changed := m.changed()
		m.take(ctx, m.watchedOwners(), nil)
		wait.ForChange(ctx, changed, m.untilClaim())
		m.noteUnowned(m.watchedOwners())
		if wait.For(ctx, rand.N(maxWriteJitter)) != nil {
			return
		}
	}
}

// noteUnowned notes when shards lose their owners, given the owner of each watched shard.
func (m *Manager) noteUnowned(owners map[int]string) {
	now := m.cfg.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.unownedSince, func(n int, _ time.Duration) bool { _, watched := owners[n]; return !watched })
	for n, owner := range owners {
		if _, noted := m.unownedSince[n]; owner != "" {
			delete(m.unownedSince, n)
		} else if !noted {
			m.unownedSince[n] = now
		}
	}
}

// unowned returns the shards that have had no owner for the claim pause, given the owner of each
// watched shard.
func (m *Manager) unowned(owners map[int]string) (out []int) {
	m.noteUnowned(owners)
	since := m.cfg.Clock() - m.claimPause()
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, owner := range owners {
		if owner == "" && m.unownedSince[n] <= since {
			out = append(out, n)
		}
	}
	return out
}

// untilClaim returns the time until this process may take the next shard without an owner. For
// those that it may take already, and has just tried to, that is unownedCheckInterval.
func (m *Manager) untilClaim() time.Duration {
	due := m.cfg.Clock() - m.claimPause()
	m.mu.Lock()
	defer m.mu.Unlock()
	next := unownedCheckInterval
	for _, since := range m.unownedSince {
		if since > due {
			next = min(next, since-due)
		}
	}
	return next
}

// claimPause returns how long a shard has to be without an owner before this process takes it.
func (m *Manager) claimPause() time.Duration {
	counted := len(m.owned())
	if m.cfg.Handicap != nil {
		counted += m.cfg.Handicap()
	}
	return time.Duration(counted) * claimSpacing
}

// owned returns the shards that this process owns.
func (m *Manager) owned() (out []int) {
	m.viewTable(func(t *Table, _ int64) { out = t.Owned() })
	return out
}

// changed returns a channel that is closed at the next change of the records, nil if no
// records have been read.
func (m *Manager) changed() (ch <-chan struct{}) {
	m.follower.View(func(_ int64, c <-chan struct{}) { ch = c })
	return ch
}

// renew keeps the view confirmed within the lease. If it fails, the process stops acting at the end
// of the lease.
func (m *Manager) renew(ctx context.Context) {
	store.KeepConfirmed(ctx, m.cfg.Lease, m.follower.Confirm, func() { m.cfg.Metrics.Count("shards_not_confirmed") })
}

// watch takes over the watched shards whose owners have failed.
func (m *Manager) watch(ctx context.Context) {
	owners := m.watchedOwners()
	m.take(ctx, owners, m.orphaned(ctx, owners))
}

// watchedOwners returns the owner of each shard that this process watches, "" for none.
func (m *Manager) watchedOwners() map[int]string {
	owners := make(map[int]string)
	m.viewTable(func(t *Table, _ int64) {
		for n := range m.cfg.Shards {
			if m.cfg.Watches(n) {
				owners[n] = t.Owner(n)
			}
		}
	})
	return owners
}

// take takes the given orphaned shards and one shard that has been without an owner for a while. The other shards
// without an owner are left to processes that own fewer, so that the loss of one process takes
// few shards. It skips shards whose owner has changed in the meantime.
func (m *Manager) take(ctx context.Context, owners map[int]string, orphaned []int) {
	due := slices.Clone(orphaned)
	if free := m.unowned(owners); len(free) > 0 {
		due = append(due, free[0]) // in map order, so processes that watch the same shards rarely try the same one
	}
	if len(due) == 0 || m.isLeaving() {
		return
	}
	err := m.write(ctx, func(t *Table) ([]store.Record, error) {
		return records(due, func(n int) bool { return t.Owner(n) == owners[n] }, t.claim)
	})
	m.logWrite("shards taken", due, err)
}

// orphaned probes the given owners and returns the shards whose owners have not acted for
// too long.
func (m *Manager) orphaned(ctx context.Context, owners map[int]string) []int {
	now := m.cfg.Clock()
	notActing, anyReplied := m.probeOwners(ctx, owners)
	timeout := takeoverTimeout
	if len(notActing) > 0 && !anyReplied && !m.anyOtherReplies(ctx, notActing) {
		timeout = isolatedTakeoverTimeout
	}
	return m.expiredOutages(notActing, now, timeout)
}

// probeOwners asks the owners of shards concurrently whether they act for them. It returns
// the shards whose owners did not confirm it, and whether any process replied at all.
func (m *Manager) probeOwners(ctx context.Context, owners map[int]string) (notActing map[int]string, anyReplied bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	notActing = make(map[int]string)
	var mu sync.Mutex // guards the results
	var all sync.WaitGroup
	for n, owner := range owners {
		if owner == "" || owner == m.cfg.Self {
			continue
		}
		all.Go(func() {
			acts, replied := m.cfg.IsActing(ctx, owner, n)
			mu.Lock()
			defer mu.Unlock()
			anyReplied = anyReplied || replied
			if !acts {
				notActing[n] = owner
			}
		})
	}
	all.Wait()
	return notActing, anyReplied
}

// anyOtherReplies reports whether any process replies besides the owners that do not act. It
// probes up to maxProbes processes.
func (m *Manager) anyOtherReplies(ctx context.Context, notActing map[int]string) bool {
	others := make(map[string]int) // one shard of each process, by address
	m.viewTable(func(t *Table, _ int64) {
		for n := range m.cfg.Shards {
			others[t.Owner(n)] = n
		}
	})
	delete(others, "")
	delete(others, m.cfg.Self)
	for _, owner := range notActing {
		delete(others, owner)
	}
	tries := 0
	for owner, n := range others { // map order, so the probed processes vary
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, replied := m.cfg.IsActing(probeCtx, owner, n)
		cancel()
		if replied {
			return true
		}
		if tries++; tries == maxProbes {
			break
		}
	}
	return false
}

// expiredOutages records the shards whose owners do not act and returns those whose outage
// has lasted for the time-out. An owner that has just taken its shard gets two leases more,
// because it waits before it acts.
func (m *Manager) expiredOutages(notActing map[int]string, now, timeout time.Duration) []int {
	settled := make(map[int]bool)
	m.viewTable(func(t *Table, _ int64) {
		for n := range notActing {
			settled[n] = t.Settled(n)
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range m.outages {
		if notActing[n] != m.outages[n].owner {
			delete(m.outages, n)
		}
	}
	var expired []int
	for n, owner := range notActing {
		o, ok := m.outages[n]
		if !ok {
			m.outages[n] = outage{owner: owner, since: now}
			continue
		}
		within := timeout
		if !settled[n] {
			within += 2 * m.cfg.Lease
		}
		if now-o.since >= within {
			expired = append(expired, n)
		}
	}
	return expired
}

// settle records that the takeover waits of this process are over.
func (m *Manager) settle(ctx context.Context) {
	var ended []int
	m.viewTable(func(t *Table, _ int64) { ended = t.Unsettled(m.cfg.Clock()) })
	if len(ended) == 0 || m.isLeaving() {
		return
	}
	err := m.write(ctx, func(t *Table) ([]store.Record, error) {
		return records(ended, func(n int) bool { return t.Owner(n) == m.cfg.Self }, t.settle)
	})
	m.logWrite("shards settled", ended, err)
}

// Leave stops acting and releases the shards of this process, so that others can act for
// them at once.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	owned := m.owned()
	if len(owned) == 0 {
		return
	}
	err := m.write(ctx, func(t *Table) ([]store.Record, error) {
		return records(owned, func(n int) bool { return t.Owner(n) == m.cfg.Self }, t.release)
	})
	m.logWrite("shards released", owned, err)
}

// records builds the records of the given shards for which a record is still due.
func records(shards []int, due func(int) bool, build func(int) (store.Record, error)) ([]store.Record, error) {
	var out []store.Record
	for _, n := range shards {
		if !due(n) {
			continue
		}
		r, err := build(n)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// write appends the records that decide returns, on the condition that no other process has
// written since the table was read. After a conflict it reads the new records and retries.
func (m *Manager) write(ctx context.Context, decide func(t *Table) ([]store.Record, error)) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var appendErr error
	for range maxWriteAttempts {
		var recs []store.Record
		var offset int64
		var err error
		m.viewTable(func(t *Table, end int64) { offset, recs, err = end, nil, nil; recs, err = decide(t) })
		if err != nil || len(recs) == 0 {
			return err
		}
		_, appendErr = m.cfg.Log.Append(ctx, m.cfg.Partition, recs, offset)
		if appendErr == nil {
			m.follower.ApplyAppended(recs, offset)
			return nil
		}
		var conflict *store.ConflictError
		if !errors.As(appendErr, &conflict) {
			return appendErr
		}
		if err := m.follower.Confirm(ctx, 0); err != nil {
			return err
		}
		if err := wait.For(ctx, rand.N(maxWriteJitter)); err != nil {
			return err
		}
	}
	return appendErr
}

// logWrite logs the result of a write of shard records.
func (m *Manager) logWrite(action string, shards []int, err error) {
	slices.Sort(shards)
	if err != nil {
		m.cfg.Metrics.Count("shards_not_written")
		m.cfg.Logger.Warn(action+": write failed", logging.F("shards", shards), logging.F("error", err.Error()))
		return
	}
	m.cfg.Logger.Info(action, logging.F("shards", shards))
}
