package entry

import (
	"context"
	"time"

	"pumiceford/apierr"
	"pumiceford/config"
	"pumiceford/infra"
	"pumiceford/internal/wait"
	"pumiceford/ledger"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/routing"
	"pumiceford/wire"
)

// pollHosts keeps the nodes in step with the platform's host list and the
// drains that operators put in force. While the list is down the last one stands.
func (e *Entry) pollHosts(ctx context.Context) {
	var last []infra.Host
	for ctx.Err() == nil {
		changed := e.follower.Changed()
		hosts, err := e.cfg.HostList.Hosts(ctx)
		if err == nil {
			last = hosts
		}
		e.setHosts(ctx, last)
		timer := time.NewTimer(e.cfg.HostListInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
}

// setHosts adds and drops nodes.
func (e *Entry) setHosts(ctx context.Context, hosts []infra.Host) {
	var alive, staying []string
	agents := make(map[string]infra.Host)
	entries := make(map[string]infra.Host)
	for _, h := range hosts {
		leaving := h.Leaving || e.drained(h.Name)
		h.Leaving = leaving
		switch h.Role {
		case infra.RoleAgent:
			agents[h.Name] = h
		case infra.RoleEntry:
			alive = append(alive, h.Name)
			if !leaving {
				staying = append(staying, h.Name)
			}
			if h.Name != e.cfg.Name {
				entries[h.Name] = h
			}
		}
	}
	e.manager.SetEntries(alive, staying)
	agents = e.agentSubset(agents)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servingEntries = max(len(staying), 1)
	e.hosts = hosts
	e.reconcileNodes(ctx, e.agents, agents, true)
	e.reconcileNodes(ctx, e.entries, entries, false)
	for name, h := range agents {
		e.router.SetDrained(name, h.Leaving)
	}
}

func (e *Entry) drained(host string) bool {
	drained := false
	e.follower.View(func(s *config.State) { drained = s.Host(host).Drained })
	return drained
}

// agentSubset keeps the agents that rendezvous hashing gives to this entry, so that
// connections and reports stay flat as the fleet grows.
func (e *Entry) agentSubset(agents map[string]infra.Host) map[string]infra.Host {
	if len(agents) <= e.cfg.MaxAgents {
		return agents
	}
	names := make([]string, 0, len(agents))
	for name := range agents {
		names = append(names, name)
	}
	out := make(map[string]infra.Host)
	for _, name := range routing.Top(names, routing.PrefixKey("entry", e.cfg.Name), e.cfg.MaxAgents) {
		out[name] = agents[name]
	}
	return out
}

// reconcileNodes makes nodes match the hosts. Entry.mu must be held.
func (e *Entry) reconcileNodes(ctx context.Context, nodes map[string]*node, hosts map[string]infra.Host, agents bool) {
	for name, n := range nodes {
		if h, ok := hosts[name]; ok && h.Addr == n.host.Addr {
			n.host = h
			continue
		}
		n.cancel()
		n.peer.Close()
		delete(nodes, name)
		delete(e.offsets, name)
		if agents {
			e.router.Remove(name)
			delete(e.agentLeaving, name)
		}
	}
	for name, h := range hosts {
		if nodes[name] != nil {
			continue
		}
		nctx, cancel := context.WithCancel(ctx)
		n := &node{host: h, peer: link.NewPeer(e.cfg.Link, h.Addr), ctx: nctx, cancel: cancel}
		nodes[name] = n
		if agents {
			e.router.Add(name, h.Addr)
			go n.peer.Keep(nctx, link.Control, redialDelay)
		}
	}
}

// redialDelay is the wait between dials of a node that cannot be reached.
const redialDelay = 200 * time.Millisecond

func (e *Entry) agent(name string) *node {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.agents[name]
}

// feedAgents keeps a batch stream open from a partition owner to each agent.
func (e *Entry) feedAgents(ctx context.Context, o *ledger.Owner) {
	fed := make(map[string]context.CancelFunc)
	tick := time.NewTicker(redialDelay)
	defer tick.Stop()
	for {
		e.mu.Lock()
		for name, n := range e.agents {
			if fed[name] != nil {
				continue
			}
			fctx, cancel := context.WithCancel(ctx)
			stop := context.AfterFunc(n.ctx, cancel)
			fed[name] = func() { stop(); cancel() }
			go e.feedAgent(fctx, o, name, n)
		}
		for name, cancel := range fed {
			if e.agents[name] == nil {
				cancel()
				delete(fed, name)
			}
		}
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (e *Entry) feedAgent(ctx context.Context, o *ledger.Owner, name string, n *node) {
	for ctx.Err() == nil {
		if o.Ready() {
			e.feedOnce(ctx, o, name, n)
		}
		_ = wait.For(ctx, redialDelay)
	}
}

func (e *Entry) feedOnce(ctx context.Context, o *ledger.Owner, name string, n *node) {
	call := &wire.Call{Kind: &wire.Call_Feed{Feed: &wire.Feed{
		Owner:            e.cfg.Name,
		OwnerIncarnation: e.cfg.Incarnation[:],
	}}}
	st, err := n.peer.Open(ctx, link.Batch, call)
	if err != nil {
		return
	}
	defer st.Close()
	o.Attach(ctx, name, feedStream{st})
}

// feedStream adapts a link stream to the ledger's port.
type feedStream struct {
	st *link.Stream
}

func (f feedStream) Send(m *wire.FeedDown) error { return f.st.Send(m) }
func (f feedStream) Recv(m *wire.FeedUp) error   { return f.st.Recv(m) }
func (f feedStream) Close()                      { f.st.Close() }

// fetchConfig asks other entries for configuration.
func (e *Entry) fetchConfig(ctx context.Context, from uint64) (*wire.ConfigRecords, error) {
	e.mu.Lock()
	var peers []*node
	for _, n := range e.entries {
		peers = append(peers, n)
	}
	e.mu.Unlock()
	best := &wire.ConfigRecords{}
	for _, n := range peers {
		got := &wire.ConfigRecords{}
		call := &wire.Call{Kind: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{From: from}}}
		pctx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := n.peer.Call(pctx, link.Control, call, got)
		cancel()
		if err == nil && got.GetNext() > best.GetNext() {
			best = got
		}
	}
	return best, nil
}

// peerTimeout bounds one short call to another entry.
const peerTimeout = time.Second

// Bounds of calls to partition owners.
const (
	ownerRetryTimeout = 8 * time.Second // for a partition that is changing hands
	ownerRetryDelay   = 200 * time.Millisecond
)

// CallOwner sends a request to the owner of a partition, wherever it is, and waits for
// a partition that is changing hands. All such requests may be repeated.
func (e *Entry) CallOwner(ctx context.Context, req *wire.PeerRequest) (*wire.PeerReply, error) {
	until := time.Now().Add(ownerRetryTimeout)
	for {
		reply := e.callOwnerOnce(ctx, req)
		if reply.GetFailure() == nil {
			return reply, nil
		}
		err := apierr.FromWire(reply.GetFailure())
		again := err.Code == apierr.CodeNotOwner && time.Now().Before(until) && ctx.Err() == nil
		if !again {
			return nil, err
		}
		_ = wait.For(ctx, ownerRetryDelay)
	}
}

func (e *Entry) callOwnerOnce(ctx context.Context, req *wire.PeerRequest) *wire.PeerReply {
	owner := e.manager.Proposed(req.GetPartition())
	if owner == e.cfg.Name {
		return e.servePeer(ctx, req)
	}
	e.mu.Lock()
	n := e.entries[owner]
	e.mu.Unlock()
	if n == nil {
		return failureReply(apierr.New(apierr.CodeNotOwner, "no entry owns the partition").After(time.Second))
	}
	reply := &wire.PeerReply{}
	call := &wire.Call{Kind: &wire.Call_Peer{Peer: req}}
	if err := n.peer.Call(ctx, link.Batch, call, reply); err != nil {
		e.log.Debug("owner not reached", logging.F("owner", owner), logging.F("error", err.Error()))
		return failureReply(apierr.Unknown(apierr.CodeNotOwner, "the partition's owner does not answer").After(time.Second))
	}
	return reply
}

func failureReply(err *apierr.Error) *wire.PeerReply {
	return &wire.PeerReply{Failure: err.ToWire()}
}

// servePeer carries out a request on a partition that this entry runs.
func (e *Entry) servePeer(ctx context.Context, req *wire.PeerRequest) *wire.PeerReply {
	o := e.manager.Owner(req.GetPartition())
	if o == nil {
		return failureReply(apierr.New(apierr.CodeNotOwner, "partition is changing hands").After(time.Second))
	}
	return o.Serve(ctx, req)
}
