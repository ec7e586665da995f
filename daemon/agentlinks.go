package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"pumiceford/balance"
	"pumiceford/fairshare"
	"pumiceford/fleet"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/quarantine"
	"pumiceford/routing"
	"pumiceford/seats"
	"pumiceford/targets"
	"pumiceford/wire"
)

const (
	// maxWatchedTargets bounds the number of targets whose load one entry follows, so that the
	// number of its sessions and messages does not grow with the fleet. More watched targets
	// make placement worse: many entries then see the same free slot and all choose it.
	maxWatchedTargets = 16
	// minWatchedPerService is the number of targets of each configured service that are followed
	// in any case. An item of a service of which none is followed would never run.
	minWatchedPerService = 2
)

// agentLinks maintains the sessions to the agents beside the targets. It implements
// runner.Seats and gateway.FailureNotifier.
type agentLinks struct {
	cfg     link.Config
	addr    func(target string) string
	view    *fleet.View
	tracker *quarantine.Tracker
	shares  *fairshare.Ledger
	log     logging.Logger
	// onFreeSlot is called when an agent reports that its target has a free slot for batch.
	onFreeSlot func()

	mu    sync.Mutex
	links map[string]*agentLink // by instance
	// unwatched are the sessions with agents whose targets are not followed, by address of the
	// target. They are used for origins of streams.
	unwatched map[string]*unwatchedAgent
	foreign   int // registered targets of services that are not configured
}

// unwatchedAgent is a session with an agent whose target is not followed.
type unwatchedAgent struct {
	peer     *link.Peer
	lastUsed time.Time
}

// maxUnwatchedIdle is how long the session with an agent is kept that is not used.
const maxUnwatchedIdle = 30 * time.Second

type agentLink struct {
	target     string // address of the target beside the agent
	peer       *link.Peer
	stop       context.CancelFunc
	lastReport time.Time // when a failure of the target was last reported; guarded by agentLinks.mu
}

func newAgentLinks(cfg link.Config, addr func(string) string, view *fleet.View, tracker *quarantine.Tracker, shares *fairshare.Ledger, log logging.Logger) *agentLinks {
	return &agentLinks{
		cfg: cfg, addr: addr, view: view, tracker: tracker, shares: shares, log: log, onFreeSlot: func() {}, links: make(map[string]*agentLink), unwatched: make(map[string]*unwatchedAgent),
	}
}

// update opens and closes links so that the agents of the chosen targets are followed.
func (a *agentLinks) update(ctx context.Context, all []targets.Instance) {
	keep, configured := watchedTargets(a.cfg.Node, all, a.view.IsConfigured)
	a.shares.SetFollowed(len(keep), configured)
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, l := range a.links {
		if in, ok := keep[id]; !ok || l.target != in.Addr {
			l.stop()
			l.peer.Close()
			delete(a.links, id)
		}
	}
	for id, in := range keep {
		if a.links[id] == nil {
			a.links[id] = a.watch(ctx, in)
		}
	}
	if foreign := len(all) - configured; foreign != a.foreign {
		a.foreign = foreign
		a.log.Info("targets of services that are not configured are not followed", logging.F("targets", foreign), logging.F("followed", len(keep)))
	}
}

// watchedTargets chooses the targets whose agents a node follows: minWatchedPerService of each
// configured service, and further ones up to maxWatchedTargets in all. It also returns the number
// of targets of configured services. The choice is stable, by rendezvous hashing on the node's name.
func watchedTargets(node string, all []targets.Instance, isConfigured func(service string) bool) (keep map[string]targets.Instance, configured int) {
	byID := make(map[string]targets.Instance, len(all))
	for _, in := range all {
		if isConfigured(in.Service) {
			byID[in.ID] = in
		}
	}
	ranked := routing.Top(slices.Collect(maps.Keys(byID)), routing.Score(node, 1), len(byID))
	keep = make(map[string]targets.Instance)
	perService := make(map[string]int)
	for _, id := range ranked {
		if in := byID[id]; perService[in.Service] < minWatchedPerService {
			perService[in.Service]++
			keep[id] = in
		}
	}
	for _, id := range ranked {
		if len(keep) >= maxWatchedTargets {
			break
		}
		keep[id] = byID[id]
	}
	return keep, len(byID)
}

