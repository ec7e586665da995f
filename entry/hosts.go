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

// pollHosts updates the nodes from the platform's host list and from the hosts
// that operators have drained. If the list cannot be read, the last one read
// stays in effect.
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

// setHosts applies a host list: it adds and removes nodes, passes the live entries to the
// ledger and marks drained agents in the router.
func (e *Entry) setHosts(ctx context.Context, hosts []infra.Host) {
	var alive, serving []string
	agents := make(map[string]infra.Host)
	entries := make(map[string]infra.Host)
	for _, h := range hosts {
		draining := h.Leaving || e.drained(h.Name)
		h.Leaving = draining
		switch h.Role {
		case infra.RoleAgent:
			agents[h.Name] = h
		case infra.RoleEntry:
			alive = append(alive, h.Name)
			if !draining {
				serving = append(serving, h.Name)
			}
			if h.Name != e.cfg.Name {
				entries[h.Name] = h
			}
		}
	}
	e.manager.SetEntries(alive, serving)
	agents = e.agentSubset(agents)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servingEntries = max(len(serving), 1)
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

// agentSubset returns the at most MaxAgents agents that rendezvous hashing
// assigns to this entry. The limit keeps the number of connections and status
// reports per entry constant as the fleet grows.
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

// reconcileNodes removes the nodes that are not in hosts or have another address
// there, and adds the missing ones. agents reports whether the nodes are agents, which are
// also added to and removed from the router. Entry.mu must be held.
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
			delete(e.agentDraining, name)
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
			go n.peer.KeepConnected(nctx, link.Control, redialDelay)
		}
	}
}

// redialDelay is the pause between attempts to connect to a node.
const redialDelay = 200 * time.Millisecond

// agent returns the node of an agent, or nil if this entry does not connect to it.
func (e *Entry) agent(name string) *node {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.agents[name]
}

// feedAgents keeps a batch stream open from a partition owner to each agent until
// ctx ends.
func (e *Entry) feedAgents(ctx context.Context, o *ledger.Owner) {
	feeds := make(map[string]context.CancelFunc)
	tick := time.NewTicker(redialDelay)
	defer tick.Stop()
	for {
		e.mu.Lock()
		for name, n := range e.agents {
			if feeds[name] != nil {
				continue
			}
			fctx, cancel := context.WithCancel(ctx)
			stop := context.AfterFunc(n.ctx, cancel)
			feeds[name] = func() { stop(); cancel() }
			go e.feedAgent(fctx, o, name, n)
		}
		for name, cancel := range feeds {
			if e.agents[name] == nil {
				cancel()
				delete(feeds, name)
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

// feedStream adapts a link stream to the stream interface of the ledger.
type feedStream struct {
	st *link.Stream
}

func (f feedStream) Send(m *wire.OwnerUpdate) error { return f.st.Send(m) }
func (f feedStream) Recv(m *wire.AgentUpdate) error { return f.st.Recv(m) }
func (f feedStream) Close()                         { f.st.Close() }

// fetchConfig fetches config records from offset from on from all other entries, and returns
// the reply that reaches the highest offset. Entries that do not respond are skipped.
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

// peerTimeout is the time limit of one short call to another node.
const peerTimeout = time.Second

// Retries of calls to partition owners.
const (
	ownerRetryTimeout = 8 * time.Second // for a partition whose owner is changing
	ownerRetryDelay   = 200 * time.Millisecond
)

// CallOwner sends a request to the owner of its partition, which may be this
// entry. While the owner is changing it retries for up to ownerRetryTimeout; this
// is safe because all these requests are idempotent.
func (e *Entry) CallOwner(ctx context.Context, req *wire.PeerRequest) (*wire.PeerReply, error) {
	deadline := time.Now().Add(ownerRetryTimeout)
	for {
		reply := e.callOwnerOnce(ctx, req)
		if reply.GetFailure() == nil {
			return reply, nil
		}
		err := apierr.FromWire(reply.GetFailure())
		retry := err.Code == apierr.CodeNotOwner && time.Now().Before(deadline) && ctx.Err() == nil
		if !retry {
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
		return failureReply(apierr.New(apierr.CodeNotOwner, "no entry owns the partition").WithRetryAfter(time.Second))
	}
	reply := &wire.PeerReply{}
	call := &wire.Call{Kind: &wire.Call_Peer{Peer: req}}
	if err := n.peer.Call(ctx, link.Batch, call, reply); err != nil {
		e.log.Debug("call to the partition owner failed", logging.F("owner", owner), logging.F("error", err.Error()))
		return failureReply(apierr.MaybeExecuted(apierr.CodeNotOwner, "the partition's owner does not answer").WithRetryAfter(time.Second))
	}
	return reply
}

func failureReply(err *apierr.Error) *wire.PeerReply {
	return &wire.PeerReply{Failure: err.ToWire()}
}

// servePeer serves a request for a partition, and fails if this entry does not
// own it.
func (e *Entry) servePeer(ctx context.Context, req *wire.PeerRequest) *wire.PeerReply {
	o := e.manager.Owner(req.GetPartition())
	if o == nil {
		return failureReply(apierr.New(apierr.CodeNotOwner, "partition is changing hands").WithRetryAfter(time.Second))
	}
	return o.Serve(ctx, req)
}
