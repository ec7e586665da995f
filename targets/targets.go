// Package targets holds the registered targets: which instances there are, what they serve
// and whether they are draining. It does no I/O and reads no clock: records and the time
// come in.
package targets

import (
	"slices"
	"time"
)

// Instance is a target as registered. A target that restarts may keep its ID; it then has
// no state from before and its sequence numbers start again.
type Instance struct {
	ID string
	// StartedUnixMs is the start time in Unix milliseconds by the clock of the target's host, 0 if
	// unknown. It identifies an incarnation and orders nothing, as the clock may be put back.
	StartedUnixMs int64
	Service       string
	Version       string // of its software; "" if unknown
	Addr          string // IP and port
	DataCentre    string
	Slots         int // maximum number of requests running at the same time
	Draining      bool
	// Superseded says that another instance has registered at the same address since.
	// This instance no longer runs, even if its registration still exists.
	Superseded bool
	Seq        int64 // sequence number of the registration; rises when more than a heartbeat changes
}

// Incarnation identifies one incarnation of an instance. Connections, failures and draining of an
// earlier incarnation do not apply to a later one.
type Incarnation struct {
	ID            string
	StartedUnixMs int64
}

// Incarnation returns the incarnation of the instance.
func (in Instance) Incarnation() Incarnation {
	return Incarnation{in.ID, in.StartedUnixMs}
}

// Registration is an instance as the registry holds it.
type Registration struct {
	Instance
	Revision int64 // position in the registry; of two registrations of an ID the higher one is newer
}

// Software is what a target runs. The outputs of two runs can be joined only if their
// software is equal; targets do not check it.
type Software struct {
	Service string
	Version string
}

// Software returns the software that the instance runs.
func (in Instance) Software() Software {
	return Software{in.Service, in.Version}
}

// outageGrace is how long an instance is kept whose registration expired around a registry
// outage. Registrations of live targets return about two seconds after the registry does,
// according to the platform's operators.
const outageGrace = 2 * time.Second

// Set is the set of known instances. It is not safe for concurrent use.
type Set struct {
	addrOwner    map[string]string // ID of the instance that registered last, by address
	byID         map[string]*entry
	expired      map[string]time.Time // instances kept without a registration, with the time of its end
	outageEnd    time.Time            // end of the last registry outage; zero if there was none
	registryDown bool
}

// entry is a known instance.
type entry struct {
	Registration
	replaced []int64 // start times of the incarnations before, the latest last
	contrary contrary
}

// contrary is a series of registrations that contradict the known one. It is either a write that
// the registry applied late, or a target that has restarted.
type contrary struct {
	last  Registration
	count int
}

const (
	// contraryLimit is the number of registrations in a row after which a contrary one counts. If
	// the known one were right, its target would have registered in between.
	contraryLimit = 3
	// maxReplaced is the number of earlier incarnations that are remembered.
	maxReplaced = 4
)

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{addrOwner: make(map[string]string), byID: make(map[string]*entry), expired: make(map[string]time.Time)}
}

// PutResult is what Put did with a registration.
type PutResult int

// The results.
const (
	Applied  PutResult = iota
	ReadLate           // a newer registration of the ID is known
	Contrary           // probably a write that the registry applied late
)

// String returns the result for the log.
func (r PutResult) String() string {
	switch r {
	case ReadLate:
		return "read_late"
	case Contrary:
		return "contrary"
	}
	return "applied"
}

// Put adds a registration or heartbeat. Of two registrations of an ID the one with the higher
// revision is newer: a record that was read late, or came from a peer or a copy, is ignored. Start
// times tell incarnations apart and do not order them, since the clock of a host may be put back.
// Draining is final for an incarnation.
//
// A target's write may be applied seconds after later ones and then has the higher revision. It is
// recognized by its incarnation, which was replaced before, or by its sequence number, and counts
// only if contraryLimit of them follow each other. While two incarnations contradict each other,
// the instance is superseded, so that neither is used.
func (s *Set) Put(reg Registration) PutResult {
	e := s.byID[reg.ID]
	switch {
	case e == nil:
		e = &entry{Registration: reg}
	case reg.Revision < e.Revision:
		return ReadLate
	case e.contradicts(reg.Instance):
		if reg.Revision > e.Revision {
			e.noteContrary(reg)
		}
		if e.contrary.count < contraryLimit {
			if reg.StartedUnixMs == e.StartedUnixMs {
				delete(s.expired, reg.ID)
			} else {
				e.Superseded = true
			}
			return Contrary
		}
		e.replace(reg)
	case reg.StartedUnixMs != e.StartedUnixMs:
		e.replace(reg)
	default:
		reg.Draining = reg.Draining || e.Draining
		e.Registration, e.contrary = reg, contrary{}
	}
	delete(s.expired, reg.ID)
	s.assignAddr(reg.Addr, reg.ID)
	s.byID[reg.ID] = e
	return Applied
}

// contradicts reports whether a registration is older than the known one by what its target says,
// or lacks a start time although the target states it.
func (e *entry) contradicts(in Instance) bool {
	if in.StartedUnixMs == e.StartedUnixMs {
		return in.Seq < e.Seq
	}
	return in.StartedUnixMs == 0 || slices.Contains(e.replaced, in.StartedUnixMs)
}

