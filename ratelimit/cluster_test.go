package ratelimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/ratelimit"
	"pumiceford/shards"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
)

var tolerance = ratelimit.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

const (
	shardCount = 48
	lease      = 4500 * time.Millisecond
	roundTrip  = 3 * time.Millisecond // between two hosts
)

// host is a simulated host. cluster.mu guards proc and isolated.
type host struct {
	c        *cluster
	name     string
	proc     *process // nil if no process runs
	isolated bool     // cut off from all other hosts and from the store
}

// process is the process of a host: it admits requests and grants them.
type process struct {
	limiter *ratelimit.Limiter
	granter *ratelimit.Granter
	shards  *shards.Manager
	stop    context.CancelFunc
}

// cluster is a simulated fleet of hosts in virtual time.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	store   *sharedstore.Store
	started time.Time
	rng     *rand.Rand

	mu            sync.Mutex
	hosts         []*host
	admitted      map[string][]time.Duration // times of admission, by workspace
	sent          map[string]int             // requests, by workspace
	overLimit     map[string]int             // requests refused as over the limit, by workspace
	noGrant       map[string]int             // requests refused for lack of a grant, by workspace
	grantRequests int                        // grant requests between hosts
	slow          int                        // requests held for more than 200 ms
	// admit admits a request; the limiter does, unless a test compares other strategies.
	admit func(h *host, p *process, l ratelimit.Limit) error
}

func (c *cluster) clock() time.Duration { return time.Since(c.started) }

// runCluster calls fn with a fleet in virtual time, 14 s after the start of its processes.
func runCluster(t *testing.T, hosts int, fn func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets cancelled goroutines end
		}()
		c := &cluster{
			t: t, ctx: ctx, store: sharedstore.New(shardCount), started: time.Now(), rng: rand.New(rand.NewPCG(1, 2)),
			admitted: make(map[string][]time.Duration), sent: make(map[string]int), overLimit: make(map[string]int), noGrant: make(map[string]int),
		}
		c.admit = func(_ *host, p *process, l ratelimit.Limit) error { return p.limiter.Admit(c.ctx, l) }
		for n := range hosts {
			c.hosts = append(c.hosts, &host{c: c, name: fmt.Sprint("h", n)})
		}
		for n, h := range c.hosts {
			h.start(n)
		}
		time.Sleep(14 * time.Second)
		fn(c)
	})
}

// running returns the process of the host, nil if none runs.
func (h *host) running() *process {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.proc
}

// start starts the process of the nth host, without any state from an earlier process.
func (h *host) start(n int) {
	c := h.c
	ctx, cancel := context.WithCancel(c.ctx)
	m := shards.NewManager(shards.Config{
		Self: h.name, Shards: shardCount, Lease: lease, Log: c.store.ClientFor(h.name), Partition: store.Partition{Topic: "shards"},
		Needed: func() bool { return true }, Watches: func(s int) bool { return s%len(c.hosts) == n || (s+1)%len(c.hosts) == n },
		IsActing: func(ctx context.Context, addr string, shard int) (bool, bool) {
			to := c.processAt(h, addr)
			if to == nil {
				<-ctx.Done()
				return false, false
			}
			time.Sleep(roundTrip)
			_, ok := to.shards.Active(shard)
			return ok, true
		},
		Clock: c.clock, Logger: logging.Logger{}, Metrics: metrics.New(h.name),
	})
	p := &process{shards: m, stop: cancel}
	p.granter = ratelimit.NewGranter(ratelimit.GranterConfig{Tolerance: tolerance, Shards: shardCount, Active: m.Active, Clock: c.clock})
	p.limiter = ratelimit.NewLimiter(ratelimit.LimiterConfig{
		Self: h.name, Tolerance: tolerance, Shards: shardCount, Owner: m.Owner, Granter: p.granter, GrantClient: h, Clock: c.clock,
	})
	go m.Run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	h.proc = p
}

