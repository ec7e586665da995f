package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pumiceford/config"
	"pumiceford/infra"
	"pumiceford/link"
	"pumiceford/wire"
)

// ConfigPeers fetches configuration from entries while the platform's log does not
// answer. It caches the host list, which may be unavailable at the same time.
type ConfigPeers struct {
	hosts infra.HostList
	link  link.Config

	mu      sync.Mutex
	entries []infra.Host
}

// NewConfigPeers returns a ConfigPeers.
func NewConfigPeers(hosts infra.HostList, cfg link.Config) *ConfigPeers {
	return &ConfigPeers{hosts: hosts, link: cfg}
}

const (
	maxQueriedEntries = 2
	queryTimeout      = time.Second
	hostListInterval  = 10 * time.Second
)

// Run refreshes the cached host list until ctx ends.
func (p *ConfigPeers) Run(ctx context.Context) {
	tick := time.NewTicker(hostListInterval)
	defer tick.Stop()
	for {
		if list, err := p.hosts.Hosts(ctx); err == nil {
			p.setEntries(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *ConfigPeers) setEntries(list []infra.Host) {
	var entries []infra.Host
	for _, h := range list {
		if h.Role == infra.RoleEntry {
			entries = append(entries, h)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// Fetch implements config.FetchFunc. It queries maxQueriedEntries random entries and
// returns the records that reach the highest offset. An entry that does not answer
// within queryTimeout is skipped.
func (p *ConfigPeers) Fetch(ctx context.Context, from uint64) (*wire.ConfigRecords, error) {
	p.mu.Lock()
	entries := append([]infra.Host(nil), p.entries...)
	p.mu.Unlock()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	best := &wire.ConfigRecords{}
	for _, h := range entries[:min(maxQueriedEntries, len(entries))] {
		if reply := p.query(ctx, h.Addr, from); reply.GetNext() > best.GetNext() {
			best = reply
		}
	}
	return best, nil
}

func (p *ConfigPeers) query(ctx context.Context, addr string, from uint64) *wire.ConfigRecords {
	peer := link.NewPeer(p.link, addr)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply := &wire.ConfigRecords{}
	call := &wire.Call{Kind: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{From: from}}}
	if peer.Call(ctx, link.Control, call, reply) != nil {
		return nil
	}
	return reply
}

// SetFollower sets the config follower whose offset the agent reports and whose records
// it serves to peers.
func (a *Agent) SetFollower(f *config.Follower) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follower = f
}

// configOffset returns the config offset of the follower, 0 without one. Agent.mu must
// be held.
func (a *Agent) configOffset() uint64 {
	if a.follower == nil {
		return 0
	}
	return a.follower.Offset()
}

func (a *Agent) handleConfigFetch(f *wire.ConfigFetch, st *link.Stream) {
	a.mu.Lock()
	follower := a.follower
	a.mu.Unlock()
	if follower != nil {
		// A peer that misses the reply repeats its request.
		_ = st.Send(follower.Records(f.GetFrom()))
	}
}
