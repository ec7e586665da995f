package access

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pumiceford/catalog"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

var configPartition = store.Partition{Topic: "config"}

// testHost is a host that follows a configuration with the keys of one workspace.
type testHost struct {
	store     *sharedstore.Store
	current   catalog.Current
	follower  *store.Follower
	auth      *Authenticator
	start     time.Time
	suspended atomic.Int64 // in nanoseconds
}

func (h *testHost) clock() time.Duration {
	return time.Since(h.start) + time.Duration(h.suspended.Load())
}

// Reset implements store.Sink.
func (h *testHost) Reset(recs []store.Record) { h.Apply(recs...) }

// Apply implements store.Sink.
func (h *testHost) Apply(recs ...store.Record) {
	for _, r := range recs {
		h.current.SetIfNewer(decode(r.Offset+1, string(r.Value)))
	}
}

// valuePrefix begins each value, since the store takes an empty value as a tombstone and the
// configuration is never deleted.
const valuePrefix = "keys "

// decode returns a catalog with one workspace that has one key for each letter of value.
func decode(version int64, value string) *catalog.Catalog {
	ws := catalog.Workspace{Name: "w"}
	for _, l := range strings.TrimPrefix(value, valuePrefix) {
		ws.Keys = append(ws.Keys, catalog.DigestKey(string(l)))
	}
	return catalog.New(version, catalog.Limits{}, nil, nil).WithWorkspaces([]catalog.Workspace{ws})
}

const keyLease = 5 * time.Second

// hostName is the name of the host under test.
const hostName = "h"

func newTestHost(ctx context.Context, s *sharedstore.Store) *testHost {
	h := &testHost{store: s, start: time.Now()}
	failover := store.NewFailover(s.ClientFor(hostName), func() []store.Peer { return nil })
	h.follower = store.NewFollower(failover, configPartition, h, store.FollowerConfig{Wait: 2 * time.Second, Clock: h.clock})
	h.auth = NewAuthenticator(Config{Catalog: h.current.Get, Source: h.follower, KeyLease: keyLease, Clock: h.clock})
	go h.follower.Run(ctx)
	go h.auth.KeepLease(ctx, func() {}) // a failure shows in refused requests
	return h
}

func (h *testHost) put(letters string) {
	h.store.Put(configPartition, "config", []byte(valuePrefix+letters))
}

func (h *testHost) identify(ctx context.Context, key string) error {
	_, err := h.auth.Authenticate(ctx, []string{"Bearer " + key}, false)
	return err
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, fn func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets abandoned calls return
		}()
		fn(ctx, t)
	})
}

// Guards against a key that is refused although the store has it: the configuration was read just
// before, and unknown keys cause few reads.
func TestKeyWrittenJustAfterAReadIsFound(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		h := &testHost{store: sharedstore.New(1), start: time.Now()}
		h.put("a")
		h.follower = store.NewFollower(h.store.ClientFor("h"), configPartition, h, store.FollowerConfig{Clock: h.clock})
		h.auth = NewAuthenticator(Config{Catalog: h.current.Get, Source: h.follower, KeyLease: keyLease, Clock: h.clock})
		if err := h.follower.Confirm(ctx, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(minRefreshInterval / 5)
		h.put("ab")
		time.Sleep(time.Millisecond)
		if err := h.identify(ctx, "b"); err != nil {
			t.Fatalf("key of the newest configuration: %v", err)
		}
	})
}

// Guards against a key that is refused because it belongs to a version that this host has not
// read yet, and against a key that is refused for ever because it was used before it existed.
func TestNewKeyIsReadFromStore(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		h := &testHost{store: sharedstore.New(1), start: time.Now()}
		h.put("a")
		h.follower = store.NewFollower(h.store.ClientFor("h"), configPartition, h, store.FollowerConfig{Clock: h.clock})
		h.auth = NewAuthenticator(Config{Catalog: h.current.Get, Source: h.follower, KeyLease: keyLease, Clock: h.clock})
		if err := h.identify(ctx, "a"); !errors.Is(err, ErrNotReady) {
			t.Fatalf("without a configuration: %v", err)
		}
		if err := h.follower.Confirm(ctx, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(minRefreshInterval + time.Millisecond)
		h.put("ab") // nothing follows the store: only a refresh can find the key
		if err := h.identify(ctx, "b"); err != nil {
			t.Errorf("new key: %v", err)
		}
		if err := h.identify(ctx, "c"); !errors.Is(err, ErrUnknownKey) {
			t.Errorf("unknown key: %v", err)
		}
		h.put("abc")
		time.Sleep(unknownKeyTTL + time.Millisecond)
		if err := h.identify(ctx, "c"); err != nil {
			t.Errorf("key added later: %v", err)
		}
	})
}

