// Package ratelimit enforces the rate limit of each workspace over all hosts, without a
// central counter that every request has to reach.
//
// The limit of a workspace is split into shares. Each share belongs to a shard, and one
// process at a time acts for a shard and hands out grants from a token bucket. A process
// that serves callers requests a few grants at a time and spends them within a short
// time, so that it usually holds one when a request arrives. A process that gets no reply
// falls back on a reserve share that another process grants. The sum of what all shares can
// grant, of the grants in flight and of the reserve stays within the tolerance of the limit.
package ratelimit

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is the rate limit of a workspace.
type Limit struct {
	Workspace string
	Version   int64   // version of the configuration that sets the limit
	Rate      float64 // requests per second
	Burst     float64 // requests allowed above the rate after an idle period
}

// Tolerance bounds how far a limit may be exceeded: in any Window at most
// (Rate x Window + Burst) x (1 + Excess) + Slack requests run.
type Tolerance struct {
	Window time.Duration
	Excess float64 // fraction of the limit
	Slack  float64 // requests
}

// Share is a part of a workspace's limit that one process grants.
type Share struct {
	Index   int // index among the shares of the workspace
	Shard   int
	Rate    float64 // grants per second
	Depth   float64 // maximum number of grants at once
	Reserve bool    // used only while another share has no granter or its granter does not reply
}

// Fractions of the tolerance, and bounds of a plan.
const (
	// inFlightFraction covers grants that are issued before a window and spent in it.
	inFlightFraction = 0.4
	// depthFraction covers grants that stay unspent at processes whose callers have stopped
	// sending.
	depthFraction = 0.15
	// reserveFraction covers the reserve share. The rest of the tolerance covers the first
	// grants of a process that starts to act for a shard, and requests that a frozen process
	// holds.
	reserveFraction = 0.3
	// reserveBurstFraction is the fraction of the reserve that may be granted at once.
	reserveBurstFraction = 0.5
	// minShareRate is the minimum rate of a share, in grants per second, if a limit is split
	// into more than two shares. maxShares is the maximum number of shares. With several
	// shares the loss of one process takes away only a small part of a limit, and the loss of
	// half of the processes is unlikely to take all. minSplitRate is the rate, in requests per
	// second, from which a limit has two or more shares.
	minShareRate = 5
	maxShares    = 16
	minSplitRate = 4
	// minGrantTTL and maxGrantTTL bound how long a grant may be kept before it is spent.
	minGrantTTL = 100 * time.Millisecond
	maxGrantTTL = time.Second
)

// Plan is the split of a limit into shares.
type Plan struct {
	Shares []Share // the last one is the reserve
	// GrantTTL is the lifetime of a grant, counted from the time of its request.
	GrantTTL time.Duration
}

// NewPlan splits a limit over the given number of shards. It is deterministic, so all
// processes get the same plan.
func NewPlan(l Limit, tol Tolerance, shards int) Plan {
	headroom := tol.Excess*(l.Rate*tol.Window.Seconds()+l.Burst) + tol.Slack
	ttl := time.Duration(inFlightFraction * headroom / l.Rate * float64(time.Second))
	p := Plan{GrantTTL: min(max(ttl, minGrantTTL), maxGrantTTL)}
	n := 1
	if l.Rate >= minSplitRate {
		n = min(max(int(l.Rate/minShareRate), 2), maxShares, shards)
	}
	shardOf := shardsOf(l.Workspace, n+1, shards)
	for i := range n {
		p.Shares = append(p.Shares, Share{
			Index: i, Shard: shardOf[i], Rate: l.Rate / float64(n), Depth: max((l.Burst+depthFraction*headroom)/float64(n), 1),
		})
	}
	reserve := reserveFraction * headroom
	p.Shares = append(p.Shares, Share{
		Index: n, Shard: shardOf[n], Reserve: true,
		Depth: max(reserveBurstFraction*reserve, 1), Rate: (1 - reserveBurstFraction) * reserve / (tol.Window + p.GrantTTL).Seconds(),
	})
	return p
}

// shardsOf returns the shards of a workspace's n shares, distinct ones as long as there are
// enough. They are drawn by hash: with a regular spacing the same few owners could meet again
// and again, because partitions are assigned to processes in turn.
func shardsOf(workspace string, n, shards int) []int {
	var out []int
	for try := 0; len(out) < n; try++ {
		s := int(xxhash.Sum64String(strconv.Itoa(try)+"/"+workspace) % uint64(shards))
		if len(out) >= shards || !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// Order returns the shares in the order in which a process requests grants from them. The
// first share depends on the process, which spreads the load over all shares. The reserve
// is always last.
func (p Plan) Order(self string) []Share {
	n := len(p.Shares) - 1
	first := int(xxhash.Sum64String(self) % uint64(n))
	out := make([]Share, 0, len(p.Shares))
	for i := range n {
		out = append(out, p.Shares[(first+i)%n])
	}
	return append(out, p.Shares[n])
}
