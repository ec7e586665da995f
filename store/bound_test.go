package store_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// Bounds that operators state: a change is in force applyWithin after it was acknowledged, at a
// host without a fault for contactTime.
const (
	applyWithin = 2 * time.Second
	contactTime = 3 * time.Second
)

// freezable is a client of the store whose calls can be made to hang. While it is frozen, calls in
// progress and new ones get no response, and neither do those that were in progress afterwards.
type freezable struct {
	store.Client

	mu         sync.Mutex
	failAppend bool // appends get no response
	frozen     bool
	froze      chan struct{} // closed and replaced when it freezes
}

func newFreezable(c store.Client) *freezable {
	return &freezable{Client: c, froze: make(chan struct{})}
}

func (z *freezable) setFrozen(frozen bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.frozen = frozen
	if frozen {
		z.loseCallsLocked()
	}
}

// loseCalls makes the calls in progress hang, as connections that have gone silent do.
func (z *freezable) loseCalls() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.loseCallsLocked()
}

func (z *freezable) loseCallsLocked() {
	close(z.froze)
	z.froze = make(chan struct{})
}

// call makes a call unless it hangs.
func call[T any](ctx context.Context, z *freezable, fn func() (T, error)) (T, error) {
	var zero T
	z.mu.Lock()
	froze, frozen := z.froze, z.frozen
	z.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return zero, errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		value, err := fn()
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-froze:
		<-ctx.Done()
		return zero, errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
}

func (z *freezable) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	return call(ctx, z, func() (store.Page, error) { return z.Client.Read(ctx, p, from, wait) })
}

func (z *freezable) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	return call(ctx, z, func() (store.Snapshot, error) { return z.Client.Newest(ctx, p, after) })
}

func (z *freezable) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	z.mu.Lock()
	fails := z.failAppend
	z.mu.Unlock()
	if fails {
		return 0, store.ErrUnavailable
	}
	return call(ctx, z, func() (int64, error) { return z.Client.Append(ctx, p, recs, at) })
}

// boundFixture is a host that follows a partition, with two peers.
type boundFixture struct {
	store    *sharedstore.Store
	host     *freezable
	peers    []*freezable
	failover *store.Failover
	mirror   *mirror
	follower *store.Follower
}

func newBoundFixture(ctx context.Context, cfg store.FollowerConfig) *boundFixture {
	s := sharedstore.New(1)
	fx := &boundFixture{store: s, host: newFreezable(s.ClientFor("host")), mirror: &mirror{}}
	for _, name := range []string{"peer 1", "peer 2"} {
		fx.peers = append(fx.peers, newFreezable(s.ClientFor(name)))
	}
	fx.failover = store.NewFailover(fx.host, func() []store.Peer { return []store.Peer{fx.peers[0], fx.peers[1]} })
	fx.follower = store.NewPromptFollower(fx.failover, testPartition, fx.mirror, cfg)
	s.Put(testPartition, "v", []byte("0"))
	go fx.follower.Run(ctx)
	return fx
}

// version returns the version in force.
func (fx *boundFixture) version() int {
	n, err := strconv.Atoi(values(fx.follower, fx.mirror)["v"])
	if err != nil {
		return -1
	}
	return n
}

// worstDelay writes a version each writeInterval for some time and returns the longest time for
// which an acknowledged version was not in force, observed from the time calm on.
func (fx *boundFixture) worstDelay(length, calm time.Duration) time.Duration {
	const writeInterval = 50 * time.Millisecond
	var written []time.Time
	worst := time.Duration(0)
	for began := time.Now(); time.Since(began) < length; time.Sleep(writeInterval) {
		written = append(written, time.Now())
		fx.store.Put(testPartition, "v", []byte(fmt.Sprint(len(written))))
		synctest.Wait()
		if n := fx.version(); time.Since(began) >= calm && n >= 0 && n < len(written) {
			worst = max(worst, time.Since(written[n]))
		}
	}
	return worst
}

// Guards against an older configuration that stays in force, and targets that leave and go on
// getting requests, because the read that would tell of the change hangs: at a peer, or on
// a connection that has gone silent. What holds up the peers must not matter.
func TestChangeIsAppliedInTimeWhateverHangs(t *testing.T) {
	for name, cfg := range map[string]store.FollowerConfig{
		"configuration": {NewestOnly: true, LoadAge: 1200 * time.Millisecond},
		"registry":      {Pause: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { checkChangesAreAppliedInTime(t, cfg) })
	}
}

