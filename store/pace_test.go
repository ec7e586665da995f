package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// readRepeatedly reads a partition as often as it is let, and returns how many reads the store
// served and how many it turned away.
func readRepeatedly(ctx context.Context, log store.Log, d time.Duration) (served, refused int) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		switch _, err := log.Read(ctx, testPartition, 0, 0); {
		case err == nil:
			served++
		case errors.Is(err, store.ErrRefused):
			refused++
		}
	}
	return served, refused
}

// Guards against this: a store that turns calls away is asked as often as before, by all,
// for good.
func TestAPaceFallsWhileTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.Put(testPartition, "k", []byte("v"))
		pace := store.NewPace()
		log := store.Paced{Log: s.For("a"), Pace: pace, Urgent: func() bool { return false }}
		calm, refused := readRepeatedly(t.Context(), log, 10*time.Second)
		if refused != 0 || calm < 500 || calm > 1500 {
			t.Fatalf("calm: %d served, %d refused in 10 s", calm, refused)
		}
		s.SetFault("a", sharedstore.Refuse)
		readRepeatedly(t.Context(), log, 5*time.Second)
		if pace.Rate() > 10 {
			t.Errorf("%g reads a second after five seconds of refusals", pace.Rate())
		}
		_, refused = readRepeatedly(t.Context(), log, 10*time.Second)
		if refused == 0 || refused > calm/5 {
			t.Errorf("turned away: %d tries in 10 s, %d when calm", refused, calm)
		}
		s.SetFault("a", sharedstore.None)
		readRepeatedly(t.Context(), log, 15*time.Second)
		if again, _ := readRepeatedly(t.Context(), log, 10*time.Second); again < calm*9/10 {
			t.Errorf("calm again: %d served in 10 s, %d before", again, calm)
		}
	})
}

// Guards against this: the process that runs a job cannot read its own partition, since
// its callers read others. Cause guarded against: one pace for both.
func TestUrgentReadsAreNotPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.Put(testPartition, "k", []byte("v"))
		pace := store.NewPace()
		callers := store.Paced{Log: s.For("a"), Pace: pace, Urgent: func() bool { return false }}
		own := store.Paced{Log: s.For("a"), Pace: pace, Urgent: func() bool { return true }}
		s.SetFault("a", sharedstore.Refuse)
		readRepeatedly(t.Context(), callers, 5*time.Second)
		s.SetFault("a", sharedstore.None)
		began := time.Now()
		for range 1000 {
			if _, err := own.Read(t.Context(), testPartition, 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("a thousand reads waited %s", took)
		}
	})
}

// A caller that cannot have a turn in time is told so at once, and nothing was asked.
func TestNoTurnInTimeIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		log := store.Paced{Log: s.For("a"), Pace: store.NewPace(), Urgent: func() bool { return false }}
		s.SetFault("a", sharedstore.Refuse)
		readRepeatedly(t.Context(), log, 5*time.Second)
		began, calls := time.Now(), s.Calls()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := log.Newest(ctx, testPartition, ""); !errors.Is(err, store.ErrRefused) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(began); took > 0 || s.Calls() != calls {
			t.Errorf("told after %s and %d calls", took, s.Calls()-calls)
		}
	})
}

// Away is said when the direct way and those through peers have failed, not before, and
// no longer than until one answers.
func TestAwayMeansNoWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		f := newFailover(s)
		read := func() { _, _ = f.Read(t.Context(), testPartition, 0, 0) } // what it shows is in Away
		for _, step := range []struct {
			faults map[string]sharedstore.Fault
			away   bool
		}{
			{map[string]sharedstore.Fault{"a": sharedstore.Refuse}, false},
			{map[string]sharedstore.Fault{"b": sharedstore.Refuse, "c": sharedstore.Refuse}, true},
			{map[string]sharedstore.Fault{"c": sharedstore.None}, false},
			{map[string]sharedstore.Fault{"c": sharedstore.Refuse}, true},
			{map[string]sharedstore.Fault{"a": sharedstore.None}, false},
		} {
			for host, fault := range step.faults {
				s.SetFault(host, fault)
			}
			time.Sleep(2 * time.Second)
			read()
			read()
			if f.Away() != step.away {
				t.Errorf("after %v: away %t", step.faults, f.Away())
			}
		}
	})
}
