package agent

import (
	"context"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/admission"
	"pumiceford/engine"
	"pumiceford/wire"
)

// itemID names a batch item at the agent, whichever owner granted it.
type itemID struct {
	partition uint32
	job       string
	index     uint32
}

func itemIDOf(ref *wire.ItemRef) itemID {
	return itemID{partition: ref.GetPartition(), job: string(ref.GetJob()), index: ref.GetIndex()}
}

func (id itemID) String() string {
	return "b" + strconv.Itoa(int(id.partition)) + "-" + hex.EncodeToString([]byte(id.job)) + "-" + strconv.Itoa(int(id.index))
}

func hexID(id []byte) string {
	return hex.EncodeToString(id)
}

type itemState int

const (
	itemQueued itemState = iota + 1
	itemRunning
	itemDone // result waits to become durable
)

// item is one granted batch item. Agent.mu guards it.
type item struct {
	id     itemID
	grant  *wire.Grant
	entry  *admission.Entry
	state  itemState
	queued bool // known to admission; a queued item without a fresh lease is not

	text    strings.Builder
	tokens  uint32
	stop    context.CancelFunc
	preempt bool // stopped to give its seat to online; goes on later
	restart bool // admitted again before the stopped run has left the engine
	dropped bool // its job was cancelled
	result  *wire.ItemResult
}

// accept takes one grant. It reports false when the item must not run here.
func (a *Agent) accept(g *wire.Grant) bool {
	id := itemIDOf(g.GetRef())
	p := a.parts[id.partition]
	if p == nil || g.GetRef().GetEpoch() < p.epoch || p.stopped[id.job] {
		// A paused owner may wake up and grant what a newer owner has given
		// elsewhere or cancelled. The epoch and the tombstone keep it out.
		return false
	}
	if a.items[id] != nil {
		return true
	}
	cost, blocks := estimate(g.GetPrompt(), g.GetMaxTokens())
	it := &item{id: id, grant: g, state: itemQueued}
	it.entry = &admission.Entry{
		ID:        id.String(),
		Class:     admission.Batch,
		Workspace: g.GetWorkspace(),
		Weight:    g.GetWeight(),
		Cost:      cost,
		Blocks:    blocks,
		Alone:     g.GetAlone(),
		Ref:       it,
	}
	a.items[id] = it
	a.enqueue(it)
	return true
}

// enqueue offers an item to admission.
func (a *Agent) enqueue(it *item) {
	if it.queued {
		return
	}
	it.queued = true
	a.adm.Offer(time.Now(), it.entry)
}

// withdraw takes a queued item out of admission.
func (a *Agent) withdraw(it *item) {
	if !it.queued {
		return
	}
	it.queued = false
	a.adm.Finish(time.Now(), it.entry)
}

// carryOutItem applies an action to a batch item under Agent.mu.
func (a *Agent) carryOutItem(act admission.Action) (task, bool) {
	it, ok := act.Entry.Ref.(*item)
	if !ok {
		return task{}, false
	}
	switch act.Kind {
	case admission.Preempt:
		// Admission has queued the entry again. The item starts once more when
		// the worker that runs it has let go.
		it.preempt = true
		it.restart = false
		it.queued = true
		a.cfg.Metrics.Count("preempted")
		if it.stop != nil {
			it.stop()
		}
	case admission.Start:
		if it.state == itemRunning {
			it.restart = true
			return task{}, false
		}
		it.state = itemRunning
		it.queued = false
		if f := a.feedOf(it.id.partition); f != nil {
			f.started = append(f.started, it.grant.GetRef())
			f.wake()
		}
		return task{run: func() { a.runItem(it) }}, true
	}
	return task{}, false
}

// runItem is the worker's part of a batch item.
func (a *Agent) runItem(it *item) {
	for a.runItemOnce(it) {
	}
	a.wake()
}

