package peers_test

import (
	"context"
	"net"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/catalog"
	"pumiceford/fleet"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/peers"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/targets"
)

type testDecoder struct{}

func (testDecoder) CatalogKey() string { return "c" }

func (testDecoder) Catalog(value []byte) (*catalog.Catalog, error) {
	v, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.New(v, catalog.Limits{}, nil, nil), err
}

func (testDecoder) Instance(id string, value []byte) (targets.Instance, error) {
	return targets.Instance{ID: id, Addr: string(value), Service: "s", Slots: 1}, nil
}

func newView() *fleet.View {
	return fleet.NewView(testDecoder{}, 1, logging.Logger{}, metrics.New("test"))
}

// fixture is two entries whose way to each other is a pipe, and a store.
type fixture struct {
	store      *sharedstore.Store
	helperView *fleet.View // of the entry that helps
	ring       *peers.Ring // of the entry that asks
}

var testPartition = store.Partition{Topic: "t", Number: 1}

func withPeerPair(t *testing.T, fn func(ctx context.Context, t *testing.T, w *fixture)) {
	t.Helper()
	// yamux keeps timers in a pool of the whole process; collecting twice empties
	// it, so that none reaches from one bubble into another.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &fixture{store: sharedstore.New(4), helperView: newView()}
		server := &peers.Server{Store: w.store.For("b"), View: w.helperView}
		w.ring = peers.NewRing("a:1", link.Config{Node: "a", Dial: func(_ context.Context, addr string) (net.Conn, error) {
			if addr != "b:1" {
				return nil, errors.New("nobody there")
			}
			near, far := net.Pipe()
			go link.ServeConn(ctx, far, link.Config{Node: "b", Handle: server.Handle})
			return near, nil
		}}, []string{"a:1", "b:1"})
		defer func() {
			w.ring.Close()
			cancel()
			synctest.Wait()
		}()
		fn(ctx, t, w)
	})
}

// Each call and each of its errors comes through a peer as it is.
func TestCallsThroughAPeer(t *testing.T) {
	withPeerPair(t, func(ctx context.Context, t *testing.T, w *fixture) {
		ways := w.ring.Ways()
		if len(ways) != 1 {
			t.Fatalf("%d ways", len(ways))
		}
		way := ways[0]
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		recs := []store.Record{{Key: "k", Value: []byte("v")}}
		if end, err := way.Append(ctx, testPartition, recs, 0); err != nil || end != 1 {
			t.Fatalf("end %d, %v", end, err)
		}
		var conflict *store.ConflictError
		if _, err := way.Append(ctx, testPartition, recs, 0); !errors.As(err, &conflict) || conflict.End != 1 {
			t.Fatalf("wrong end: %v", err)
		}
		page, err := way.Read(ctx, testPartition, 0, 0)
		if err != nil || page.End != 1 || len(page.Records) != 1 || page.Records[0].Key != "k" || string(page.Records[0].Value) != "v" {
			t.Fatalf("%+v %v", page, err)
		}
		snap, err := way.Newest(ctx, testPartition, "")
		if err != nil || len(snap.Records) != 1 || snap.End != 1 {
			t.Fatalf("%+v %v", snap, err)
		}
		w.store.Forget(testPartition)
		var trimmed *store.TrimmedError
		if _, err := way.Read(ctx, testPartition, 0, 0); !errors.As(err, &trimmed) || trimmed.First != 1 {
			t.Fatalf("forgotten: %v", err)
		}
		m, err := way.Join(ctx, store.JoinRequest{Group: "g", Member: "a:1", Topics: []string{"t"}, TTL: time.Minute})
		if err != nil || len(m.Partitions) != 4 {
			t.Fatalf("%+v %v", m, err)
		}
		w.store.SetFault("b", sharedstore.Refuse)
		if _, err := way.Append(ctx, testPartition, recs, 0); !errors.Is(err, store.ErrRefused) {
			t.Fatalf("refused there as well: %v", err)
		}
		w.store.SetFault("b", sharedstore.LoseAnswer)
		short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		if _, err := way.Append(short, testPartition, recs, 1); !errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("no answer there: %v", err)
		}
	})
}

// Symptom: "may have been carried out" for a call that never left the host.
// Cause: a peer that cannot be reached was taken for one that gave no answer.
func TestAPeerThatCannotBeReachedHasDoneNothing(t *testing.T) {
	withPeerPair(t, func(ctx context.Context, t *testing.T, w *fixture) {
		w.ring.Set([]string{"gone:1"})
		_, err := w.ring.Ways()[0].Append(ctx, testPartition, nil, 0)
		if !errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("%v", err)
		}
	})
}

// An entry that knows nothing learns catalog and targets from a peer.
func TestFetchFromAPeer(t *testing.T) {
	withPeerPair(t, func(ctx context.Context, t *testing.T, w *fixture) {
		mine := newView()
		w.ring.Fetch(ctx, mine)
		if mine.Ready() {
			t.Fatal("ready with nothing told")
		}
		w.helperView.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("7")}})
		w.helperView.TargetSink().Reset([]store.Record{{Key: "i", Value: []byte("1:1")}})
		w.ring.Fetch(ctx, mine)
		if !mine.Ready() || mine.Catalog().Version != 7 || len(mine.Instances()) != 1 {
			t.Fatalf("ready %v, targets %v", mine.Ready(), mine.Instances())
		}
	})
}

// Who is known stays known when nobody else is told, and one is not its own peer.
func TestPeersAreKept(t *testing.T) {
	r := peers.NewRing("a:1", link.Config{Node: "a"}, []string{"b:1", "a:1", "b:1", ""})
	defer r.Close()
	r.Set(nil)
	r.Set([]string{"a:1"})
	if n := len(r.Ways()); n != 1 {
		t.Fatalf("%d peers", n)
	}
	r.Set([]string{"b:1", "c:1", "d:1", "e:1", "f:1", "g:1"})
	if n := len(r.Ways()); n != 4 {
		t.Fatalf("%d peers kept of six", n)
	}
}
