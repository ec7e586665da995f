// Package fleet is what a process knows of the fleet: the catalog in force, the
// registered targets and their load. It follows the shared store and, while that
// does not answer, asks peers.
package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"pumiceford/balance"
	"pumiceford/catalog"
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
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-v.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
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
	for _, r := range recs {
		s.Apply(r)
	}
}

// Apply implements store.Sink.
func (s catalogSink) Apply(r store.Record) {
	if r.Key == s.v.decoder.CatalogKey() && len(r.Value) > 0 {
		s.v.offerCatalog(r.Value, "store")
	}
}

// TargetSink returns the sink of the registry's topic.
func (v *View) TargetSink() store.Sink {
	return targetSink{v}
}

type targetSink struct{ v *View }

// Reset implements store.Sink.
func (s targetSink) Reset(recs []store.Record) {
	s.v.replaceTargets(recs, "store")
}

// Apply implements store.Sink.
func (s targetSink) Apply(r store.Record) {
	v := s.v
	now := time.Now()
	if len(r.Value) == 0 {
		v.changeTargets(func() {
			v.set.Drop(now, r.Key)
			delete(v.rawByID, r.Key)
		})
		return
	}
	in, ok := v.decode(r)
	if !ok {
		// It may have overwritten a live target's registration: that one gets
		// nothing until its own next heartbeat says that it is there.
		v.Supersede(r.Key)
		return
	}
	if v.renew(in, r) {
		return
	}
	v.changeTargets(func() {
		v.set.Put(in)
		v.rawByID[r.Key] = r
	})
}

// renew takes a heartbeat that changes nothing else, and reports whether it was one.
// To compare the whole registry before and after each of 150 heartbeats a second took
// a twentieth of the smallest host's processor.
func (v *View) renew(in targets.Instance, r store.Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.set.Renews(in) {
		return false
	}
	v.set.Put(in)
	v.rawByID[r.Key] = r
	return true
}

func (v *View) decode(r store.Record) (targets.Instance, bool) {
	in, err := v.decoder.Instance(r.Key, r.Value)
	if err != nil {
		v.metrics.Count("registration_unreadable")
		v.log.Warn("registration cannot be read", logging.F("instance", r.Key), logging.F("error", err.Error()))
		return in, false
	}
	return in, true
}

func (v *View) replaceTargets(recs []store.Record, from string) {
	slices.SortFunc(recs, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	var all []targets.Instance
	raw := make(map[string]store.Record)
	for _, r := range recs {
		if in, ok := v.decode(r); ok {
			all = append(all, in)
			raw[r.Key] = r
		}
	}
	now := time.Now()
	v.changeTargets(func() {
		v.set.Replace(now, all)
		v.rawByID = raw
		v.registry = true
	})
	v.mu.Lock()
	v.noteReadyLocked()
	v.mu.Unlock()
	v.log.Info("registry read", logging.F("from", from), logging.F("targets", len(all)))
}

// changeTargets changes the set and tells what became of it.
func (v *View) changeTargets(change func()) {
	v.mu.Lock()
	before := v.set.All()
	change()
	after := v.set.All()
	same := equal(before, after)
	if !same {
		v.table.Replace(after)
		v.changes++
	}
	tell := v.onChange
	v.mu.Unlock()
	if same {
		return
	}
	v.logChanges(before, after)
	v.metrics.Gauge("targets", float64(len(after)))
	tell(after)
}

func equal(a, b []targets.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.Seq, y.Seq = 0, 0
		if x != y {
			return false
		}
	}
	return true
}

func (v *View) logChanges(before, after []targets.Instance) {
	old := make(map[string]targets.Instance)
	for _, in := range before {
		old[in.ID] = in
	}
	for _, in := range after {
		was, known := old[in.ID]
		delete(old, in.ID)
		switch {
		case !known && len(before) > 0: // a first reading is told as one line
			v.log.Info("target joined", logging.F("instance", in.ID), logging.F("addr", in.Addr), logging.F("service", in.Service))
		case known && in.Born != was.Born:
			v.log.Info("target started again", logging.F("instance", in.ID), logging.F("addr", in.Addr),
				logging.F("born", in.Born), logging.F("before", was.Born))
		case in.Superseded && !was.Superseded:
			v.log.Info("target's registration no longer holds", logging.F("instance", in.ID), logging.F("addr", in.Addr))
		case in.Draining && !was.Draining:
			v.log.Info("target is leaving", logging.F("instance", in.ID), logging.F("seq", in.Seq))
		}
	}
	for id := range old {
		v.log.Info("target gone", logging.F("instance", id))
	}
}

// Supersede notes that another instance answered at an instance's address: the
// registrations of dead targets stay for seconds.
func (v *View) Supersede(id string) {
	v.changeTargets(func() { v.set.Supersede(id) })
}

// RegistryAway notes that the registry does not answer.
func (v *View) RegistryAway(error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.set.Away()
	v.metrics.Count("registry_failures")
}

// RegistryBack notes that the registry answers again.
func (v *View) RegistryBack(away time.Duration) {
	v.mu.Lock()
	v.set.Back(time.Now())
	v.mu.Unlock()
	v.log.Info("registry answers again", logging.F("away_ms", away.Milliseconds()))
}

// Expire drops targets whose registrations lapsed around an outage and did not
// come back. It is to be called several times a second.
func (v *View) Expire(now time.Time) {
	v.mu.Lock()
	lapsed := v.set.Lapsing()
	v.mu.Unlock()
	if lapsed > 0 {
		v.changeTargets(func() { v.set.Expire(now) })
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
