// Package fleet holds a process's view of the fleet: the catalog in force, the
// registered targets and their load. The view follows the shared store; while the store
// does not respond, it can be filled from peers or from copies.
package fleet

import (
	"context"
	"sync"
	"time"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/estimate"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/store"
	"pumiceford/targets"
)

// Decoder converts the platform's records to the types of this module. Each method
// returns an error for a value that it cannot decode.
type Decoder interface {
	// Catalog decodes a version of the configuration.
	Catalog(value []byte) (*catalog.Catalog, error)
	// Instance decodes a target's registration.
	Instance(id string, value []byte) (targets.Instance, error)
	// CatalogKey returns the record key of the configuration in its topic.
	CatalogKey() string
}

// View is the fleet as this process knows it. All methods are safe for concurrent use.
// mu is never held during I/O.
type View struct {
	decoder Decoder
	log     logging.Logger
	metrics *metrics.Set

	current catalog.Current

	// notifying is held while onChange runs, so that calls for concurrent changes end with the newest
	// instances. It is taken before mu.
	notifying sync.Mutex

	mu            sync.Mutex
	rawCatalog    []byte // newest catalog in its stored form, for peers
	set           *targets.Set
	rawTargets    map[string]store.Record // registrations by instance ID in their stored form, for peers
	table         *balance.Table
	registryEnd   int64         // offset of the next record of the registry
	registryKnown bool          // registrations were received from the store, a peer or a copy
	registryRead  bool          // registrations were read from the store
	ready         chan struct{} // closed once catalog and registry are known
	changes       uint64
	catalogSince  time.Time // when the catalog in force was applied
	// sharesChanged is when the services of a route, or their shares, last changed.
	sharesChanged map[catalog.RouteID]time.Time
	onShares      func()
	onChange      func([]targets.Instance)
	onRegistered  func([]targets.Instance)
	onLoad        func(service string)
}

// NewView returns an empty View. salt is passed to balance.NewTable.
func NewView(dec Decoder, salt uint64, log logging.Logger, ms *metrics.Set) *View {
	return &View{
		decoder: dec, log: log, metrics: ms,
		ready: make(chan struct{}),
		set:   targets.NewSet(), rawTargets: make(map[string]store.Record),
		table:    balance.NewTable(salt),
		onChange: func([]targets.Instance) {}, onRegistered: func([]targets.Instance) {},
		sharesChanged: make(map[catalog.RouteID]time.Time), onShares: func() {},
		onLoad: func(string) {},
	}
}

// OnTargetChange sets the function that is called with all instances after they, or the services in
// force, change. It is called for one change at a time and must not change the view.
func (v *View) OnTargetChange(fn func([]targets.Instance)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = fn
}

// notifyTargetChange calls the function set by OnTargetChange.
func (v *View) notifyTargetChange() {
	v.notifying.Lock()
	defer v.notifying.Unlock()
	v.mu.Lock()
	all, notify := v.set.All(), v.onChange
	v.mu.Unlock()
	notify(all)
}

// OnRegistrations sets the function that is called with registrations that are not heartbeats,
// before OnTargetChange, also if they have ended since. It is called without locks held.
func (v *View) OnRegistrations(fn func([]targets.Instance)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onRegistered = fn
}

// OnLoadChange sets the function that is called with the service of a target after its load was
// reported. It is called without locks held and must not block.
func (v *View) OnLoadChange(fn func(service string)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onLoad = fn
}

// UpdateLoad stores the load that a target's agent reported.
func (v *View) UpdateLoad(now time.Time, in targets.Instance, r balance.Report) {
	v.mu.Lock()
	v.table.UpdateLoad(now, in.ID, r)
	onLoad := v.onLoad
	v.mu.Unlock()
	onLoad(in.Service)
}

// Catalog returns the catalog in force, or nil if none is known yet.
func (v *View) Catalog() *catalog.Catalog {
	return v.current.Get()
}

// IsConfigured reports whether the catalog in force has a service. Without a catalog all services
// count as configured.
func (v *View) IsConfigured(service string) bool {
	c := v.current.Get()
	return c == nil || c.HasService(service)
}

// CatalogVersion returns the version of the catalog in force, -1 if none is known yet.
func (v *View) CatalogVersion() int64 {
	if c := v.current.Get(); c != nil {
		return c.Version
	}
	return -1
}

// CatalogAge returns how long the catalog has been in force in this process, 0 if none
// is known yet.
func (v *View) CatalogAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.catalogSince.IsZero() {
		return 0
	}
	return now.Sub(v.catalogSince)
}

