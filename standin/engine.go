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

// EngineSettings configure an Engine. Zero selects the default.
type EngineSettings struct {
	Models          []string
	StepBase        time.Duration // time of an empty step, default 2 ms
	StepPerSeq      time.Duration // added to a step for each running sequence, default 30 us
	PrefillPerToken time.Duration // added to a step for each prompt token that is not cached, default 8 us
	MaxRunning      int           // most sequences in one step, default 32
	KVBlocks        int           // KV blocks of KVBlockTokens tokens, default 4096
	CacheBlocks     int           // cached prompt prefix blocks, default 1024
	LoadLag         time.Duration // delay of load reports, default 500 ms
	EventLag        time.Duration // delay of cache events, default 200 ms
	EventLoss       float64       // fraction of cache events that are lost, 0 to 1
	Seed            uint64        // of the random choice of lost cache events
	CheckFence      bool          // refuse orders with an outdated fencing number
	RestartDelay    time.Duration // unavailability after a crash, default 500 ms
}

// KVBlockTokens is the number of tokens in one KV block.
const KVBlockTokens = 16

// charsPerToken is the assumed length of a prompt token in bytes.
const charsPerToken = 4

// Markers in a prompt that inject faults.
const (
	MarkPoison = "[[poison]]" // the request is always rejected
	MarkFlaky  = "[[flaky]]"  // the request fails twice, then succeeds
	MarkKill   = "[[kill]]"   // the engine crashes at the request's second token
)

// maxFlakyFailures is how often a MarkFlaky prompt fails before it succeeds.
const maxFlakyFailures = 2

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

// Engine simulates a model engine with continuous batching. It admits requests in
// arrival order and has no priorities.
type Engine struct {
	set EngineSettings

	mu           sync.Mutex
	wake         chan struct{}
	queue        []*sequence
	running      []*sequence
	freeKV       int
	cache        *prefixCache
	feed         *cacheFeed
	models       map[string]bool
	maxFence     uint64
	flakyCount   map[string]int
	runs         map[string]int // accepted calls of Generate by request ID
	downUntil    time.Time
	reportedLoad engine.Load
	pendingLoads []engine.Load
	stats        EngineStats
	orders       []engine.Order
}

// EngineStats are exact totals since the start of the engine. The field names are
// part of the reply to GET /stats.
type EngineStats struct {
	Steps        uint64
	Tokens       uint64
	Prefilled    uint64 // prompt tokens computed
	CacheHits    uint64 // prompt tokens served from the prefix cache
	Admitted     uint64
	Cancelled    uint64
	Crashes      uint64
	MaxQueued    int
	BusyTime     time.Duration
	SeatTime     time.Duration // sum over all steps of the step time times the running sequences
	WastedTokens uint64        // tokens generated for cancelled sequences
}

type sequence struct {
	req          engine.Request
	generated    uint32
	blocks       int
	out          chan chunkOrErr
	cancelled    bool // removed at the next step
	promptTokens int
	needsPrefill bool // the prompt is not computed yet
	exported     bool // the state was exported, so its tokens do not count as wasted
}

type chunkOrErr struct {
	chunk engine.Chunk
	err   error
}

// NewEngine starts an engine that runs until ctx is cancelled.
func NewEngine(ctx context.Context, set EngineSettings) *Engine {
	set = set.withDefaults()
	e := &Engine{
		set:        set,
		wake:       make(chan struct{}, 1),
		freeKV:     set.KVBlocks,
		feed:       newCacheFeed(set.EventLag, set.EventLoss, set.Seed),
		models:     make(map[string]bool),
		flakyCount: make(map[string]int),
		runs:       make(map[string]int),
	}
	e.cache = newPrefixCache(set.CacheBlocks, e.feed.record)
	for _, m := range set.Models {
		e.models[m] = true
	}
	go e.loop(ctx)
	return e
}

// PromptTokens returns the simulated token count of a prompt.
func PromptTokens(prompt string) int {
	return len(prompt)/charsPerToken + 1
}

var words = strings.Fields("renewal rating medical logbook hours night cross country instrument check " +
	"valid expiry form clerk counter school seam hem lace bodice pin fitting gown stock slot sleeve train veil")

// TokenText returns the text of token n of the response to a prompt. It depends only
// on the prompt and n, so tests can compare responses byte by byte and a resumed
// response continues the interrupted one.
func TokenText(prompt string, n uint32) string {
	h := xxhash.Sum64String(prompt) + uint64(n)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return words[h%uint64(len(words))] + strconv.Itoa(int(n)) + " "
}

// AnswerText returns the text of the complete response to a prompt, tokens long.
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
	if time.Now().Before(e.downUntil) {
		return nil, engine.ErrUnavailable
	}
	if !e.models[req.Model] {
		return nil, engine.ErrUnknownModel
	}
	if strings.Contains(req.Prompt, MarkPoison) {
		return nil, engine.ErrRejected
	}
	if strings.Contains(req.Prompt, MarkFlaky) && e.flakyCount[req.Prompt] < maxFlakyFailures {
		e.flakyCount[req.Prompt]++
		return nil, engine.ErrTransient
	}
	prompt := PromptTokens(req.Prompt)
	blocks := (prompt + int(req.MaxTokens) + KVBlockTokens - 1) / KVBlockTokens
	if blocks > e.set.KVBlocks {
		return nil, engine.ErrRejected
	}
	s := &sequence{
		req:          req,
		generated:    req.ResumeFrom,
		blocks:       blocks,
		out:          make(chan chunkOrErr, req.MaxTokens+1),
		promptTokens: prompt,
		needsPrefill: true,
	}
	e.runs[req.ID]++
	e.queue = append(e.queue, s)
	e.stats.MaxQueued = max(e.stats.MaxQueued, len(e.queue))
	e.wakeLoop()
	return &engineStream{e: e, s: s}, nil
}

