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

// Manager decides which partitions this node runs. Rendezvous hashing over the
// live entries proposes an owner; the takeover records decide.
type Manager struct {
	cfg Config
	log logging.Logger

	mu      sync.Mutex
	entries []string // live entries that are not leaving, sorted
	alive   []string // all live entries
	// proposed is the owner of each partition by rendezvous hashing over
	// entries, worked out when they change: with 340 entries it takes too long
	// to be done at every turn.
	proposed []string
	owners   map[uint32]*running
	since    map[uint32]time.Time // when this node was first proposed
	leaving  bool
	onOwner  func(ctx context.Context, o *Owner)
}

type running struct {
	owner  *Owner
	cancel context.CancelFunc
}

// NewManager returns a Manager. onOwner is called for every partition that is
// being run, in a goroutine of its own, with a context that ends with it.
func NewManager(cfg Config, onOwner func(ctx context.Context, o *Owner)) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg:     cfg,
		log:     cfg.Logger.Part("ledger"),
		owners:  make(map[uint32]*running),
		since:   make(map[uint32]time.Time),
		onOwner: onOwner,
	}
}

// SetEntries gives the live entries, and those of them that are not leaving.
func (m *Manager) SetEntries(alive, staying []string) {
	staying = slices.Clone(staying)
	slices.Sort(staying)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive = slices.Clone(alive)
	if slices.Equal(m.entries, staying) && m.proposed != nil {
		return
	}
	m.entries = staying
	m.proposed = make([]string, m.cfg.Partitions)
	for p := range m.proposed {
		m.proposed[p] = routing.Best(staying, uint64(p)+1)
	}
}

// Proposed returns the entry that should own a partition, empty when there is none.
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

// Owner returns the running owner of a partition, nil when another node should
// be asked.
func (m *Manager) Owner(partition uint32) *Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.owners[partition]; r != nil {
		return r.owner
	}
	return nil
}

// Owners returns all running owners, by partition.
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
	manageEvery = 200 * time.Millisecond
	// handOver is how long a newly proposed owner waits for the present one to
	// release a partition, when that one is alive.
	handOver = 5 * time.Second
)

// Run starts and stops owners until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(manageEvery)
	defer tick.Stop()
	for {
		for p := uint32(0); p < m.cfg.Partitions; p++ {
			m.manage(ctx, p)
		}
		m.cfg.Metrics.Gauge("partitions_run", float64(len(m.Owners())))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (m *Manager) manage(ctx context.Context, partition uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mine := !m.leaving && m.proposedLocked(partition) == m.cfg.Node
	r := m.owners[partition]
	switch {
	case !mine:
		delete(m.since, partition)
		if r != nil {
			r.owner.Release()
		}
	case r == nil:
		if _, ok := m.since[partition]; !ok {
			m.since[partition] = time.Now()
		}
		m.startLocked(ctx, partition)
	}
}

func (m *Manager) startLocked(ctx context.Context, partition uint32) {
	ctx, cancel := context.WithCancel(ctx)
	o := NewOwner(m.cfg, partition)
	o.mayTake = func(holder string) bool { return m.mayTake(partition, holder) }
	m.owners[partition] = &running{owner: o, cancel: cancel}
	go func() {
		defer cancel()
		err := o.Run(ctx)
		m.mu.Lock()
		delete(m.owners, partition)
		m.mu.Unlock()
		expected := errors.Is(err, errReleased) || errors.Is(err, errSuperseded) || errors.Is(err, errNotWanted) || ctx.Err() != nil
		if !expected {
			m.log.Error("partition stopped", logging.F("partition", partition), logging.F("error", err.Error()))
		}
	}()
	go m.onOwner(ctx, o)
}

// mayTake reports whether a partition may be taken over from its present holder.
// A holder that is alive gets the time to hand over, so that nothing is computed
// twice on a planned move.
func (m *Manager) mayTake(partition uint32, holder string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || m.proposedLocked(partition) != m.cfg.Node {
		return false
	}
	if holder == "" || holder == m.cfg.Node || !slices.Contains(m.alive, holder) {
		return true
	}
	since, ok := m.since[partition]
	return ok && time.Since(since) >= handOver
}

// Leave releases all partitions and returns when that is done, or ctx ends.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
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
