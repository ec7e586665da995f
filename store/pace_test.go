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

// readRepeatedly reads a partition for the time d without a pause, and returns how many reads
// were served and how many were refused.
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

// Guards against processes that keep their read rate while the store refuses reads, so that
// the overload never ends.
func TestReadRateFallsWhileStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.Put(testPartition, "k", []byte("v"))
		limiter := store.NewReadLimiter()
		log := store.RateLimitedLog{Log: s.ClientFor("a"), Limiter: limiter, Exempt: func() bool { return false }}
		normal, refused := readRepeatedly(t.Context(), log, 10*time.Second)
		if refused != 0 || normal < 500 || normal > 1500 {
			t.Fatalf("without faults: %d reads served and %d refused in 10 s, want 500 to 1500 and 0", normal, refused)
		}
		s.SetFault("a", sharedstore.Refuse)
		readRepeatedly(t.Context(), log, 5*time.Second)
		if limiter.Rate() > 10 {
			t.Errorf("limit is %g reads/s after 5 s of refusals, want at most 10", limiter.Rate())
		}
		_, refused = readRepeatedly(t.Context(), log, 10*time.Second)
		if refused == 0 || refused > normal/5 {
			t.Errorf("during refusals: %d refused reads in 10 s, want more than 0 and at most a fifth of the %d without faults", refused, normal)
		}
		s.SetFault("a", sharedstore.NoFault)
		readRepeatedly(t.Context(), log, 15*time.Second)
		if recovered, _ := readRepeatedly(t.Context(), log, 10*time.Second); recovered < normal*9/10 {
			t.Errorf("after recovery: %d reads served in 10 s, want at least nine tenths of the %d before the fault", recovered, normal)
		}
	})
}

// Guards against a process that runs a job but cannot read its own partition because reads
// for callers have used up a shared rate limit.
func TestExemptReadsAreNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.Put(testPartition, "k", []byte("v"))
		limiter := store.NewReadLimiter()
		callers := store.RateLimitedLog{Log: s.ClientFor("a"), Limiter: limiter, Exempt: func() bool { return false }}
		own := store.RateLimitedLog{Log: s.ClientFor("a"), Limiter: limiter, Exempt: func() bool { return true }}
		s.SetFault("a", sharedstore.Refuse)
		readRepeatedly(t.Context(), callers, 5*time.Second)
		s.SetFault("a", sharedstore.NoFault)
		start := time.Now()
		for range 1000 {
			if _, err := own.Read(t.Context(), testPartition, 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("1000 exempt reads took %s, want no wait", took)
		}
	})
}

// A read that the rate limit cannot permit before its deadline fails at once, without a call
// to the store.
func TestReadBeyondDeadlineFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		log := store.RateLimitedLog{Log: s.ClientFor("a"), Limiter: store.NewReadLimiter(), Exempt: func() bool { return false }}
		s.SetFault("a", sharedstore.Refuse)
		readRepeatedly(t.Context(), log, 5*time.Second)
		start, calls := time.Now(), s.CallCount()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := log.Newest(ctx, testPartition, ""); !errors.Is(err, store.ErrRefused) {
			t.Errorf("got error %v, want ErrRefused", err)
		}
		if took := time.Since(start); took > 0 || s.CallCount() != calls {
			t.Errorf("failed after %s and %d store calls, want at once and none", took, s.CallCount()-calls)
		}
	})
}

// The store counts as unreachable only while both direct calls and calls through peers fail,
// until one of them succeeds.
func TestUnreachableOnlyWhenAllBackendsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		f := newFailover(s)
		read := func() { _, _ = f.Read(t.Context(), testPartition, 0, 0) } // only its effect on the state matters
		for _, tc := range []struct {
			faults      map[string]sharedstore.Fault
			unreachable bool
		}{
			{map[string]sharedstore.Fault{"a": sharedstore.Refuse}, false},
			{map[string]sharedstore.Fault{"b": sharedstore.Refuse, "c": sharedstore.Refuse}, true},
			{map[string]sharedstore.Fault{"c": sharedstore.NoFault}, false},
			{map[string]sharedstore.Fault{"c": sharedstore.Refuse}, true},
			{map[string]sharedstore.Fault{"a": sharedstore.NoFault}, false},
		} {
			for host, fault := range tc.faults {
				s.SetFault(host, fault)
			}
			time.Sleep(2 * time.Second)
			read()
			read()
			if f.Unreachable() != tc.unreachable {
				t.Errorf("after %v: got unreachable %t", tc.faults, f.Unreachable())
			}
		}
	})
}