func (e *Engine) wakeLoop() {
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
	st.s.cancelled = true
}

func (e *Engine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		d, busy := e.beginStep()
		if !busy {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		time.Sleep(d)
		e.finishStep(d)
	}
}

// beginStep admits queued sequences in arrival order while seats and KV blocks last.
// It returns the duration of the step, and false if nothing runs.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	for len(e.queue) > 0 && len(e.running) < e.set.MaxRunning && e.queue[0].blocks <= e.freeKV {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.freeKV -= s.blocks
		e.running = append(e.running, s)
		e.stats.Admitted++
	}
	if len(e.running) == 0 {
		e.recordLoad(0)
		return 0, false
	}
	d := e.set.StepBase + time.Duration(len(e.running))*e.set.StepPerSeq
	for _, s := range e.running {
		if s.needsPrefill {
			d += time.Duration(e.prefill(s)) * e.set.PrefillPerToken
		}
	}
	return d, true
}

// prefill returns how many tokens must be computed for a sequence: those of its
// prompt that are not cached and those that an earlier attempt has delivered.
func (e *Engine) prefill(s *sequence) int {
	s.needsPrefill = false
	hit := min(e.cache.lookup(s.req.Model, s.req.Prompt)*KVBlockTokens, s.promptTokens)
	e.stats.CacheHits += uint64(hit)
	miss := s.promptTokens - hit + int(s.req.ResumeFrom)
	e.stats.Prefilled += uint64(miss)
	return miss
}

func (e *Engine) dropCancelled() {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.cancelled {
			e.freeKV += s.blocks
			e.stats.Cancelled++
			if !s.exported {
				e.stats.WastedTokens += uint64(s.generated - s.req.ResumeFrom)
			}
			s.out <- chunkOrErr{err: context.Canceled}
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	waiting := e.queue[:0]
	for _, s := range e.queue {
		if s.cancelled {
			s.out <- chunkOrErr{err: context.Canceled}
			continue
		}
		waiting = append(waiting, s)
	}
	e.queue = waiting
}

// finishStep emits one token for every running sequence and records a step that
// took d.
func (e *Engine) finishStep(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	e.stats.BusyTime += d
	e.stats.SeatTime += d * time.Duration(len(e.running))
	for _, s := range e.running {
		if strings.Contains(s.req.Prompt, MarkKill) && s.generated >= 1 {
			e.crash()
			return
		}
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if s.cancelled {
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
	e.recordLoad(d)
}

// emit sends one token and reports whether the sequence is finished.
func (e *Engine) emit(s *sequence) bool {
	if s.generated >= s.req.MaxTokens {
		s.out <- chunkOrErr{chunk: engine.Chunk{FinishReason: "length", PromptTokens: uint32(s.promptTokens)}}
		return true
	}
	c := engine.Chunk{Text: TokenText(s.req.Prompt, s.generated), Tokens: 1}
	s.generated++
	e.stats.Tokens++
	if s.generated >= s.req.MaxTokens {
		c.FinishReason = "length"
		c.PromptTokens = uint32(s.promptTokens)
	}
	s.out <- chunkOrErr{chunk: c}
	return c.FinishReason != ""
}

// Crash drops all requests and the prefix cache. The engine is then unavailable for
// the restart delay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	for _, s := range append(e.running, e.queue...) {
		if !s.cancelled {
			s.out <- chunkOrErr{err: engine.ErrLost}
		}
	}
	e.running = nil
	e.queue = nil
	e.freeKV = e.set.KVBlocks
	e.cache = newPrefixCache(e.set.CacheBlocks, e.feed.record)
	e.stats.Crashes++
	e.downUntil = time.Now().Add(e.set.RestartDelay)
}

func (e *Engine) recordLoad(step time.Duration) {
	now := time.Now()
	e.pendingLoads = append(e.pendingLoads, engine.Load{
		Running:  len(e.running),
		Queued:   len(e.queue),
		FreeKV:   e.freeKV,
		TotalKV:  e.set.KVBlocks,
		StepTime: step,
		AsOf:     now,
	})
	for len(e.pendingLoads) > 0 && now.Sub(e.pendingLoads[0].AsOf) >= e.set.LoadLag {
		e.reportedLoad = e.pendingLoads[0]
		e.pendingLoads = e.pendingLoads[1:]
	}
}

// Load implements engine.Engine.
func (e *Engine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reportedLoad, nil
}

// Order implements engine.Engine.
func (e *Engine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.set.CheckFence && o.Fence < e.maxFence {
		return engine.ErrStaleFence
	}
	e.maxFence = max(e.maxFence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case engine.OrderLoad:
		e.models[o.Model] = true
	case engine.OrderUnload:
		delete(e.models, o.Model)
	}
	return nil
}

// Orders returns the orders that were executed.
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

// RunCount returns how often a request ID was accepted for execution.
func (e *Engine) RunCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// RunCounts returns how often each request ID was accepted for execution.
func (e *Engine) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// Stats returns the totals since the start.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
