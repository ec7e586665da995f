package entry

import (
	"context"
	"math"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"pumiceford/infra"
	"pumiceford/link"
	"pumiceford/wire"
)

// Bounds of asking the fleet for its offsets.
const maxConcurrentProbes = 32

// laggingNodes names the nodes of the host list that have not reached an offset.
// Nodes that report to this entry on heartbeats are not asked; the others are,
// since keeping a connection from every entry to every node would cost more than
// a few hundred changes a day are worth.
func (e *Entry) laggingNodes(ctx context.Context, offset uint64) []string {
	e.mu.Lock()
	hosts := slices.Clone(e.hosts)
	e.mu.Unlock()
	var mu sync.Mutex
	out := []string{}
	var g errgroup.Group
	g.SetLimit(maxConcurrentProbes)
	for _, h := range hosts {
		if e.knownOffset(h.Name) >= offset {
			continue
		}
		g.Go(func() error {
			if e.probeOffset(ctx, h) >= offset {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, h.Name)
			return nil
		})
	}
	// The probes report through out and never fail.
	_ = g.Wait()
	slices.Sort(out)
	return out
}

func (e *Entry) knownOffset(name string) uint64 {
	if name == e.cfg.Name {
		return e.follower.Offset()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.offsets[name]
}

// probeOffset asks a node for the config offset that it has reached, 0 when it does
// not answer.
func (e *Entry) probeOffset(ctx context.Context, h infra.Host) uint64 {
	e.mu.Lock()
	n := e.entries[h.Name]
	if n == nil {
		n = e.agents[h.Name]
	}
	e.mu.Unlock()
	peer := link.NewPeer(e.cfg.Link, h.Addr)
	if n != nil {
		peer.Close()
		peer = n.peer
	} else {
		defer peer.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply := &wire.ConfigRecords{}
	call := &wire.Call{Kind: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{From: math.MaxUint64}}}
	if peer.Call(ctx, link.Control, call, reply) != nil {
		return 0
	}
	return reply.GetNext()
}
