package targets_test

import (
	"testing"
	"time"

	"pumiceford/targets"
)

var start = time.Unix(1000, 0)

func in(id, addr string, seq int64) targets.Instance {
	return targets.Instance{ID: id, Addr: addr, Service: "s", Slots: 8, Seq: seq}
}

// Symptom: a leaving target gets requests again.
// Sequence: it reports that it drains; an older heartbeat comes late.
// Cause: the last record won, whatever its number.
func TestAnOldHeartbeatDoesNotEndDraining(t *testing.T) {
	s := targets.NewSet()
	leaving := in("a", "1:1", 5)
	leaving.Draining = true
	s.Put(leaving)
	s.Put(in("a", "1:1", 4))
	s.Put(in("a", "1:1", 6))
	if !s.Get("a").Draining {
		t.Fatal("the target is ready again")
	}
}

// Symptom: after all hosts lost power each second request is turned away.
// Sequence: targets start anew at their old addresses, while the registrations of
// those that died stay for seconds.
// Cause: both were taken for live.
func TestTheLastHeardOfHasTheAddress(t *testing.T) {
	s := targets.NewSet()
	s.Put(in("old", "1:1", 1))
	s.Put(in("new", "1:1", 1))
	if !s.Get("old").Superseded || s.Get("new").Superseded {
		t.Fatalf("old %+v, new %+v", s.Get("old"), s.Get("new"))
	}
	s.Drop(start, "old")
	if s.Get("new") == nil || s.Get("new").Superseded {
		t.Fatal("the end of the old one touched the new one")
	}
}

// Symptom: live targets get nothing for the rest of the day, and items of jobs are
// left lying although half of the slots are free.
// Sequence: an old instance's heartbeat is written late, after the new one has
// registered at its address, or even after the old one's entry was dropped.
// Cause: who had the address last had it for good.
func TestALateHeartbeatTakesNoAddressForGood(t *testing.T) {
	s := targets.NewSet()
	s.Put(in("old", "1:1", 1))
	s.Put(in("new", "1:1", 1))
	s.Drop(start, "old")
	s.Put(in("old", "1:1", 2))
	s.Put(in("new", "1:1", 1)) // its next heartbeat
	if s.Get("new").Superseded || !s.Get("old").Superseded {
		t.Fatalf("old %+v, new %+v", s.Get("old"), s.Get("new"))
	}
	s.Supersede("new") // another instance answered there once
	s.Put(in("new", "1:1", 1))
	if s.Get("new").Superseded {
		t.Fatal("a heartbeat does not bring a live target back")
	}
}

// Symptom: no target is left when the registry returns from an outage.
// Sequence: the registry is away; registrations lapse meanwhile; they are back
// within two seconds of its return.
// Cause: a lapse in an outage was taken for the target's end.
func TestALapseAroundAnOutageIsHeldBack(t *testing.T) {
	s := targets.NewSet()
	s.Put(in("back", "1:1", 1))
	s.Put(in("gone", "1:2", 1))
	s.Away()
	s.Back(start)
	s.Drop(start.Add(100*time.Millisecond), "back")
	s.Drop(start.Add(100*time.Millisecond), "gone")
	if got := s.Expire(start.Add(time.Second)); len(got) != 0 || len(s.All()) != 2 {
		t.Fatalf("dropped at once: %v", got)
	}
	s.Put(in("back", "1:1", 2))
	if got := s.Expire(start.Add(2100 * time.Millisecond)); len(got) != 1 || got[0] != "gone" {
		t.Fatalf("dropped %v, want gone", got)
	}
	if s.Get("back") == nil {
		t.Fatal("a target that came back was dropped")
	}
}

// Symptom: requests go to a target that left without a word.
// Cause: its end was held back although the registry was well.
func TestAnEndInCalmTimesCountsAtOnce(t *testing.T) {
	s := targets.NewSet()
	s.Put(in("a", "1:1", 1))
	s.Drop(start, "a")
	if s.Get("a") != nil {
		t.Fatal("still there")
	}
	s.Away()
	s.Back(start)
	s.Put(in("b", "1:1", 1))
	s.Drop(start.Add(3*time.Second), "b")
	if s.Get("b") != nil {
		t.Fatal("still there long after the outage")
	}
}

