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

// ConfigPeers asks entries for configuration while the platform's log does not
// answer. It remembers the last host list, which may be away as well.
type ConfigPeers struct {
	hosts infra.HostList
	link  link.Config

	mu   sync.Mutex
	last []infra.Host
}

// NewConfigPeers returns a ConfigPeers.
func NewConfigPeers(hosts infra.HostList, cfg link.Config) *ConfigPeers {
	return &ConfigPeers{hosts: hosts, link: cfg}
}

const (
	askedEntries = 2
	askTimeout   = time.Second
	remindEvery  = 10 * time.Second
)

// Run keeps the host list until ctx ends.
func (p *ConfigPeers) Run(ctx context.Context) {
	tick := time.NewTicker(remindEvery)
	defer tick.Stop()
	for {
		if list, err := p.hosts.Hosts(ctx); err == nil {
			p.remember(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *ConfigPeers) remember(list []infra.Host) {
	var entries []infra.Host
	for _, h := range list {
		if h.Role == infra.RoleEntry {
			entries = append(entries, h)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = entries
}

// Fetch implements config.FetchFunc: of a few entries the one that is furthest.
func (p *ConfigPeers) Fetch(ctx context.Context, from uint64) (*wire.ConfigRecords, error) {
	p.mu.Lock()
	entries := append([]infra.Host(nil), p.last...)
	p.mu.Unlock()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	best := &wire.ConfigRecords{}
	for _, h := range entries[:min(askedEntries, len(entries))] {
		if got := p.ask(ctx, h.Addr, from); got.GetNext() > best.GetNext() {
			best = got
		}
	}
	return best, nil
}

func (p *ConfigPeers) ask(ctx context.Context, addr string, from uint64) *wire.ConfigRecords {
	peer := link.NewPeer(p.link, addr)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	got := &wire.ConfigRecords{}
	call := &wire.Call{Kind: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{From: from}}}
	if peer.Call(ctx, link.Control, call, got) != nil {
		return nil
	}
	return got
}

// SetConfig tells the agent its config follower, whose offset and records it
// gives to peers.
func (a *Agent) SetConfig(f *config.Follower) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follower = f
}

// configOffset returns the offset that the configuration has reached. Agent.mu
// must be held.
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
		// A reader that is gone asks again.
		_ = st.Send(follower.Records(f.GetFrom()))
	}
}