// Guards against limits of one version that are taken for those of the next, which a granter
// would then apply. The version must be that of the catalog which the workspace was read from.
func TestIdentityHasVersionOfItsCatalog(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		h := &testHost{store: sharedstore.New(1), start: time.Now()}
		h.put("a")
		h.follower = store.NewFollower(h.store.ClientFor(hostName), configPartition, h, store.FollowerConfig{Clock: h.clock})
		h.auth = NewAuthenticator(Config{Catalog: h.current.Get, Source: h.follower, KeyLease: keyLease, Clock: h.clock})
		if err := h.follower.Confirm(ctx, 0); err != nil {
			t.Fatal(err)
		}
		before := h.current.Get()
		id, err := h.auth.Authenticate(ctx, []string{"Bearer a"}, false)
		if err != nil {
			t.Fatal(err)
		}
		h.put("ab")
		time.Sleep(time.Millisecond)
		if err := h.follower.Confirm(ctx, 0); err != nil {
			t.Fatal(err)
		}
		if id.Version != before.Version || id.Version == h.current.Get().Version {
			t.Errorf("got version %d, want %d", id.Version, before.Version)
		}
	})
}

// Guards against a flood of unknown keys that causes a call to the store for each.
func TestUnknownKeysCauseFewStoreCalls(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		h := newTestHost(ctx, s)
		h.put("a")
		synctest.Wait()
		before := s.CallCount()
		const seconds, perSecond = 5, 400
		var all sync.WaitGroup
		for n := range seconds * perSecond {
			all.Go(func() {
				if err := h.identify(ctx, fmt.Sprint("wrong", n)); !errors.Is(err, ErrUnknownKey) {
					t.Errorf("unknown key: %v", err)
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		all.Wait()
		maxCalls := int(seconds*time.Second/minRefreshInterval) + seconds*5 // plus the calls of the follower and of KeepLease
		if got := s.CallCount() - before; got > maxCalls {
			t.Errorf("got %d calls to the store for %d unknown keys", got, seconds*perSecond)
		}
		before = s.CallCount()
		for range perSecond {
			_ = h.identify(ctx, "same") // only the calls to the store are checked
		}
		if got := s.CallCount() - before; got > 1 {
			t.Errorf("got %d calls to the store for one unknown key", got)
		}
	})
}

// Guards against requests that each wait for a store that is known to be unavailable instead of
// being refused at once.
func TestStaleHostRefusesAtOnce(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		h := newTestHost(ctx, s)
		h.put("a")
		synctest.Wait()
		s.SetFault(hostName, sharedstore.NoResponse)
		time.Sleep(keyLease)
		const requests = 100
		started := time.Now()
		for range requests {
			var stale *StaleError
			if err := h.identify(ctx, "a"); !errors.As(err, &stale) || stale.RetryAfter() <= 0 {
				t.Fatalf("got %v", err)
			}
		}
		if took := time.Since(started); took > 2*refreshTimeout {
			t.Errorf("%d refusals took %s", requests, took)
		}
		if _, err := h.auth.Authenticate(ctx, nil, true); err != nil {
			t.Errorf("public route: %v", err)
		}
	})
}

// Guards against a lease that outlasts its time because the host's clock stops during
// suspension.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		h := newTestHost(ctx, s)
		h.put("a")
		synctest.Wait()
		s.SetFault(hostName, sharedstore.NoResponse)
		h.suspended.Add(int64(keyLease))
		var stale *StaleError
		if err := h.identify(ctx, "a"); !errors.As(err, &stale) {
			t.Errorf("got %v", err)
		}
	})
}

// step is one step of a generated history of a host.
type step struct {
	Kind, Ms int
	Keys     string
}

func drawStep(t *rapid.T) step {
	return step{
		Kind: rapid.IntRange(0, 9).Draw(t, "kind"),
		Ms:   rapid.IntRange(1, 3000).Draw(t, "ms"),
		Keys: rapid.StringMatching("[ab]?").Draw(t, "keys"),
	}
}