func checkChangesAreAppliedInTime(t *testing.T, cfg store.FollowerConfig) {
	const (
		length     = 8 * time.Second
		offsetStep = 150 * time.Millisecond
	)
	slowest := time.Duration(0)
	for name, tc := range map[string]struct {
		fault func(fx *boundFixture) // of this host
		calm  time.Duration          // time from the fault until the bound holds again
	}{
		"no fault":                 {func(*boundFixture) {}, 0},
		"refused for 400 ms":       {func(fx *boundFixture) { fx.fault(sharedstore.Refuse, 400*time.Millisecond) }, 400*time.Millisecond + contactTime},
		"no response for 400 ms":   {func(fx *boundFixture) { fx.fault(sharedstore.NoResponse, 400*time.Millisecond) }, 400*time.Millisecond + contactTime},
		"refused for 3 s":          {func(fx *boundFixture) { fx.fault(sharedstore.Refuse, 3*time.Second) }, 3*time.Second + contactTime},
		"connections silent":       {func(fx *boundFixture) { fx.host.loseCalls() }, contactTime},
		"other calls fail":         {func(fx *boundFixture) { go fx.failAppends(length) }, 0},
		"silent, other calls fail": {func(fx *boundFixture) { fx.host.loseCalls(); go fx.failAppends(length) }, contactTime},
		"refused, other calls fail": {func(fx *boundFixture) {
			fx.fault(sharedstore.Refuse, 400*time.Millisecond)
			go fx.failAppends(length)
		}, 400*time.Millisecond + contactTime},
	} {
		for _, phase := range []time.Duration{1370, 2110} {
			for frozen := range 3 {
				worst, worstOffset := time.Duration(0), time.Duration(0)
				for offset := time.Duration(0); offset <= 2500*time.Millisecond; offset += offsetStep {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						fx := newBoundFixture(ctx, cfg)
						time.Sleep(phase * time.Millisecond)
						tc.fault(fx)
						time.AfterFunc(offset, func() {
							for _, p := range fx.peers[:frozen] {
								p.setFrozen(true)
							}
						})
						if d := fx.worstDelay(length, tc.calm); d > worst {
							worst, worstOffset = d, offset
						}
						cancel()
						time.Sleep(contactTime) // calls and faults of the fixture end
						synctest.Wait()
					})
				}
				slowest = max(slowest, worst)
				if worst > applyWithin {
					t.Errorf("%s after %d ms, %d peers frozen %v later: a change was not in force for %v, want %v at most", name, phase, frozen, worstOffset, worst, applyWithin)
				}
			}
		}
	}
	t.Logf("the slowest change was not in force for %v", slowest)
}

// fault sets a fault of this host's calls for some time.
func (fx *boundFixture) fault(f sharedstore.Fault, length time.Duration) {
	fx.store.SetFault("host", f)
	time.AfterFunc(length, func() { fx.store.SetFault("host", sharedstore.NoFault) })
}

// failAppends makes appends of this host that get no response, for some time.
func (fx *boundFixture) failAppends(length time.Duration) {
	fx.host.mu.Lock()
	fx.host.failAppend = true
	fx.host.mu.Unlock()
	for began := time.Now(); time.Since(began) < length; time.Sleep(700 * time.Millisecond) {
		// Only the effect on later calls matters.
		_, _ = fx.failover.Append(context.Background(), store.Partition{Topic: "jobs"}, []store.Record{{Key: "k"}}, store.AnyEnd)
	}
}

// Guards against an older configuration in force at a host that cannot fetch all versions as fast
// as they are written.
func TestReaderThatIsBehindLoadsTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := sharedstore.New(1)
		log := slowPages{s.ClientFor("host")}
		m := &mirror{}
		f := store.NewPromptFollower(store.NewFailover(log, func() []store.Peer { return nil }), testPartition, m, store.FollowerConfig{NewestOnly: true})
		fx := &boundFixture{store: s, mirror: m, follower: f}
		s.Put(testPartition, "v", []byte("0"))
		go f.Run(ctx)
		time.Sleep(time.Second)
		if worst := fx.worstDelay(10*time.Second, time.Second); worst > applyWithin {
			t.Errorf("a change was not in force for %v, want %v at most", worst, applyWithin)
		}
		cancel()
		time.Sleep(contactTime)
	})
}

// slowPages is a client whose pages hold one record, which takes 300 ms.
type slowPages struct{ store.Client }

const slowPageTime = 300 * time.Millisecond

func (l slowPages) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	page, err := l.Client.Read(ctx, p, from, wait)
	if len(page.Records) > 0 {
		page.Records = page.Records[:1]
		time.Sleep(slowPageTime)
	}
	return page, err
}

func (l slowPages) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	defer time.Sleep(slowPageTime)
	return l.Client.Newest(ctx, p, after)
}

// emptyPages is a client whose reads return before their wait is over, with the end of the partition
// and no records.
type emptyPages struct {
	store.Client
	after time.Duration
	reads *atomic.Int32
}

func (l emptyPages) Read(ctx context.Context, p store.Partition, from int64, _ time.Duration) (store.Page, error) {
	l.reads.Add(1)
	time.Sleep(l.after)
	page, err := l.Client.Read(ctx, p, from, 0)
	page.Records = nil
	return page, err
}

// Guards against a reader that stays behind because a record does not fit the size that it
// asks for, and against reads without a pause.
func TestPageWithoutTheNextRecordIsReplacedByALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := sharedstore.New(1)
		var reads atomic.Int32
		m := &mirror{}
		f := store.NewFollower(emptyPages{s.ClientFor("host"), 0, &reads}, testPartition, m, store.FollowerConfig{Wait: time.Second})
		go f.Run(ctx)
		time.Sleep(time.Second)
		s.Put(testPartition, "k", []byte("v"))
		time.Sleep(time.Second)
		if got := values(f, m)["k"]; got != "v" {
			t.Errorf("got %q, want v", got)
		}
		const maxReads = 50
		if n := reads.Load(); n > maxReads {
			t.Errorf("%d reads in 2 s, want at most %d", n, maxReads)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a state that counts as complete up to a time at which the store had not answered
// yet: a route that was added meanwhile would be refused for good.
func TestStateIsCompleteUpToTheStartOfTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := sharedstore.New(1)
		var reads atomic.Int32
		f := store.NewFollower(emptyPages{s.ClientFor("host"), 100 * time.Millisecond, &reads}, testPartition, &mirror{}, store.FollowerConfig{Wait: time.Second})
		go f.Run(ctx)
		time.Sleep(1500 * time.Millisecond)
		if asOf := f.AsOf(); asOf.After(time.Now()) {
			t.Errorf("complete up to %v from now", time.Until(asOf))
		}
		cancel()
		time.Sleep(time.Second) // the read in progress ends
		synctest.Wait()
	})
}
