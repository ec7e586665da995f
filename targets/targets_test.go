package targets_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/targets"
)

var start = time.Unix(1000, 0)

func in(id, addr string, seq int64) targets.Instance {
	return targets.Instance{ID: id, Addr: addr, Service: "s", Slots: 8, Seq: seq}
}

// registry writes registrations to a Set in the order in which it is called.
type registry struct {
	*targets.Set
	revision int64
}

func newRegistry() *registry { return &registry{Set: targets.NewSet()} }

func (r *registry) register(in targets.Instance) targets.Registration {
	r.revision++
	return targets.Registration{Instance: in, Revision: r.revision}
}

func (r *registry) Put(in targets.Instance) targets.PutResult { return r.Set.Put(r.register(in)) }

func (r *registry) Drop(now time.Time, id string) bool {
	r.revision++
	return r.Set.Drop(now, id, r.revision)
}

// Guards against new requests at a draining target: an older heartbeat that arrives after
// the one that announced draining must not undo it.
func TestLateHeartbeatDoesNotEndDraining(t *testing.T) {
	s := newRegistry()
	draining := in("a", "1:1", 5)
	draining.Draining = true
	s.Put(draining)
	s.Put(in("a", "1:1", 4))
	s.Put(in("a", "1:1", 6))
	if !s.Get("a").Draining {
		t.Fatal("the target no longer counts as draining")
	}
}

// Guards against sending every second request to a dead instance after all hosts lost
// power: targets restart at their old addresses, and the registrations of the earlier
// instances stay for seconds. Only the instance that registered last may count as live.
func TestLastRegistrationOwnsTheAddress(t *testing.T) {
	s := newRegistry()
	s.Put(in("old", "1:1", 1))
	s.Put(in("new", "1:1", 1))
	if !s.Get("old").Superseded || s.Get("new").Superseded {
		t.Fatalf("want only old superseded: old %+v, new %+v", s.Get("old"), s.Get("new"))
	}
	s.Drop(start, "old")
	if s.Get("new") == nil || s.Get("new").Superseded {
		t.Fatal("dropping the old instance changed the new one")
	}
}

// Guards against live targets that get no requests for hours: a late heartbeat of an old
// instance arrives after the new one has registered at its address, or even after the old
// registration was dropped. It must not keep the address for good; items stayed undone
// because of it while half of the slots were free.
func TestLateHeartbeatTakesTheAddressOnlyBriefly(t *testing.T) {
	s := newRegistry()
	s.Put(in("old", "1:1", 1))
	s.Put(in("new", "1:1", 1))
	s.Drop(start, "old")
	s.Put(in("old", "1:1", 2))
	s.Put(in("new", "1:1", 1)) // the next heartbeat of the new instance
	if s.Get("new").Superseded || !s.Get("old").Superseded {
		t.Fatalf("want only old superseded: old %+v, new %+v", s.Get("old"), s.Get("new"))
	}
	s.Supersede("new") // another instance responded there once
	s.Put(in("new", "1:1", 1))
	if s.Get("new").Superseded {
		t.Fatal("a superseded live target stays superseded after its heartbeat")
	}
}

// Guards against a fleet without targets after a registry outage: registrations expire
// during the outage and return within two seconds of its end, so their expiry does not
// mean that the targets have stopped.
func TestExpiryAroundAnOutageIsDelayed(t *testing.T) {
	s := newRegistry()
	s.Put(in("back", "1:1", 1))
	s.Put(in("gone", "1:2", 1))
	s.RegistryDown()
	s.RegistryUp(start)
	s.Drop(start.Add(100*time.Millisecond), "back")
	s.Drop(start.Add(100*time.Millisecond), "gone")
	if got := s.Expire(start.Add(time.Second)); len(got) != 0 || len(s.All()) != 2 {
		t.Fatalf("expired %v before the end of the grace period", got)
	}
	s.Put(in("back", "1:1", 2))
	if got := s.Expire(start.Add(2100 * time.Millisecond)); len(got) != 1 || got[0] != "gone" {
		t.Fatalf("expired %v, want gone", got)
	}
	if s.Get("back") == nil {
		t.Fatal("a target whose registration returned was removed")
	}
}

// Guards against requests to a target that stopped without draining: without a recent
// registry outage the end of a registration counts at once.
func TestDropIsImmediateWithoutAnOutage(t *testing.T) {
	s := newRegistry()
	s.Put(in("a", "1:1", 1))
	s.Drop(start, "a")
	if s.Get("a") != nil {
		t.Fatal("the target is still there after its registration ended")
	}
	s.RegistryDown()
	s.RegistryUp(start)
	s.Put(in("b", "1:1", 1))
	s.Drop(start.Add(3*time.Second), "b")
	if s.Get("b") != nil {
		t.Fatal("the target is still there although the outage ended 3 s before")
	}
}