// What a new reading of the registry does not name is gone.
func TestReplaceDropsWhatIsNotNamed(t *testing.T) {
	s := targets.NewSet()
	s.Put(in("a", "1:1", 1))
	s.Replace(start, []targets.Instance{in("b", "1:2", 1)})
	if all := s.All(); len(all) != 1 || all[0].ID != "b" {
		t.Fatalf("have %v", all)
	}
}

func born(addr string, seq, at int64) targets.Instance {
	i := in("a", addr, seq)
	i.Born = at
	return i
}

// Symptom: a target that has started again stays out of use for good.
// Sequence: it drains or dies; it starts again under the id that it had, counts
// its registrations from the start, and registers as ready.
// Cause: a lower number was taken for an old heartbeat, and draining for final.
func TestATargetThatStartedAgainIsUsed(t *testing.T) {
	s := targets.NewSet()
	leaving := born("1:1", 9, 1000)
	leaving.Draining = true
	s.Put(leaving)
	s.Supersede("a")
	s.Put(born("1:2", 1, 2000))
	if got := s.Get("a"); got.Draining || got.Superseded || got.Addr != "1:2" || got.Seq != 1 {
		t.Fatalf("%+v", got)
	}
}

// Symptom: a target that has started again is taken for draining, or asked at its
// old address.
// Sequence: its later life is known; a peer, a copy or a late read of the registry
// tells of the earlier one, with a higher number.
// Cause: numbers of two lives were compared.
func TestAnEarlierLifeDoesNotComeBack(t *testing.T) {
	s := targets.NewSet()
	s.Put(born("1:2", 1, 2000))
	old := born("1:1", 9, 1000)
	old.Draining = true
	s.Put(old)
	s.Replace(start, []targets.Instance{old})
	if got := s.Get("a"); got == nil || got.Draining || got.Addr != "1:2" || got.Born != 2000 {
		t.Fatalf("%+v", got)
	}
}

// Symptom: a twentieth of a small host's processor goes into heartbeats of 180 targets.
// Cause: a heartbeat that says nothing new was handled like a change of the fleet. What
// must never be taken for one: anything that a request's target depends on.
func TestOnlyHeartbeatsRenew(t *testing.T) {
	const id, addr = "a", "1:1"
	known := in(id, addr, 5)
	cases := map[string]struct {
		prepare func(s *targets.Set)
		put     func() targets.Instance
		want    bool
	}{
		"heartbeat":       {put: func() targets.Instance { return in(id, addr, 6) }, want: true},
		"same number":     {put: func() targets.Instance { return in(id, addr, 5) }, want: true},
		"older":           {put: func() targets.Instance { return in(id, addr, 4) }},
		"unknown":         {put: func() targets.Instance { return in("b", "2:2", 1) }},
		"other address":   {put: func() targets.Instance { return in(id, "2:2", 6) }},
		"started again":   {put: func() targets.Instance { x := in(id, addr, 6); x.Born = 9; return x }},
		"begins to leave": {put: func() targets.Instance { x := in(id, addr, 6); x.Draining = true; return x }},
		"is leaving already": {
			prepare: func(s *targets.Set) { x := in(id, addr, 5); x.Draining = true; s.Put(x) },
			put:     func() targets.Instance { return in(id, addr, 6) },
		},
		"takes its address back": {
			prepare: func(s *targets.Set) { s.Put(in("b", addr, 1)) },
			put:     func() targets.Instance { return in(id, addr, 6) },
		},
		"lapsed in an outage": {
			prepare: func(s *targets.Set) { s.Away(); s.Drop(start, id) },
			put:     func() targets.Instance { return in(id, addr, 6) },
		},
	}
	for name, c := range cases {
		s := targets.NewSet()
		s.Put(known)
		if c.prepare != nil {
			c.prepare(s)
		}
		if got := s.Renews(c.put()); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
