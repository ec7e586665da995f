// Package peers implements the calls between entries. An entry makes calls to the
// shared store for another entry that the store refuses, serves its catalog and targets
// to entries that have none, and handles calls about jobs and rate-limit grants.
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

// Server handles the calls of peers. It calls the store only directly, so that two
// entries that the store refuses do not forward calls to each other in a loop.
type Server struct {
	Store store.Client
	View  *fleet.View
	Jobs  JobServer
	// Granter decides on requests for grants in shards that this process acts for.
	Granter Granter
	// ActingSince returns the time since which this process has acted for a shard, or
	// false while it does not act for it.
	ActingSince func(shard int) (since time.Duration, ok bool)
	// Entries is what this entry knows of others.
	Entries *Entries
	// Versions returns which software versions were registered when.
	Versions func(ctx context.Context) *wire.VersionHistory
}

// JobServer executes calls about jobs.
type JobServer interface {
	Serve(ctx context.Context, call *wire.JobCall) *wire.JobReply
}

// Handle serves one call on a stream. It is a link.Handler.
func (s *Server) Handle(ctx context.Context, _ link.Class, call *wire.Call, st *link.Stream) {
	switch {
	case call.GetStore() != nil:
		c := call.GetStore()
		ctx, cancel := context.WithTimeout(ctx, time.Duration(c.GetTimeoutMs())*time.Millisecond)
		defer cancel()
		// A send fails only if the peer has disconnected.
		_ = st.Send(s.call(ctx, c))
	case call.GetJob() != nil:
		// A send fails only if the peer has disconnected.
		_ = st.Send(s.Jobs.Serve(ctx, call.GetJob()))
	case call.GetGrant() != nil:
		// A send fails only if the peer has disconnected.
		_ = st.Send(s.grant(call.GetGrant()))
	case call.GetEntry() != nil:
		// A send fails only if the peer has disconnected.
		_ = st.Send(s.Entries.Serve(call.GetEntry()))
	case call.GetVersions() != nil:
		// A send fails only if the peer has disconnected.
		_ = st.Send(s.Versions(ctx))
	case call.GetCatalog() != nil:
		_ = st.Send(s.View.Export().ToWire())
	}
}

// call makes a call to the store for a peer.
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

// encodeReply encodes err, or returns ok when err is nil.
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

// decodeError decodes the error that encodeReply encoded.
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

// PeerStore calls the store through one peer. It implements store.Peer.
type PeerStore struct {
	peer *link.Peer
}

// String returns the address of the peer.
func (s PeerStore) String() string { return s.peer.Addr() }

// call makes one call to the peer. If there is no reply, it marks the error with
// store.ErrRefused when the call was not sent and with store.ErrUnavailable otherwise.
func (s PeerStore) call(ctx context.Context, c *wire.StoreCall) (*wire.StoreReply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		c.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 0))
	}
	r := &wire.StoreReply{}
	err := s.peer.Call(ctx, link.Control, &wire.Call{Kind: &wire.Call_Store{Store: c}}, r)
	var dialErr *link.DialError
	switch {
	case errors.As(err, &dialErr):
		return nil, errors.Mark(err, store.ErrRefused) // the call was not sent
	case err != nil:
		return nil, errors.Mark(err, store.ErrUnavailable)
	}
	return r, decodeError(r)
}

// Append implements store.Log.
func (s PeerStore) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	r, err := s.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Append{Append: &wire.StoreAppend{
		Partition: toWirePartition(p), Records: store.ToWire(recs), At: at,
	}}})
	return r.GetEnd(), err
}

// Read implements store.Log.
func (s PeerStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	r, err := s.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Read{Read: &wire.StoreRead{
		Partition: toWirePartition(p), From: from, WaitMs: uint32(wait.Milliseconds()),
	}}})
	return store.Page{Records: store.FromWire(r.GetRecords()), First: r.GetFirst(), End: r.GetEnd()}, err
}

// Newest implements store.Log.
func (s PeerStore) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	r, err := s.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Newest{Newest: &wire.StoreNewest{
		Partition: toWirePartition(p), After: after,
	}}})
	return store.Snapshot{Records: store.FromWire(r.GetRecords()), More: r.GetMore(), End: r.GetEnd()}, err
}

// Join implements store.Joiner.
func (s PeerStore) Join(ctx context.Context, req store.JoinRequest) (store.Membership, error) {
	r, err := s.call(ctx, &wire.StoreCall{Kind: &wire.StoreCall_Join{Join: &wire.StoreJoin{
		Group: req.Group, Member: req.Member, Topics: req.Topics,
		TtlMs: uint32(req.TTL.Milliseconds()), Generation: req.Generation,
	}}})
	m := store.Membership{Generation: r.GetGeneration()}
	for _, p := range r.GetPartitions() {
		m.Partitions = append(m.Partitions, fromWirePartition(p))
	}
	return m, err
}

