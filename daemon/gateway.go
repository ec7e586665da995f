package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"pumiceford/access"
	"pumiceford/catalog"
	"pumiceford/connguard"
	"pumiceford/estimate"
	"pumiceford/exchange"
	"pumiceford/fairshare"
	"pumiceford/fleet"
	"pumiceford/gateway"
	"pumiceford/internal/boottime"
	"pumiceford/internal/wait"
	"pumiceford/jobroute"
	"pumiceford/jobstore"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/netx"
	"pumiceford/oplog"
	"pumiceford/origins"
	"pumiceford/peers"
	"pumiceford/quarantine"
	"pumiceford/ratelimit"
	"pumiceford/refusals"
	"pumiceford/runner"
	"pumiceford/settings"
	"pumiceford/shards"
	"pumiceford/shutdown"
	"pumiceford/store"
	"pumiceford/targets"
)

// TargetSender sends to targets. Retain discards its state for targets that are not in
// the list.
type TargetSender interface {
	exchange.Sender
	exchange.Reserver
	quarantine.Prober
	Retain(all []targets.Instance)
}

// GatewayDeps holds what an entry takes from the users' platform: its store, its topics,
// its wire formats and its HTTP handlers.
type GatewayDeps struct {
	Store           store.Client
	Decoder         fleet.Decoder
	Catalog         store.Partition
	Registry        store.Partition
	JobsTopic       string // topic of jobs
	ProgressTopic   string // topic of the progress of unfinished items
	CopiesTopic     string // topic of copies of the fleet
	QuarantineTopic string // topic of requests that crash their targets
	ShardsTopic     string // topic of the shard owners, which grant requests to rate-limited workspaces
	Sender          TargetSender
	// ItemHeader converts the headers of a batch item to the headers of its call.
	ItemHeader func(item map[string]string) map[string][]string
	// ItemWork returns what the headers of a batch item say of its size.
	ItemWork func(item map[string]string) estimate.Work
	// ItemParts returns the parts of a batch item's prompt that others may share.
	ItemParts func(item map[string]string) []quarantine.Part
	// FrontHandler returns the handler of the callers' listener.
	FrontHandler func(f FrontConfig) http.Handler
	// ReadyHandler returns the handler of the readiness probe, which calls ready.
	ReadyHandler func(ready func() bool) http.Handler
}

// FrontConfig holds what the handler of the callers' listener works with.
type FrontConfig struct {
	Gateway  *gateway.Gateway
	Access   *access.Authenticator
	Limiter  *ratelimit.Limiter
	Jobs     jobroute.Service
	Catalog  func() *catalog.Catalog
	Limits   func() catalog.Limits
	Shutdown *shutdown.Plan
	Log      logging.Logger
}

// Intervals and bounds of an entry.
const (
	// configLoadAge is the age from which a load of the configuration, one record, counts as
	// hung.
	configLoadAge  = 1200 * time.Millisecond
	expireInterval = 200 * time.Millisecond
	ownersInterval = 4 * time.Second
	// ownersRetryInterval is the interval after a failure. A process that knows no owners loads
	// the partitions of its callers' jobs itself.
	ownersRetryInterval = 500 * time.Millisecond
	fetchInterval       = 100 * time.Millisecond
	// readsPerKeyLease is the number of configuration reads that fit in one key lease. They
	// bring a new configuration early; the lease is kept by reads of its own.
	readsPerKeyLease = 3
	// registryStartWait is how long a new process waits for the catalog and the registry
	// before it loads a copy of the fleet.
	registryStartWait = 50 * time.Millisecond
	// copyInterval is the time between two checks whether the fleet has changed since the
	// last copy.
	copyInterval = 250 * time.Millisecond
	// copyPartition is the job partition whose owner saves the copies, so that only one
	// process does.
	copyPartition = 0
	// balancerDelay is how long the balancer takes to stop sending new connections: it
	// probes readiness once a second and needs two failed probes.
	balancerDelay = 2600 * time.Millisecond
	// maxStopMargin is the time between the deadline of the shutdown and the moment at which
	// the platform kills the process. A short shutdown uses the fraction stopMarginShare of its time.
	maxStopMargin   = 700 * time.Millisecond
	stopMarginShare = 1.0 / 8
	logFlushTimeout = 200 * time.Millisecond
	jobGroup        = "runners"
	maxRunningItems = 256
)