// kill stops the process of the host without a planned stop.
func (h *host) kill() {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	h.proc.stop()
	h.proc = nil
}

// setIsolated cuts the host off from all other hosts and from the store, or reconnects it.
func (h *host) setIsolated(isolated bool) {
	h.c.mu.Lock()
	h.isolated = isolated
	h.c.mu.Unlock()
	fault := sharedstore.NoFault
	if isolated {
		fault = sharedstore.NoResponse
	}
	h.c.store.SetFault(h.name, fault)
}

// processAt returns the process that a host reaches at an address, nil if it reaches none.
func (c *cluster) processAt(from *host, addr string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.hosts {
		if o.name == addr && (o == from || !o.isolated && !from.isolated) {
			return o.proc
		}
	}
	return nil
}

// RequestGrants implements ratelimit.GrantClient. A request to a process that the host does
// not reach gets no reply.
func (h *host) RequestGrants(ctx context.Context, addr string, req ratelimit.GrantRequest) ratelimit.GrantReply {
	h.c.mu.Lock()
	h.c.grantRequests++
	h.c.mu.Unlock()
	to := h.c.processAt(h, addr)
	if to == nil {
		<-ctx.Done()
		return ratelimit.GrantReply{Outcome: ratelimit.Unanswered}
	}
	time.Sleep(roundTrip / 2)
	r := to.granter.Grant(req)
	time.Sleep(roundTrip / 2)
	return r
}

// send sends one request of a workspace to a host and records the result.
func (c *cluster) send(h *host, l ratelimit.Limit) {
	p := h.running()
	if p == nil {
		return
	}
	go func() {
		start := c.clock()
		err := c.admit(h, p, l)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sent[l.Workspace]++
		if c.clock()-start > 200*time.Millisecond {
			c.slow++
		}
		var over *ratelimit.OverLimitError
		switch {
		case err == nil:
			c.admitted[l.Workspace] = append(c.admitted[l.Workspace], c.clock())
		case errors.As(err, &over):
			c.overLimit[l.Workspace]++
		default:
			c.noGrant[l.Workspace]++
		}
	}()
}

// load is the request load of a workspace: rate requests per second, each to a random one
// of hosts.
type load struct {
	limit ratelimit.Limit
	rate  float64
	hosts []*host
}

// runLoads sends the requests of all loads for the time d, and waits one second for the
// results.
func (c *cluster) runLoads(d time.Duration, loads ...load) {
	const tick = 5 * time.Millisecond
	for end := c.clock() + d; c.clock() < end; time.Sleep(tick) {
		for _, l := range loads {
			for n := l.rate * tick.Seconds(); n > 0; n-- {
				if n >= 1 || c.rng.Float64() < n {
					c.send(l.hosts[c.rng.IntN(len(l.hosts))], l.limit)
				}
			}
		}
	}
	time.Sleep(time.Second)
}

// admittedCount returns the number of admitted requests of a workspace.
func (c *cluster) admittedCount(l ratelimit.Limit) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.admitted[l.Workspace])
}

// counts returns the number of requests that a workspace sent, how many of them were
// refused, and the number of grant requests between hosts.
func (c *cluster) counts(l ratelimit.Limit) (sent, refused, grantRequests float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ws := l.Workspace
	return float64(c.sent[ws]), float64(c.overLimit[ws] + c.noGrant[ws]), float64(c.grantRequests)
}

// slowCount returns the number of requests that were held for more than 200 ms.
func (c *cluster) slowCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slow
}

// checkLimits checks that no window holds more requests than the limit and its tolerance
// allow.
func (c *cluster) checkLimits(limits ...ratelimit.Limit) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range limits {
		admitted := c.admitted[l.Workspace]
		maxInWindow := (l.Rate*tolerance.Window.Seconds()+l.Burst)*(1+tolerance.Excess) + tolerance.Slack
		for from, to := 0, 0; to < len(admitted); to++ {
			for admitted[to]-admitted[from] > tolerance.Window {
				from++
			}
			if n := to - from + 1; float64(n) > maxInWindow {
				c.t.Errorf("%s: %d requests ran within %s from %s on, at most %.0f allowed", l.Workspace, n, tolerance.Window, admitted[from], maxInWindow)
				return
			}
		}
	}
}

