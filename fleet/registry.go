package fleet

import (
	"cmp"
	"slices"
	"time"

	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/targets"
)

// registryPause is the delay after a read of the registry that returned records, so that one
// read returns several heartbeats.
const registryPause = 250 * time.Millisecond

// RegistryFollower returns a follower of the registry that keeps the targets up to date while
// it runs.
func (v *View) RegistryFollower(f *store.Failover, registry store.Partition, clock func() time.Duration) *store.Follower {
	return store.NewPromptFollower(f, registry, v.TargetSink(), store.FollowerConfig{
		Pause: registryPause, Clock: clock,
		OnFailure: v.registryUnavailable, OnRecovery: v.registryRecovered,
	})
}

// TargetSink returns the sink of the registry's topic.
func (v *View) TargetSink() store.Sink {
	return targetSink{v}
}

type targetSink struct{ v *View }

// Reset implements store.Sink.
func (s targetSink) Reset(recs []store.Record) {
	s.v.replaceTargets(recs, 0, fromStore)
}

// Apply implements store.Sink. It applies all records as one change: when all targets
// of a large fleet restart, comparing the whole registry, notifying of the change and logging
// it for each record keeps the smallest hosts busy for seconds.
func (s targetSink) Apply(recs ...store.Record) {
	v := s.v
	updates := make([]registryUpdate, 0, len(recs))
	for _, r := range recs {
		updates = append(updates, v.parseRecord(r))
	}
	if v.applyHeartbeats(updates) {
		return
	}
	v.reportRegistrations(updates)
	now := time.Now()
	var kept []string
	var ignored []ignoredRegistration
	v.updateTargets(func() {
		for _, u := range updates {
			isKept, put := v.applyLocked(now, u)
			if isKept {
				kept = append(kept, u.record.Key)
			}
			if put != targets.Applied {
				ignored = append(ignored, ignoredRegistration{u.registration, *v.set.Get(u.record.Key), put})
			}
		}
	})
	v.logKept(kept)
	v.logIgnored(ignored)
}

// ignoredRegistration is a registration that was not applied, and the instance that was kept.
type ignoredRegistration struct {
	registration targets.Registration
	known        targets.Instance
	put          targets.PutResult
}

// logIgnored logs registrations that were not applied.
func (v *View) logIgnored(all []ignoredRegistration) {
	for _, ig := range all {
		v.metrics.Count("registration_ignored")
		v.log.Info("registration ignored", logging.F("instance", ig.registration.ID), logging.F("why", ig.put.String()),
			logging.F("revision", ig.registration.Revision), logging.F("born", ig.registration.StartedUnixMs), logging.F("seq", ig.registration.Seq),
			logging.F("draining", ig.registration.Draining), logging.F("known_born", ig.known.StartedUnixMs), logging.F("known_seq", ig.known.Seq),
			logging.F("known_draining", ig.known.Draining), logging.F("in_use", !ig.known.Superseded))
	}
}

// registryUpdate is a decoded record of the registry.
type registryUpdate struct {
	record       store.Record
	registration targets.Registration
	ended        bool // the registration was removed
	// unreadable is set if the record cannot be decoded. It may have overwritten the
	// registration of a live target, which then gets no requests until its next
	// heartbeat.
	unreadable bool
}

func (v *View) parseRecord(r store.Record) registryUpdate {
	if len(r.Value) == 0 {
		return registryUpdate{record: r, ended: true}
	}
	reg, ok := v.decodeRegistration(r)
	return registryUpdate{record: r, registration: reg, unreadable: !ok}
}

// applyHeartbeats applies updates if all of them are heartbeats without other changes,
// and reports whether it did. It skips the comparison of the whole registry.
func (v *View) applyHeartbeats(updates []registryUpdate) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, u := range updates {
		if u.ended || u.unreadable || !v.set.IsHeartbeat(u.registration) {
			return false
		}
	}
	for _, u := range updates {
		v.set.Put(u.registration)
		v.noteRecordLocked(u.record)
		v.registryEnd = max(v.registryEnd, u.record.Offset+1)
	}
	return true
}

// reportRegistrations calls the function set by OnRegistrations.
func (v *View) reportRegistrations(updates []registryUpdate) {
	var registered []targets.Instance
	for _, u := range updates {
		if !u.ended && !u.unreadable {
			registered = append(registered, u.registration.Instance)
		}
	}
	v.mu.Lock()
	report := v.onRegistered
	v.mu.Unlock()
	report(registered)
}

// applyLocked applies one update. It reports whether the target is kept although its
// registration has ended, and what became of a registration. The caller holds v.mu.
func (v *View) applyLocked(now time.Time, u registryUpdate) (kept bool, put targets.PutResult) {
	switch {
	case u.ended:
		kept = v.set.Drop(now, u.record.Key, u.record.Offset)
	case u.unreadable:
		v.set.Supersede(u.record.Key)
	default:
		put = v.set.Put(u.registration)
	}
	if !u.unreadable && put == targets.Applied {
		v.noteRecordLocked(u.record)
	}
	v.registryEnd = max(v.registryEnd, u.record.Offset+1)
	return kept, put
}

// noteRecordLocked keeps the stored form of a registration for peers and copies. The caller
// holds v.mu.
func (v *View) noteRecordLocked(r store.Record) {
	if len(r.Value) == 0 {
		delete(v.rawTargets, r.Key)
		return
	}
	v.rawTargets[r.Key] = r
}

