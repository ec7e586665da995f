package daemon

import (
	"context"
	"sync"
	"time"

	"pumiceford/balance"
	"pumiceford/fleet"
	"pumiceford/link"
	"pumiceford/quarantine"
	"pumiceford/routing"
	"pumiceford/seats"
	"pumiceford/targets"
	"pumiceford/wire"
)

// maxWatched bounds the targets whose load one entry is told, so that its sessions and
// messages stay flat as the fleet grows. More make placement worse: many entries then
// see the same free slot and meet there.
const maxWatched = 16

// agentLinks keeps the sessions to the agents beside the targets. It implements
// runner.Seats.
type agentLinks struct {
	cfg  link.Config
	addr func(target string) string
	view *fleet.View
	held *quarantine.Keeper
	// told is called when a target has a free slot.
	told func()

	mu    sync.Mutex
	links map[string]*agentLink // by instance
}

type agentLink struct {
	target string // address of the target beside the agent
	peer   *link.Peer
	stop   context.CancelFunc
	told   time.Time // a failure of the target, last; guarded by agentLinks.mu
}

func newAgentLinks(cfg link.Config, addr func(string) string, view *fleet.View, held *quarantine.Keeper) *agentLinks {
	return &agentLinks{cfg: cfg, addr: addr, view: view, held: held, told: func() {}, links: make(map[string]*agentLink)}
}

// set follows the agents of the given targets, a stable part of them when they
// are many.
func (a *agentLinks) set(ctx context.Context, all []targets.Instance) {
	byID := make(map[string]targets.Instance, len(all))
	var ids []string
	for _, in := range all {
		byID[in.ID] = in
		ids = append(ids, in.ID)
	}
	keep := make(map[string]bool)
	for _, id := range routing.Top(ids, routing.Score(a.cfg.Node, 1), maxWatched) {
		keep[id] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, l := range a.links {
		if !keep[id] || l.target != byID[id].Addr {
			l.stop()
			l.peer.Close()
			delete(a.links, id)
		}
	}
	for id := range keep {
		if a.links[id] == nil {
			a.links[id] = a.watch(ctx, byID[id])
		}
	}
}

func (a *agentLinks) watch(ctx context.Context, in targets.Instance) *agentLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &agentLink{target: in.Addr, peer: link.NewPeer(a.cfg, a.addr(in.Addr)), stop: cancel}
	go quarantine.Follow(ctx, l.peer, a.held)
	go seats.Watch(ctx, l.peer, in, func(load *wire.Load) {
		a.view.Table(func(t *balance.Table) { t.Note(time.Now(), in.ID, loadReport(load)) })
		if load.GetRoom()+load.GetSpare() > 0 {
			a.told()
		}
	})
	return l
}

// Acquire implements runner.Seats.
func (a *agentLinks) Acquire(ctx context.Context, in targets.Instance, due time.Time) (*seats.Seat, error) {
	a.mu.Lock()
	l := a.links[in.ID]
	a.mu.Unlock()
	if l == nil {
		return nil, nil
	}
	seat, load, err := seats.Acquire(ctx, l.peer, in, due)
	if load != nil {
		a.view.Table(func(t *balance.Table) { t.Note(time.Now(), in.ID, loadReport(load)) })
	}
	return seat, err
}

// faultEvery bounds how often one entry tells an agent of failures: the agent counts
// entries, not failures.
const faultEvery = 500 * time.Millisecond

// Tell tells the agent beside a target that a request failed there. It implements
// gateway.Witness.
func (a *agentLinks) Tell(id string) {
	now := time.Now()
	a.mu.Lock()
	l := a.links[id]
	if l == nil || now.Sub(l.told) < faultEvery {
		a.mu.Unlock()
		return
	}
	l.told = now
	a.mu.Unlock()
	go seats.TellFault(l.peer, a.cfg.Node)
}

// loadReport turns an agent's word into what the balance works with.
func loadReport(l *wire.Load) balance.Report {
	return balance.Report{Active: int(l.GetActive()), Queued: int(l.GetQueued()), Batch: int(l.GetBatch()), Slots: int(l.GetSlots()),
		Room: int(l.GetRoom()), Spare: int(l.GetSpare()), Silent: l.GetSilent(), Witnesses: int(l.GetWitnesses())}
}