// Ready reports whether catalog and registry are known, so that requests can be served.
func (v *View) Ready() bool {
	select {
	case <-v.ready:
		return true
	default:
		return false
	}
}

// WaitReady blocks until the view is ready, limit has passed or ctx ends. Callers check
// Ready afterwards.
func (v *View) WaitReady(ctx context.Context, limit time.Duration) {
	_ = wait.ForChange(ctx, v.ready, limit)
}

// closeReadyLocked closes v.ready once catalog and registry are known. The caller
// holds v.mu.
func (v *View) closeReadyLocked() {
	if v.current.Get() != nil && v.registryKnown && !v.Ready() {
		close(v.ready)
	}
}

// applyCatalog decodes a stored configuration and puts it in force if it is newer. from
// names its source in the log.
func (v *View) applyCatalog(value []byte, from string) {
	c, err := v.decoder.Catalog(value)
	if err != nil {
		v.metrics.Count("catalog_unreadable")
		v.log.Error("catalog cannot be decoded; keeping the one in force", logging.F("from", from), logging.F("error", err.Error()))
		return
	}
	v.mu.Lock()
	before := v.current.Get()
	newer := v.current.SetIfNewer(c)
	onShares := func() {}
	servicesChanged := newer && (before == nil || !c.HasSameServices(before))
	if newer {
		if before != nil && v.noteChangedSharesLocked(time.Now(), c.ChangedShares(before)) {
			onShares = v.onShares
		}
		v.rawCatalog = value
		v.changes++
		v.catalogSince = time.Now()
		v.closeReadyLocked()
	}
	v.mu.Unlock()
	onShares()
	if servicesChanged {
		v.notifyTargetChange()
	}
	if newer {
		v.metrics.SetGauge("catalog_version", float64(c.Version))
		v.metrics.Count("catalog_changes")
		v.log.Info("catalog in force", logging.F("version", c.Version), logging.F("from", from))
	}
}

// sharesChangeKept is how long a change of a route's shares is remembered.
const sharesChangeKept = 10 * time.Minute

// noteChangedSharesLocked notes that the shares of some routes have changed. It reports whether
// there are any. The caller holds v.mu.
func (v *View) noteChangedSharesLocked(now time.Time, changed []catalog.RouteID) bool {
	for id, at := range v.sharesChanged {
		if now.Sub(at) > sharesChangeKept {
			delete(v.sharesChanged, id)
		}
	}
	for _, id := range changed {
		v.sharesChanged[id] = now
	}
	return len(changed) > 0
}

// SharesChangedWithin reports whether the services of a route, or their shares, changed in the
// time before now.
func (v *View) SharesChangedWithin(now time.Time, id catalog.RouteID, window time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.sharesChanged[id]
	return ok && now.Sub(at) <= window
}

// OnSharesChange sets the function that is called when the shares of a route have changed. It is
// called without locks held.
func (v *View) OnSharesChange(fn func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onShares = fn
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
			s.v.applyCatalog(r.Value, fromStore)
		}
	}
}

// WithTable calls fn with the balance table while holding the lock. fn must not call
// methods of the View.
func (v *View) WithTable(fn func(t *balance.Table)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	fn(v.table)
}

// Estimates returns the model of how long work holds its slots. It has a lock of its own.
func (v *View) Estimates() *estimate.Model {
	return v.table.Estimates()
}

// Instances returns the known instances, sorted by ID.
func (v *View) Instances() []targets.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.All()
}

// fromStore names the store as the source of a catalog or registry, in the log.
const fromStore = "store"

// Snapshot is the newest catalog and the registrations in their stored form, for peers and copies.
type Snapshot struct {
	Catalog []byte // nil if none is known
	Targets []store.Record
	// RegistryEnd is the offset up to which the registry was read. Of two snapshots the one with
	// the higher end has the newer registrations.
	RegistryEnd int64
}

// Export returns a Snapshot of the view.
func (v *View) Export() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	snap := Snapshot{Catalog: v.rawCatalog, RegistryEnd: v.registryEnd}
	for _, r := range v.rawTargets {
		snap.Targets = append(snap.Targets, r) // offsets stay: they order the registrations
	}
	return snap
}

// Import applies what another process exported. An older catalog is ignored. Registrations are
// used only until this process has read them from the store, and if they are newer than those that
// it knows.
func (v *View) Import(snap Snapshot, from string) {
	if len(snap.Catalog) > 0 {
		v.applyCatalog(snap.Catalog, from)
	}
	if len(snap.Targets) > 0 {
		v.replaceTargets(snap.Targets, snap.RegistryEnd, from)
	}
}

// ChangeCount returns the number of catalog and target changes so far.
func (v *View) ChangeCount() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changes
}