// noteContrary counts a registration that contradicts the known one.
func (e *entry) noteContrary(reg Registration) {
	last := e.contrary.last
	e.Revision = reg.Revision
	if reg.StartedUnixMs != last.StartedUnixMs || reg.Seq < last.Seq {
		e.contrary.count = 0
	}
	e.contrary.last = reg
	e.contrary.count++
}

// replace makes another incarnation the current one.
func (e *entry) replace(reg Registration) {
	e.replaced = slices.DeleteFunc(e.replaced, func(at int64) bool { return at == reg.StartedUnixMs })
	if reg.StartedUnixMs != e.StartedUnixMs {
		e.replaced = append(e.replaced, e.StartedUnixMs)
	}
	if len(e.replaced) > maxReplaced {
		e.replaced = e.replaced[1:]
	}
	e.Registration, e.contrary = reg, contrary{}
}

// IsHeartbeat reports whether a registration is a plain heartbeat, which changes nothing except
// that its instance is still alive. Without changes in the fleet all registrations are
// heartbeats.
func (s *Set) IsHeartbeat(reg Registration) bool {
	old := s.byID[reg.ID]
	if old == nil || reg.Revision < old.Revision || reg.Seq < old.Seq || s.addrOwner[reg.Addr] != reg.ID {
		return false
	}
	if _, isExpired := s.expired[reg.ID]; isExpired {
		return false
	}
	in := reg.Instance
	in.Seq = old.Seq
	return in == old.Instance
}

// assignAddr assigns an address to the instance that registered last. Registrations of
// failed targets stay for seconds, and requests sent for them would be rejected by the new
// instance at the address. A late heartbeat of a failed instance takes the address only
// until the next heartbeat of the live one.
func (s *Set) assignAddr(addr, id string) {
	if previous := s.byID[s.addrOwner[addr]]; previous != nil && previous.ID != id {
		previous.Superseded = true
	}
	s.addrOwner[addr] = id
}

// Supersede records that another instance responded at the address of this one.
func (s *Set) Supersede(id string) {
	if in := s.byID[id]; in != nil {
		in.Superseded = true
	}
}

// Drop records the end of a registration at a revision, unless a newer one is known. Around a
// registry outage the instance is kept until outageGrace after the outage, because registrations
// of live targets expire then and return. It reports whether the instance is kept from now on.
func (s *Set) Drop(now time.Time, id string, revision int64) (kept bool) {
	e := s.byID[id]
	if e == nil || revision < e.Revision {
		return false
	}
	return s.drop(now, id)
}

func (s *Set) drop(now time.Time, id string) (kept bool) {
	if !s.registryDown && (s.outageEnd.IsZero() || now.Sub(s.outageEnd) > outageGrace) {
		s.remove(id)
		return false
	}
	if _, already := s.expired[id]; already {
		return false
	}
	s.expired[id] = now
	return true
}

func (s *Set) remove(id string) {
	if in := s.byID[id]; in != nil && s.addrOwner[in.Addr] == id {
		delete(s.addrOwner, in.Addr)
	}
	delete(s.byID, id)
	delete(s.expired, id)
}

// Replace sets the whole contents of the registry, sorted by revision. It drops the instances
// that are not in all, and returns the IDs of those that Drop keeps.
func (s *Set) Replace(now time.Time, all []Registration) (kept []string) {
	named := make(map[string]bool)
	for _, reg := range all {
		named[reg.ID] = true
		s.Put(reg)
	}
	for id := range s.byID {
		if !named[id] && s.drop(now, id) {
			kept = append(kept, id)
		}
	}
	slices.Sort(kept)
	return kept
}

// RegistryDown records that the registry does not respond.
func (s *Set) RegistryDown() {
	s.registryDown = true
}

// RegistryUp records that the registry responds again.
func (s *Set) RegistryUp(now time.Time) {
	if s.registryDown {
		s.registryDown = false
		s.outageEnd = now
	}
}

// Expire removes the instances whose registrations expired around an outage and did not
// return. It returns their IDs, sorted.
func (s *Set) Expire(now time.Time) []string {
	if s.registryDown || now.Sub(s.outageEnd) <= outageGrace {
		return nil
	}
	var removed []string
	for id := range s.expired {
		removed = append(removed, id)
	}
	for _, id := range removed {
		s.remove(id)
	}
	slices.Sort(removed)
	return removed
}

// PendingExpiry returns the number of instances that are kept without a registration.
func (s *Set) PendingExpiry() int {
	return len(s.expired)
}

// All returns the instances, sorted by ID.
func (s *Set) All() []Instance {
	out := make([]Instance, 0, len(s.byID))
	for _, e := range s.byID {
		out = append(out, e.Instance)
	}
	slices.SortFunc(out, func(a, b Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Get returns an instance, or nil if it is unknown.
func (s *Set) Get(id string) *Instance {
	if e := s.byID[id]; e != nil {
		return &e.Instance
	}
	return nil
}
