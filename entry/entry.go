// Package entry implements the process on an entry host. It accepts callers'
// requests, routes online requests to agents, owns a part of the batch partitions
// and serves the operators' interface.
package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pumiceford/config"
	"pumiceford/connguard"
	"pumiceford/infra"
	"pumiceford/internal/defaults"
	"pumiceford/internal/wait"
	"pumiceford/ledger"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/online"
	"pumiceford/oplog"
	"pumiceford/routing"
	"pumiceford/wire"
)

// Config holds the dependencies and settings of an entry.
type Config struct {
	Name        string
	DataCentre  string
	Incarnation oplog.Incarnation
	Log         infra.Log
	HostList    infra.HostList
	Link        link.Config // Dial, TLS and timings; New sets the other fields
	Ledger      ledger.Config
	Routing     routing.Settings
	Bootstrap   config.Operator

	// HostListInterval is the time between reads of the host list, default 2 s.
	HostListInterval time.Duration
	// ReattachTimeout is how long the entry tries to reconnect to an agent that
	// holds a non-idempotent request, default 3 s.
	ReattachTimeout time.Duration
	// ResumeTimeout is the same for an idempotent request, which can continue at
	// another agent, default 500 ms.
	ResumeTimeout time.Duration
	// MaxAgents is the maximum number of agents that the entry connects to,
	// default 64.
	MaxAgents int

	// CallerGuard and OperatorGuard bound what the clients of the two interfaces hold; nil sets no
	// bound.
	CallerGuard, OperatorGuard *connguard.Guard

	Logger  logging.Logger
	Metrics *metrics.Set
}

// Default values of Config fields.
const (
	defaultHostListInterval = 2 * time.Second
	defaultReattachTimeout  = 3 * time.Second
	defaultResumeTimeout    = 500 * time.Millisecond
	defaultMaxAgents        = 64
)

// Entry is the server that runs on an entry host. Lock order: Entry.mu is acquired
// last, and no other lock is acquired while it is held.
type Entry struct {
	cfg         Config
	log         logging.Logger
	follower    *config.Follower
	manager     *ledger.Manager
	retryBudget *online.RetryBudget
	events      *eventLog

	mu             sync.Mutex
	router         *routing.Router
	agents         map[string]*node // by host name
	entries        map[string]*node
	limits         map[string]*limiter
	draining       bool
	inFlight       int
	offsets        map[string]uint64 // last reported config offset by node name
	hosts          []infra.Host      // last host list read
	servingEntries int               // entries that are not draining, including this one; at least 1
	agentDraining  map[string]bool   // whether each agent reports that it is draining
}

// node is another process, an agent or an entry, that this entry connects to.
type node struct {
	host   infra.Host
	peer   *link.Peer
	cancel context.CancelFunc
	ctx    context.Context
}

// limiter is this entry's share of one workspace's rate limit.
type limiter struct {
	perSecond float64
	bucket    *rate.Limiter
}

// New returns an Entry with cfg and its defaults. The caller starts it with Run.
func New(cfg Config) *Entry {
	defaults.Set(&cfg.HostListInterval, defaultHostListInterval)
	defaults.Set(&cfg.ReattachTimeout, defaultReattachTimeout)
	defaults.Set(&cfg.ResumeTimeout, defaultResumeTimeout)
	defaults.Set(&cfg.MaxAgents, defaultMaxAgents)
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New(cfg.Name)
	}
	cfg.Routing.DataCentre = cfg.DataCentre
	e := &Entry{
		cfg:           cfg,
		log:           cfg.Logger.WithPrefix("entry"),
		retryBudget:   online.NewRetryBudget(),
		events:        newEventLog(),
		router:        routing.New(cfg.Routing),
		agents:        make(map[string]*node),
		entries:       make(map[string]*node),
		limits:        make(map[string]*limiter),
		offsets:       make(map[string]uint64),
		agentDraining: make(map[string]bool),
	}
	e.follower = config.NewFollower(cfg.Log, cfg.Incarnation, cfg.Bootstrap, cfg.Logger)
	e.follower.SetFetch(e.fetchConfig)
	e.cfg.Ledger.Node = cfg.Name
	e.cfg.Ledger.Log = cfg.Log
	e.cfg.Ledger.Share = e.share
	e.cfg.Ledger.Logger = cfg.Logger
	e.cfg.Ledger.Metrics = cfg.Metrics
	e.manager = ledger.NewManager(e.cfg.Ledger, e.feedAgents)
	e.cfg.Link.Node = cfg.Name
	e.cfg.Link.Incarnation = cfg.Incarnation
	e.cfg.Link.Status = e.status
	e.cfg.Link.OnStatus = e.handlePeerStatus
	e.cfg.Link.OnDisconnect = e.handlePeerLost
	e.cfg.Link.Handle = e.handleCall
	return e
}

// Run serves connections of peers on ln and runs the entry's background work until
// ctx ends.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	go e.follower.Run(ctx)
	go e.pollHosts(ctx)
	go e.manager.Run(ctx)
	go e.writeConfigSnapshots(ctx)
	return link.Serve(ctx, ln, e.cfg.Link)
}

