// Package peers lets entries help each other: one makes calls to the shared
// store for another that the store refuses, and tells it the newest catalog and
// targets when it knows none.
package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/fleet"
	"pumiceford/link"
	"pumiceford/routing"
	"pumiceford/store"
	"pumiceford/wire"
)

// Server answers the calls of peers. It calls the store directly only, so that
// two entries which are both refused do not ask each other in a circle.
type Server struct {
	Store store.Client
	View  *fleet.View
	Jobs  JobServer
	// Granter grants requests of the shards that this process acts for.
	Granter Granter
	// Acting returns since when this process has been acting for a shard, and false while
	// it is not.
	Acting func(shard int) (since time.Duration, ok bool)
}

// JobServer carries calls about jobs out.
type JobServer interface {
	Serve(ctx context.Context, call *wire.JobCall) *wire.JobReply
}

// Handle serves one stream; it is a link.Handler.
func (s *Server) Handle(ctx context.Context, _ link.Class, call *wire.Call, st *link.Stream) {
	switch {
	case call.GetStore() != nil:
		c := call.GetStore()
		ctx, cancel := context.WithTimeout(ctx, time.Duration(c.GetTimeoutMs())*time.Millisecond)
		defer cancel()
		// A peer that left does not read the reply.
		_ = st.Send(s.call(ctx, c))
	case call.GetJob() != nil:
		// A peer that left does not read the reply.
		_ = st.Send(s.Jobs.Serve(ctx, call.GetJob()))
	case call.GetGrant() != nil:
		// An asker that left does not read the reply.
		_ = st.Send(s.grant(call.GetGrant()))
	case call.GetCatalog() != nil:
		raw, recs := s.View.Export()
		_ = st.Send(&wire.CatalogReply{Catalog: raw, Targets: store.ToWire(recs)})
	}
}

func (s *Server) call(ctx context.Context, c *wire.StoreCall) *wire.StoreReply {
	switch k := c.GetKind().(type) {
	case *wire.StoreCall_Append:
		end, err := s.Store.Append(ctx, fromWirePartition(k.Append.GetPartition()), store.FromWire(k.Append.GetRecords()), k.Append.GetAt())
		return encodeReply(err, &wire.StoreReply{End: end})
	case *wire.StoreCall_Read:
		wait := time.Duration(k.Read.GetWaitMs()) * time.Millisecond
		page, err := s.Store.Read(ctx, fromWirePartition(k.Read.GetPartition()), k.Read.GetFrom(), wait)
		return encodeReply(err, &wire.StoreReply{First: page.First, End: page.End, Records: store.ToWire(page.Records)})
	case *wire.StoreCall_Newest:
		snap, err := s.Store.Newest(ctx, fromWirePartition(k.Newest.GetPartition()), k.Newest.GetAfter())
		return encodeReply(err, &wire.StoreReply{End: snap.End, More: snap.More, Records: store.ToWire(snap.Records)})
	case *wire.StoreCall_Join:
		m, err := s.Store.Join(ctx, store.JoinRequest{
			Group: k.Join.GetGroup(), Member: k.Join.GetMember(), Topics: k.Join.GetTopics(),
			TTL: time.Duration(k.Join.GetTtlMs()) * time.Millisecond, Generation: k.Join.GetGeneration(),
		})
		out := &wire.StoreReply{Generation: m.Generation}
		for _, p := range m.Partitions {
			out.Partitions = append(out.Partitions, &wire.StorePartition{Topic: p.Topic, Number: uint32(p.Number)})
		}
		return encodeReply(err, out)
	}
	return &wire.StoreReply{Outcome: wire.StoreReply_REFUSED}
}

