package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/logging"
	"pumiceford/routing"
)

// Manager starts and stops the partitions of this node. Rendezvous hashing over
// the live entries proposes an owner for each partition; the takeover records on
// the log decide who owns it.
type Manager struct {
	cfg Config
	log logging.Logger

	mu         sync.Mutex
	candidates []string // live entries that are not draining, sorted
	alive      []string // all live entries
	// proposed is the owner of each partition by rendezvous hashing over
	// candidates. It is computed only when candidates changes, because with 340
	// entries the hashing is too slow to repeat every manageInterval.
	proposed      []string
	owners        map[uint32]*runningOwner
	proposedSince map[uint32]time.Time // when this node became the proposed owner
	draining      bool
	onStart       func(ctx context.Context, o *Owner)
}

// runningOwner is an Owner with the function that stops it.
type runningOwner struct {
	owner  *Owner
	cancel context.CancelFunc
}

// NewManager returns a Manager. It calls onStart in a new goroutine for every
// Owner that it starts, with a context that ends when the Owner stops.
func NewManager(cfg Config, onStart func(ctx context.Context, o *Owner)) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg:           cfg,
		log:           cfg.Logger.WithPrefix("ledger"),
		owners:        make(map[uint32]*runningOwner),
		proposedSince: make(map[uint32]time.Time),
		onStart:       onStart,
	}
}

// SetEntries sets the live entries, and those of them that are not draining and
// may own partitions.
func (m *Manager) SetEntries(alive, candidates []string) {
	candidates = slices.Clone(candidates)
	slices.Sort(candidates)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive = slices.Clone(alive)
	if slices.Equal(m.candidates, candidates) && m.proposed != nil {
		return
	}
	m.candidates = candidates
	m.proposed = make([]string, m.cfg.Partitions)
	for p := range m.proposed {
		m.proposed[p] = routing.Best(candidates, uint64(p)+1)
	}
}

// Proposed returns the entry that should own a partition. It returns an empty
// string when no entry may own it.
func (m *Manager) Proposed(partition uint32) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proposedLocked(partition)
}

func (m *Manager) proposedLocked(partition uint32) string {
	if int(partition) >= len(m.proposed) {
		return ""
	}
	return m.proposed[partition]
}

// Owner returns the Owner that this node runs for a partition, or nil if it runs
// none.
func (m *Manager) Owner(partition uint32) *Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.owners[partition]; r != nil {
		return r.owner
	}
	return nil
}

// Owners returns all running owners, sorted by partition.
func (m *Manager) Owners() []*Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*Owner
	for _, r := range m.owners {
		out = append(out, r.owner)
	}
	slices.SortFunc(out, func(a, b *Owner) int { return int(a.number) - int(b.number) })
	return out
}

const (
	manageInterval = 200 * time.Millisecond
	// handoverTimeout is how long a newly proposed owner waits for a live holder
	// to release a partition.
	handoverTimeout = 5 * time.Second
)

// Run starts and stops owners until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(manageInterval)
	defer tick.Stop()
	for {
		for p := uint32(0); p < m.cfg.Partitions; p++ {
			m.reconcile(ctx, p)
		}
		m.cfg.Metrics.SetGauge("partitions_run", float64(len(m.Owners())))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// reconcile starts or releases the owner of one partition as proposed.
func (m *Manager) reconcile(ctx context.Context, partition uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	proposed := !m.draining && m.proposedLocked(partition) == m.cfg.Node
	r := m.owners[partition]
	switch {
	case !proposed:
		delete(m.proposedSince, partition)
		if r != nil {
			r.owner.Release()
		}
	case r == nil:
		if _, ok := m.proposedSince[partition]; !ok {
			m.proposedSince[partition] = time.Now()
		}
		m.startLocked(ctx, partition)
	}
}

// startLocked starts an owner of a partition. Manager.mu must be held.
func (m *Manager) startLocked(ctx context.Context, partition uint32) {
	ctx, cancel := context.WithCancel(ctx)
	o := NewOwner(m.cfg, partition)
	o.mayTakeOver = func(holder string) bool { return m.mayTakeOver(partition, holder) }
	m.owners[partition] = &runningOwner{owner: o, cancel: cancel}
	go func() {
		defer cancel()
		err := o.Run(ctx)
		m.mu.Lock()
		delete(m.owners, partition)
		m.mu.Unlock()
		expected := errors.Is(err, errReleased) || errors.Is(err, errSuperseded) || errors.Is(err, errNotProposed) || ctx.Err() != nil
		if !expected {
			m.log.Error("partition stopped", logging.F("partition", partition), logging.F("error", err.Error()))
		}
	}()
	go m.onStart(ctx, o)
}

// mayTakeOver reports whether this node may take a partition over from its
// current holder. A live holder first gets handoverTimeout to release it, so that
// a planned move computes nothing twice.
func (m *Manager) mayTakeOver(partition uint32, holder string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining || m.proposedLocked(partition) != m.cfg.Node {
		return false
	}
	if holder == "" || holder == m.cfg.Node || !slices.Contains(m.alive, holder) {
		return true
	}
	since, ok := m.proposedSince[partition]
	return ok && time.Since(since) >= handoverTimeout
}

// Leave releases all partitions and waits until their owners have stopped or ctx
// ends.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for _, o := range m.Owners() {
		o.Release()
		select {
		case <-o.Done():
		case <-ctx.Done():
			return
		}
	}
}
