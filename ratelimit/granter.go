package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// GrantRequest is a request for grants to the process that acts for the shard of a share.
type GrantRequest struct {
	Limit  Limit
	Share  int // index among the shares of the workspace
	Want   int // number of grants requested
	Unused int // earlier grants that expired unspent and are returned
}

// Outcome is the result of a grant request.
type Outcome int

// Results of a grant request.
const (
	// Granted means that the reply carries at least one grant, unless none was requested.
	Granted Outcome = iota
	// Denied means that the share has no grants left at present.
	Denied
	// NotActing means that the process does not act for the shard.
	NotActing
	// Unanswered means that no reply arrived in time.
	Unanswered
)

// GrantReply is the reply to a grant request.
type GrantReply struct {
	Outcome    Outcome
	Granted    int
	RetryAfter time.Duration // minimum wait before the next request, if Denied
}

// GranterConfig configures a Granter.
type GranterConfig struct {
	Tolerance Tolerance
	Shards    int
	// Active returns the time since which this process has been acting for a shard, and
	// false while it is not acting.
	Active func(shard int) (since time.Duration, ok bool)
	Clock  func() time.Duration // monotonic; includes the time in which the host is suspended
}

// Granter hands out grants from the shares whose shards this process acts for. It is safe
// for concurrent use.
type Granter struct {
	cfg GranterConfig

	mu        sync.Mutex
	buckets   map[shareKey]*bucket
	lastSweep time.Duration
}

type shareKey struct {
	workspace string
	share     int
}

// NewGranter returns a Granter without buckets; it creates them on first use.
func NewGranter(cfg GranterConfig) *Granter {
	return &Granter{cfg: cfg, buckets: make(map[shareKey]*bucket)}
}

// Grant answers a grant request. The lifetime of the grants starts when the requester sent
// the request. The requester ignores late replies, so grants from a process that was
// frozen meanwhile are never spent.
func (g *Granter) Grant(req GrantRequest) GrantReply {
	if req.Limit.Rate <= 0 || req.Want < 0 || req.Unused < 0 {
		return GrantReply{Outcome: NotActing}
	}
	plan := NewPlan(req.Limit, g.cfg.Tolerance, g.cfg.Shards)
	if req.Share < 0 || req.Share >= len(plan.Shares) {
		return GrantReply{Outcome: NotActing}
	}
	share := plan.Shares[req.Share]
	since, ok := g.cfg.Active(share.Shard)
	if !ok {
		return GrantReply{Outcome: NotActing}
	}
	now := g.cfg.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	b := g.bucket(shareKey{req.Limit.Workspace, req.Share}, share, req.Limit.Version, since, now)
	b.credit(req.Unused)
	granted, retryAfter := b.take(now, req.Want)
	if retryAfter > 0 {
		return GrantReply{Outcome: Denied, RetryAfter: retryAfter}
	}
	return GrantReply{Outcome: Granted, Granted: granted}
}

// bucket returns the bucket of a share and creates it if it is missing or from an earlier
// ownership term. The caller holds g.mu.
func (g *Granter) bucket(k shareKey, s Share, version int64, since, now time.Duration) *bucket {
	b := g.buckets[k]
	if b == nil || b.actingSince != since {
		b = newBucket(s, version, since, now)
		g.buckets[k] = b
	}
	b.setLimit(s, version, now)
	return b
}

// bucketIdleTimeout is how long an unused bucket is kept. By then it is full, as its
// replacement would be.
const bucketIdleTimeout = time.Minute

// sweep removes idle buckets. The caller holds g.mu.
func (g *Granter) sweep(now time.Duration) {
	if now-g.lastSweep < bucketIdleTimeout {
		return
	}
	g.lastSweep = now
	for k, b := range g.buckets {
		if now-b.updatedAt > bucketIdleTimeout {
			delete(g.buckets, k)
		}
	}
}

// ShareUsage is the state of a share that this process grants.
type ShareUsage struct {
	Workspace string  `json:"workspace"`
	Share     int     `json:"share"`
	Rate      float64 `json:"rate"`   // grants per second
	Remaining float64 `json:"left"`   // grants available now
	Denied    float64 `json:"denied"` // denied grant requests, with a half-life of one second
}

// Usage returns the state of all shares that this process grants, the most denied first.
func (g *Granter) Usage() []ShareUsage {
	now := g.cfg.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []ShareUsage{}
	for k, b := range g.buckets {
		b.fill(now)
		out = append(out, ShareUsage{Workspace: k.workspace, Share: k.share, Rate: b.rate, Remaining: b.level, Denied: b.recentDenied})
	}
	slices.SortFunc(out, func(a, b ShareUsage) int {
		return cmp.Or(cmp.Compare(b.Denied, a.Denied), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Share, b.Share))
	})
	return out
}
