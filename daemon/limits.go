package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"pumiceford/internal/boottime"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/peers"
	"pumiceford/ratelimit"
	"pumiceford/shards"
	"pumiceford/store"
)

// shardLease is how long a process may act as owner of its shards without contact with the
// store. A store outage of up to two thirds of it has no effect on rate limits.
const shardLease = 4500 * time.Millisecond

// setUpRateLimits creates the shard manager, the granter and the limiter, which enforce the
// rate limits of workspaces. They do nothing while no workspace has a limit.
func (n *entryNode) setUpRateLimits(cfg link.Config, out logging.Logger) {
	grants := peers.NewGrantClient(cfg)
	count := n.set.Store.Partitions
	n.shards = shards.NewManager(shards.Config{
		Self: n.set.Peers, Shards: count, Lease: shardLease, Log: n.store, Partition: store.Partition{Topic: n.deps.ShardsTopic},
		Needed:  func() bool { c := n.view.Catalog(); return c != nil && c.RateLimited() },
		Watches: n.runner.HasPartition, IsActing: grants.Acts, Clock: boottime.Now, Logger: out, Metrics: n.metrics,
		Handicap: n.duties.shardHandicap,
	})
	tolerance := ratelimit.Tolerance{Window: n.set.Limits.WindowOrDefault(), Excess: n.set.Limits.Excess, Slack: n.set.Limits.Slack}
	n.granter = ratelimit.NewGranter(ratelimit.GranterConfig{Tolerance: tolerance, Shards: count, Active: n.shards.Active, Clock: boottime.Now})
	n.limiter = ratelimit.NewLimiter(ratelimit.LimiterConfig{
		Self: n.set.Peers, Tolerance: tolerance, Shards: count, Owner: n.shards.Owner, Granter: n.granter, GrantClient: grants, Clock: boottime.Now,
	})
}

// Limits is the report on keys and rate limits at one process, for operators.
type Limits struct {
	// ConfirmedSecondsAgo is the time in seconds since the configuration was last confirmed
	// to be the newest; -1 means never.
	ConfirmedSecondsAgo float64                `json:"confirmed_seconds_ago"`
	Grants              []ratelimit.ShareUsage `json:"grants"`  // issued by this process
	Demands             []ratelimit.Demand     `json:"demands"` // of the callers of this process
}

// limitsHandler serves the Limits report of an entry as JSON.
func (n *entryNode) limitsHandler(w http.ResponseWriter, _ *http.Request) {
	report := Limits{ConfirmedSecondsAgo: -1, Grants: n.granter.Usage(), Demands: n.limiter.Demands()}
	if age, ok := n.access.ConfigAge(); ok {
		report.ConfirmedSecondsAgo = age.Seconds()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // fails only when the client has disconnected
}