// checkRefused checks that at most the given fraction of the requests of the workspaces was
// refused.
func (c *cluster) checkRefused(maxFraction float64, limits ...ratelimit.Limit) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, overLimit, noGrant := 0, 0, 0
	for _, l := range limits {
		sent += c.sent[l.Workspace]
		overLimit += c.overLimit[l.Workspace]
		noGrant += c.noGrant[l.Workspace]
	}
	if float64(overLimit+noGrant) > maxFraction*float64(sent) {
		c.t.Errorf("of %d requests %d were refused as over the limit and %d for lack of a grant", sent, overLimit, noGrant)
	}
}

var (
	small = ratelimit.Limit{Workspace: "small", Version: 1, Rate: 5, Burst: 5}
	large = ratelimit.Limit{Workspace: "large", Version: 1, Rate: 83, Burst: 83}
)

// Guards against refusals below the limit, whether the callers of a workspace use one host
// or are spread over all hosts.
func TestNoRefusalsBelowLimit(t *testing.T) {
	for name, hosts := range map[string]int{"one host": 1, "three hosts": 3, "all hosts": 37} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runCluster(t, 37, func(c *cluster) {
				c.runLoads(20*time.Second, load{large, 0.7 * large.Rate, c.hosts[:hosts]}, load{small, 0.5 * small.Rate, c.hosts[:hosts]})
				c.checkLimits(small, large)
				c.checkRefused(0.01, small, large)
				if slow := c.slowCount(); slow > 0 {
					t.Errorf("%d requests were held for more than 200 ms", slow)
				}
			})
		})
	}
}

// Guards against a workspace that exceeds its limit by sending many times as much, and
// against one that then gets much less than its limit.
func TestOverloadStaysWithinLimit(t *testing.T) {
	for _, factor := range []float64{3, 12, 25} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 37, func(c *cluster) {
				const span = 15 * time.Second
				c.runLoads(span, load{large, factor * large.Rate, c.hosts}, load{small, factor * small.Rate, c.hosts}, load{ratelimit.Limit{Workspace: "other", Rate: 5, Burst: 5}, 2, c.hosts})
				c.checkLimits(small, large)
				c.checkRefused(0, ratelimit.Limit{Workspace: "other"})
				for _, l := range []ratelimit.Limit{small, large} {
					if got, minimum := c.admittedCount(l), 0.85*l.Rate*span.Seconds(); float64(got) < minimum {
						t.Errorf("%s: %d requests ran, at least %.0f expected", l.Workspace, got, minimum)
					}
				}
				_, _, grantRequests := c.counts(large)
				if maximum := 8 * span.Seconds() * 37; grantRequests > maximum {
					t.Errorf("%.0f grant requests between hosts, at most %.0f expected", grantRequests, maximum)
				}
			})
		})
	}
}

