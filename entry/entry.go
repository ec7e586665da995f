// Package entry is the process on an entry host: it takes callers' requests,
// routes online requests to agents, runs its part of the batch partitions, and
// serves operators.
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

// Config says what an entry is made of.
type Config struct {
	Name        string
	DataCentre  string
	Incarnation oplog.Incarnation
	Log         infra.Log
	HostList    infra.HostList
	Link        link.Config // Dial, TLS and timings; the rest is set here
	Ledger      ledger.Config
	Routing     routing.Settings
	Bootstrap   config.Operator

	// HostListInterval is the interval at which the host list is read, default 2 s.
	HostListInterval time.Duration
	// ReattachTimeout is how long an entry tries to reach an agent that holds a
	// non-idempotent request, default 3 s.
	ReattachTimeout time.Duration
	// ResumeTimeout is the same for an idempotent request, which may go on at
	// another agent, default 500 ms.
	ResumeTimeout time.Duration
	// MaxAgents bounds the agents that one entry talks to, default 64.
	MaxAgents int

	Logger  logging.Logger
	Metrics *metrics.Set
}

// Defaults of Config.
const (
	defaultHostListInterval = 2 * time.Second
	defaultReattachTimeout  = 3 * time.Second
	defaultResumeTimeout    = 500 * time.Millisecond
	defaultMaxAgents        = 64
)

// Entry is one entry. Lock order: Entry.mu is taken last and nothing else is
// taken under it.
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
	leaving        bool
	inFlight       int
	offsets        map[string]uint64 // node -> config offset it reported
	hosts          []infra.Host      // the last host list
	servingEntries int               // live entries, this one included
	agentLeaving   map[string]bool   // agents that say so themselves
}

// node is another process that this entry talks to.
type node struct {
	host   infra.Host
	peer   *link.Peer
	cancel context.CancelFunc
	ctx    context.Context
}

type limiter struct {
	perSecond float64
	bucket    *rate.Limiter
}

// New returns an Entry. Run starts it.
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
		cfg:          cfg,
		log:          cfg.Logger.Part("entry"),
		retryBudget:  online.NewRetryBudget(),
		events:       newEventLog(),
		router:       routing.New(cfg.Routing),
		agents:       make(map[string]*node),
		entries:      make(map[string]*node),
		limits:       make(map[string]*limiter),
		offsets:      make(map[string]uint64),
		agentLeaving: make(map[string]bool),
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
	e.cfg.Link.OnLost = e.handlePeerLost
	e.cfg.Link.Handle = e.handleCall
	return e
}

// Run serves peers on ln and keeps the entry's state until ctx ends.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	go e.follower.Run(ctx)
	go e.pollHosts(ctx)
	go e.manager.Run(ctx)
	go e.writeConfigSnapshots(ctx)
	return link.Serve(ctx, ln, e.cfg.Link)
}

// Ready reports whether the entry should get requests from the balancer.
func (e *Entry) Ready() bool {
	if !e.follower.Synced() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaving
}

// Leave stops new requests, waits until those in progress have finished, hands
// its partitions over, and returns how many requests the end of ctx cut off.
// balancer is the time in which the balancer sees that the entry is not ready
// any more; until it has passed requests are still taken.
func (e *Entry) Leave(ctx context.Context, balancer time.Duration) int {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	_ = wait.For(ctx, balancer)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for e.inFlightRequests() > 0 && ctx.Err() == nil {
		<-tick.C
	}
	cut := e.inFlightRequests()
	e.manager.Leave(ctx)
	return cut
}

func (e *Entry) inFlightRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// beginRequest counts a request in progress. The returned function ends it.
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

// minShare is the weight of a workspace without a share. It gets what the
// others leave.
const minShare = 0.001

func (e *Entry) status() *wire.NodeStatus {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	return &wire.NodeStatus{
		Node:         e.cfg.Name,
		DataCentre:   e.cfg.DataCentre,
		Incarnation:  e.cfg.Incarnation[:],
		Leaving:      leaving,
		ConfigOffset: e.follower.Offset(),
	}
}

// agentByAddr returns the name of the agent at an address. Entry.mu must be held.
func (e *Entry) agentByAddr(addr string) string {
	for name, n := range e.agents {
		if n.host.Addr == addr {
			return name
		}
	}
	return ""
}

// handlePeerLost takes an agent out of routing that cannot be reached.
func (e *Entry) handlePeerLost(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.Lost(e.agentByAddr(addr))
}

// handlePeerStatus takes what a peer said of itself on a heartbeat.
func (e *Entry) handlePeerStatus(addr string, st *wire.NodeStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if st == nil {
		e.router.Alive(time.Now(), e.agentByAddr(addr))
		return
	}
	e.offsets[st.GetNode()] = st.GetConfigOffset()
	if e.agents[st.GetNode()] == nil {
		return
	}
	e.agentLeaving[st.GetNode()] = st.GetLeaving()
	e.router.Note(time.Now(), st.GetNode(), routing.Report{
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

// handleCall serves streams that other nodes open to this entry.
func (e *Entry) handleCall(ctx context.Context, _ link.Class, call *wire.Call, st *link.Stream) {
	switch k := call.GetKind().(type) {
	case *wire.Call_ConfigFetch:
		// A reader that is gone asks again.
		_ = st.Send(e.follower.Records(k.ConfigFetch.GetFrom()))
	case *wire.Call_Peer:
		_ = st.Send(e.servePeer(ctx, k.Peer))
	}
}

// allowRequest takes one request of a workspace's rate limit. The limit is shared
// evenly among the live entries, because the balancer spreads requests evenly.
func (e *Entry) allowRequest(ws config.Workspace) bool {
	if ws.Limit <= 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mine := ws.Limit / float64(max(e.servingEntries, 1))
	l := e.limits[ws.Name]
	if l == nil || l.perSecond != mine {
		l = &limiter{perSecond: mine, bucket: rate.NewLimiter(rate.Limit(mine), int(mine)+1)}
		e.limits[ws.Name] = l
	}
	return l.bucket.Allow()
}

// HashKey returns the form in which keys are kept in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// maxSnapshotLagRecords is how many config records a snapshot may lie behind.
const maxSnapshotLagRecords = 500

// writeConfigSnapshots writes snapshots of the configuration now and then. The
// entry that is proposed for partition 0 does it, so that few write the same.
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