// entryNode is one running entry.
type entryNode struct {
	set      *settings.Gateway
	deps     GatewayDeps
	log      logging.Logger
	metrics  *metrics.Set
	view     *fleet.View
	peerPool *peers.Pool
	entries  *peers.Entries
	refusals *refusals.Table
	// usage returns the account of slots by workspace.
	usage      func(now time.Time) []fairshare.Row
	collecting chan struct{} // capacity 1; held while reports of other entries are collected
	duties     *dutyKeeper
	store      *store.Failover
	jobs       *jobstore.Store
	routes     *jobroute.Router
	runner     *runner.Runner
	agentLinks *agentLinks
	gateway    *gateway.Gateway
	config     *store.Follower // of the configuration
	registry   *store.Follower // of the targets
	origins    *origins.Directory
	access     *access.Authenticator
	shards     *shards.Manager
	granter    *ratelimit.Granter
	limiter    *ratelimit.Limiter
	quarantine *quarantine.Tracker
	shares     *fairshare.Ledger
	archive    *quarantine.Archive
	copies     *fleet.Copies
	tlsConf    *tls.Config
	shutdown   *shutdown.Plan
	// firstDecided is set when decideFirstJoin has ended. Only the loop watchPeers decides on
	// duties afterwards.
	firstDecided atomic.Bool

	ownersMu sync.Mutex
	owners   []string // members of jobGroup that own partitions, sorted
}

