package standin

import (
	"context"
	"math/rand/v2"
	"time"

	"pumiceford/engine"
)

// CacheEvent reports that a prompt prefix was stored in the cache or evicted from it.
type CacheEvent struct {
	Seq    uint64    `json:"seq"` // counts all events, so a gap shows that events were lost
	Prefix uint64    `json:"prefix"`
	Stored bool      `json:"stored"`
	At     time.Time `json:"at"`
}

// cacheFeed records cache events, shows them after lag and loses a fraction of them.
type cacheFeed struct {
	lag    time.Duration
	loss   float64
	rng    *rand.Rand
	seq    uint64
	events []CacheEvent
}

// maxCacheEvents is the number of most recent events kept for readers.
const maxCacheEvents = 4096

func newCacheFeed(lag time.Duration, loss float64, seed uint64) *cacheFeed {
	return &cacheFeed{lag: lag, loss: loss, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (f *cacheFeed) record(prefix uint64, stored bool) {
	f.seq++
	if f.loss > 0 && f.rng.Float64() < f.loss {
		return
	}
	f.events = append(f.events, CacheEvent{Seq: f.seq, Prefix: prefix, Stored: stored, At: time.Now()})
	if len(f.events) > maxCacheEvents {
		f.events = f.events[len(f.events)-maxCacheEvents:]
	}
}

// CacheEvents returns the events after a sequence number that are older than the
// event delay.
func (e *Engine) CacheEvents(after uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []CacheEvent
	for _, ev := range e.feed.events {
		if ev.Seq > after && time.Since(ev.At) >= e.feed.lag {
			out = append(out, ev)
		}
	}
	return out
}

// KV is the exported state of a running sequence.
type KV struct {
	Request   engine.Request `json:"request"`
	Generated uint32         `json:"made"`
	Blocks    int            `json:"blocks"`
}

// ExportKV removes a running request from the engine and returns its state. Its
// stream ends with context.Canceled. It returns false if the request does not run or
// its prompt is not computed yet.
func (e *Engine) ExportKV(id string) (KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.req.ID == id && !s.cancelled && !s.needsPrefill {
			s.cancelled = true
			s.exported = true
			return KV{Request: s.req, Generated: s.generated, Blocks: s.blocks}, true
		}
	}
	return KV{}, false
}

// ImportKV continues an exported request without computing its prompt again.
func (e *Engine) ImportKV(ctx context.Context, kv KV) (engine.Stream, error) {
	req := kv.Request
	req.ResumeFrom = kv.Generated
	st, err := e.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st.(*engineStream).s.needsPrefill = false
	return st, nil
}