// encodeReply encodes an error, or returns ok when there is none.
func encodeReply(err error, ok *wire.StoreReply) *wire.StoreReply {
	var conflict *store.ConflictError
	var trimmed *store.TrimmedError
	switch {
	case err == nil:
		return ok
	case errors.As(err, &conflict):
		return &wire.StoreReply{Outcome: wire.StoreReply_CONFLICT, End: conflict.End}
	case errors.As(err, &trimmed):
		return &wire.StoreReply{Outcome: wire.StoreReply_TRIMMED, First: trimmed.First}
	case errors.Is(err, store.ErrFull):
		return &wire.StoreReply{Outcome: wire.StoreReply_FULL}
	case errors.Is(err, store.ErrRefused):
		return &wire.StoreReply{Outcome: wire.StoreReply_REFUSED}
	}
	return &wire.StoreReply{Outcome: wire.StoreReply_UNKNOWN}
}

// decodeError decodes what reply encoded.
func decodeError(r *wire.StoreReply) error {
	switch r.GetOutcome() {
	case wire.StoreReply_OK:
		return nil
	case wire.StoreReply_CONFLICT:
		return &store.ConflictError{End: r.GetEnd()}
	case wire.StoreReply_TRIMMED:
		return &store.TrimmedError{First: r.GetFirst()}
	case wire.StoreReply_FULL:
		return store.ErrFull
	case wire.StoreReply_REFUSED:
		return store.ErrRefused
	case wire.StoreReply_UNKNOWN:
	}
	return store.ErrUnavailable
}

func fromWirePartition(p *wire.StorePartition) store.Partition {
	return store.Partition{Topic: p.GetTopic(), Number: int(p.GetNumber())}
}

func toWirePartition(p store.Partition) *wire.StorePartition {
	return &wire.StorePartition{Topic: p.Topic, Number: uint32(p.Number)}
}

// PeerStore is the way to the store through one peer. It implements store.Peer.
type PeerStore struct {
	peer *link.Peer
}

func (w PeerStore) call(ctx context.Context, c *wire.StoreCall) (*wire.StoreReply, error) {
	if dl, ok := ctx.Deadline(); ok {
		c.TimeoutMs = uint32(max(time.Until(dl).Milliseconds(), 0))
	}
	r := &wire.StoreReply{}
	err := w.peer.Call(ctx, link.Control, &wire.Call{Kind: &wire.Call_Store{Store: c}}, r)
	var dial *link.DialError
	switch {
	case errors.As(err, &dial):
		return nil, errors.Mark(err, store.ErrRefused) // it was never sent
	case err != nil:
		return nil, errors.Mark(err, store.ErrUnavailable)
	}
	return r, decodeError(r)
}

// Append implements store.Log.
func (w PeerStore) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	r, err := w.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Append{Append: &wire.StoreAppend{
		Partition: toWirePartition(p), Records: store.ToWire(recs), At: at,
	}}})
	return r.GetEnd(), err
}

// Read implements store.Log.
func (w PeerStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	r, err := w.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Read{Read: &wire.StoreRead{
		Partition: toWirePartition(p), From: from, WaitMs: uint32(wait.Milliseconds()),
	}}})
	return store.Page{Records: store.FromWire(r.GetRecords()), First: r.GetFirst(), End: r.GetEnd()}, err
}

// Newest implements store.Log.
func (w PeerStore) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	r, err := w.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Newest{Newest: &wire.StoreNewest{
		Partition: toWirePartition(p), After: after,
	}}})
	return store.Snapshot{Records: store.FromWire(r.GetRecords()), More: r.GetMore(), End: r.GetEnd()}, err
}

// Join implements store.Joiner.
func (w PeerStore) Join(ctx context.Context, req store.JoinRequest) (store.Membership, error) {
	r, err := w.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Join{Join: &wire.StoreJoin{
		Group: req.Group, Member: req.Member, Topics: req.Topics,
		TtlMs: uint32(req.TTL.Milliseconds()), Generation: req.Generation,
	}}})
	m := store.Membership{Generation: r.GetGeneration()}
	for _, p := range r.GetPartitions() {
		m.Partitions = append(m.Partitions, fromWirePartition(p))
	}
	return m, err
}

