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
	return store.NewFailover(s.For("a"), func() []store.Peer { return []store.Peer{s.For("b"), s.For("c")} })
}

// Guards against this: an entry takes no jobs in and learns of no change while others
// work.
func TestRefusedHostGoesThroughPeers(t *testing.T) {
	for _, fault := range []sharedstore.Fault{sharedstore.Refuse, sharedstore.Silent} {
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

// Guards against this: a record stands twice.
func TestAppendWithoutAnswerIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.SetFault("a", sharedstore.LoseAnswer)
		_, err := newFailover(s).Append(t.Context(), testPartition, []store.Record{{Key: "k", Value: []byte("v")}}, store.AnyEnd)
		if !errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("got %v, want no answer", err)
		}
		if n := len(s.Records(testPartition)); n != 1 {
			t.Fatalf("%d records", n)
		}
	})
}

// Guards against this: the store's call limit is used up by calls that fail, and each
// call of every entry takes three times as long.
func TestPeersAreLeftAloneWhileTheyFailToo(t *testing.T) {
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
				t.Fatalf("got %v", err)
			}
		}
		// The first call tries two peers; the others within the second do not.
		if got := s.Calls(); got > calls+2 {
			t.Fatalf("%d calls for %d", got, calls)
		}
	})
}

// Guards against this: each call takes as long as the silence of the direct way.
func TestSilentDirectWayIsTriedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		s.SetFault("a", sharedstore.Silent)
		f := newFailover(s)
		began := time.Now()
		for range 10 {
			if _, err := f.Newest(context.WithoutCancel(t.Context()), testPartition, ""); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took > time.Second {
			t.Fatalf("ten calls took %s of virtual time", took)
		}
	})
}

// Guards against this: once a second a job that comes to a host which the store does not
// answer is held for 0.8 s, and then neither taken in nor truthfully refused.
func TestAnAppendDoesNotTryASilentWayAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedstore.New(1)
		f := newFailover(s)
		ctx := context.WithoutCancel(t.Context())
		s.SetFault("a", sharedstore.Silent)
		if _, err := f.Newest(ctx, testPartition, ""); err != nil {
			t.Fatal(err)
		}
		for n := range 5 {
			time.Sleep(1500 * time.Millisecond)
			began := time.Now()
			if _, err := f.Append(ctx, testPartition, []store.Record{{Key: "k", Value: []byte("v")}}, store.AnyEnd); err != nil || time.Since(began) > 0 {
				t.Errorf("append %d: %v after %s", n, err, time.Since(began))
			}
		}
		s.SetFault("a", sharedstore.None)
		time.Sleep(1500 * time.Millisecond)
		if _, err := f.Newest(ctx, testPartition, ""); err != nil {
			t.Fatal(err)
		}
		s.SetFault("b", sharedstore.Silent) // the peer: the direct way is the first again
		if _, err := f.Append(ctx, testPartition, []store.Record{{Key: "k", Value: []byte("v")}}, store.AnyEnd); err != nil {
			t.Errorf("after the return: %v", err)
		}
	})
}
