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

// host is one process that may act for shards.
type host struct {
	name string
	*shards.Keeper
	stop  context.CancelFunc
	up    bool
	cut   bool
	ahead time.Duration // time for which it was suspended
}

// cluster is a few hosts in virtual time.
type cluster struct {
	ctx   context.Context
	store *sharedstore.Store
	began time.Time
	mu    sync.Mutex
	hosts []*host
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{ctx: ctx, store: sharedstore.New(1), began: time.Now()}
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
	h.Keeper = shards.NewKeeper(shards.Config{
		Self: h.name, Shards: shardCount, Lease: lease, Log: c.store.For(h.name), Part: store.Partition{Topic: "shards"},
		Wanted: func() bool { return true }, Watches: func(int) bool { return true },
		Acts:  func(ctx context.Context, addr string, shard int) (bool, bool) { return c.acts(ctx, h, addr, shard) },
		Clock: func() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return time.Since(c.began) + h.ahead },
		Out:   logging.Logger{}, Metrics: metrics.New(h.name),
	})
	go h.Run(ctx)
}

func (c *cluster) acts(ctx context.Context, from *host, addr string, shard int) (acts, answered bool) {
	c.mu.Lock()
	var to *shards.Keeper
	for _, h := range c.hosts {
		if h.name == addr && h.up && !h.cut && !from.cut {
			to = h.Keeper
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

func (c *cluster) setCut(h *host, cut bool) {
	c.mu.Lock()
	h.cut = cut
	c.mu.Unlock()
	fault := sharedstore.None
	if cut {
		fault = sharedstore.Silent
	}
	c.store.SetFault(h.name, fault)
}

// acting returns the hosts that act for a shard now.
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

// step is one step of a drawn history.
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

// Guards against two processes that act for a shard at the same time, whatever is killed,
// started again, cut off, suspended or stopped, and against a shard that is left alone.
func TestOneProcessActsForAShard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			failure = play(ctx, steps)
			cancel()
			time.Sleep(time.Minute) // what was given up ends
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func play(ctx context.Context, steps []step) string {
	c := newCluster(ctx)
	const start = 8 * time.Second
	time.Sleep(start)
	for n, st := range steps {
		h := c.hosts[st.Host]
		switch st.Kind {
		case 0:
			c.kill(h)
		case 1:
			c.start(h)
		case 2:
			c.setCut(h, true)
		case 3:
			c.setCut(h, false)
		case 4:
			c.mu.Lock()
			h.ahead += time.Duration(st.Ms) * time.Millisecond
			c.mu.Unlock()
		case 5:
			if h.up {
				h.Leave(ctx)
				c.kill(h)
			}
		case 7:
			c.mu.Lock()
			h.cut = true // from the other hosts alone
			c.mu.Unlock()
		case 8:
			c.store.SetFault(h.name, sharedstore.Silent) // from the store alone
		case 6:
			c.store.Forget(store.Partition{Topic: "shards"})
		}
		for range st.Ms / 100 {
			time.Sleep(100 * time.Millisecond)
			for s := range shardCount {
				if acting := c.acting(s); len(acting) > 1 {
					return fmt.Sprintf("step %d: %v act for shard %d", n, acting, s)
				}
			}
		}
	}
	for _, h := range c.hosts {
		c.setCut(h, false)
		c.start(h)
	}
	const settled = 20 * time.Second
	time.Sleep(settled)
	for s := range shardCount {
		if acting := c.acting(s); len(acting) != 1 {
			return fmt.Sprintf("%d processes act for shard %d in the end", len(acting), s)
		}
	}
	return ""
}

// Guards against a planned stop after which nobody acts for a shard for a while.
func TestAReleasedShardIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		c := newCluster(ctx)
		time.Sleep(10 * time.Second)
		for _, h := range c.hosts[:2] {
			h.Leave(ctx)
			c.kill(h)
			time.Sleep(200 * time.Millisecond)
			for s := range shardCount {
				if len(c.acting(s)) != 1 {
					t.Errorf("%v act for shard %d after %s left", c.acting(s), s, h.name)
				}
			}
		}
	})
}

// Guards against a start of all processes after which nobody acts for seconds, although
// each of them had its shards before.
func TestAStartedProcessGoesOnWithItsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		c := newCluster(ctx)
		time.Sleep(10 * time.Second)
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
				t.Errorf("%v act for shard %d", c.acting(s), s)
			}
		}
	})
}