// JobClient makes calls about jobs to other entries. It opens a new session for each call: an
// entry calls each other entry only a few times per minute, so persistent sessions would
// cost more heartbeats than calls.
type JobClient struct {
	cfg link.Config
}

// jobDialTimeout bounds opening a connection, which takes one round trip.
const jobDialTimeout = 250 * time.Millisecond

// NewJobClient returns a client that dials with jobDialTimeout.
func NewJobClient(cfg link.Config) *JobClient {
	cfg.DialTimeout = jobDialTimeout
	return &JobClient{cfg: cfg}
}

// Call makes a call to the entry at addr. It fails with a link.DialError when the call was
// not sent.
func (c *JobClient) Call(ctx context.Context, addr string, call *wire.JobCall) (*wire.JobReply, error) {
	peer := link.NewPeer(c.cfg, addr)
	defer peer.Close()
	reply := &wire.JobReply{}
	if err := peer.Call(ctx, link.Batch, &wire.Call{Kind: &wire.Call_Job{Job: call}}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// maxPeers bounds the peers of an entry. It is enough that the store very likely serves
// at least one of them while it refuses a third of all hosts.
const maxPeers = 4

// Pool keeps the sessions with the peers of one entry. It is safe for concurrent use.
type Pool struct {
	self string // address of this entry
	cfg  link.Config

	mu            sync.Mutex
	sessionByAddr map[string]*link.Peer
	order         []string // addresses of the peers, in rotating order
}

// NewPool returns a Pool that starts with the seeds.
func NewPool(self string, cfg link.Config, seeds []string) *Pool {
	pool := &Pool{self: self, cfg: cfg, sessionByAddr: make(map[string]*link.Peer)}
	pool.Set(seeds)
	return pool
}

// Set replaces the known peers. Entries select different peers, so that the failure of one
// peer does not affect all entries. The known peers stay if addrs contains no other
// entry.
func (pool *Pool) Set(addrs []string) {
	var candidates []string
	for _, a := range addrs {
		if a != pool.self && a != "" && !slices.Contains(candidates, a) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return
	}
	selected := routing.Top(candidates, routing.Score(pool.self, 1), maxPeers)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.order = selected
	for addr, p := range pool.sessionByAddr {
		if !slices.Contains(selected, addr) {
			p.Close()
			delete(pool.sessionByAddr, addr)
		}
	}
}

// Close closes the sessions with all peers.
func (pool *Pool) Close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for addr, p := range pool.sessionByAddr {
		p.Close()
		delete(pool.sessionByAddr, addr)
	}
}

// sessions returns the sessions with all peers, each of which dials on its first call.
func (pool *Pool) sessions() []*link.Peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var out []*link.Peer
	for _, addr := range pool.order {
		if pool.sessionByAddr[addr] == nil {
			pool.sessionByAddr[addr] = link.NewPeer(pool.cfg, addr)
		}
		out = append(out, pool.sessionByAddr[addr])
	}
	return out
}

// StorePeers returns clients of the store through the peers. It rotates their order on each
// call.
func (pool *Pool) StorePeers() []store.Peer {
	var out []store.Peer
	for _, p := range pool.sessions() {
		out = append(out, PeerStore{peer: p})
	}
	pool.mu.Lock()
	if len(pool.order) > 1 {
		pool.order = append(pool.order[1:], pool.order[0])
	}
	pool.mu.Unlock()
	return out
}

// VersionHistories implements origins.Entries.
func (pool *Pool) VersionHistories(ctx context.Context) []*wire.VersionHistory {
	sessions := pool.sessions()
	replies := make(chan *wire.VersionHistory, len(sessions))
	for _, p := range sessions {
		go func() {
			reply := &wire.VersionHistory{}
			if p.Call(ctx, link.Control, &wire.Call{Kind: &wire.Call_Versions{Versions: &wire.VersionHistoryQuery{}}}, reply) != nil {
				reply = nil // others may answer, and the question is repeated
			}
			replies <- reply
		}()
	}
	var out []*wire.VersionHistory
	for range sessions {
		if r := <-replies; r != nil {
			out = append(out, r)
		}
	}
	return out
}

// fetchTimeout bounds one request for a catalog.
const fetchTimeout = 500 * time.Millisecond

// Fetch asks the peers for their catalog and targets, and imports what they return into view. The
// newest replaces the others: a peer that has lost the store knows less than one that follows it.
func (pool *Pool) Fetch(ctx context.Context, view *fleet.View) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range pool.sessions() {
		all.Go(func() {
			reply := &wire.CatalogReply{}
			err := p.Call(ctx, link.Control, &wire.Call{Kind: &wire.Call_Catalog{Catalog: &wire.CatalogFetch{}}}, reply)
			if err == nil && len(reply.GetCatalog()) > 0 {
				view.Import(fleet.SnapshotFromWire(reply), "peer")
			}
		})
	}
	all.Wait()
}
