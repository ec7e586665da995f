// Package sharedstore simulates the shared store in memory: partitioned logs of keyed
// records, consumer groups, and faults for single hosts or partitions.
package sharedstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
	"pumiceford/store"
)

// Fault is a fault injected into the calls of a host or to a partition.
type Fault int

// The values of Fault.
const (
	NoFault      Fault = iota
	Refuse             // the call is refused without effect
	NoResponse         // the call gets no response and has no effect
	LoseResponse       // an append takes effect but gets no response
	ApplyLate          // an append is tried after LateDelay and gets no response
)

// LateDelay is how long a late append is delayed.
const LateDelay = 2 * time.Second

// Store is the simulated store. Use New; the zero value is not usable.
type Store struct {
	partitions int

	mu              sync.Mutex
	logs            map[store.Partition]*log
	hostFaults      map[string]Fault
	refusesAppends  map[string]bool           // by host
	partitionFaults map[store.Partition]Fault // takes precedence over hostFaults
	groups          map[string]*group
	changed         chan struct{} // closed and replaced at each change
	calls           int
	reads           readQuota
	bandwidth       readBandwidth
}

// readBandwidth is the bandwidth that the reads of all hosts share. Reads are served in order of
// arrival, also those whose caller no longer waits.
type readBandwidth struct {
	bytesPerSecond int // 0 sets no limit
	busyUntil      time.Time
}

// maxReadQueue is the longest time for which a read waits for bandwidth. Further reads are refused.
const maxReadQueue = 2 * time.Second

// take reserves bandwidth for a read and returns how long it takes. It reports false if the read is
// refused.
func (b *readBandwidth) take(now time.Time, bytes int) (time.Duration, bool) {
	if b.bytesPerSecond == 0 {
		return 0, true
	}
	if b.busyUntil.Before(now) {
		b.busyUntil = now
	}
	if b.busyUntil.Sub(now) > maxReadQueue {
		return 0, false
	}
	b.busyUntil = b.busyUntil.Add(time.Duration(float64(bytes) / float64(b.bytesPerSecond) * float64(time.Second)))
	return b.busyUntil.Sub(now), true
}

// readQuota limits the reads of all hosts together.
type readQuota struct {
	perSecond   int       // 0 sets no limit
	windowStart time.Time // start of the current one-second window
	used        int
}

// take counts a read and reports whether it is within the limit.
func (q *readQuota) take(now time.Time) bool {
	if q.perSecond == 0 {
		return true
	}
	if now.Sub(q.windowStart) >= time.Second {
		q.windowStart, q.used = now, 0
	}
	q.used++
	return q.used <= q.perSecond
}

type log struct {
	first   int64 // lowest offset that is kept
	records []store.Record
	newest  map[string]store.Record
}

type group struct {
	generation     uint64
	topics         []string
	members        map[string]time.Time // when each membership expires
	owners         map[store.Partition]string
	holders        map[store.Partition]string // member whose join last returned the partition
	seenGeneration map[string]uint64          // generation in each member's latest join
}

// New returns an empty Store with the given number of partitions in each topic.
func New(partitions int) *Store {
	return &Store{
		partitions: partitions, logs: make(map[store.Partition]*log), hostFaults: make(map[string]Fault), refusesAppends: make(map[string]bool),
		partitionFaults: make(map[store.Partition]Fault), groups: make(map[string]*group), changed: make(chan struct{}),
	}
}

// SetFault sets the fault of a host's calls from now on.
func (s *Store) SetFault(host string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostFaults[host] = f
	s.notifyLocked()
}

// SetRefusesAppends makes the store refuse the appends of a host, as if they exceeded its rate, or
// take them again. Other calls of the host are served.
func (s *Store) SetRefusesAppends(host string, refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesAppends[host] = refuses
}

// SetPartitionDown makes a partition refuse all calls or serve them again.
func (s *Store) SetPartitionDown(p store.Partition, down bool) {
	if down {
		s.SetPartitionFault(p, Refuse)
		return
	}
	s.SetPartitionFault(p, NoFault)
}

// SetPartitionFault sets the fault of all hosts' calls to a partition from now on.
func (s *Store) SetPartitionFault(p store.Partition, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionFaults[p] = f
	s.notifyLocked()
}

// SetReadsPerSecond limits the reads of all hosts together; further reads are refused.
// Zero sets no limit.
func (s *Store) SetReadsPerSecond(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.perSecond = n
}

