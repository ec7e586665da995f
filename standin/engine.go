package standin

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceford/engine"
	"pumiceford/internal/defaults"
)

// EngineSettings shape an Engine.
type EngineSettings struct {
	Models          []string
	StepBase        time.Duration // time of a step with nothing in it, default 2 ms
	StepPerSeq      time.Duration // added for each running sequence, default 30 us
	PrefillPerToken time.Duration // added for each prompt token not in the cache, default 8 us
	MaxRunning      int           // sequences in one step, default 32
	KVBlocks        int           // blocks of KVBlockTokens, default 4096
	CacheBlocks     int           // blocks of prompt prefixes kept, default 1024
	LoadLag         time.Duration // age of load reports, default 500 ms
	EventLag        time.Duration // age of cache events, default 200 ms
	EventLoss       float64       // share of cache events that are lost
	Seed            uint64        // of what is lost
	CheckFence      bool          // refuse orders with an old fencing number
	RestartDelay    time.Duration // time down after a crash, default 500 ms
}

// KVBlockTokens is how many tokens one KV block holds.
const KVBlockTokens = 16

// charsPerToken is how long the stand-in thinks a prompt token is.
const charsPerToken = 4

// Marks in a prompt that make the stand-in misbehave.
const (
	MarkPoison = "[[poison]]" // always rejected
	MarkFlaky  = "[[flaky]]"  // fails twice, then works
	MarkKill   = "[[kill]]"   // crashes the engine at its second token
)

// flakyFailures is how often a MarkFlaky prompt fails.
const flakyFailures = 2

func (s EngineSettings) withDefaults() EngineSettings {
	defaults.Set(&s.StepBase, 2*time.Millisecond)
	defaults.Set(&s.StepPerSeq, 30*time.Microsecond)
	defaults.Set(&s.PrefillPerToken, 8*time.Microsecond)
	defaults.Set(&s.MaxRunning, 32)
	defaults.Set(&s.KVBlocks, 4096)
	defaults.Set(&s.CacheBlocks, 1024)
	defaults.Set(&s.LoadLag, 500*time.Millisecond)
	defaults.Set(&s.EventLag, 200*time.Millisecond)
	defaults.Set(&s.RestartDelay, 500*time.Millisecond)
	return s
}

// Engine is a stand-in for a model engine: continuous batching, admission in
// arrival order, no priorities.
type Engine struct {
	set EngineSettings

	mu      sync.Mutex
	wake    chan struct{}
	queue   []*sequence
	running []*sequence
	freeKV  int
	cache   *prefixCache
	feed    *cacheFeed
	models  map[string]bool
	fence   uint64
	flaky   map[string]int
	runs    map[string]int // request id -> executions begun
	downTil time.Time
	report  engine.Load
	lag     []engine.Load
	stats   EngineStats
	orders  []engine.Order
}

// EngineStats are exact counts since the start.
type EngineStats struct {
	Steps        uint64
	Tokens       uint64
	Prefilled    uint64 // prompt tokens computed
	CacheHits    uint64 // prompt tokens found in the prefix cache
	Admitted     uint64
	Cancelled    uint64
	Crashes      uint64
	MaxQueued    int
	BusyTime     time.Duration
	SeatTime     time.Duration // sum over steps of running sequences times step time
	WastedTokens uint64        // tokens of cancelled sequences
}

type sequence struct {
	req      engine.Request
	made     uint32
	blocks   int
	out      chan chunkOrErr
	dead     bool // cancelled, dropped at the next step
	prompt   int
	prefill  bool // prompt not computed yet
	exported bool // its state was taken away, so nothing of it is wasted
}

type chunkOrErr struct {
	chunk engine.Chunk
	err   error
}

