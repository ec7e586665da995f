package store_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

var testPartition = store.Partition{Topic: "t"}

// mirror is a sink that keeps the newest value of each key.
type mirror struct {
	values     map[string]string
	last       int64 // offset of the last record applied
	misordered bool  // one came twice or out of order
}

func (m *mirror) Reset(recs []store.Record) {
	m.values = make(map[string]string)
	m.last = -1
	for _, r := range recs {
		m.set(r)
	}
}

func (m *mirror) Apply(recs ...store.Record) {
	for _, r := range recs {
		m.misordered = m.misordered || r.Offset <= m.last
		m.last = r.Offset
		m.set(r)
	}
}

func (m *mirror) set(r store.Record) {
	if len(r.Value) == 0 {
		delete(m.values, r.Key)
		return
	}
	m.values[r.Key] = string(r.Value)
}

func startFollower(ctx context.Context, log store.Log, m *mirror) *store.Follower {
	f := store.NewFollower(log, testPartition, m, store.FollowSettings{Wait: 2 * time.Second})
	go f.Run(ctx)
	return f
}

func values(f *store.Follower, m *mirror) map[string]string {
	out, _ := state(f, m)
	return out
}

func state(f *store.Follower, m *mirror) (values map[string]string, again bool) {
	f.Look(func(int64, <-chan struct{}) { values, again = maps.Clone(m.values), m.misordered })
	return values, again
}

// Guards against this: a node knows less, or something else, than the store holds.
func TestFollowerEqualsStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// All is drawn before the bubble: rapid ends a draw by a panic.
		moves := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			failure = runSteps(ctx, moves)
			cancel()
			synctest.Wait()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// step is one step of a drawn story.
type step struct {
	Kind, Key, Ms int
	Drop          bool
}

func drawStep(t *rapid.T) step {
	return step{
		Kind: rapid.IntRange(0, 8).Draw(t, "kind"),
		Key:  rapid.IntRange(0, 3).Draw(t, "key"),
		Ms:   rapid.IntRange(1, 4000).Draw(t, "ms"),
		Drop: rapid.Bool().Draw(t, "drop"),
	}
}

func runSteps(ctx context.Context, moves []step) string {
	s := sharedstore.New(1)
	m := &mirror{}
	f := startFollower(ctx, s.For("a"), m)
	want := make(map[string]string)
	for i, mv := range moves {
		switch mv.Kind {
		case 0:
			s.Forget(testPartition)
		case 1:
			s.SetFault("a", sharedstore.Refuse)
		case 2:
			s.SetFault("a", sharedstore.Silent)
		case 3:
			s.SetFault("a", sharedstore.None)
		case 4:
			time.Sleep(time.Duration(mv.Ms) * time.Millisecond)
		case 5:
			_ = f.Catch(ctx, 0) // the end says whether anything is missing
		default:
			key, value := fmt.Sprint("k", mv.Key), fmt.Sprint("v", i)
			if mv.Drop {
				value = ""
				delete(want, key)
			} else {
				want[key] = value
			}
			s.Put(testPartition, key, []byte(value))
		}
	}
	s.SetFault("a", sharedstore.None)
	time.Sleep(5 * time.Second)
	got, again := state(f, m)
	if again {
		return "a record was applied twice or out of order"
	}
	if !maps.Equal(got, want) {
		return fmt.Sprintf("follower has %v, store has %v", got, want)
	}
	return ""
}

// Guards against this: a caller is told that something does not exist which another node
// has told of a second ago.
func TestCatchReadsBesideASilentRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := sharedstore.New(1)
		m := &mirror{}
		f := store.NewFollower(s.For("a"), testPartition, m, store.FollowSettings{Wait: time.Hour})
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		s.SetFault("a", sharedstore.Silent) // the waiting read is answered no more
		synctest.Wait()
		s.Put(testPartition, "k", []byte("v"))
		s.SetFault("a", sharedstore.None)
		time.Sleep(10 * time.Second)
		if err := f.Catch(ctx, 300*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if got := values(f, m)["k"]; got != "v" {
			t.Fatalf("got %q after the state was made current", got)
		}
	})
}

// Guards against this: "no such job" while the store is away.
func TestCatchFailsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := sharedstore.New(1)
		f := startFollower(ctx, s.For("a"), &mirror{})
		time.Sleep(10 * time.Millisecond)
		s.SetFault("a", sharedstore.Refuse)
		time.Sleep(3 * time.Second)
		if err := f.Catch(ctx, 300*time.Millisecond); !errors.Is(err, store.ErrRefused) {
			t.Fatalf("got %v, want a refusal", err)
		}
	})
}