func (a *agentLinks) watch(ctx context.Context, in targets.Instance) *agentLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &agentLink{target: in.Addr, peer: link.NewPeer(a.cfg, a.addr(in.Addr)), stop: cancel}
	go quarantine.Follow(ctx, l.peer, a.tracker)
	go fairshare.Follow(ctx, l.peer, a.cfg.Node, in.ID, a.shares)
	go seats.Watch(ctx, l.peer, in, func(load *wire.Load) {
		a.view.UpdateLoad(time.Now(), in, loadReport(load))
		var changes []balance.PaceChange
		a.view.WithTable(func(t *balance.Table) { changes = t.TakePaceChanges() })
		for _, c := range changes {
			a.log.Info("target's usual pace changed", logging.F("instance", c.Instance), logging.F("was", c.Was), logging.F("pace", c.Pace))
		}
		if load.GetRoom()+load.GetSpare() > 0 {
			a.onFreeSlot()
		}
	})
	return l
}

// Acquire implements runner.Seats.
func (a *agentLinks) Acquire(ctx context.Context, in targets.Instance, req seats.Request) (*seats.Seat, error) {
	a.mu.Lock()
	l := a.links[in.ID]
	a.mu.Unlock()
	if l == nil {
		return nil, nil
	}
	seat, load, err := seats.Acquire(ctx, l.peer, in, req)
	if load != nil {
		a.view.UpdateLoad(time.Now(), in, loadReport(load))
	}
	return seat, err
}

// Reserve implements runner.Seats.
func (a *agentLinks) Reserve(ctx context.Context, in targets.Instance, req seats.Request, limit time.Duration) (*seats.Seat, error) {
	a.mu.Lock()
	l := a.links[in.ID]
	a.mu.Unlock()
	if l == nil {
		return nil, nil
	}
	return seats.Reserve(ctx, l.peer, in, req, limit)
}

// faultReportInterval is the shortest time between two failure reports of one entry to one
// agent. More reports add nothing: the agent counts entries, not failures.
const faultReportInterval = 500 * time.Millisecond

// NotifyFailure reports to the agent beside a target that a request failed there. It does not
// block. It implements gateway.FailureNotifier.
func (a *agentLinks) NotifyFailure(id string) {
	now := time.Now()
	a.mu.Lock()
	l := a.links[id]
	if l == nil || now.Sub(l.lastReport) < faultReportInterval {
		a.mu.Unlock()
		return
	}
	l.lastReport = now
	a.mu.Unlock()
	go seats.ReportFailure(l.peer, a.cfg.Node)
}

// Origins implements origins.Agents.
func (a *agentLinks) Origins(ctx context.Context, target string, call *wire.OriginCall) (*wire.OriginReply, error) {
	reply := &wire.OriginReply{}
	if err := a.peer(target).Call(ctx, link.Control, &wire.Call{Kind: &wire.Call_Origins{Origins: call}}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// peer returns the session with the agent beside the target at an address.
func (a *agentLinks) peer(target string) *link.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.target == target {
			return l.peer
		}
	}
	u := a.unwatched[target]
	if u == nil {
		u = &unwatchedAgent{peer: link.NewPeer(a.cfg, a.addr(target))}
		a.unwatched[target] = u
	}
	u.lastUsed = time.Now()
	return u.peer
}

// closeIdle closes the sessions that were not used recently.
func (a *agentLinks) closeIdle(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for target, u := range a.unwatched {
		if now.Sub(u.lastUsed) > maxUnwatchedIdle {
			u.peer.Close()
			delete(a.unwatched, target)
		}
	}
}

// loadReport converts an agent's load message to a balance.Report.
func loadReport(l *wire.Load) balance.Report {
	return balance.Report{Active: int(l.GetActive()), Queued: int(l.GetQueued()), Batch: int(l.GetBatch()), Slots: int(l.GetSlots()),
		FreeSeats: int(l.GetRoom()), UrgentSeats: int(l.GetSpare()), Unresponsive: l.GetSilent(), FailingEntries: int(l.GetWitnesses()),
		TokenTime: time.Duration(l.GetTokenUs()) * time.Microsecond, UsualTokenTime: time.Duration(l.GetUsualTokenUs()) * time.Microsecond,
		MemoryUsed: int(l.GetMemoryUsed()), MemoryTotal: int(l.GetMemoryTotal())}
}
