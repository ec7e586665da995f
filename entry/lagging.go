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

// maxConcurrentProbes is the number of nodes that laggingNodes queries at the same time.
const maxConcurrentProbes = 32

// laggingNodes returns the sorted names of the nodes on the host list that have
// not applied the configuration up to offset. It queries only nodes whose offset, as
// last reported in heartbeats, is not sufficient or not known. Querying them on
// demand is cheaper than a permanent connection from every entry to every node,
// as there are only a few hundred configuration changes a day.
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
	// The functions always return nil; they report through out.
	_ = g.Wait()
	slices.Sort(out)
	return out
}

// knownOffset returns the config offset that a node last reported, or 0 if it has not
// reported one. It sends no request.
func (e *Entry) knownOffset(name string) uint64 {
	if name == e.cfg.Name {
		return e.follower.Offset()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.offsets[name]
}

// probeOffset requests the config offset of a node and returns 0 if the node does not
// respond within peerTimeout. It opens a temporary connection to a node that this
// entry is not connected to.
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