// runItemOnce runs an item until it ends or is preempted. It reports true when
// the item was admitted again meanwhile and must run on.
func (a *Agent) runItemOnce(it *item) bool {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	a.mu.Lock()
	it.stop = cancel
	if it.dropped || it.preempt {
		cancel()
	}
	a.mu.Unlock()
	began := time.Now()
	res, err := a.generateItem(ctx, it)
	a.cfg.Metrics.Observe("batch", it.grant.GetWorkspace(), time.Since(began))
	a.mu.Lock()
	defer a.mu.Unlock()
	it.stop = nil
	if it.preempt && err != nil && !it.dropped {
		it.preempt = false
		again := it.restart
		it.restart = false
		if !again {
			it.state = itemQueued
		}
		return again
	}
	it.queued = false
	a.adm.Finish(time.Now(), it.entry)
	if it.dropped {
		a.forgetItem(it)
		return false
	}
	a.finishItem(it, res, err)
	return false
}

// generateItem runs an item on from the tokens that an earlier, preempted run
// left.
func (a *Agent) generateItem(ctx context.Context, it *item) (*wire.ItemResult, error) {
	g := it.grant
	stream, err := a.cfg.Engine.Generate(ctx, engine.Request{
		ID:         it.id.String(),
		Model:      g.GetModel(),
		Prompt:     g.GetPrompt(),
		MaxTokens:  g.GetMaxTokens(),
		ResumeFrom: it.tokens,
	})
	if err != nil {
		return nil, err
	}
	defer stream.Cancel()
	last := time.Time{}
	for {
		c, err := stream.Next(ctx)
		if err != nil {
			return nil, err
		}
		it.text.WriteString(c.Text)
		it.tokens += c.Tokens
		last = a.noteChunk(it.entry, last, it.tokens)
		if c.Finish != "" {
			return &wire.ItemResult{
				Ok:               true,
				Text:             []byte(it.text.String()),
				PromptTokens:     c.PromptTokens,
				CompletionTokens: it.tokens,
			}, nil
		}
	}
}

// finishItem keeps a result until its owner says that it is durable.
func (a *Agent) finishItem(it *item, res *wire.ItemResult, err error) {
	if err != nil {
		res = failedItem(err)
	}
	if res.GetNotRun() {
		a.holdBatch(time.Now())
	}
	res.Ref = it.grant.GetRef()
	res.CustomId = it.grant.GetCustomId()
	it.result = res
	it.state = itemDone
	a.heldSize += len(res.GetText())
	a.rate.note(time.Now())
	if f := a.feedOf(it.id.partition); f != nil {
		f.results = append(f.results, res)
		f.wake()
	}
}

// engineHold is how long no batch item is started after the engine took nothing.
const engineHold = 300 * time.Millisecond

// holdBatch stops batch for a while. Without it a target whose engine is down
// would draw items faster than any other, fail them all, and use up the attempts
// of items that did nothing wrong.
func (a *Agent) holdBatch(now time.Time) {
	a.holdUntil = now.Add(engineHold)
	a.adm.HoldBatch(a.holdUntil)
}

func failedItem(err error) *wire.ItemResult {
	res := &wire.ItemResult{Reason: err.Error()}
	switch {
	case errors.Is(err, engine.ErrRejected):
	case errors.Is(err, engine.ErrLost):
		res.Retryable = true
		res.TargetLost = true
	case errors.Is(err, engine.ErrUnknownModel), errors.Is(err, engine.ErrUnavailable):
		res.NotRun = true
	default:
		res.Retryable = true
	}
	return res
}

// forgetItem drops an item.
func (a *Agent) forgetItem(it *item) {
	if it.result != nil {
		a.heldSize -= len(it.result.GetText())
	}
	delete(a.items, it.id)
}

// dropItem stops an item whose job was cancelled or that lives elsewhere now.
func (a *Agent) dropItem(it *item) {
	it.dropped = true
	switch it.state {
	case itemRunning:
		if it.stop != nil {
			it.stop()
		}
	case itemQueued:
		a.withdraw(it)
		a.forgetItem(it)
	case itemDone:
		a.forgetItem(it)
	}
}

// itemRate measures finished items a second.
type itemRate struct {
	since time.Time
	count int
	rate  float64
}

// rateInterval is how long items are counted for one sample of the rate.
const rateInterval = 500 * time.Millisecond

func (r *itemRate) note(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.count++
	if d := now.Sub(r.since); d >= rateInterval {
		sample := float64(r.count) / d.Seconds()
		if r.rate == 0 {
			r.rate = sample
		}
		r.rate += (sample - r.rate) / 2
		r.since = now
		r.count = 0
	}
}
