// Package targets holds what the registry says of the targets: which instances
// there are, what they serve and whether they are leaving. It is pure: records
// and the time come in.
package targets

import (
	"slices"
	"time"
)

// Instance is a target as its registration names it. A target that starts again
// may keep its id: it then knows nothing of its life before and counts anew.
type Instance struct {
	ID         string
	Born       int64 // Unix milliseconds of its start; 0 when not told
	Service    string
	Addr       string // IP and port
	DataCentre string
	Slots      int // requests that run at the same time
	Draining   bool
	// Superseded says that another instance has registered at the same address
	// since. This one is gone, whatever its registration still says.
	Superseded bool
	Seq        int64 // of its registration; rises when more than a heartbeat changes
}

// Life names one life of an instance: what was learned of an earlier one, its
// connections, failures and drain, says nothing of this one.
type Life struct {
	ID   string
	Born int64
}

// Life returns which life this is.
func (in Instance) Life() Life {
	return Life{in.ID, in.Born}
}

// goneAfter is how long a registration that lapsed around an outage of the
// registry may take to come back. The platform's operators name about two
// seconds after the registry's return.
const goneAfter = 2 * time.Second

// Set is the known instances. It is not safe for concurrent use.
type Set struct {
	holder  map[string]string // the instance that registered last, by address
	byID    map[string]*Instance
	lapsing map[string]time.Time // instances without an entry, gone at that time
	outage  time.Time            // end of the last outage of the registry; zero for none
	out     bool                 // the registry is away
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{holder: make(map[string]string), byID: make(map[string]*Instance), lapsing: make(map[string]time.Time)}
}

// Put takes a registration or heartbeat. Draining is final for a life: an old
// heartbeat that arrives late does not bring it back. A later life replaces all
// that was known of the one before, whatever its numbers; a word of an earlier
// life, read late or told by a peer, changes nothing.
func (s *Set) Put(in Instance) {
	if old := s.byID[in.ID]; old != nil {
		if in.Born < old.Born {
			return
		}
		if in.Born == old.Born {
			if in.Seq < old.Seq {
				delete(s.lapsing, in.ID)
				return
			}
			in.Draining = in.Draining || old.Draining
		}
	}
	delete(s.lapsing, in.ID)
	s.hold(in.Addr, in.ID)
	s.byID[in.ID] = &in
}

// Renews reports whether a registration tells nothing but that its instance still
// lives. All heartbeats of a calm fleet are such.
func (s *Set) Renews(in Instance) bool {
	old := s.byID[in.ID]
	if old == nil || in.Seq < old.Seq || s.holder[in.Addr] != in.ID {
		return false
	}
	if _, lapses := s.lapsing[in.ID]; lapses {
		return false
	}
	in.Seq = old.Seq
	return in == *old
}

// hold gives an address to the instance that was heard of last. Registrations of
// dead targets stay for seconds; without this, requests went to an address whose
// new instance turned each of them away. A late word of a dead instance takes the
// address only until the live one's next heartbeat.
func (s *Set) hold(addr, id string) {
	if before := s.byID[s.holder[addr]]; before != nil && before.ID != id {
		before.Superseded = true
	}
	s.holder[addr] = id
}

// Supersede notes that another instance answered at an instance's address.
func (s *Set) Supersede(id string) {
	if in := s.byID[id]; in != nil {
		in.Superseded = true
	}
}

// Drop takes the end of a registration. Around an outage of the registry it is
// held back for a while: the entries of live targets lapse then and come back.
func (s *Set) Drop(now time.Time, id string) {
	if s.byID[id] == nil {
		return
	}
	if !s.out && (s.outage.IsZero() || now.Sub(s.outage) > goneAfter) {
		s.remove(id)
		return
	}
	if _, held := s.lapsing[id]; !held {
		s.lapsing[id] = now
	}
}

func (s *Set) remove(id string) {
	if in := s.byID[id]; in != nil && s.holder[in.Addr] == id {
		delete(s.holder, in.Addr)
	}
	delete(s.byID, id)
	delete(s.lapsing, id)
}

// Replace takes the whole registry, the newest registrations last; what it does
// not name is dropped.
func (s *Set) Replace(now time.Time, all []Instance) {
	named := make(map[string]bool)
	for _, in := range all {
		named[in.ID] = true
		s.Put(in)
	}
	for id := range s.byID {
		if !named[id] {
			s.Drop(now, id)
		}
	}
}

// Away notes that the registry does not answer.
func (s *Set) Away() {
	s.out = true
}

// Back notes that the registry answers again.
func (s *Set) Back(now time.Time) {
	if s.out {
		s.out = false
		s.outage = now
	}
}

// Expire drops the instances that lapsed around an outage and did not come back.
func (s *Set) Expire(now time.Time) []string {
	if s.out || now.Sub(s.outage) <= goneAfter {
		return nil
	}
	var gone []string
	for id := range s.lapsing {
		gone = append(gone, id)
	}
	for _, id := range gone {
		s.remove(id)
	}
	slices.Sort(gone)
	return gone
}

// Lapsing returns how many instances have no entry and are held back.
func (s *Set) Lapsing() int {
	return len(s.lapsing)
}

// All returns the instances, by id.
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

// Get returns an instance, nil when unknown.
func (s *Set) Get(id string) *Instance {
	return s.byID[id]
}
