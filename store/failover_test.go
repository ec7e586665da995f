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

func newFailover(s *sharedstore.Store) *store.Failover {
	return store.NewFailover(s.ClientFor("a"), func() []store.Peer { return []store.Peer{s.ClientFor("b"), s.ClientFor("c")} })
}

// Guards against an entry that accepts no jobs and sees no changes while the store refuses
// or does not respond to its host but serves others.
func TestRefusedHostCallsThroughPeers(t *testing.T) {
	for _, fault := range []sharedstore.Fault{sharedstore.Refuse, sharedstore.NoResponse} {
		synctest.Test(t, func(t *testing.T) {
			s := sharedstore.New(1)
			s.Put(testPartition, "k", []byte("v"))
			s.SetFault("a", fault)
			f := newFailover(s)
			page, err := f.Read(t.Context(), testPartition, 0, 0)
			if err != nil || len(page.Records) != 1 {
				t.Fatalf("read through a peer: %v %v", page, err)
			}
			if _, err := f.Append(t.Context(), testPartition, []store.Record{{Key: "l", Value: []byte("w")}}, 1); err != nil {
				t.Fatalf("append through a peer: %v", err)
			}
			if m, err := f.Join(t.Context(), store.JoinRequest{Group: "g", Member: "a", Topics: []string{"t"}, TTL: time.Second}); err != nil || len(m.Partitions) != 1 {
				t.Fatalf("join through a peer: %v %v", m, err)
			}
		})
	}
}

// Guards against a duplicate record: an append whose response is lost has been applied.
func TestAppendWithoutResponseIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.SetFault("a", sharedstore.LoseResponse)
		_, err := newFailover(s).Append(t.Context(), testPartition, []store.Record{{Key: "k", Value: []byte("v")}}, store.AnyEnd)
		if !errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("append: got error %v, want ErrUnavailable", err)
		}
		if n := len(s.Records(testPartition)); n != 1 {
			t.Fatalf("got %d records, want 1", n)
		}
	})
}

// Guards against calls to failing peers, which use up the store's call limit and make each
// call of every entry take three times as long.
func TestAvoidsFailingPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		for _, h := range []string{"a", "b", "c"} {
			s.SetFault(h, sharedstore.Refuse)
		}
		f := newFailover(s)
		const calls = 50
		for range calls {
			_, err := f.Read(t.Context(), testPartition, 0, 0)
			if !errors.Is(err, store.ErrRefused) {
				t.Fatalf("got error %v, want ErrRefused", err)
			}
		}
		// Only the first call within the second tries the two peers.
		if got := s.CallCount(); got > calls+2 {
			t.Fatalf("the store received %d calls for %d reads, want at most 2 more", got, calls)
		}
	})
}

// Guards against calls that each wait for the timeout of an unresponsive store.
func TestAvoidsUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.SetFault("a", sharedstore.NoResponse)
		f := newFailover(s)
		start := time.Now()
		for range 10 {
			if _, err := f.Newest(context.WithoutCancel(t.Context()), testPartition, ""); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took > time.Second {
			t.Fatalf("ten calls took %s of virtual time, want at most 1s", took)
		}
	})
}

// Guards against appends that retry an unresponsive store: once a second, a job would wait
// for 0.8 s and then be neither accepted nor refused with a definite answer.
func TestAppendAvoidsUnresponsiveStoreUntilRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		f := newFailover(s)
		ctx := context.WithoutCancel(t.Context())
		s.SetFault("a", sharedstore.NoResponse)
		if _, err := f.Newest(ctx, testPartition, ""); err != nil {
			t.Fatal(err)
		}
		for n := range 5 {
			time.Sleep(1500 * time.Millisecond)
			start := time.Now()
			if _, err := f.Append(ctx, testPartition, []store.Record{{Key: "k", Value: []byte("v")}}, store.AnyEnd); err != nil || time.Since(start) > 0 {
				t.Errorf("append %d: got error %v after %s, want success at once", n, err, time.Since(start))
			}
		}
		s.SetFault("a", sharedstore.NoFault)
		time.Sleep(1500 * time.Millisecond)
		if _, err := f.Newest(ctx, testPartition, ""); err != nil {
			t.Fatal(err)
		}
		s.SetFault("b", sharedstore.NoResponse) // a peer: direct calls are preferred again
		if _, err := f.Append(ctx, testPartition, []store.Record{{Key: "k", Value: []byte("v")}}, store.AnyEnd); err != nil {
			t.Errorf("append after the store recovered: %v", err)
		}
	})
}
