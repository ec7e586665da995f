package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"pumiceford/duties"
	"pumiceford/link"
	"pumiceford/routing"
	"pumiceford/wire"
)

// Intervals and bounds of what an entry knows of other entries.
const (
	// introduceInterval is how often an entry introduces itself to each other entry that it
	// is told to know; introduceRetryInterval is the interval after a failure.
	introduceInterval      = 2 * time.Minute
	introduceRetryInterval = 15 * time.Second
	// forgetAfter is how long an entry is known after its last message. Two introductions may
	// be lost.
	forgetAfter = 3 * introduceInterval
	// maxIntroductions bounds the introductions of one call of Introduce.
	maxIntroductions = 4
	introduceTimeout = 400 * time.Millisecond
	// maxKnownEntries bounds the entries that one entry knows.
	maxKnownEntries = 512
)

// Entries is what an entry knows of other entries: their addresses and strengths. It is safe
// for concurrent use.
type Entries struct {
	self *wire.EntryInfo
	cfg  link.Config
	// Report returns the named report of this entry for operators, nil if there is none.
	Report func(name string) []byte

	mu    sync.Mutex
	known map[string]*knownEntry // by address
}

// knownEntry is what is known of one entry.
type knownEntry struct {
	strength  duties.Strength
	heard     time.Time // last message from it; zero for none
	nextIntro time.Time // not introduced to it again before
}

// NewEntries returns an Entries that knows no other entry. Queries use cfg, with a dial
// timeout of one round trip.
func NewEntries(self string, strength duties.Strength, cfg link.Config) *Entries {
	cfg.DialTimeout = jobDialTimeout
	return &Entries{
		self: &wire.EntryInfo{Addr: self, Cpu: strength.CPUShare, LinkMbps: strength.LinkMbps},
		cfg:  cfg, known: make(map[string]*knownEntry),
		Report: func(string) []byte { return nil },
	}
}

// Strength returns the strength of an entry, the zero value if it is not known.
func (e *Entries) Strength(addr string) duties.Strength {
	e.mu.Lock()
	defer e.mu.Unlock()
	if k := e.known[addr]; k != nil {
		return k.strength
	}
	return duties.Strength{}
}

// Known returns the addresses of the entries that have sent a message recently, sorted.
func (e *Entries) Known(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for addr, k := range e.known {
		if !k.heard.IsZero() && now.Sub(k.heard) < forgetAfter {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// Introduce makes this entry known to the given ones, and learns their strengths. It calls a
// few of them at a time, those that are due, and waits for their replies.
func (e *Entries) Introduce(ctx context.Context, addrs []string) {
	var calls sync.WaitGroup
	for _, addr := range e.due(time.Now(), addrs) {
		calls.Go(func() {
			// A failure is repeated after introduceRetryInterval. Until then the strength
			// remains unknown, and unknown members do not count as strong.
			_ = e.Responds(ctx, addr)
		})
	}
	calls.Wait()
}

// due returns the entries to introduce this one to, and forgets entries that are no longer
// heard of.
func (e *Entries) due(now time.Time, addrs []string) (out []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr, k := range e.known {
		if now.Sub(k.heard) >= forgetAfter && now.After(k.nextIntro) {
			delete(e.known, addr)
		}
	}
	// Each entry has an order of its own, so that entries that start together do not all call
	// the same ones.
	for _, addr := range routing.Top(addrs, routing.Score(e.self.GetAddr(), 1), len(addrs)) {
		if len(out) == maxIntroductions {
			break
		}
		if addr == e.self.GetAddr() || slices.Contains(out, addr) {
			continue
		}
		if k := e.entryLocked(addr); k != nil && !now.Before(k.nextIntro) {
			k.nextIntro = now.Add(introduceRetryInterval)
			out = append(out, addr)
		}
	}
	return out
}

// entryLocked returns the record of an entry, nil if there are too many. The caller holds
// e.mu.
func (e *Entries) entryLocked(addr string) *knownEntry {
	k := e.known[addr]
	if k == nil && len(e.known) < maxKnownEntries && addr != "" {
		k = &knownEntry{}
		e.known[addr] = k
	}
	return k
}

// record notes a message of an entry. replied says that the message is a reply to this one.
func (e *Entries) record(now time.Time, in *wire.EntryInfo, replied bool) {
	if in == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.entryLocked(in.GetAddr())
	if k == nil {
		return
	}
	k.heard = now
	k.strength = duties.Strength{CPUShare: in.GetCpu(), LinkMbps: in.GetLinkMbps()}
	if replied {
		k.nextIntro = now.Add(introduceInterval)
	}
}

// Responds reports whether the entry at addr replies within introduceTimeout.
func (e *Entries) Responds(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	_, err := e.Query(ctx, addr, "")
	return err == nil
}

// Query requests a report of the entry at addr, "" for none, and introduces this entry to it.
// The session is closed afterwards: such queries are rare.
func (e *Entries) Query(ctx context.Context, addr, report string) (*wire.EntryReply, error) {
	peer := link.NewPeer(e.cfg, addr)
	defer peer.Close()
	reply := &wire.EntryReply{}
	call := &wire.Call{Kind: &wire.Call_Entry{Entry: &wire.EntryQuery{Sender: e.self, Report: report}}}
	if err := peer.Call(ctx, link.Control, call, reply); err != nil {
		return nil, err
	}
	e.record(time.Now(), reply.GetSelf(), true)
	return reply, nil
}

// Serve replies to a query of another entry.
func (e *Entries) Serve(q *wire.EntryQuery) *wire.EntryReply {
	now := time.Now()
	e.record(now, q.GetSender(), false)
	reply := &wire.EntryReply{Self: e.self}
	if q.GetReport() != "" {
		reply.Known, reply.Report = e.Known(now), e.Report(q.GetReport())
	}
	return reply
}