// Replace drops instances that a new read of the registry no longer contains.
func TestReplaceDropsMissingInstances(t *testing.T) {
	s := newRegistry()
	s.Put(in("a", "1:1", 1))
	s.Replace(start, []targets.Registration{s.register(in("b", "1:2", 1))})
	if all := s.All(); len(all) != 1 || all[0].ID != "b" {
		t.Fatalf("got %v, want only b", all)
	}
}

func incarnation(addr string, seq, at int64) targets.Instance {
	i := in("a", addr, seq)
	i.StartedUnixMs = at
	return i
}

// Guards against a restarted target that stays unused: it drains or fails, restarts under
// the same ID with new sequence numbers and registers as ready. Its lower number is not an
// old heartbeat, and draining ends with the earlier incarnation.
func TestRestartedTargetIsUsed(t *testing.T) {
	s := newRegistry()
	draining := incarnation("1:1", 9, 1000)
	draining.Draining = true
	s.Put(draining)
	s.Supersede("a")
	s.Put(incarnation("1:2", 1, 2000))
	if got := s.Get("a"); got.Draining || got.Superseded || got.Addr != "1:2" || got.Seq != 1 {
		t.Fatalf("got %+v, want the new incarnation at 1:2, ready", got)
	}
}

// Guards against taking a restarted target for draining or sending to its old address: a
// peer, a copy or a late read of the registry returns a record of the earlier incarnation
// with a higher sequence number. Numbers of two incarnations must not be compared.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	s := newRegistry()
	old := incarnation("1:1", 9, 1000)
	old.Draining = true
	late := s.register(old)
	s.Put(incarnation("1:2", 1, 2000))
	s.Set.Put(late)
	s.Replace(start, []targets.Registration{late})
	if got := s.Get("a"); got == nil || got.Draining || got.Addr != "1:2" || got.StartedUnixMs != 2000 {
		t.Fatalf("got %+v, want the later incarnation at 1:2", got)
	}
}

// Guards against a target of which nothing is believed after it has restarted: its clock was put
// back, so that its start time is lower.
func TestRestartWithAnEarlierStartTimeReplacesTheInstance(t *testing.T) {
	s := newRegistry()
	s.Put(incarnation("1:1", 5, 3000))
	again := incarnation("1:2", 1, 1000)
	again.Service, again.Version, again.Slots = "other", "v2", 4
	if put := s.Put(again); put != targets.Applied || *s.Get("a") != again {
		t.Fatalf("got %v, %+v, want the restarted target", put, s.Get("a"))
	}
	again.Seq, again.Draining = 2, true
	s.Put(again)
	if !s.Get("a").Draining {
		t.Fatal("the restarted target does not count as draining")
	}
}

// Guards against requests to a draining target, or at another version, because the registry applies
// a write of an earlier incarnation, or an earlier write, after later ones.
func TestWriteAppliedLateIsNotBelieved(t *testing.T) {
	draining := incarnation("1:2", 5, 1000)
	draining.Draining = true
	for name, late := range map[string]targets.Instance{
		"of an earlier incarnation": incarnation("1:1", 9, 3000),
		"of the same incarnation":   incarnation("1:2", 4, 1000),
	} {
		s := newRegistry()
		s.Put(incarnation("1:1", 8, 3000))
		s.Put(draining)
		for range 2 {
			if put := s.Put(late); put != targets.Contrary || !s.Get("a").Draining || s.Get("a").Addr != "1:2" {
				t.Errorf("%s: got %v, %+v, want the draining incarnation", name, put, s.Get("a"))
			}
		}
		s.Put(draining)
		s.Put(late)
		s.Put(late)
		if !s.Get("a").Draining {
			t.Errorf("%s: late writes count over a heartbeat of the target", name)
		}
	}
}

// Guards against a target that is never used again because of one registration of another writer
// under its ID. Neither is used until it is known which of the two is alive.
func TestOneForeignRegistrationDoesNotHideATarget(t *testing.T) {
	for name, born := range map[string]int64{"later start": 9000, "earlier start": 10} {
		s := newRegistry()
		own, foreign := incarnation("1:1", 7, 1000), incarnation("1:1", 1, born)
		foreign.Service = "unknown"
		s.Put(own)
		s.Put(foreign)
		for range 2 {
			s.Put(own)
			if got := s.Get("a"); got.Service == own.Service && !got.Superseded {
				t.Errorf("%s: the target is in use before it is known to be alive", name)
			}
		}
		s.Put(own)
		if *s.Get("a") != own {
			t.Errorf("%s: got %+v, want the target's own registration", name, s.Get("a"))
		}
	}
}

