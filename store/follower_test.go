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

// mirror is a Sink that keeps the newest value of each key.
type mirror struct {
	values     map[string]string
	last       int64 // offset of the last record applied
	misordered bool  // a record was applied twice or out of order
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
	f := store.NewFollower(log, testPartition, m, store.FollowerConfig{Wait: 2 * time.Second})
	go f.Run(ctx)
	return f
}

func values(f *store.Follower, m *mirror) map[string]string {
	out, _ := state(f, m)
	return out
}

func state(f *store.Follower, m *mirror) (values map[string]string, misordered bool) {
	f.View(func(int64, <-chan struct{}) { values, misordered = maps.Clone(m.values), m.misordered })
	return values, misordered
}

// Guards against a follower whose state differs from the store after faults and trims.
func TestFollowerEqualsStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Draw all steps outside the synctest bubble, as rapid stops a draw with a panic.
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			failure = runSteps(ctx, steps)
			cancel()
			synctest.Wait()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// step is one randomly drawn step of a test run.
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

// runSteps applies the steps and returns a failure message, or "".
func runSteps(ctx context.Context, steps []step) string {
	s := sharedstore.New(1)
	m := &mirror{}
	f := startFollower(ctx, s.ClientFor("a"), m)
	want := make(map[string]string)
	for i, st := range steps {
		switch st.Kind {
		case 0:
			s.DropHistory(testPartition)
		case 1:
			s.SetFault("a", sharedstore.Refuse)
		case 2:
			s.SetFault("a", sharedstore.NoResponse)
		case 3:
			s.SetFault("a", sharedstore.NoFault)
		case 4:
			time.Sleep(time.Duration(st.Ms) * time.Millisecond)
		case 5:
			_ = f.CatchUp(ctx, 0) // may fail during a fault; the final comparison decides
		default:
			key, value := fmt.Sprint("k", st.Key), fmt.Sprint("v", i)
			if st.Drop {
				value = ""
				delete(want, key)
			} else {
				want[key] = value
			}
			s.Put(testPartition, key, []byte(value))
		}
	}
	s.SetFault("a", sharedstore.NoFault)
	time.Sleep(5 * time.Second)
	got, misordered := state(f, m)
	if misordered {
		return "a record was applied twice or out of order"
	}
	if !maps.Equal(got, want) {
		return fmt.Sprintf("follower has %v, store has %v", got, want)
	}
	return ""
}

// Guards against a stale "not found" for a record that another node reported a second ago:
// catching up must not wait for a pending read on an unresponsive connection.
func TestCatchUpDoesNotWaitForPendingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := sharedstore.New(1)
		m := &mirror{}
		f := store.NewFollower(s.ClientFor("a"), testPartition, m, store.FollowerConfig{Wait: time.Hour})
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		s.SetFault("a", sharedstore.NoResponse) // the pending read gets no response
		synctest.Wait()
		s.Put(testPartition, "k", []byte("v"))
		s.SetFault("a", sharedstore.NoFault)
		time.Sleep(10 * time.Second)
		if err := f.CatchUp(ctx, 300*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if got := values(f, m)["k"]; got != "v" {
			t.Fatalf("after catching up: got %q, want v", got)
		}
	})
}

// Guards against a wrong "no such job" response while the store refuses calls.
func TestCatchUpFailsWhileStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := sharedstore.New(1)
		f := startFollower(ctx, s.ClientFor("a"), &mirror{})
		time.Sleep(10 * time.Millisecond)
		s.SetFault("a", sharedstore.Refuse)
		time.Sleep(3 * time.Second)
		if err := f.CatchUp(ctx, 300*time.Millisecond); !errors.Is(err, store.ErrRefused) {
			t.Fatalf("got error %v, want ErrRefused", err)
		}
	})
}

// Guards against a belief in an outage that outlives it by the length of a read that waits
// for records, or of one that hangs.
func TestEndOfOutageIsNoticedWithinProbeInterval(t *testing.T) {
	for name, fault := range map[string]sharedstore.Fault{"refused": sharedstore.Refuse, "no response": sharedstore.NoResponse} {
		for length := 100 * time.Millisecond; length <= 8*time.Second; length += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := sharedstore.New(1)
				var failedAt, recoveredAt time.Time
				f := store.NewFollower(s.ClientFor("a"), testPartition, &mirror{}, store.FollowerConfig{
					Wait: 2 * time.Second, ProbeInterval: store.ProbeInterval,
					OnFailure:  func(error) { failedAt = time.Now() },
					OnRecovery: func(time.Duration) { recoveredAt = time.Now() },
				})
				go f.Run(ctx)
				time.Sleep(time.Second)
				s.SetFault("a", fault)
				time.Sleep(length)
				s.SetFault("a", sharedstore.NoFault)
				end := time.Now()
				time.Sleep(5 * time.Second)
				synctest.Wait()
				if failedAt.IsZero() != recoveredAt.IsZero() || recoveredAt.After(end.Add(store.ProbeInterval)) {
					t.Errorf("%s for %v: failure noticed %v before the end, recovery %v after it", name, length, end.Sub(failedAt), recoveredAt.Sub(end))
				}
			})
		}
	}
}

// busyLog answers reads that do not wait for records after a delay.
type busyLog struct {
	store.Log
	delay time.Duration
}

func (l busyLog) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	if wait == 0 {
		select {
		case <-time.After(l.delay):
		case <-ctx.Done():
			return store.Page{}, errors.Mark(ctx.Err(), store.ErrUnavailable)
		}
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Guards against a follower that never finds the end of an outage because it gives up each
// probe while a busy store still queues it.
func TestProbesWaitForBusyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := sharedstore.New(1)
		m := &mirror{}
		f := store.NewFollower(busyLog{s.ClientFor("a"), 2 * time.Second}, testPartition, m, store.FollowerConfig{
			Wait: 2 * time.Second, ProbeInterval: store.ProbeInterval,
		})
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.SetFault("a", sharedstore.Refuse)
		time.Sleep(5 * time.Second)
		s.Put(testPartition, "k", []byte("v"))
		s.SetFault("a", sharedstore.NoFault)
		time.Sleep(3 * time.Second)
		if got := values(f, m)["k"]; got != "v" {
			t.Fatalf("3 s after the outage: got %q, want v", got)
		}
	})
}

// refusingLog refuses the reads that wait for records, and counts all reads.
type refusingLog struct {
	store.Log
	reads *int
}

func (l refusingLog) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	*l.reads++
	if wait > 0 {
		return store.Page{}, store.ErrRefused
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Guards against a follower that reads without back-off because an overloaded store answers
// its probes and refuses the reads between them.
func TestBackOffLastsWhileOnlyProbesSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := sharedstore.New(1)
		reads := 0
		f := store.NewFollower(refusingLog{s.ClientFor("a"), &reads}, testPartition, &mirror{}, store.FollowerConfig{
			Wait: 2 * time.Second, ProbeInterval: store.ProbeInterval,
		})
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		const maxReads = 60 // one read and one probe in each longest back-off, and the shorter ones before
		if reads > maxReads {
			t.Errorf("%d reads in 10 s, want at most %d", reads, maxReads)
		}
	})
}
