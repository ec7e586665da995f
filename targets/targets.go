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
	ID            string
	StartedUnixMs int64 // start time in Unix milliseconds; 0 if unknown
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
	byID         map[string]*Instance
	expired      map[string]time.Time // instances kept without a registration, with the time of its end
	outageEnd    time.Time            // end of the last registry outage; zero if there was none
	registryDown bool
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{addrOwner: make(map[string]string), byID: make(map[string]*Instance), expired: make(map[string]time.Time)}
}

// Put adds a registration or heartbeat. Draining is final for an incarnation: an old
// heartbeat that arrives late does not undo it. A later incarnation replaces the earlier
// one whatever their sequence numbers are; a record of an earlier incarnation, read late
// or sent by a peer, is ignored.
func (s *Set) Put(in Instance) {
	if old := s.byID[in.ID]; old != nil {
		if in.StartedUnixMs < old.StartedUnixMs {
			return
		}
		if in.StartedUnixMs == old.StartedUnixMs {
			if in.Seq < old.Seq {
				delete(s.expired, in.ID)
				return
			}
			in.Draining = in.Draining || old.Draining
		}
	}
	delete(s.expired, in.ID)
	s.assignAddr(in.Addr, in.ID)
	s.byID[in.ID] = &in
}

// IsHeartbeat reports whether a registration is a plain heartbeat, which changes nothing except
// that its instance is still alive. Without changes in the fleet all registrations are
// heartbeats.
func (s *Set) IsHeartbeat(in Instance) bool {
	old := s.byID[in.ID]
	if old == nil || in.Seq < old.Seq || s.addrOwner[in.Addr] != in.ID {
		return false
	}
	if _, isExpired := s.expired[in.ID]; isExpired {
		return false
	}
	in.Seq = old.Seq
	return in == *old
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

// Drop records the end of a registration. Around a registry outage the instance is kept
// until outageGrace after the outage, because registrations of live targets expire then and
// return. It reports whether the instance is kept from now on.
func (s *Set) Drop(now time.Time, id string) (kept bool) {
	if s.byID[id] == nil {
		return false
	}
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

// Replace sets the whole contents of the registry, with the newest registrations last. It
// drops the instances that are not in all, and returns the IDs of those that Drop keeps.
func (s *Set) Replace(now time.Time, all []Instance) (kept []string) {
	named := make(map[string]bool)
	for _, in := range all {
		named[in.ID] = true
		s.Put(in)
	}
	for id := range s.byID {
		if !named[id] && s.Drop(now, id) {
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
	for _, in := range s.byID {
		out = append(out, *in)
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
	return s.byID[id]
}