// Ready reports whether the load balancer should send requests to the entry.
func (e *Entry) Ready() bool {
	if !e.follower.Synced() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining
}

// Leave drains the entry: it reports not ready, waits until the requests in
// flight have finished and hands its partitions over. It returns the number of
// requests still in flight when ctx ended. balancerDelay is the time until the
// load balancer stops sending requests to an entry that is not ready; during it
// the entry still accepts requests.
func (e *Entry) Leave(ctx context.Context, balancerDelay time.Duration) int {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	_ = wait.For(ctx, balancerDelay)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for e.inFlightRequests() > 0 && ctx.Err() == nil {
		<-tick.C
	}
	unfinished := e.inFlightRequests()
	e.manager.Leave(ctx)
	return unfinished
}

func (e *Entry) inFlightRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// beginRequest counts a request as in flight. The returned function ends it.
func (e *Entry) beginRequest() func() {
	e.mu.Lock()
	e.inFlight++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.inFlight--
		e.mu.Unlock()
	}
}

func (e *Entry) share(workspace string) float64 {
	share := 0.0
	e.follower.View(func(s *config.State) {
		if ws, ok := s.Workspace(workspace); ok {
			share = ws.Share
		}
	})
	return max(share, minShare)
}

// minShare is the weight of a workspace without a share. Such a workspace gets
// only the capacity that the others do not use.
const minShare = 0.001

func (e *Entry) status() *wire.NodeStatus {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	return &wire.NodeStatus{
		Node:         e.cfg.Name,
		DataCentre:   e.cfg.DataCentre,
		Incarnation:  e.cfg.Incarnation[:],
		Leaving:      draining,
		ConfigOffset: e.follower.Offset(),
	}
}

// agentByAddr returns the name of the agent at addr, or "" if there is none.
// Entry.mu must be held.
func (e *Entry) agentByAddr(addr string) string {
	for name, n := range e.agents {
		if n.host.Addr == addr {
			return name
		}
	}
	return ""
}

// handlePeerLost marks the agent at addr as unreachable in the router.
func (e *Entry) handlePeerLost(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.MarkUnreachable(e.agentByAddr(addr))
}

// handlePeerStatus records the status that a peer reported in a heartbeat. A nil status
// means that nothing has changed; it only renews the agent's last report.
func (e *Entry) handlePeerStatus(addr string, st *wire.NodeStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if st == nil {
		e.router.RenewReport(time.Now(), e.agentByAddr(addr))
		return
	}
	e.offsets[st.GetNode()] = st.GetConfigOffset()
	if e.agents[st.GetNode()] == nil {
		return
	}
	e.agentDraining[st.GetNode()] = st.GetLeaving()
	e.router.UpdateReport(time.Now(), st.GetNode(), routing.Report{
		Incarnation: string(st.GetIncarnation()),
		DataCentre:  st.GetDataCentre(),
		Models:      st.GetModels(),
		Services:    st.GetServices(),
		Seats:       int(st.GetSeats()),
		Running:     int(st.GetOnlineRunning()),
		Queued:      int(st.GetOnlineQueued()),
		Leaving:     st.GetLeaving(),
	})
}

// handleCall serves a stream that another node opened to this entry.
func (e *Entry) handleCall(ctx context.Context, _ link.Class, call *wire.Call, st *link.Stream) {
	switch k := call.GetKind().(type) {
	case *wire.Call_ConfigFetch:
		// Errors are ignored: a node that did not receive the records repeats the call.
		_ = st.Send(e.follower.Records(k.ConfigFetch.GetFrom()))
	case *wire.Call_Peer:
		_ = st.Send(e.servePeer(ctx, k.Peer))
	}
}

// allowRequest reports whether the rate limit of a workspace admits one more
// request, and counts it. Each serving entry applies an equal share of the limit,
// because the load balancer spreads requests evenly.
func (e *Entry) allowRequest(ws config.Workspace) bool {
	if ws.Limit <= 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	perSecond := ws.Limit / float64(max(e.servingEntries, 1))
	l := e.limits[ws.Name]
	if l == nil || l.perSecond != perSecond {
		l = &limiter{perSecond: perSecond, bucket: rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)}
		e.limits[ws.Name] = l
	}
	return l.bucket.Allow()
}

// HashKey returns the hex SHA-256 of a key. The configuration stores keys only in
// this form.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// maxSnapshotLagRecords is the number of config records after the last snapshot
// that triggers the next one.
const maxSnapshotLagRecords = 500

// writeConfigSnapshots writes a snapshot of the configuration whenever enough
// records have been added. Only the proposed owner of partition 0 does so, so that not
// every entry writes the same snapshot.
func (e *Entry) writeConfigSnapshots(ctx context.Context) {
	var written uint64
	tick := time.NewTicker(5 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		offset := e.follower.Offset()
		if offset < written+maxSnapshotLagRecords || e.manager.Proposed(0) != e.cfg.Name {
			continue
		}
		if err := e.follower.WriteSnapshot(ctx); err != nil {
			e.log.Warn("config snapshot not written", logging.F("error", err.Error()))
			continue
		}
		written = e.follower.Offset()
	}
}