// NewEngine starts an engine that runs until ctx ends.
func NewEngine(ctx context.Context, set EngineSettings) *Engine {
	set = set.withDefaults()
	e := &Engine{
		set:    set,
		wake:   make(chan struct{}, 1),
		freeKV: set.KVBlocks,
		feed:   newCacheFeed(set.EventLag, set.EventLoss, set.Seed),
		models: make(map[string]bool),
		flaky:  make(map[string]int),
		runs:   make(map[string]int),
	}
	e.cache = newPrefixCache(set.CacheBlocks, e.feed.note)
	for _, m := range set.Models {
		e.models[m] = true
	}
	go e.loop(ctx)
	return e
}

// PromptTokens is the stand-in's token count of a prompt.
func PromptTokens(prompt string) int {
	return len(prompt)/charsPerToken + 1
}

var words = strings.Fields("renewal rating medical logbook hours night cross country instrument check " +
	"valid expiry form clerk counter school seam hem lace bodice pin fitting gown stock slot sleeve train veil")

// TokenText is the text of token n of the answer to a prompt. It depends on
// nothing else, so that a test can compare every byte and a resumed answer
// continues the first one.
func TokenText(prompt string, n uint32) string {
	h := xxhash.Sum64String(prompt) + uint64(n)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return words[h%uint64(len(words))] + strconv.Itoa(int(n)) + " "
}

// AnswerText is the whole answer of max tokens to a prompt.
func AnswerText(prompt string, tokens uint32) string {
	var b strings.Builder
	for n := uint32(0); n < tokens; n++ {
		b.WriteString(TokenText(prompt, n))
	}
	return b.String()
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, req engine.Request) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downTil) {
		return nil, engine.ErrUnavailable
	}
	if !e.models[req.Model] {
		return nil, engine.ErrUnknownModel
	}
	if strings.Contains(req.Prompt, MarkPoison) {
		return nil, engine.ErrRejected
	}
	if strings.Contains(req.Prompt, MarkFlaky) && e.flaky[req.Prompt] < flakyFailures {
		e.flaky[req.Prompt]++
		return nil, engine.ErrBusy
	}
	prompt := PromptTokens(req.Prompt)
	blocks := (prompt + int(req.MaxTokens) + KVBlockTokens - 1) / KVBlockTokens
	if blocks > e.set.KVBlocks {
		return nil, engine.ErrRejected
	}
	s := &sequence{
		req:     req,
		made:    req.ResumeFrom,
		blocks:  blocks,
		out:     make(chan chunkOrErr, req.MaxTokens+1),
		prompt:  prompt,
		prefill: true,
	}
	e.runs[req.ID]++
	e.queue = append(e.queue, s)
	e.stats.MaxQueued = max(e.stats.MaxQueued, len(e.queue))
	e.kick()
	return &engineStream{e: e, s: s}, nil
}

func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

type engineStream struct {
	e *Engine
	s *sequence
}

// Next implements engine.Stream.
func (st *engineStream) Next(ctx context.Context) (engine.Chunk, error) {
	select {
	case c := <-st.s.out:
		return c.chunk, c.err
	case <-ctx.Done():
		return engine.Chunk{}, ctx.Err()
	}
}

// Cancel implements engine.Stream.
func (st *engineStream) Cancel() {
	st.e.mu.Lock()
	defer st.e.mu.Unlock()
	st.s.dead = true
}

func (e *Engine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		d, busy := e.begin()
		if !busy {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		time.Sleep(d)
		e.finish(d)
	}
}

// begin admits what fits, in arrival order, and returns the step's time.
func (e *Engine) begin() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropDead()
	for len(e.queue) > 0 && len(e.running) < e.set.MaxRunning && e.queue[0].blocks <= e.freeKV {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.freeKV -= s.blocks
		e.running = append(e.running, s)
		e.stats.Admitted++
	}
	if len(e.running) == 0 {
		e.noteLoad(0)
		return 0, false
	}
	d := e.set.StepBase + time.Duration(len(e.running))*e.set.StepPerSeq
	for _, s := range e.running {
		if s.prefill {
			d += time.Duration(e.prefill(s)) * e.set.PrefillPerToken
		}
	}
	return d, true
}

