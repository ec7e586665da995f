// Package sharedstore models the shared store in memory: partitioned logs of keyed
// records, groups, and their faults as single hosts see them.
package sharedstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/store"
)

// Fault is what happens to a host's calls.
type Fault int

// The faults.
const (
	None       Fault = iota
	Refuse           // turned away, nothing done
	Silent           // no answer, nothing done
	LoseAnswer       // done, but no answer comes
	Late             // done after LateBy if it still can be; no answer comes
)

// LateBy is when a late append is carried out.
const LateBy = 2 * time.Second

// Store is the store. Its zero value is not usable; see New.
type Store struct {
	parts int

	mu      sync.Mutex
	logs    map[store.Partition]*log
	faults  map[string]Fault
	parted  map[store.Partition]Fault // what happens to all calls of a partition
	groups  map[string]*group
	changed chan struct{} // closed and replaced at each change
	calls   int
	reads   quota
}

// quota bounds the reads of all hosts together.
type quota struct {
	perSecond int       // 0 for no bound
	since     time.Time // begin of the second that is counted
	used      int
}

// take reports whether one more read is within the bound.
func (q *quota) take(now time.Time) bool {
	if q.perSecond == 0 {
		return true
	}
	if now.Sub(q.since) >= time.Second {
		q.since, q.used = now, 0
	}
	q.used++
	return q.used <= q.perSecond
}

type log struct {
	first   int64 // lowest offset still kept
	records []store.Record
	newest  map[string]store.Record
}

type group struct {
	generation uint64
	topics     []string
	members    map[string]time.Time // by member, when its time is over
	owners     map[store.Partition]string
	holders    map[store.Partition]string // who was told last that it has it
	seen       map[string]uint64          // the generation that a member named last
}

// New returns an empty Store whose topics have so many partitions.
func New(parts int) *Store {
	return &Store{
		parts: parts, logs: make(map[store.Partition]*log), faults: make(map[string]Fault),
		parted: make(map[store.Partition]Fault), groups: make(map[string]*group), changed: make(chan struct{}),
	}
}

// SetFault sets what happens to a host's calls from now on.
func (s *Store) SetFault(host string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[host] = f
	s.wakeLocked()
}

// SetDown makes a partition refuse all calls, or serve them again.
func (s *Store) SetDown(p store.Partition, down bool) {
	if down {
		s.SetPartitionFault(p, Refuse)
		return
	}
	s.SetPartitionFault(p, None)
}

// SetPartitionFault sets what happens to all hosts' calls of a partition from now
// on.
func (s *Store) SetPartitionFault(p store.Partition, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parted[p] = f
	s.wakeLocked()
}

// SetReadsPerSecond bounds the reads of all hosts together: those beyond it are turned
// away.
func (s *Store) SetReadsPerSecond(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.perSecond = n
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Forget drops the history of a partition; the newest record of each key stays.
func (s *Store) Forget(p store.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logLocked(p)
	l.first += int64(len(l.records))
	l.records = nil
	s.wakeLocked()
}

// Records returns what a partition still holds of its history.
func (s *Store) Records(p store.Partition) []store.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.logLocked(p).records)
}

// Put appends a record as an operator or target does, without faults.
func (s *Store) Put(p store.Partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(p, []store.Record{{Key: key, Value: value}})
}

// Rebalance deals all partitions of a group anew at once, without waiting for
// those that had them.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.deal(s.parts, 1)
		clear(g.holders)
	}
}

func (s *Store) wakeLocked() {
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
	s.wakeLocked()
}

// For returns the store as a host sees it.
func (s *Store) For(host string) *Face {
	return &Face{store: s, host: host}
}

// Face implements store.Client for one host.
type Face struct {
	store *Store
	host  string
}

var _ store.Client = (*Face)(nil)

