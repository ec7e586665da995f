// Package fleet is what a process knows of the fleet: the catalog in force, the
// registered targets and their load. It follows the shared store and, while that
// does not answer, asks peers.
package fleet

import (
	"context"
	"sync"
	"time"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/store"
	"pumiceford/targets"
)

// Decoder turns the platform's records into the project's types. Each function
// reports an error for what it cannot read.
type Decoder interface {
	// Catalog decodes a version of the configuration.
	Catalog(value []byte) (*catalog.Catalog, error)
	// Instance decodes a target's registration.
	Instance(id string, value []byte) (targets.Instance, error)
	// CatalogKey is the key of the configuration in its topic.
	CatalogKey() string
}

// View is the state. All methods are safe for concurrent use; mu is held for
// memory only.
type View struct {
	decoder Decoder
	log     logging.Logger
	metrics *metrics.Set

	current catalog.Current

	mu       sync.Mutex
	raw      []byte // newest catalog as it was stored, for peers
	set      *targets.Set
	rawByID  map[string]store.Record // registrations as they were stored, for peers
	table    *balance.Table
	registry bool          // the registry was read, or told by a peer or copy
	ready    chan struct{} // closed once catalog and registry are known
	changes  uint64
	since    time.Time // when the catalog in force was taken
	onChange func([]targets.Instance)
}

// NewView returns a View that knows nothing.
func NewView(dec Decoder, salt uint64, log logging.Logger, ms *metrics.Set) *View {
	return &View{
		decoder: dec, log: log, metrics: ms,
		ready: make(chan struct{}),
		set:   targets.NewSet(), rawByID: make(map[string]store.Record),
		table:    balance.NewTable(salt),
		onChange: func([]targets.Instance) {},
	}
}

// OnChange sets what is told the instances whenever they change. It is called
// without locks held.
func (v *View) OnChange(fn func([]targets.Instance)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = fn
}

// Catalog returns the catalog in force, nil while none is known.
func (v *View) Catalog() *catalog.Catalog {
	return v.current.Get()
}

// CatalogAge returns how long the catalog has been in force here.
func (v *View) CatalogAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.since.IsZero() {
		return 0
	}
	return now.Sub(v.since)
}

// Ready reports whether requests can be served: catalog and registry are known.
func (v *View) Ready() bool {
	select {
	case <-v.ready:
		return true
	default:
		return false
	}
}

// Await waits until the view is ready, for at most limit.
func (v *View) Await(ctx context.Context, limit time.Duration) {
	_ = wait.ForChange(ctx, v.ready, limit) // Ready tells whether it is
}

// noteReadyLocked closes ready when both are known. v.mu is held.
func (v *View) noteReadyLocked() {
	if v.current.Get() != nil && v.registry && !v.Ready() {
		close(v.ready)
	}
}

// offerCatalog takes a stored configuration.
func (v *View) offerCatalog(value []byte, from string) {
	c, err := v.decoder.Catalog(value)
	if err != nil {
		v.metrics.Count("catalog_unreadable")
		v.log.Error("catalog cannot be read; the one in force stays", logging.F("from", from), logging.F("error", err.Error()))
		return
	}
	v.mu.Lock()
	newer := v.current.Offer(c)
	if newer {
		v.raw = value
		v.changes++
		v.since = time.Now()
		v.noteReadyLocked()
	}
	v.mu.Unlock()
	if newer {
		v.metrics.Gauge("catalog_version", float64(c.Version))
		v.metrics.Count("catalog_changes")
		v.log.Info("catalog in force", logging.F("version", c.Version), logging.F("from", from))
	}
}

// CatalogSink returns the sink of the configuration's topic.
func (v *View) CatalogSink() store.Sink {
	return catalogSink{v}
}

type catalogSink struct{ v *View }

// Reset implements store.Sink.
func (s catalogSink) Reset(recs []store.Record) {
	s.Apply(recs...)
}

// Apply implements store.Sink.
func (s catalogSink) Apply(recs ...store.Record) {
	for _, r := range recs {
		if r.Key == s.v.decoder.CatalogKey() && len(r.Value) > 0 {
			s.v.offerCatalog(r.Value, "store")
		}
	}
}

// Table calls fn with the balance table locked.
func (v *View) Table(fn func(t *balance.Table)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	fn(v.table)
}

// Instances returns the known instances.
func (v *View) Instances() []targets.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.All()
}

// Export returns the newest catalog and registrations as they were stored, for
// a peer that knows none.
func (v *View) Export() (raw []byte, recs []store.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.rawByID {
		recs = append(recs, r) // with its offset: the last one heard of has an address
	}
	return v.raw, recs
}

// Import takes what was exported elsewhere. The registry counts only while none
// was read here.
func (v *View) Import(raw []byte, recs []store.Record, from string) {
	if len(raw) > 0 {
		v.offerCatalog(raw, from)
	}
	v.mu.Lock()
	known := v.registry
	v.mu.Unlock()
	if !known && len(recs) > 0 {
		v.replaceTargets(recs, from)
	}
}

// Changes counts the changes of catalog and targets so far.
func (v *View) Changes() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changes
}
