package shards_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/shards"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

const (
	hostCount  = 3
	shardCount = 2
	lease      = 4500 * time.Millisecond
)

// host is a simulated host with one process that may act for shards.
type host struct {
	name string
	*shards.Manager
	stop        context.CancelFunc
	up          bool
	unreachable bool          // from the other hosts
	suspended   time.Duration // total time for which the host was suspended
}

// cluster is a simulated fleet of hosts in virtual time.
type cluster struct {
	ctx     context.Context
	store   *sharedstore.Store
	started time.Time
	mu      sync.Mutex
	hosts   []*host
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{ctx: ctx, store: sharedstore.New(1), started: time.Now()}
	for n := range hostCount {
		c.hosts = append(c.hosts, &host{name: fmt.Sprint("h", n)})
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

func (c *cluster) start(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.up {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	h.stop, h.up = cancel, true
	h.Manager = shards.NewManager(shards.Config{
		Self: h.name, Shards: shardCount, Lease: lease, Log: c.store.ClientFor(h.name), Partition: store.Partition{Topic: "shards"},
		Needed: func() bool { return true }, Watches: func(int) bool { return true },
		IsActing: func(ctx context.Context, addr string, shard int) (bool, bool) { return c.acts(ctx, h, addr, shard) },
		Clock:    func() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return time.Since(c.started) + h.suspended },
		Logger:   logging.Logger{}, Metrics: metrics.New(h.name),
	})
	go h.Run(ctx)
}

// acts asks a process, on behalf of the host from, whether it acts for a shard.
func (c *cluster) acts(ctx context.Context, from *host, addr string, shard int) (acts, replied bool) {
	c.mu.Lock()
	var to *shards.Manager
	for _, h := range c.hosts {
		if h.name == addr && h.up && !h.unreachable && !from.unreachable {
			to = h.Manager
		}
	}
	c.mu.Unlock()
	if to == nil {
		<-ctx.Done()
		return false, false
	}
	_, acts = to.Active(shard)
	return acts, true
}

func (c *cluster) kill(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.stop()
	h.up = false
}

// setIsolated cuts a host off from the other hosts and from the store, or reconnects it.
func (c *cluster) setIsolated(h *host, isolated bool) {
	c.mu.Lock()
	h.unreachable = isolated
	c.mu.Unlock()
	fault := sharedstore.NoFault
	if isolated {
		fault = sharedstore.NoResponse
	}
	c.store.SetFault(h.name, fault)
}

// acting returns the names of the hosts that act for a shard at present.
func (c *cluster) acting(shard int) (out []string) {
	for _, h := range c.hosts {
		if !h.up {
			continue
		}
		if _, ok := h.Active(shard); ok {
			out = append(out, h.name)
		}
	}
	return out
}

// step is one step of a random history: a fault or a repair at a host, followed by a pause.
type step struct {
	Kind, Host, Ms int
}

func drawStep(t *rapid.T) step {
	return step{
		Kind: rapid.IntRange(0, 8).Draw(t, "kind"),
		Host: rapid.IntRange(0, hostCount-1).Draw(t, "host"),
		Ms:   rapid.IntRange(1, 15000).Draw(t, "ms"),
	}
}

// Guards against two processes that act for a shard at the same time while processes are
// killed, restarted, cut off, suspended or stopped, and against a shard that stays without
// an acting process afterwards.
func TestAtMostOneProcessActsForShard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			failure = runSteps(ctx, steps)
			cancel()
			time.Sleep(time.Minute) // lets cancelled goroutines end
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runSteps runs the steps and returns the first violation, "" for none.
func runSteps(ctx context.Context, steps []step) string {
	c := newCluster(ctx)
	const startup = 8 * time.Second
	time.Sleep(startup)
	for n, st := range steps {
		h := c.hosts[st.Host]
		switch st.Kind {
		case 0:
			c.kill(h)
		case 1:
			c.start(h)
		case 2:
			c.setIsolated(h, true)
		case 3:
			c.setIsolated(h, false)
		case 4:
			c.mu.Lock()
			h.suspended += time.Duration(st.Ms) * time.Millisecond
			c.mu.Unlock()
		case 5:
			if h.up {
				h.Leave(ctx)
				c.kill(h)
			}
		case 7:
			c.mu.Lock()
			h.unreachable = true // from the other hosts only, not from the store
			c.mu.Unlock()
		case 8:
			c.store.SetFault(h.name, sharedstore.NoResponse) // from the store only
		case 6:
			c.store.DropHistory(store.Partition{Topic: "shards"})
		}
		for range st.Ms / 100 {
			time.Sleep(100 * time.Millisecond)
			for s := range shardCount {
				if acting := c.acting(s); len(acting) > 1 {
					return fmt.Sprintf("step %d: %v act for shard %d, at most one process may", n, acting, s)
				}
			}
		}
	}
	for _, h := range c.hosts {
		c.setIsolated(h, false)
		c.start(h)
	}
	const recovery = 20 * time.Second
	time.Sleep(recovery)
	for s := range shardCount {
		if acting := c.acting(s); len(acting) != 1 {
			return fmt.Sprintf("%d processes act for shard %d after recovery, 1 expected", len(acting), s)
		}
	}
	return ""
}

// inSettledCluster calls fn in virtual time, when each shard of a new cluster has an owner that acts.
func inSettledCluster(t *testing.T, fn func(ctx context.Context, t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets cancelled goroutines end
		}()
		c := newCluster(ctx)
		time.Sleep(10 * time.Second)
		fn(ctx, t, c)
	})
}

