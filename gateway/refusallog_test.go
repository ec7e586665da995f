package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/catalog"
	"pumiceford/explain"
	"pumiceford/fleet"
	"pumiceford/gateway"
	"pumiceford/logging"
	"pumiceford/losses"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/ratelimit"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

// lockedBuffer is a bytes.Buffer for concurrent writes.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// floodLog denies the given number of requests each second, of the given number of workspaces
// in turn, and returns the log lines.
func floodLog(t *testing.T, workspaces, perSecond int, over time.Duration) []explain.Line {
	t.Helper()
	var log lockedBuffer
	synctest.Test(t, func(t *testing.T) {
		ms := metrics.New("test")
		v := fleet.NewView(decoder{}, 1, logging.Logger{}, ms)
		gw := gateway.New(gateway.Config{
			View: v, Quarantine: quarantine.NewTracker(quarantine.Config{Prober: &fakeProber{}, Metrics: ms}), Metrics: ms,
			Log: logging.New(logging.Settings{Format: "json", Writer: &log}).WithPrefix("online"),
		})
		for s := range int(over / time.Second) {
			for n := range perSecond {
				gw.Deny(fmt.Sprint("r", s, ".", n), &ratelimit.OverLimitError{Workspace: fmt.Sprint("w", n%workspaces)})
			}
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second) // the last counts are logged
	})
	lines, err := explain.Read("log", &log)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// Guards against a flood of refusals that displaces the lines of other requests, and against
// refusals that no line accounts for.
func TestRefusalLinesAreBoundedAndComplete(t *testing.T) {
	const perSecond, seconds = 5000, 3
	for _, workspaces := range []int{1, 20, perSecond} {
		lines := floodLog(t, workspaces, perSecond, seconds*time.Second)
		if most := seconds * 205; len(lines) > most {
			t.Errorf("%d workspaces: %d lines, want at most %d", workspaces, len(lines), most)
		}
		r := losses.Find(lines)
		if got := len(r.Losses) + r.Unlisted[losses.OverLimit]; got != perSecond*seconds || len(r.Losses) == 0 {
			t.Errorf("%d workspaces: lines account for %d of %d refusals, %d with their requests", workspaces, got, perSecond*seconds, len(r.Losses))
		}
	}
}

// Guards against requests without a line of their own while there is no flood.
func TestFewRefusalsHaveLines(t *testing.T) {
	if r := losses.Find(floodLog(t, 2, 20, 3*time.Second)); len(r.Losses) != 60 || len(r.Unlisted) > 0 {
		t.Errorf("%d refusals with their requests, want 60; only counted: %v", len(r.Losses), r.Unlisted)
	}
}

// Guards against intervals that are cut short, so that a steady flood has more lines than the
// bounds allow, and against counts of the last interval that are not logged.
func TestRefusalLinesOfSteadyFloodAreBounded(t *testing.T) {
	const seconds, perSecond, maxPerReason = 10, 100, 10
	var log lockedBuffer
	synctest.Test(t, func(t *testing.T) {
		ms := metrics.New("test")
		gw := gateway.New(gateway.Config{
			View: fleet.NewView(decoder{}, 1, logging.Logger{}, ms), Quarantine: quarantine.NewTracker(quarantine.Config{Prober: &fakeProber{}, Metrics: ms}), Metrics: ms,
			Log: logging.New(logging.Settings{Format: "json", Writer: &log}).WithPrefix("online"),
		})
		for n := range seconds * perSecond {
			gw.Deny(fmt.Sprint("r", n), &ratelimit.OverLimitError{Workspace: "w"})
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(2 * time.Second) // the last counts are logged
	})
	lines, err := explain.Read("log", &log)
	if err != nil {
		t.Fatal(err)
	}
	r := losses.Find(lines)
	if most := (seconds + 1) * maxPerReason; len(r.Losses) > most {
		t.Errorf("%d refusals in %d s have lines of their own, want at most %d", len(r.Losses), seconds, most)
	}
	if got := len(r.Losses) + r.Unlisted[losses.OverLimit]; got != seconds*perSecond {
		t.Errorf("lines account for %d of %d refusals", got, seconds*perSecond)
	}
}

// versionDecoder decodes a catalog from the length of its value, which is the version.
type versionDecoder struct{ decoder }

func (versionDecoder) Catalog(value []byte) (*catalog.Catalog, error) {
	return catalog.New(int64(len(value)), catalog.Limits{}, nil, nil), nil
}

// Guards against a new configuration that waits for a flood of refusals to end. On one
// processor it may let each of the flooding callers go first a limited number of times, as
// often as reading it takes turns; the verdict counts refusals, not time.
func TestConfigurationIsInForceDuringFloodOfRefusals(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const callers, maxTurns = 200, 100
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ms := metrics.New("test")
	v := fleet.NewView(versionDecoder{}, 1, logging.Logger{}, ms)
	s := sharedstore.New(1)
	config := store.Partition{Topic: "config"}
	s.Put(config, "c", []byte("1"))
	follower := store.NewFollower(s.ClientFor("e"), config, v.CatalogSink(), store.FollowerConfig{Wait: time.Minute, Clock: func() time.Duration { return 0 }})
	go follower.Run(ctx)
	v.WaitReady(ctx, 0)
	gw := gateway.New(gateway.Config{View: v, Quarantine: quarantine.NewTracker(quarantine.Config{Prober: &fakeProber{}, Metrics: ms}), Metrics: ms})
	for v.Catalog() == nil {
		runtime.Gosched()
	}
	var refused atomic.Int64
	for range callers {
		go func() {
			for ctx.Err() == nil {
				gw.Deny("r", &ratelimit.OverLimitError{Workspace: "w"})
				refused.Add(1)
				runtime.Gosched() // as when the refusal is sent
			}
		}()
	}
	for refused.Load() < callers {
		runtime.Gosched()
	}
	before := refused.Load()
	s.Put(config, "c", []byte("22"))
	for v.Catalog().Version != 2 && refused.Load()-before <= callers*maxTurns {
		runtime.Gosched()
	}
	if got := refused.Load() - before; v.Catalog().Version != 2 || got > callers*maxTurns {
		t.Errorf("configuration %d in force after %d refusals of %d callers", v.Catalog().Version, got, callers)
	} else {
		t.Logf("in force after %d refusals of %d callers", got, callers)
	}
}