// Caller makes calls about jobs at any entry, each over a session of its own: an entry
// asks each of the others some times a minute, and sessions that were kept would cost
// more heartbeats than calls.
type Caller struct {
	cfg link.Config
}

// jobDialTimeout bounds connecting, which takes one round trip.
const jobDialTimeout = 250 * time.Millisecond

// NewCaller returns a Caller.
func NewCaller(cfg link.Config) *Caller {
	cfg.DialTimeout = jobDialTimeout
	return &Caller{cfg: cfg}
}

// Call carries a call out at an address. It fails with a link.DialError when it was
// never sent.
func (c *Caller) Call(ctx context.Context, addr string, call *wire.JobCall) (*wire.JobReply, error) {
	peer := link.NewPeer(c.cfg, addr)
	defer peer.Close()
	reply := &wire.JobReply{}
	if err := peer.Call(ctx, link.Batch, &wire.Call{Kind: &wire.Call_Job{Job: call}}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// maxPeers bounds the peers that an entry keeps in mind: enough for one to be
// served by the store when a third of all hosts is not.
const maxPeers = 4

// Ring keeps the links to the peers of one entry.
type Ring struct {
	self string // address of this entry
	cfg  link.Config

	mu         sync.Mutex
	connByAddr map[string]*link.Peer
	order      []string
}

// NewRing returns a Ring that knows the seeds.
func NewRing(self string, cfg link.Config, seeds []string) *Ring {
	r := &Ring{self: self, cfg: cfg, connByAddr: make(map[string]*link.Peer)}
	r.Set(seeds)
	return r
}

// Set replaces the known peers. Each entry keeps others in mind, so that one
// that dies is not the way of all.
func (r *Ring) Set(addrs []string) {
	var others []string
	for _, a := range addrs {
		if a != r.self && a != "" && !slices.Contains(others, a) {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return // who was known stays
	}
	keep := routing.Top(others, routing.Score(r.self, 1), maxPeers)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = keep
	for addr, p := range r.connByAddr {
		if !slices.Contains(keep, addr) {
			p.Close()
			delete(r.connByAddr, addr)
		}
	}
}

// Close closes the links to all peers.
func (r *Ring) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr, p := range r.connByAddr {
		p.Close()
		delete(r.connByAddr, addr)
	}
}

// connections returns the links, dialled when first used.
func (r *Ring) connections() []*link.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*link.Peer
	for _, addr := range r.order {
		if r.connByAddr[addr] == nil {
			r.connByAddr[addr] = link.NewPeer(r.cfg, addr)
		}
		out = append(out, r.connByAddr[addr])
	}
	return out
}

// Ways returns the ways to the store through the peers, another one first each
// time.
func (r *Ring) Ways() []store.Peer {
	var out []store.Peer
	for _, p := range r.connections() {
		out = append(out, PeerStore{peer: p})
	}
	r.mu.Lock()
	if len(r.order) > 1 {
		r.order = append(r.order[1:], r.order[0])
	}
	r.mu.Unlock()
	return out
}

// fetchTimeout bounds one question for a catalog.
const fetchTimeout = 500 * time.Millisecond

// Fetch asks the peers for the newest catalog and targets until one knows any.
func (r *Ring) Fetch(ctx context.Context, view *fleet.View) {
	for _, p := range r.connections() {
		one, cancel := context.WithTimeout(ctx, fetchTimeout)
		reply := &wire.CatalogReply{}
		err := p.Call(one, link.Control, &wire.Call{Kind: &wire.Call_Catalog{Catalog: &wire.CatalogFetch{}}}, reply)
		cancel()
		if err == nil && len(reply.GetCatalog()) > 0 {
			view.Import(reply.GetCatalog(), store.FromWire(reply.GetTargets()), "peer")
			return
		}
	}
}