// Guards against a planned stop that leaves a shard without an acting process for a while.
func TestReleasedShardIsTakenAtOnce(t *testing.T) {
	inSettledCluster(t, func(ctx context.Context, t *testing.T, c *cluster) {
		for _, h := range c.hosts[:2] {
			h.Leave(ctx)
			c.kill(h)
			time.Sleep(200 * time.Millisecond)
			for s := range shardCount {
				if len(c.acting(s)) != 1 {
					t.Errorf("%v act for shard %d after %s stopped, 1 process expected", c.acting(s), s, h.name)
				}
			}
		}
	})
}

// Guards against a restart of all processes after which none acts for several seconds,
// although each of them owned its shards before.
func TestRestartedProcessResumesItsShards(t *testing.T) {
	inSettledCluster(t, func(ctx context.Context, t *testing.T, c *cluster) {
		for _, h := range c.hosts {
			c.kill(h)
		}
		time.Sleep(time.Second)
		for _, h := range c.hosts {
			c.start(h)
		}
		time.Sleep(100 * time.Millisecond)
		for s := range shardCount {
			if len(c.acting(s)) != 1 {
				t.Errorf("%v act for shard %d after the restart, 1 process expected", c.acting(s), s)
			}
		}
	})
}

// Guards against shards whose owners stop acting although the store does not respond for
// less than two thirds of the lease.
func TestOwnersActThroughStoreOutage(t *testing.T) {
	const outage = 3 * time.Second
	for phase := time.Duration(0); phase < 2*time.Second; phase += 50 * time.Millisecond {
		inSettledCluster(t, func(_ context.Context, t *testing.T, c *cluster) {
			time.Sleep(phase)
			for _, h := range c.hosts {
				c.store.SetFault(h.name, sharedstore.NoResponse)
			}
			time.AfterFunc(outage, func() {
				for _, h := range c.hosts {
					c.store.SetFault(h.name, sharedstore.NoFault)
				}
			})
			for end := time.Now().Add(outage + 2*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for s := range shardCount {
					if acting := c.acting(s); len(acting) != 1 {
						t.Fatalf("outage at %s: %v act for shard %d at %s, 1 process expected", phase, acting, s, time.Until(end))
					}
				}
			}
		})
	}
}

// Guards against a weak process that takes shards as fast as the others.
func TestHandicappedProcessTakesShardsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, started := sharedstore.New(1), time.Now()
		start := func(name string, handicap int) *shards.Manager {
			m := shards.NewManager(shards.Config{
				Self: name, Shards: shardCount, Lease: lease, Log: s.ClientFor(name), Partition: store.Partition{Topic: "shards"},
				Needed: func() bool { return true }, Watches: func(int) bool { return true },
				IsActing: func(context.Context, string, int) (bool, bool) { return true, true },
				Clock:    func() time.Duration { return time.Since(started) }, Metrics: metrics.New(name),
				Handicap: func() int { return handicap },
			})
			go m.Run(ctx)
			return m
		}
		leaving := start("leaving", 0)
		time.Sleep(4 * lease)
		weak, strong := start("weak", 4), start("strong", 0)
		time.Sleep(lease)
		leaving.Leave(ctx)
		time.Sleep(lease)
		for n := range shardCount {
			if owner := strong.Owner(n); owner != "strong" || weak.Owner(n) != owner {
				t.Errorf("shard %d belongs to %q, want strong", n, owner)
			}
		}
		cancel()
		time.Sleep(time.Minute) // lets everything that still waits see the cancellation
		synctest.Wait()
	})
}
