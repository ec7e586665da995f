package standin

import (
	"context"
	"math/rand/v2"
	"time"

	"pumiceford/engine"
)

// CacheEvent says that a prompt prefix came into the cache or left it.
type CacheEvent struct {
	Seq    uint64    `json:"seq"` // without gaps where it happens, with gaps where it is told
	Prefix uint64    `json:"prefix"`
	Stored bool      `json:"stored"`
	At     time.Time `json:"at"`
}

// cacheFeed tells cache events late and loses some.
type cacheFeed struct {
	lag    time.Duration
	loss   float64
	rng    *rand.Rand
	seq    uint64
	events []CacheEvent
}

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 4096

func newCacheFeed(lag time.Duration, loss float64, seed uint64) *cacheFeed {
	return &cacheFeed{lag: lag, loss: loss, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (f *cacheFeed) note(prefix uint64, stored bool) {
	f.seq++
	if f.loss > 0 && f.rng.Float64() < f.loss {
		return
	}
	f.events = append(f.events, CacheEvent{Seq: f.seq, Prefix: prefix, Stored: stored, At: time.Now()})
	if len(f.events) > maxCacheEvents {
		f.events = f.events[len(f.events)-maxCacheEvents:]
	}
}

// CacheEvents returns the events after a sequence number that are old enough to
// be told.
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
	Request engine.Request `json:"request"`
	Made    uint32         `json:"made"`
	Blocks  int            `json:"blocks"`
}

// ExportKV takes a running request off the engine and returns its state. Its
// stream ends as cancelled. It reports false when the request does not run.
func (e *Engine) ExportKV(id string) (KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.req.ID == id && !s.dead && !s.prefill {
			s.dead = true
			s.exported = true
			return KV{Request: s.req, Made: s.made, Blocks: s.blocks}, true
		}
	}
	return KV{}, false
}

// ImportKV goes on with an exported request. Nothing of its prompt is computed
// again.
func (e *Engine) ImportKV(ctx context.Context, kv KV) (engine.Stream, error) {
	req := kv.Request
	req.ResumeFrom = kv.Made
	st, err := e.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st.(*engineStream).s.prefill = false
	return st, nil
}