// SetReadBandwidth limits the bytes per second of the reads of all hosts together. Zero sets no
// limit.
func (s *Store) SetReadBandwidth(bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bandwidth.bytesPerSecond = bytesPerSecond
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// DropHistory removes the history of a partition; the newest record of each key stays.
func (s *Store) DropHistory(p store.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logLocked(p)
	l.first += int64(len(l.records))
	l.records = nil
	s.notifyLocked()
}

// Records returns the records in a partition's remaining history.
func (s *Store) Records(p store.Partition) []store.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.logLocked(p).records)
}

// Put appends a record as an operator or a target does, regardless of faults.
func (s *Store) Put(p store.Partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(p, []store.Record{{Key: key, Value: value}})
}

// Rebalance reassigns all partitions of a group at once, without waiting for their
// previous owners to release them.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.assign(s.partitions, 1)
		clear(g.holders)
	}
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) logLocked(p store.Partition) *log {
	l := s.logs[p]
	if l == nil {
		l = &log{newest: make(map[string]store.Record)}
		s.logs[p] = l
	}
	return l
}

func (l *log) end() int64 {
	return l.first + int64(len(l.records))
}

func (s *Store) appendLocked(p store.Partition, recs []store.Record) {
	l := s.logLocked(p)
	for _, r := range recs {
		r.Offset = l.end()
		r.Value = slices.Clone(r.Value)
		l.records = append(l.records, r)
		if len(r.Value) == 0 {
			delete(l.newest, r.Key)
			continue
		}
		l.newest[r.Key] = r
	}
	s.notifyLocked()
}

// ClientFor returns a client of the store for a host.
func (s *Store) ClientFor(host string) *HostClient {
	return &HostClient{store: s, host: host}
}

// HostClient implements store.Client for one host.
type HostClient struct {
	store *Store
	host  string
}

var _ store.Client = (*HostClient)(nil)

// beginCall counts a call and applies the fault of the host or of the partitions. It
// returns the fault and no error if the call is still to be executed.
func (c *HostClient) beginCall(ctx context.Context, parts ...store.Partition) (Fault, error) {
	s := c.store
	s.mu.Lock()
	s.calls++
	fault := s.hostFaults[c.host]
	for _, p := range parts {
		if s.partitionFaults[p] != NoFault {
			fault = s.partitionFaults[p]
		}
	}
	s.mu.Unlock()
	switch fault {
	case Refuse:
		return fault, store.ErrRefused
	case NoResponse:
		<-ctx.Done()
		return fault, errors.Mark(ctx.Err(), store.ErrUnavailable)
	case NoFault, LoseResponse, ApplyLate:
	}
	return fault, ctx.Err()
}

// beginRead is beginCall for a read, which counts towards the limit on reads.
func (c *HostClient) beginRead(ctx context.Context, p store.Partition) error {
	if _, err := c.beginCall(ctx, p); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if !c.store.reads.take(time.Now()) {
		return store.ErrRefused
	}
	return nil
}

// Append implements store.Log.
func (c *HostClient) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	fault, err := c.beginCall(ctx, p)
	if err != nil {
		return 0, err
	}
	c.store.mu.Lock()
	refuses := c.store.refusesAppends[c.host]
	c.store.mu.Unlock()
	if refuses {
		return 0, store.ErrRefused
	}
	if fault == ApplyLate {
		time.AfterFunc(LateDelay, func() { _, _ = c.store.append(p, recs, at) })
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	end, err := c.store.append(p, recs, at)
	if fault == LoseResponse {
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	return end, err
}

func (s *Store) append(p store.Partition, recs []store.Record, at int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := s.logLocked(p).end(); at != store.AnyEnd && at != end {
		return 0, &store.ConflictError{End: end}
	}
	s.appendLocked(p, recs)
	return s.logLocked(p).end(), nil
}

// Read implements store.Log.
func (c *HostClient) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	if err := c.beginRead(ctx, p); err != nil {
		return store.Page{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		page, changed, err := c.store.page(p, from)
		if err != nil {
			return page, err
		}
		if len(page.Records) > 0 || wait <= 0 {
			return page, c.transfer(ctx, page.Records)
		}
		select {
		case <-changed:
			if c.unresponsive(p) {
				// A pending read gets no response even if the fault is cleared later.
				<-ctx.Done()
				return page, errors.Mark(ctx.Err(), store.ErrUnavailable)
			}
		case <-until.C:
			return page, nil
		case <-ctx.Done():
			return page, errors.Mark(ctx.Err(), store.ErrUnavailable)
		}
	}
}

func (c *HostClient) unresponsive(p store.Partition) bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.hostFaults[c.host] == NoResponse || c.store.partitionFaults[p] == NoResponse
}

