package fleet

import (
	"cmp"
	"slices"
	"time"

	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/targets"
)

// TargetSink returns the sink of the registry's topic.
func (v *View) TargetSink() store.Sink {
	return targetSink{v}
}

type targetSink struct{ v *View }

// Reset implements store.Sink.
func (s targetSink) Reset(recs []store.Record) {
	s.v.replaceTargets(recs, "store")
}

// Apply implements store.Sink. What came together is taken as one change: when all
// targets of a large fleet start again, each record had the whole registry compared, told on and logged, and the smallest hosts were busy with it for seconds.
func (s targetSink) Apply(recs ...store.Record) {
	v := s.v
	updates := make([]registryUpdate, 0, len(recs))
	for _, r := range recs {
		updates = append(updates, v.read(r))
	}
	if v.renewAll(updates) {
		return
	}
	now := time.Now()
	v.changeTargets(func() {
		for _, u := range updates {
			v.applyLocked(now, u)
		}
	})
}

// registryUpdate is what one record of the registry says.
type registryUpdate struct {
	record   store.Record
	instance targets.Instance
	gone     bool // the registration has ended
	// unreadable: it may have overwritten a live target's registration, which gets
	// nothing until its own next heartbeat says that it is there.
	unreadable bool
}

func (v *View) read(r store.Record) registryUpdate {
	if len(r.Value) == 0 {
		return registryUpdate{record: r, gone: true}
	}
	in, ok := v.decode(r)
	return registryUpdate{record: r, instance: in, unreadable: !ok}
}

// renewAll takes updates that are all heartbeats which say nothing new, and reports
// whether they were.
func (v *View) renewAll(updates []registryUpdate) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, u := range updates {
		if u.gone || u.unreadable || !v.set.Renews(u.instance) {
			return false
		}
	}
	for _, u := range updates {
		v.set.Put(u.instance)
		v.rawByID[u.record.Key] = u.record
	}
	return true
}

// applyLocked takes one update. v.mu is held.
func (v *View) applyLocked(now time.Time, u registryUpdate) {
	switch {
	case u.gone:
		v.set.Drop(now, u.record.Key)
		delete(v.rawByID, u.record.Key)
	case u.unreadable:
		v.set.Supersede(u.record.Key)
	default:
		v.set.Put(u.instance)
		v.rawByID[u.record.Key] = u.record
	}
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

// maxChangesTold is how many changes that came together get a line each. When a data
// centre or the whole fleet starts again, one line counts them.
const maxChangesTold = 16

func (v *View) logChanges(before, after []targets.Instance) {
	old := make(map[string]targets.Instance, len(before))
	for _, in := range before {
		old[in.ID] = in
	}
	var changed [][2]targets.Instance // before, after
	for _, in := range after {
		was, known := old[in.ID]
		delete(old, in.ID)
		in.Seq = was.Seq
		if !known && len(before) == 0 || in == was {
			continue // a first reading is told as one line
		}
		changed = append(changed, [2]targets.Instance{was, in})
	}
	if n := len(changed) + len(old); n > maxChangesTold {
		v.log.Info("many targets changed", logging.F("changed", len(changed)), logging.F("gone", len(old)),
			logging.F("before", len(before)), logging.F("now", len(after)))
		return
	}
	for _, c := range changed {
		v.logChange(c[0], c[1])
	}
	for id := range old {
		v.log.Info("target gone", logging.F("instance", id))
	}
}

func (v *View) logChange(was, in targets.Instance) {
	switch {
	case was.ID == "":
		v.log.Info("target joined", logging.F("instance", in.ID), logging.F("addr", in.Addr), logging.F("service", in.Service))
	case in.Born != was.Born:
		v.log.Info("target started again", logging.F("instance", in.ID), logging.F("addr", in.Addr),
			logging.F("born", in.Born), logging.F("before", was.Born))
	case in.Superseded && !was.Superseded:
		v.log.Info("target's registration no longer holds", logging.F("instance", in.ID), logging.F("addr", in.Addr))
	case in.Draining && !was.Draining:
		v.log.Info("target is leaving", logging.F("instance", in.ID), logging.F("seq", in.Seq))
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