// RunGateway runs an entry on the users' platform until stop ends.
func RunGateway(stop context.Context, reloads <-chan os.Signal, file string, set *settings.Gateway, deps GatewayDeps) error {
	out := logging.NewAsync(os.Stdout)
	defer out.Close(logFlushTimeout)
	limitMemory(set.MemoryMB, set.GCPercent)
	limitProcs(set.Host.MaxProcs())
	base := logging.New(logging.Settings{Level: set.Log.Level, Format: set.Log.Format, Writer: out})
	redirectStdLog(base.WithPrefix("http"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, err := newEntryNode(ctx, set, deps, base)
	if err != nil {
		return err
	}
	defer n.peerPool.Close()
	return n.run(ctx, cancel, stop, reloads, file)
}

func newEntryNode(ctx context.Context, set *settings.Gateway, deps GatewayDeps, base logging.Logger) (*entryNode, error) {
	tlsConf, err := set.TLS.Config()
	if err != nil {
		return nil, err
	}
	ms := metrics.New(set.Name)
	deps.Store = store.NewInstrumented(deps.Store, func(call, outcome string, took time.Duration) {
		ms.Count("store_" + call + "_" + outcome)
		ms.Observe("store_"+call, "", took)
	})
	n := &entryNode{set: set, deps: deps, tlsConf: tlsConf, shutdown: shutdown.NewPlan(), log: base.WithPrefix("entry"), metrics: ms}
	n.view = fleet.NewView(deps.Decoder, xxhash.Sum64String(set.Name), base.WithPrefix("fleet"), n.metrics)
	linkCfg := link.Config{Node: set.Name, Incarnation: oplog.NewIncarnation(), TLS: tlsConf, Dial: netx.Dial}
	n.peerPool = peers.NewPool(set.Peers, linkCfg, set.Seeds)
	n.store = store.NewFailover(deps.Store, n.peerPool.StorePeers)
	overdue := newOverdueLog(n.log, n.metrics)
	n.store.OnOverdue(overdue.note)
	n.config = store.NewPromptFollower(n.store, deps.Catalog, n.view.CatalogSink(), store.FollowerConfig{
		Wait: configReadWait(set), NewestOnly: true, LoadAge: configLoadAge, Clock: boottime.Now,
		OnFailure:   func(err error) { n.storeFailed("configuration", err) },
		OnRecovery:  func(d time.Duration) { n.storeRecovered("configuration", d) },
		OnConfirmed: n.configConfirmed,
	})
	n.registry = n.view.RegistryFollower(n.store, deps.Registry, boottime.Now)
	n.access = access.NewAuthenticator(access.Config{
		Catalog: n.view.Catalog, Source: n.config, KeyLease: time.Duration(set.KeyLease), Clock: boottime.Now,
	})
	n.copies = fleet.NewCopies(n.store, deps.CopiesTopic, set.Store.Partitions, n.view, base.WithPrefix("fleet"))
	n.jobs = jobstore.New(ctx, n.store, jobstore.Settings{
		Topic: deps.JobsTopic, ProgressTopic: deps.ProgressTopic, Partitions: set.Store.Partitions, MaxAppendBytes: set.Store.CallBytes,
		Retention: time.Duration(set.KeepResults),
	}, base.WithPrefix("jobs"))
	n.routes = jobroute.New(jobroute.Config{
		Self: set.Peers, Local: n.jobs, StoreUnavailable: n.store.Unreachable, PartitionOf: n.jobs.PartitionOf, Remote: peers.NewJobClient(linkCfg),
		Log: base.WithPrefix("jobs"), Metrics: n.metrics,
	})
	n.quarantine = quarantine.NewTracker(quarantine.Config{Node: set.Name, Prober: deps.Sender, Log: base.WithPrefix("quarantine"), Metrics: n.metrics})
	n.archive = quarantine.NewArchive(n.quarantine, n.store, deps.QuarantineTopic, set.Store.Partitions, base.WithPrefix("quarantine"))
	n.shares = fairshare.NewLedger()
	n.agentLinks = newAgentLinks(linkCfg, set.AgentAddr, n.view, n.quarantine, n.shares, base.WithPrefix("targets"))
	n.runner = runner.New(runner.Config{
		Member: set.Peers, Group: jobGroup, Store: n.jobs, Groups: n.store, View: n.view, CatalogAsOf: n.configAsOf, Sender: deps.Sender,
		Seats: n.agentLinks, Quarantine: n.quarantine, Shares: n.shares, Log: base.WithPrefix("batch"), Metrics: n.metrics,
		Headers: deps.ItemHeader, Work: deps.ItemWork, Parts: deps.ItemParts, MaxRunning: maxRunningItems,
	})
	n.agentLinks.onFreeSlot = n.runner.Wake
	n.entries = peers.NewEntries(set.Peers, strengthOf(&set.Host), linkCfg)
	n.setUpReports(n.shares)
	n.duties = &dutyKeeper{
		self: set.Peers, strength: strengthOf(&set.Host), partitions: set.Store.Partitions,
		strengthOf: n.entries.Strength, responds: n.entries.Responds, setStandby: n.runner.SetStandby, log: base.WithPrefix("duties"), metrics: ms,
	}
	n.setUpRateLimits(linkCfg, base.WithPrefix("limits"))
	n.origins = origins.NewDirectory(origins.Config{
		Registry: n.registry, Agents: n.agentLinks, Entries: n.peerPool, IsConfigured: n.view.IsConfigured, Clock: boottime.Now, Log: base.WithPrefix("origins"), Metrics: n.metrics,
	})
	n.gateway = gateway.New(gateway.Config{
		View: n.view, CatalogAsOf: n.configAsOf, Sender: deps.Sender, Reserver: deps.Sender, FailureNotifier: n.agentLinks, Quarantine: n.quarantine, Refusals: n.refusals, Shares: n.shares, Origins: n.origins, Shutdown: n.shutdown,
		Log: base.WithPrefix("online"), Metrics: n.metrics,
	})
	n.view.OnLoadChange(n.gateway.SlotsChanged)
	n.view.OnRegistrations(n.origins.SawRegistrations)
	n.view.OnSharesChange(n.origins.RecordOpen)
	n.view.OnTargetChange(func(all []targets.Instance) {
		deps.Sender.Retain(all)
		n.origins.SetTargets(all)
		n.agentLinks.update(ctx, all)
	})
	return n, nil
}

// configReadWait returns how long a read of the configuration waits for records.
func configReadWait(set *settings.Gateway) time.Duration {
	if set.KeyLease == 0 {
		return store.PromptWait
	}
	return min(store.PromptWait, time.Duration(set.KeyLease)/readsPerKeyLease)
}

func (n *entryNode) run(ctx context.Context, cancel context.CancelFunc, stop context.Context, reloads <-chan os.Signal, file string) error {
	listeners, err := listenAll(n.set.Callers, n.set.Ready, n.set.Peers, n.set.Metrics)
	if err != nil {
		return err
	}
	limiter := newConnLimiter(n.set.Host.CPUShare, n.log.WithPrefix("front"), n.metrics)
	guard := n.newCallerGuard()
	front := httpServer(guard.Handler(limiter.handler(n.deps.FrontHandler(FrontConfig{Gateway: n.gateway, Access: n.access, Limiter: n.limiter, Jobs: n.routes, Catalog: n.view.Catalog, Limits: n.limits, Shutdown: n.shutdown, Log: n.log.WithPrefix("front")}))))
	front.ConnContext = connguard.NewContext
	drainer := newConnDrainer()
	front.ConnState = drainer.trackState
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx, front, guard.Listener(limiter.listener(listeners[0]))) })
	startOps := func(name string, h http.Handler, ln net.Listener) {
		g.Go(func() error {
			return serveOps(ctx, name, h, ln, n.set.Descriptors, n.log.WithPrefix("front"), n.metrics)
		})
	}
	startOps("ready", n.deps.ReadyHandler(n.ready), listeners[1])
	peerServer := &peers.Server{
		Store: n.deps.Store, View: n.view, Jobs: &jobroute.Server{Local: n.jobs, StoreUnavailable: n.store.Unreachable, HasDirectStore: n.store.DirectReachable},
		Granter: n.granter, ActingSince: n.shards.Active, Entries: n.entries, Versions: n.origins.History,
	}
	g.Go(func() error {
		return link.Serve(ctx, listeners[2], link.Config{Node: n.set.Name, Handle: peerServer.Handle, TLS: n.tlsConf})
	})
	ops := opsHandler(n.metrics, n.quarantine)
	ops.HandleFunc("GET /limits", n.limitsHandler)
	ops.HandleFunc("GET /shares", n.sharesHandler)
	ops.HandleFunc("GET /targets", n.targetsHandler)
	startOps("metrics", ops, listeners[3])
	for _, loop := range []func(context.Context){n.followStore, n.watchPeers, n.maintainCopies, n.expireTargets, n.keepKeyLease, n.introduce, n.observeUse, limiter.run, n.origins.Run, n.shards.Run, n.runJobs, n.quarantine.Run, n.archive.Run, fairshare.NewMonitor(n.shares, n.log.WithPrefix("shares"), n.metrics).Run} {
		g.Go(func() error { loop(ctx); return nil })
	}
	g.Go(func() error { onReload(ctx, reloads, n.log, func() error { return n.reload(file) }); return nil })
	n.log.Info("started", logging.F("callers", n.set.Callers), logging.F("peers", n.set.Peers), logging.F("store", n.set.Store.Addr))
	g.Go(func() error {
		defer cancel()
		if WaitStop(ctx, stop) {
			n.stop(ctx, func(stopCtx context.Context) error { return drainer.shutdown(stopCtx, listeners[0], front) })
		}
		return nil
	})
	return g.Wait()
}