// Guards against requests that run at another service because of a registration of another writer
// that lacks the start time of the target. The target's own next registration holds.
func TestRegistrationWithoutStartTimeDoesNotReplaceATarget(t *testing.T) {
	s := newRegistry()
	own, foreign := incarnation("1:1", 7, 1000), incarnation("1:1", 8, 0)
	foreign.Service = "other"
	s.Put(own)
	if put := s.Put(foreign); put != targets.Contrary || s.Get("a").Service == "other" || !s.Get("a").Superseded {
		t.Fatalf("got %v, %+v, want the target's own registration, not in use", put, s.Get("a"))
	}
	s.Put(own)
	if *s.Get("a") != own {
		t.Fatalf("got %+v, want the target's own registration", s.Get("a"))
	}
}

// Guards against a removed target that stays in use, or a restarted one that is dropped, when a
// removal is read late.
func TestRemovalReadLateIsIgnored(t *testing.T) {
	s := newRegistry()
	s.Put(incarnation("1:1", 1, 1000))
	s.revision++
	removal := s.revision
	s.Put(incarnation("1:1", 1, 500))
	s.Set.Drop(start, "a", removal)
	if s.Get("a") == nil {
		t.Fatal("the restarted target was dropped by an earlier removal")
	}
}

// What a set holds follows from the order of the registry, whatever the start times are and
// however often earlier records are read again.
func TestRegistryOrderDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRegistry()
		var written []targets.Registration
		for n := range rapid.IntRange(1, 12).Draw(t, "restarts") {
			// Start times differ, in any order.
			born := int64(rapid.IntRange(1, 5000).Draw(t, "second"))*1000 + int64(n)
			for seq := range rapid.IntRange(1, 3).Draw(t, "registrations") {
				written = append(written, s.register(incarnation(fmt.Sprint("1:", n), int64(seq), born)))
				s.Set.Put(written[len(written)-1])
				s.Set.Put(written[rapid.IntRange(0, len(written)-1).Draw(t, "read again")])
			}
		}
		if want := written[len(written)-1].Instance; *s.Get("a") != want {
			t.Fatalf("got %+v, want %+v", *s.Get("a"), want)
		}
	})
}

// Guards against the cost of heartbeats: 180 targets took a twentieth of a small host's
// CPU when each heartbeat was handled like a change of the fleet. Any change that the
// choice of a target depends on must not count as a heartbeat.
func TestChangesDoNotCountAsHeartbeat(t *testing.T) {
	const id, addr = "a", "1:1"
	known := in(id, addr, 5)
	cases := map[string]struct {
		prepare func(s *registry)
		put     func() targets.Instance
		want    bool
	}{
		"heartbeat":       {put: func() targets.Instance { return in(id, addr, 6) }, want: true},
		"same number":     {put: func() targets.Instance { return in(id, addr, 5) }, want: true},
		"older":           {put: func() targets.Instance { return in(id, addr, 4) }},
		"unknown":         {put: func() targets.Instance { return in("b", "2:2", 1) }},
		"other address":   {put: func() targets.Instance { return in(id, "2:2", 6) }},
		"has restarted":   {put: func() targets.Instance { x := in(id, addr, 6); x.StartedUnixMs = 9; return x }},
		"starts draining": {put: func() targets.Instance { x := in(id, addr, 6); x.Draining = true; return x }},
		"is already draining": {
			prepare: func(s *registry) { x := in(id, addr, 5); x.Draining = true; s.Put(x) },
			put:     func() targets.Instance { return in(id, addr, 6) },
		},
		"address owned by another": {
			prepare: func(s *registry) { s.Put(in("b", addr, 1)) },
			put:     func() targets.Instance { return in(id, addr, 6) },
		},
		"expired during an outage": {
			prepare: func(s *registry) { s.RegistryDown(); s.Drop(start, id) },
			put:     func() targets.Instance { return in(id, addr, 6) },
		},
	}
	for name, c := range cases {
		s := newRegistry()
		s.Put(known)
		if c.prepare != nil {
			c.prepare(s)
		}
		if got := s.IsHeartbeat(s.register(c.put())); got != c.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}