// prefill returns how many prompt tokens must be computed.
func (e *Engine) prefill(s *sequence) int {
	s.prefill = false
	hit := min(e.cache.touch(s.req.Model, s.req.Prompt)*KVBlockTokens, s.prompt)
	e.stats.CacheHits += uint64(hit)
	miss := s.prompt - hit + int(s.req.ResumeFrom)
	e.stats.Prefilled += uint64(miss)
	return miss
}

func (e *Engine) dropDead() {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.dead {
			e.freeKV += s.blocks
			e.stats.Cancelled++
			if !s.exported {
				e.stats.WastedTokens += uint64(s.made - s.req.ResumeFrom)
			}
			s.out <- chunkOrErr{err: context.Canceled}
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	waiting := e.queue[:0]
	for _, s := range e.queue {
		if s.dead {
			s.out <- chunkOrErr{err: context.Canceled}
			continue
		}
		waiting = append(waiting, s)
	}
	e.queue = waiting
}

// finish gives every running sequence its token.
func (e *Engine) finish(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	e.stats.BusyTime += d
	e.stats.SeatTime += d * time.Duration(len(e.running))
	for _, s := range e.running {
		if strings.Contains(s.req.Prompt, MarkKill) && s.made >= 1 {
			e.crash()
			return
		}
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if s.dead {
			kept = append(kept, s)
			continue
		}
		if !e.emit(s) {
			kept = append(kept, s)
			continue
		}
		e.freeKV += s.blocks
	}
	e.running = kept
	e.noteLoad(d)
}

// emit gives one token and reports whether the sequence is finished.
func (e *Engine) emit(s *sequence) bool {
	if s.made >= s.req.MaxTokens {
		s.out <- chunkOrErr{chunk: engine.Chunk{Finish: "length", PromptTokens: uint32(s.prompt)}}
		return true
	}
	c := engine.Chunk{Text: TokenText(s.req.Prompt, s.made), Tokens: 1}
	s.made++
	e.stats.Tokens++
	if s.made >= s.req.MaxTokens {
		c.Finish = "length"
		c.PromptTokens = uint32(s.prompt)
	}
	s.out <- chunkOrErr{chunk: c}
	return c.Finish != ""
}

// Crash loses everything that the engine holds.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	for _, s := range append(e.running, e.queue...) {
		if !s.dead {
			s.out <- chunkOrErr{err: engine.ErrLost}
		}
	}
	e.running = nil
	e.queue = nil
	e.freeKV = e.set.KVBlocks
	e.cache = newPrefixCache(e.set.CacheBlocks, e.feed.note)
	e.stats.Crashes++
	e.downTil = time.Now().Add(e.set.RestartDelay)
}

func (e *Engine) noteLoad(step time.Duration) {
	now := time.Now()
	e.lag = append(e.lag, engine.Load{
		Running:  len(e.running),
		Queued:   len(e.queue),
		FreeKV:   e.freeKV,
		TotalKV:  e.set.KVBlocks,
		StepTime: step,
		AsOf:     now,
	})
	for len(e.lag) > 0 && now.Sub(e.lag[0].AsOf) >= e.set.LoadLag {
		e.report = e.lag[0]
		e.lag = e.lag[1:]
	}
}

// Load implements engine.Engine.
func (e *Engine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

// Order implements engine.Engine.
func (e *Engine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.set.CheckFence && o.Fence < e.fence {
		return engine.ErrStaleFence
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case engine.OrderLoad:
		e.models[o.Model] = true
	case engine.OrderUnload:
		delete(e.models, o.Model)
	}
	return nil
}

// Orders returns the orders that were carried out.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

// Models implements engine.Engine.
func (e *Engine) Models(context.Context) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for m := range e.models {
		out = append(out, m)
	}
	return out, nil
}

// Runs returns how often a request id was begun.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// AllRuns returns how often each request id was begun.
func (e *Engine) AllRuns() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// Stats returns the counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