// logKept logs the targets that are kept although their registrations have ended.
func (v *View) logKept(ids []string) {
	if len(ids) > maxChangesLogged {
		v.log.Info("many registrations ended around an outage; targets kept", logging.F("targets", len(ids)))
		return
	}
	for _, id := range ids {
		v.log.Info("registration ended around an outage; target kept", logging.F("instance", id))
	}
}

func (v *View) decodeRegistration(r store.Record) (targets.Registration, bool) {
	in, err := v.decoder.Instance(r.Key, r.Value)
	if err != nil {
		v.metrics.Count("registration_unreadable")
		v.log.Warn("registration cannot be decoded", logging.F("instance", r.Key), logging.F("error", err.Error()))
		return targets.Registration{}, false
	}
	return targets.Registration{Instance: in, Revision: r.Offset}, true
}

// replaceTargets replaces the registry by recs, which were read up to the offset end or further.
func (v *View) replaceTargets(recs []store.Record, end int64, from string) {
	recs = slices.Clone(recs)
	slices.SortFunc(recs, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	end = max(end, endOf(recs))
	var all []targets.Registration
	raw := make(map[string]store.Record)
	for _, r := range recs {
		if reg, ok := v.decodeRegistration(r); ok {
			all = append(all, reg)
			raw[r.Key] = r
		}
	}
	now := time.Now()
	var kept []string
	replaced := false
	v.updateTargets(func() {
		// Decided under the lock: a read of the store may have ended meanwhile.
		replaced = from == fromStore || !v.registryRead && (!v.registryKnown || end > v.registryEnd)
		if !replaced {
			return
		}
		kept = v.set.Replace(now, all)
		v.rawTargets = raw
		v.registryEnd = max(v.registryEnd, end)
		v.registryKnown = true
		v.registryRead = v.registryRead || from == fromStore
	})
	if !replaced {
		return
	}
	v.logKept(kept)
	v.mu.Lock()
	v.closeReadyLocked()
	v.mu.Unlock()
	v.log.Info("registry loaded", logging.F("from", from), logging.F("targets", len(all)), logging.F("end", end))
}

// endOf returns the offset after the last of records that are sorted by offset.
func endOf(recs []store.Record) int64 {
	if len(recs) == 0 {
		return 0
	}
	return recs[len(recs)-1].Offset + 1
}

// updateTargets calls change with v.mu held. If the instances differ afterwards, it
// updates the balance table, logs the changes and calls the function set by OnTargetChange.
func (v *View) updateTargets(change func()) {
	v.mu.Lock()
	before := v.set.All()
	change()
	after := v.set.All()
	same := sameInstances(before, after)
	if !same {
		v.table.Replace(after)
		v.changes++
	}
	v.mu.Unlock()
	if same {
		return
	}
	v.logChanges(before, after)
	v.metrics.SetGauge("targets", float64(len(after)))
	v.notifyTargetChange()
}

// sameInstances reports whether a and b are equal apart from their sequence numbers.
func sameInstances(a, b []targets.Instance) bool {
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

// maxChangesLogged is the number of simultaneous changes that are logged one by one.
// Above it, as when a data centre or the whole fleet restarts, one line counts them.
const maxChangesLogged = 16

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
			continue // replaceTargets logs the first load of the registry as one line
		}
		changed = append(changed, [2]targets.Instance{was, in})
	}
	if n := len(changed) + len(old); n > maxChangesLogged {
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
		v.log.Info("target joined", logging.F("instance", in.ID), logging.F("addr", in.Addr), logging.F("service", in.Service), logging.F("version", in.Version))
	case in.StartedUnixMs != was.StartedUnixMs:
		v.log.Info("target restarted", logging.F("instance", in.ID), logging.F("addr", in.Addr), logging.F("version", in.Version),
			logging.F("born", in.StartedUnixMs), logging.F("before", was.StartedUnixMs))
	case in.Superseded && !was.Superseded:
		v.log.Info("target registration superseded or unreadable", logging.F("instance", in.ID), logging.F("addr", in.Addr))
	case in.Draining && !was.Draining:
		v.log.Info("target is leaving", logging.F("instance", in.ID), logging.F("seq", in.Seq))
	}
}

// MarkSuperseded marks an instance as replaced because another one responded at its address.
// Registrations of dead targets remain in the registry for seconds.
func (v *View) MarkSuperseded(id string) {
	v.updateTargets(func() { v.set.Supersede(id) })
}

// registryUnavailable records that the registry does not respond.
func (v *View) registryUnavailable(err error) {
	v.mu.Lock()
	v.set.RegistryDown()
	v.mu.Unlock()
	v.metrics.Count("registry_failures")
	v.log.Warn("registry does not answer; ended registrations are kept", logging.F("error", err.Error()))
}

// registryRecovered records that the registry responds again after an outage.
func (v *View) registryRecovered(outage time.Duration) {
	v.mu.Lock()
	v.set.RegistryUp(time.Now())
	v.mu.Unlock()
	v.log.Info("registry reachable again", logging.F("away_ms", outage.Milliseconds()))
}

// ExpireTargets drops targets whose registrations lapsed around an outage of the registry and
// were not renewed since. Call it several times a second.
func (v *View) ExpireTargets(now time.Time) {
	v.mu.Lock()
	lapsed := v.set.PendingExpiry()
	v.mu.Unlock()
	if lapsed > 0 {
		v.updateTargets(func() { v.set.Expire(now) })
	}
}