// enter counts a call and applies the host's fault. It returns the fault when the
// call is still to be carried out.
func (f *Face) enter(ctx context.Context, parts ...store.Partition) (Fault, error) {
	s := f.store
	s.mu.Lock()
	s.calls++
	fault := s.faults[f.host]
	for _, p := range parts {
		if s.parted[p] != None {
			fault = s.parted[p]
		}
	}
	s.mu.Unlock()
	switch fault {
	case Refuse:
		return fault, store.ErrRefused
	case Silent:
		<-ctx.Done()
		return fault, errors.Mark(ctx.Err(), store.ErrUnavailable)
	case None, LoseAnswer, Late:
	}
	return fault, ctx.Err()
}

// enterRead is enter for a read, which counts against the bound of all reads.
func (f *Face) enterRead(ctx context.Context, p store.Partition) error {
	if _, err := f.enter(ctx, p); err != nil {
		return err
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if !f.store.reads.take(time.Now()) {
		return store.ErrRefused
	}
	return nil
}

// Append implements store.Log.
func (f *Face) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	fault, err := f.enter(ctx, p)
	if err != nil {
		return 0, err
	}
	if fault == Late {
		time.AfterFunc(LateBy, func() { _, _ = f.store.append(p, recs, at) })
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	end, err := f.store.append(p, recs, at)
	if fault == LoseAnswer {
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
func (f *Face) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Page, error) {
	if err := f.enterRead(ctx, p); err != nil {
		return store.Page{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		page, changed, err := f.store.page(p, from)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
			if f.silent(p) {
				// The connection has gone silent for good, whatever comes later.
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

func (f *Face) silent(p store.Partition) bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.faults[f.host] == Silent || f.store.parted[p] == Silent
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

// newestPage is how many keys one page of newest records has.
const newestPage = 500

// Newest implements store.Log.
func (f *Face) Newest(ctx context.Context, p store.Partition, after string) (store.Snapshot, error) {
	if err := f.enterRead(ctx, p); err != nil {
		return store.Snapshot{}, err
	}
	s := f.store
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
	if len(keys) > newestPage {
		keys, snap.More = keys[:newestPage], true
	}
	for _, k := range keys {
		snap.Records = append(snap.Records, l.newest[k])
	}
	return snap, nil
}

// Join implements store.Groups.
func (f *Face) Join(ctx context.Context, req store.JoinRequest) (store.Membership, error) {
	if _, err := f.enter(ctx); err != nil {
		return store.Membership{}, err
	}
	s := f.store
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[req.Group]
	if g == nil {
		g = &group{
			members: make(map[string]time.Time), topics: req.Topics,
			holders: make(map[store.Partition]string), seen: make(map[string]uint64),
		}
		s.groups[req.Group] = g
	}
	now := time.Now()
	_, known := g.members[req.Member]
	g.members[req.Member] = now.Add(req.TTL)
	if g.expire(now) || !known {
		g.deal(s.parts, 0)
	}
	g.seen[req.Member] = req.Generation
	m := store.Membership{Generation: g.generation}
	for p, owner := range g.owners {
		if owner == req.Member && g.released(p, owner) {
			g.holders[p] = owner
			m.Partitions = append(m.Partitions, p)
		}
	}
	return m, nil
}

// released reports whether a partition's last holder has given it up: it left, its
// time is over, or it has joined with the generation that took it away.
func (g *group) released(p store.Partition, owner string) bool {
	holder := g.holders[p]
	_, live := g.members[holder]
	return holder == owner || !live || g.seen[holder] >= g.generation
}

func (g *group) expire(now time.Time) bool {
	gone := false
	for m, until := range g.members {
		if now.After(until) {
			delete(g.members, m)
			gone = true
		}
	}
	return gone
}

// deal gives the partitions to the members in turn.
func (g *group) deal(parts, shift int) {
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
func (f *Face) Leave(ctx context.Context, name, member string) error {
	if _, err := f.enter(ctx); err != nil {
		return err
	}
	s := f.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		delete(g.members, member)
		g.deal(s.parts, 0)
	}
	return nil
}

// Owners implements store.Groups.
func (f *Face) Owners(ctx context.Context, name string) ([]store.Owner, error) {
	if _, err := f.enter(ctx); err != nil {
		return nil, err
	}
	s := f.store
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

// Kept returns how many keys a partition holds, whatever faults there are.
func (f *Face) Kept(p store.Partition) int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return len(f.store.logLocked(p).newest)
}