// Guards against a revoked key that is accepted after the bound, under any mix of an
// unresponsive or refusing store, a trimmed log and a suspended host, and against a healthy
// host that refuses a valid key.
func TestNoKeyOutlivesItsRevocation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			failure = runSteps(ctx, steps)
			cancel()
			time.Sleep(time.Minute) // lets abandoned calls return
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against revoked keys that are accepted again once the store has trimmed the records
// that revoked all of them.
func TestTrimmedLogRestoresNoRevokedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		failure := runSteps(ctx, []step{{Kind: 0, Ms: 1}, {Kind: 0, Ms: 1}, {Kind: 5, Ms: 791}, {Kind: 9, Ms: 2808}, {Kind: 4, Ms: 2221}, {Kind: 7, Ms: 3000}})
		cancel()
		time.Sleep(time.Minute) // lets abandoned calls return
		if failure != "" {
			t.Error(failure)
		}
	})
}

// runSteps runs a history and returns a description of the first failure, or "".
func runSteps(ctx context.Context, steps []step) string {
	s := sharedstore.New(1)
	h := newTestHost(ctx, s)
	h.put("ab")
	time.Sleep(time.Second)
	keys, changedAt := "ab", map[string]time.Duration{"a": h.clock(), "b": h.clock()}
	healthySince := h.clock()
	for n, st := range steps {
		switch st.Kind {
		case 0, 1:
			h.put(st.Keys)
			for _, k := range []string{"a", "b"} {
				if contains(keys, k) != contains(st.Keys, k) {
					changedAt[k] = h.clock()
				}
			}
			keys = st.Keys
		case 2:
			s.SetFault(hostName, sharedstore.NoResponse)
			healthySince = -1
		case 3:
			s.SetFault(hostName, sharedstore.Refuse)
			healthySince = -1
		case 4:
			s.SetFault(hostName, sharedstore.NoFault)
			healthySince = h.clock()
		case 5:
			s.DropHistory(configPartition)
		case 6:
			h.suspended.Add(int64(st.Ms) * int64(time.Millisecond))
		default:
			time.Sleep(time.Duration(st.Ms) * time.Millisecond)
		}
		for _, k := range []string{"a", "b"} {
			sent := h.clock()
			err := h.identify(ctx, k)
			valid := contains(keys, k)
			if err == nil && !valid && sent-changedAt[k] > keyLease {
				return fmt.Sprintf("step %d: revoked key %s is accepted %s after its revocation", n, k, sent-changedAt[k])
			}
			const settleTime = 2 * time.Second
			if err != nil && valid && healthySince >= 0 && sent-healthySince > settleTime && sent-changedAt[k] > settleTime {
				return fmt.Sprintf("step %d: valid key %s is refused by a healthy host: %v", n, k, err)
			}
		}
	}
	return ""
}

func contains(keys, k string) bool {
	for _, c := range keys {
		if string(c) == k {
			return true
		}
	}
	return false
}

// BenchmarkKnownKey measures the check of a known key, whose time and allocations are added to
// each request.
func BenchmarkKnownKey(b *testing.B) {
	h := &testHost{store: sharedstore.New(1), start: time.Now()}
	const keys = 10_000
	var all []catalog.Workspace
	for n := range keys {
		all = append(all, catalog.Workspace{Name: fmt.Sprint("w", n), Keys: []catalog.KeyDigest{catalog.DigestKey(fmt.Sprint("key-", n))}})
	}
	h.current.SetIfNewer(catalog.New(1, catalog.Limits{}, nil, nil).WithWorkspaces(all))
	h.follower = store.NewFollower(h.store.ClientFor("h"), configPartition, h, store.FollowerConfig{Clock: h.clock})
	if err := h.follower.Confirm(b.Context(), 0); err != nil {
		b.Fatal(err)
	}
	h.auth = NewAuthenticator(Config{Catalog: h.current.Get, Source: h.follower, KeyLease: time.Hour, Clock: h.clock})
	credentials := []string{"Bearer key-77"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.auth.Authenticate(b.Context(), credentials, false); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against callers that are refused although the store does not respond for less than
// the time in which they are owed a response.
func TestKeysAreAcceptedThroughStoreOutage(t *testing.T) {
	const outage = 3 * time.Second // 0.6 of keyLease
	for phase := time.Duration(0); phase < 2*time.Second; phase += 50 * time.Millisecond {
		inVirtualTime(t, func(ctx context.Context, t *testing.T) {
			s := sharedstore.New(1)
			h := newTestHost(ctx, s)
			h.put("a")
			time.Sleep(10*time.Second + phase)
			s.SetFault(hostName, sharedstore.NoResponse)
			time.AfterFunc(outage, func() { s.SetFault(hostName, sharedstore.NoFault) })
			for since := time.Now(); time.Since(since) < outage+2*time.Second; time.Sleep(20 * time.Millisecond) {
				if err := h.identify(ctx, "a"); err != nil {
					t.Fatalf("outage at %s: refused after %s: %v", phase, time.Since(since), err)
				}
			}
		})
	}
}
