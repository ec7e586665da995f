package intake

import (
	"container/heap"
	"time"
)

// ranking orders the connections that may have to make room, the one that goes first at the front.
// It implements heap.Interface.
type ranking struct {
	conns []*conn
	kind  rankingKind
}

// rankingKind says which connections a ranking holds.
type rankingKind int

const (
	lagging        rankingKind = iota // requests that are being received
	laggingHolders                    // of these, those that hold memory beyond that of their connection
	idling
	rankingKinds
)

// holds reports whether a connection belongs to a ranking.
func (k rankingKind) holds(c *conn) bool {
	if c.evicted || c.wants > 0 {
		return false
	}
	receiving := c.phase == receivingHeader || c.phase == receivingBody
	switch k {
	case lagging:
		return receiving
	case laggingHolders:
		return receiving && c.held > 0
	}
	return c.phase == idle
}

// rank returns the time since which a connection has been behind, or idle. It does not change with
// time, as the lag of a request grows with it.
func (k rankingKind) rank(c *conn) time.Duration {
	if k == idling {
		return c.since
	}
	return c.lagAt - c.lag
}

// update puts a connection at its place after it has changed.
func (r *ranking) update(c *conn) {
	place := c.places[r.kind]
	switch holds := r.kind.holds(c); {
	case holds && place == noPlace:
		heap.Push(r, c)
	case holds:
		heap.Fix(r, place)
	case place != noPlace:
		heap.Remove(r, place)
	}
}

// first returns the connection that goes first, other than the one of the given ID; nil if there is
// none.
func (r *ranking) first(except ID) *conn {
	var best *conn
	const frontAndChildren = 3
	for _, c := range r.conns[:min(len(r.conns), frontAndChildren)] {
		if c.id != except && (best == nil || r.kind.rank(c) < r.kind.rank(best)) {
			best = c
		}
	}
	return best
}

// noPlace is the place of a connection that a ranking does not hold.
const noPlace = -1

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.conns) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool { return r.kind.rank(r.conns[i]) < r.kind.rank(r.conns[j]) }

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) {
	r.conns[i], r.conns[j] = r.conns[j], r.conns[i]
	r.conns[i].places[r.kind], r.conns[j].places[r.kind] = i, j
}

// Push implements heap.Interface.
func (r *ranking) Push(x any) {
	c := x.(*conn)
	c.places[r.kind] = len(r.conns)
	r.conns = append(r.conns, c)
}

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(r.conns) - 1
	c := r.conns[last]
	r.conns[last] = nil
	r.conns = r.conns[:last]
	c.places[r.kind] = noPlace
	return c
}