// Guards against exceeded limits and against refusals below the limit while granters are
// killed, restarted, stopped or cut off, or while the store does not respond.
func TestLimitHoldsDuringFaults(t *testing.T) {
	// refusedAllowed is the fraction of requests that may be refused: those at a host that
	// reaches no granter, and those of a workspace all of whose granters are down for good.
	refusedAllowed := map[string]float64{"a third cut off": 0.25, "a third killed": 0.1}
	const refusedByDefault = 0.02
	faults := map[string]func(c *cluster){
		"half killed and restarted": func(c *cluster) {
			for n := 0; n < len(c.hosts); n += 2 {
				c.hosts[n].kill()
			}
			time.Sleep(2 * time.Second)
			for n := 0; n < len(c.hosts); n += 2 {
				c.hosts[n].start(n)
			}
		},
		"a third killed": func(c *cluster) {
			for n := 0; n < len(c.hosts); n += 3 {
				c.hosts[n].kill()
			}
		},
		"all killed and restarted": func(c *cluster) {
			for _, h := range c.hosts {
				h.kill()
			}
			time.Sleep(time.Second)
			for n, h := range c.hosts {
				h.start(n)
			}
		},
		"a third cut off": func(c *cluster) {
			for n := 0; n < len(c.hosts); n += 3 {
				c.hosts[n].setIsolated(true)
			}
			time.Sleep(9 * time.Second)
			for n := 0; n < len(c.hosts); n += 3 {
				c.hosts[n].setIsolated(false)
			}
		},
		"stopped one by one": func(c *cluster) {
			for n, h := range c.hosts[:12] {
				h.running().shards.Leave(c.ctx)
				h.kill()
				time.Sleep(500 * time.Millisecond)
				h.start(n)
			}
		},
		"store does not respond": func(c *cluster) {
			for _, h := range c.hosts {
				c.store.SetFault(h.name, sharedstore.NoResponse)
			}
			time.Sleep(3 * time.Second)
			for _, h := range c.hosts {
				c.store.SetFault(h.name, sharedstore.NoFault)
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runCluster(t, 24, func(c *cluster) {
				go func() {
					time.Sleep(4 * time.Second)
					fault(c)
				}()
				limits := []ratelimit.Limit{large}
				loads := []load{{large, 0.6 * large.Rate, c.hosts}, {small, 6 * small.Rate, c.hosts}}
				for n := range 20 {
					calm := ratelimit.Limit{Workspace: fmt.Sprint("calm", n), Rate: 5, Burst: 5}
					limits = append(limits, calm)
					loads = append(loads, load{calm, 0.7, c.hosts})
				}
				c.runLoads(20*time.Second, loads...)
				c.checkLimits(append(limits, small)...)
				c.checkRefused(max(refusedAllowed[name], refusedByDefault), limits...)
				if slow := c.slowCount(); slow > 0 {
					t.Errorf("%d requests were held for more than 200 ms", slow)
				}
			})
		})
	}
}

// Guards against a lowered limit that does not take effect, and against a raised limit that
// does not.
func TestLimitChangeTakesEffect(t *testing.T) {
	runCluster(t, 12, func(c *cluster) {
		lower := ratelimit.Limit{Workspace: "large", Version: 2, Rate: 10, Burst: 10}
		c.runLoads(10*time.Second, load{large, 3 * large.Rate, c.hosts})
		c.mu.Lock()
		c.admitted = make(map[string][]time.Duration)
		c.mu.Unlock()
		time.Sleep(tolerance.Window)
		c.runLoads(10*time.Second, load{lower, 3 * large.Rate, c.hosts})
		c.checkLimits(lower)
		raised := ratelimit.Limit{Workspace: "large", Version: 3, Rate: 83, Burst: 83}
		time.Sleep(tolerance.Window)
		before := c.admittedCount(large)
		c.runLoads(5*time.Second, load{raised, 0.7 * raised.Rate, c.hosts})
		if got := c.admittedCount(large) - before; float64(got) < 0.6*raised.Rate*5 {
			t.Errorf("only %d requests ran after the limit was raised", got)
		}
	})
}

// Guards against refusals below the limit that outlast a surge, because hosts remember for
// seconds that shares had no grants left. A workspace sends 12 times its limit for 4 s and then
// half of it.
func TestSurgeDoesNotOutlastItself(t *testing.T) {
	runCluster(t, 31, func(c *cluster) {
		c.runLoads(4*time.Second, load{large, 12 * large.Rate, c.hosts}) // and one second for the results
		c.mu.Lock()
		clear(c.sent)
		clear(c.overLimit)
		clear(c.noGrant)
		c.mu.Unlock()
		c.runLoads(4*time.Second, load{large, 0.5 * large.Rate, c.hosts})
		c.checkRefused(0.02, large)
	})
}
