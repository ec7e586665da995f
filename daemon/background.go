package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"pumiceford/duties"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/store"
)

const (
	// unconfirmedMargin is added to the time of two reads before the configuration counts as
	// confirmed late.
	unconfirmedMargin = 500 * time.Millisecond
	// overdueLogInterval is the shortest time between two lines on overdue store calls.
	overdueLogInterval = 250 * time.Millisecond
)

// followStore follows the configuration and the registry until ctx ends.
func (n *entryNode) followStore(ctx context.Context) {
	go n.registry.Run(ctx)
	n.config.Run(ctx)
}

func (n *entryNode) storeFailed(source string, err error) {
	n.metrics.Count("store_failures")
	n.log.Warn("store does not answer; what is known stays in force", logging.F("read", source), logging.F("error", err.Error()))
}

func (n *entryNode) storeRecovered(source string, outage time.Duration) {
	n.log.Info("store answers again", logging.F("read", source), logging.F("away_ms", outage.Milliseconds()))
}

// configConfirmed logs that the configuration had not been confirmed for longer than two reads
// take. A version that came into force with this confirmation may be as late as that.
func (n *entryNode) configConfirmed(after time.Duration) {
	if after > 2*configReadWait(n.set)+unconfirmedMargin {
		n.metrics.Count("configuration_confirmed_late")
		n.log.Warn("configuration was not confirmed for longer than two reads", logging.F("unconfirmed_ms", after.Milliseconds()), logging.F("catalog", n.view.CatalogVersion()))
	}
}

// overdueLog counts overdue calls to the store and logs them, at most one each
// overdueLogInterval. It is safe for concurrent use.
type overdueLog struct {
	log     logging.Logger
	metrics *metrics.Set

	mu       sync.Mutex
	loggedAt time.Time
	unlisted int // overdue calls since the last line
}

func newOverdueLog(log logging.Logger, ms *metrics.Set) *overdueLog {
	return &overdueLog{log: log, metrics: ms}
}

// note counts an overdue call.
func (l *overdueLog) note(o store.Overdue) {
	l.metrics.Count("store_call_overdue")
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.loggedAt) < overdueLogInterval {
		l.unlisted++
		l.mu.Unlock()
		return
	}
	unlisted := l.unlisted
	l.loggedAt, l.unlisted = now, 0
	l.mu.Unlock()
	l.log.Warn("store call is overdue", logging.F("through", o.Backend), logging.F("waited_ms", o.Waited.Milliseconds()), logging.F("unlisted_before", unlisted))
}

// watchPeers keeps the list of the other entries up to date from the group, and fetches
// the catalog and the targets from them while this entry does not know them.
func (n *entryNode) watchPeers(ctx context.Context) {
	var read time.Time // of the owners
	failed := false
	for ctx.Err() == nil {
		if !n.view.Ready() {
			n.peerPool.Fetch(ctx, n.view)
		}
		// The level may change between two reads, and with it the interval.
		interval := n.ownersInterval()
		if failed {
			interval = ownersRetryInterval
		}
		if now := time.Now(); now.Sub(read) > interval {
			read = now
			err := n.refreshPeers(ctx)
			if failed = err != nil; failed {
				n.metrics.Count("group_failures")
			}
		}
		_ = wait.For(ctx, fetchInterval)
	}
}

// ownersInterval returns the interval between two reads of the owners.
func (n *entryNode) ownersInterval() time.Duration {
	if n.duties.current() == duties.None {
		return standbyOwnersInterval
	}
	return ownersInterval
}

// maintainCopies loads the fleet from a copy when the catalog and registry partitions
// cannot be read at start-up. Afterwards it saves changes of the fleet to the copies, on
// the process that runs copyPartition.
func (n *entryNode) maintainCopies(ctx context.Context) {
	n.view.WaitReady(ctx, registryStartWait)
	for !n.view.Ready() && ctx.Err() == nil {
		n.copies.Load(ctx)
		n.view.WaitReady(ctx, fetchInterval)
	}
	for wait.For(ctx, copyInterval) == nil {
		if n.runner.HasPartition(copyPartition) {
			n.copies.Save(ctx)
		}
	}
}

// refreshPeers reads the owners of the job partitions, which are the peers of this process.
// The known ones stay if that fails.
func (n *entryNode) refreshPeers(ctx context.Context) error {
	owners, err := n.store.Owners(ctx, jobGroup)
	if err != nil {
		return err
	}
	n.routes.SetOwners(n.deps.JobsTopic, owners)
	addrs := memberAddrs(owners)
	n.ownersMu.Lock()
	n.owners = addrs
	n.ownersMu.Unlock()
	n.peerPool.Set(slices.Concat(addrs, n.set.Seeds))
	if n.firstDecided.Load() {
		n.duties.update(ctx, addrs)
	}
	return nil
}

// expireTargets drops lapsed targets from the view and updates the gauges until ctx ends.
func (n *entryNode) expireTargets(ctx context.Context) {
	for wait.For(ctx, expireInterval) == nil {
		now := time.Now()
		n.view.ExpireTargets(now)
		n.agentLinks.closeIdle(now)
		n.metrics.SetGauge("partitions_followed", float64(n.jobs.FollowedPartitions()))
		n.metrics.SetGauge("caller_reads_per_second", n.jobs.CallerReadRate())
		n.metrics.SetGauge("catalog_seconds", n.view.CatalogAge(now).Seconds())
		if age, ok := n.access.ConfigAge(); ok {
			n.metrics.SetGauge("configuration_confirmed_seconds_ago", age.Seconds())
		}
	}
}

// keepKeyLease keeps the configuration confirmed while keys are in use. A failure is
// counted but not logged: it shows in the requests that are refused because of it.
func (n *entryNode) keepKeyLease(ctx context.Context) {
	n.access.KeepLease(ctx, func() { n.metrics.Count("configuration_not_confirmed") })
}