func (s *Store) page(p store.Partition, from int64) (store.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logLocked(p)
	page := store.Page{First: l.first, End: l.end()}
	if from < l.first {
		return page, nil, &store.TrimmedError{First: l.first}
	}
	if from < l.end() {
		page.Records = slices.Clone(l.records[from-l.first:])
	}
	return page, s.changed, nil
}

// transfer waits until the read of the given records is served.
func (c *HostClient) transfer(ctx context.Context, recs []store.Record) error {
	bytes := 0
	for _, r := range recs {
		bytes += len(r.Key) + len(r.Value)
	}
	c.store.mu.Lock()
	took, ok := c.store.bandwidth.take(time.Now(), bytes)
	c.store.mu.Unlock()
	if !ok {
		return store.ErrRefused
	}
	if took == 0 {
		return nil
	}
	if err := wait.For(ctx, took); err != nil {
		return errors.Mark(err, store.ErrUnavailable)
	}
	return nil
}

// newestPageKeys is the largest number of keys in a page of newest records.
const newestPageKeys = 500

// Newest implements store.Log.
func (c *HostClient) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	if err := c.beginRead(ctx, p); err != nil {
		return store.Snapshot{}, err
	}
	snap := c.newest(p, after)
	if err := c.transfer(ctx, snap.Records); err != nil {
		return store.Snapshot{}, err
	}
	return snap, nil
}

// newest returns a page of the newest records of a partition.
func (c *HostClient) newest(p store.Partition, after string) store.Snapshot {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logLocked(p)
	snap := store.Snapshot{End: l.end()}
	var keys []string
	for k := range l.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > newestPageKeys {
		keys, snap.More = keys[:newestPageKeys], true
	}
	for _, k := range keys {
		snap.Records = append(snap.Records, l.newest[k])
	}
	return snap
}

// Join implements store.Groups.
func (c *HostClient) Join(ctx context.Context, req store.JoinRequest) (store.Membership, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return store.Membership{}, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[req.Group]
	if g == nil {
		g = &group{
			members: make(map[string]time.Time), topics: req.Topics,
			holders: make(map[store.Partition]string), seenGeneration: make(map[string]uint64),
		}
		s.groups[req.Group] = g
	}
	now := time.Now()
	_, known := g.members[req.Member]
	g.members[req.Member] = now.Add(req.TTL)
	if g.expire(now) || !known {
		g.assign(s.partitions, 0)
	}
	g.seenGeneration[req.Member] = req.Generation
	m := store.Membership{Generation: g.generation}
	for p, owner := range g.owners {
		if owner == req.Member && g.released(p, owner) {
			g.holders[p] = owner
			m.Partitions = append(m.Partitions, p)
		}
	}
	return m, nil
}

// released reports whether owner may take a partition: it is the last holder, or the
// last holder has left, has expired or has joined with the current generation.
func (g *group) released(p store.Partition, owner string) bool {
	holder := g.holders[p]
	_, live := g.members[holder]
	return holder == owner || !live || g.seenGeneration[holder] >= g.generation
}

func (g *group) expire(now time.Time) bool {
	expired := false
	for m, until := range g.members {
		if now.After(until) {
			delete(g.members, m)
			expired = true
		}
	}
	return expired
}

// assign starts a new generation and assigns the partitions to the members round
// robin, beginning at member shift.
func (g *group) assign(parts, shift int) {
	g.generation++
	g.owners = make(map[store.Partition]string)
	var members []string
	for m := range g.members {
		members = append(members, m)
	}
	slices.Sort(members)
	if len(members) == 0 {
		return
	}
	for _, topic := range g.topics {
		for n := range parts {
			g.owners[store.Partition{Topic: topic, Number: n}] = members[(n+shift)%len(members)]
		}
	}
}

// Leave implements store.Groups.
func (c *HostClient) Leave(ctx context.Context, name, member string) error {
	if _, err := c.beginCall(ctx); err != nil {
		return err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		delete(g.members, member)
		g.assign(s.partitions, 0)
	}
	return nil
}

// Owners implements store.Groups.
func (c *HostClient) Owners(ctx context.Context, name string) ([]store.Owner, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return nil, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Owner
	if g := s.groups[name]; g != nil {
		for p, m := range g.owners {
			out = append(out, store.Owner{Partition: p, Member: m})
		}
	}
	return out, nil
}

// KeyCount returns the number of keys in a partition, regardless of faults.
func (c *HostClient) KeyCount(p store.Partition) int {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return len(c.store.logLocked(p).newest)
}