// ready reports whether the balancer may send new connections to this entry.
func (n *entryNode) ready() bool {
	return !n.shutdown.Stopping() && n.view.Ready()
}

// configAsOf returns the time up to which the configuration is known to be the newest, the zero value
// if it was never confirmed. A time for which the host was suspended counts.
func (n *entryNode) configAsOf() time.Time {
	at, ok := n.config.ConfirmedAt()
	if !ok {
		return time.Time{}
	}
	return time.Now().Add(at - boottime.Now())
}

// limits returns the limits of the catalog in force, the zero value while none is known.
func (n *entryNode) limits() catalog.Limits {
	if c := n.view.Catalog(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// reload applies the settings that may change while the process runs: the seeds. Other
// changes take effect at the next start.
func (n *entryNode) reload(file string) error {
	var set settings.Gateway
	if err := settings.Load(file, &set); err != nil {
		return err
	}
	n.peerPool.Set(set.Seeds)
	n.log.Info("settings reloaded", logging.F("seeds", len(set.Seeds)))
	return nil
}

// stopTime returns how long a shutdown may take in a process that is killed after within.
func stopTime(within time.Duration) time.Duration {
	return within - min(maxStopMargin, time.Duration(stopMarginShare*float64(within)))
}

// stop shuts an entry down without cutting off requests in progress. It fails the readiness
// probe first and hands batch work and shards over. Until the balancer and the callers have
// left, requests that are sure to end before the deadline are still served, and others refused.
func (n *entryNode) stop(ctx context.Context, drain func(context.Context) error) {
	deadline := time.Now().Add(stopTime(time.Duration(n.set.StopWithin)))
	n.shutdown.Begin(deadline)
	n.log.Info("stopping", logging.F("within_ms", time.Duration(n.set.StopWithin).Milliseconds()))
	stopCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		var wg sync.WaitGroup
		wg.Go(func() { n.shards.Leave(stopCtx) })
		wg.Go(func() { n.runner.Leave(stopCtx) })
		wg.Wait()
	}()
	_ = wait.For(stopCtx, balancerDelay)
	if err := drain(stopCtx); err != nil {
		n.log.Error("shutdown deadline reached; requests were cut off", logging.F("error", err.Error()))
	}
	select {
	case <-handedOver:
	case <-stopCtx.Done():
	}
	n.log.Info("stopped")
}
