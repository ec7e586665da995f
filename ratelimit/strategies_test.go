package ratelimit_test

import (
	"sync"
	"testing"
	"time"

	"pumiceford/ratelimit"
)

// strategy is a way to enforce a limit over all hosts. setUp replaces the admission of a
// cluster.
type strategy struct {
	name  string
	setUp func(c *cluster)
}

// tokenBucket is the token bucket of a strategy under comparison.
type tokenBucket struct {
	level     float64
	updatedAt time.Duration
}

func (b *tokenBucket) take(now time.Duration, rate, depth float64) bool {
	b.level = min(depth, b.level+rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// strategies are the strategies under comparison. The first one is that of the limiter.
var strategies = []strategy{
	{"shares of shards", func(*cluster) {}},
	{"fixed shares", fixedShares},
	{"gossiped counts", gossipedCounts},
	{"one owner, asked every time", singleOwner},
}

// fixedShares gives each host an equal part of a limit.
func fixedShares(c *cluster) {
	var mu sync.Mutex
	buckets := make(map[string]*tokenBucket)
	c.admit = func(h *host, _ *process, l ratelimit.Limit) error {
		mu.Lock()
		defer mu.Unlock()
		k := h.name + l.Workspace
		if buckets[k] == nil {
			buckets[k] = &tokenBucket{level: 1, updatedAt: c.clock()}
		}
		n := float64(len(c.hosts))
		if !buckets[k].take(c.clock(), l.Rate/n, max(l.Burst/n, 1)) {
			return &ratelimit.OverLimitError{Workspace: l.Workspace}
		}
		return nil
	}
}

// gossipedCounts lets each host count its own requests and report them to all others four
// times per second.
func gossipedCounts(c *cluster) {
	const interval = 250 * time.Millisecond
	type count map[string][]time.Duration // times of recent admissions, by workspace
	var mu sync.Mutex
	own, received := make(map[string]count), make(map[string]map[string]count)
	for _, h := range c.hosts {
		own[h.name], received[h.name] = make(count), make(map[string]count)
	}
	go func() {
		for c.ctx.Err() == nil {
			time.Sleep(interval)
			for _, from := range c.hosts {
				for _, to := range c.hosts {
					if from == to || c.processAt(from, to.name) == nil {
						continue
					}
					mu.Lock()
					reported := make(count)
					for ws, at := range own[from.name] {
						reported[ws] = append([]time.Duration(nil), at...)
					}
					received[to.name][from.name] = reported
					mu.Unlock()
					c.mu.Lock()
					c.grantRequests++
					c.mu.Unlock()
				}
			}
		}
	}()
	c.admit = func(h *host, _ *process, l ratelimit.Limit) error {
		mu.Lock()
		defer mu.Unlock()
		now := c.clock()
		n := 0
		recent := func(at []time.Duration) {
			for _, t := range at {
				if now-t < tolerance.Window {
					n++
				}
			}
		}
		recent(own[h.name][l.Workspace])
		for _, reported := range received[h.name] {
			recent(reported[l.Workspace])
		}
		if float64(n) >= l.Rate*tolerance.Window.Seconds()+l.Burst {
			return &ratelimit.OverLimitError{Workspace: l.Workspace}
		}
		own[h.name][l.Workspace] = append(own[h.name][l.Workspace], now)
		return nil
	}
}

// singleOwner lets one host per workspace count all of its requests, without failover.
func singleOwner(c *cluster) {
	var mu sync.Mutex
	buckets := make(map[string]*tokenBucket)
	c.admit = func(h *host, _ *process, l ratelimit.Limit) error {
		owner := c.hosts[len(l.Workspace)%len(c.hosts)]
		c.mu.Lock()
		c.grantRequests++
		c.mu.Unlock()
		if c.processAt(h, owner.name) == nil {
			time.Sleep(80 * time.Millisecond)
			return &ratelimit.NoGrantError{Workspace: l.Workspace, Unanswered: 1}
		}
		time.Sleep(roundTrip)
		mu.Lock()
		defer mu.Unlock()
		if buckets[l.Workspace] == nil {
			buckets[l.Workspace] = &tokenBucket{level: l.Burst, updatedAt: c.clock()}
		}
		if !buckets[l.Workspace].take(c.clock(), l.Rate, l.Burst) {
			return &ratelimit.OverLimitError{Workspace: l.Workspace}
		}
		return nil
	}
}

// maxWindowUse returns the largest number of requests that ran in a window, as a fraction of
// what may run in one.
func (c *cluster) maxWindowUse(l ratelimit.Limit) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	admitted := c.admitted[l.Workspace]
	maxInWindow := (l.Rate*tolerance.Window.Seconds()+l.Burst)*(1+tolerance.Excess) + tolerance.Slack
	maxUse := 0.0
	for from, to := 0, 0; to < len(admitted); to++ {
		for admitted[to]-admitted[from] > tolerance.Window {
			from++
		}
		maxUse = max(maxUse, float64(to-from+1)/maxInWindow)
	}
	return maxUse
}

// Compares the strategies under loads that tell them apart. The strategy of the limiter must
// refuse almost nothing below a limit and must not exceed it; the others are not checked.
func TestCompareStrategies(t *testing.T) {
	loads := []struct {
		name  string
		run   func(c *cluster)
		below bool // the workspace stays below its limit
	}{
		{"below the limit, all at one host", func(c *cluster) {
			c.runLoads(10*time.Second, load{large, 0.7 * large.Rate, c.hosts[:1]})
		}, true},
		{"below the limit, at all hosts", func(c *cluster) {
			c.runLoads(10*time.Second, load{large, 0.7 * large.Rate, c.hosts})
		}, true},
		{"12 times the limit", func(c *cluster) {
			c.runLoads(10*time.Second, load{large, 12 * large.Rate, c.hosts})
		}, false},
		{"12 times the limit, hosts isolated", func(c *cluster) {
			for _, h := range c.hosts {
				h.setIsolated(true)
			}
			c.runLoads(10*time.Second, load{large, 12 * large.Rate, c.hosts})
		}, false},
		{"below the limit, a granting host killed", func(c *cluster) {
			c.hosts[len(large.Workspace)].kill()
			c.runLoads(10*time.Second, load{large, 0.5 * large.Rate, c.hosts})
		}, true},
	}
	for _, l := range loads {
		for i, candidate := range strategies {
			runCluster(t, 24, func(c *cluster) {
				candidate.setUp(c)
				c.mu.Lock()
				c.grantRequests = 0
				c.mu.Unlock()
				l.run(c)
				sent, refused, grantRequests := c.counts(large)
				refused /= sent
				maxUse := c.maxWindowUse(large)
				t.Logf("%-40s %-28s refused %5.1f %%, fullest window %4.2f of what may run, %5.2f messages per request", l.name, candidate.name, 100*refused, maxUse, grantRequests/sent)
				if i > 0 {
					return
				}
				if maxUse > 1 || l.below && refused > 0.03 {
					t.Errorf("%s: %.3f refused, fullest window %.2f", l.name, refused, maxUse)
				}
			})
		}
	}
}
