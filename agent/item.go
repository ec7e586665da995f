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

// itemID identifies a batch item at the agent, independently of the owner that granted
// it.
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
	itemDone // the result is not yet durable
)

// item is one granted batch item. Agent.mu guards it.
type item struct {
	id      itemID
	grant   *wire.Grant
	entry   *admission.Entry
	state   itemState
	offered bool // known to admission; false for a queued item without a valid lease

	text       strings.Builder
	tokens     uint32
	stop       context.CancelFunc
	preempted  bool // stopped to free its seat for online work; resumes later
	readmitted bool // admitted again before the preempted run has stopped at the engine
	cancelled  bool // the job was cancelled
	result     *wire.ItemResult
}

// acceptGrant takes one grant. It returns false when the item must not run here.
func (a *Agent) acceptGrant(g *wire.Grant) bool {
	id := itemIDOf(g.GetRef())
	p := a.partitions[id.partition]
	if p == nil || g.GetRef().GetEpoch() < p.epoch || p.cancelledJobs[id.job] {
		// An owner that was paused may grant items that a newer owner has granted
		// to another agent or whose job it has cancelled. The epoch and the list
		// of cancelled jobs fence it off.
		return false
	}
	if a.items[id] != nil {
		return true
	}
	cost, blocks := estimateCost(g.GetPrompt(), g.GetMaxTokens())
	it := &item{id: id, grant: g, state: itemQueued}
	it.entry = &admission.Entry{
		ID:        id.String(),
		Class:     admission.Batch,
		Workspace: g.GetWorkspace(),
		Weight:    g.GetWeight(),
		Cost:      cost,
		Blocks:    blocks,
		Exclusive: g.GetAlone(),
		Ref:       it,
	}
	a.items[id] = it
	a.enqueue(it)
	return true
}

// enqueue offers an item to admission.
func (a *Agent) enqueue(it *item) {
	if it.offered {
		return
	}
	it.offered = true
	a.adm.Offer(time.Now(), it.entry)
}

// withdraw takes a queued item out of admission.
func (a *Agent) withdraw(it *item) {
	if !it.offered {
		return
	}
	it.offered = false
	a.adm.Remove(time.Now(), it.entry)
}

// applyItemAction applies an action to a batch item. Agent.mu must be held.
func (a *Agent) applyItemAction(action admission.Action) (task, bool) {
	it, ok := action.Entry.Ref.(*item)
	if !ok {
		return task{}, false
	}
	switch action.Kind {
	case admission.Preempt:
		// Admission has already queued the entry again. The item starts again only
		// after its worker has ended the preempted run.
		it.preempted = true
		it.readmitted = false
		it.offered = true
		a.cfg.Metrics.Count("preempted")
		if it.stop != nil {
			it.stop()
		}
	case admission.Start:
		if it.state == itemRunning {
			it.readmitted = true
			return task{}, false
		}
		it.state = itemRunning
		it.offered = false
		if f := a.feedFor(it.id.partition); f != nil {
			f.started = append(f.started, it.grant.GetRef())
			f.wake()
		}
		return task{run: func() { a.runItem(it) }}, true
	}
	return task{}, false
}

// runItem runs a batch item in a worker.
func (a *Agent) runItem(it *item) {
	for a.runItemOnce(it) {
	}
	a.wake()
}

// runItemOnce runs an item until it ends or is preempted. It returns true when the
// item was admitted again in the meantime, so that the worker resumes it.
func (a *Agent) runItemOnce(it *item) bool {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	a.mu.Lock()
	it.stop = cancel
	if it.cancelled || it.preempted {
		cancel()
	}
	a.mu.Unlock()
	start := time.Now()
	res, err := a.generateItem(ctx, it)
	a.cfg.Metrics.Observe("batch", it.grant.GetWorkspace(), time.Since(start))
	a.mu.Lock()
	defer a.mu.Unlock()
	it.stop = nil
	if it.preempted && err != nil && !it.cancelled {
		it.preempted = false
		readmitted := it.readmitted
		it.readmitted = false
		if !readmitted {
			it.state = itemQueued
		}
		return readmitted
	}
	it.offered = false
	a.adm.Remove(time.Now(), it.entry)
	if it.cancelled {
		a.deleteItem(it)
		return false
	}
	a.finishItem(it, res, err)
	return false
}

// generateItem runs an item at the engine. It resumes after the tokens of an earlier,
// preempted run.
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
		last = a.recordChunk(it.entry, last, it.tokens)
		if c.FinishReason != "" {
			return &wire.ItemResult{
				Ok:               true,
				Text:             []byte(it.text.String()),
				PromptTokens:     c.PromptTokens,
				CompletionTokens: it.tokens,
			}, nil
		}
	}
}

// finishItem keeps a result until the owner confirms that it is durable.
func (a *Agent) finishItem(it *item, res *wire.ItemResult, err error) {
	if err != nil {
		res = failureResult(err)
	}
	if res.GetNotRun() {
		a.holdBatch(time.Now())
	}
	res.Ref = it.grant.GetRef()
	res.CustomId = it.grant.GetCustomId()
	it.result = res
	it.state = itemDone
	a.heldBytes += len(res.GetText())
	a.rate.record(time.Now())
	if f := a.feedFor(it.id.partition); f != nil {
		f.results = append(f.results, res)
		f.wake()
	}
}

// batchHoldTime is how long no batch item starts after the engine was unavailable.
const batchHoldTime = 300 * time.Millisecond

// holdBatch starts no batch item for batchHoldTime. Otherwise a target whose engine is
// down would request items faster than any other target, fail them all and use up the
// attempts of sound items.
func (a *Agent) holdBatch(now time.Time) {
	a.batchHeldUntil = now.Add(batchHoldTime)
	a.adm.HoldBatch(a.batchHeldUntil)
}

func failureResult(err error) *wire.ItemResult {
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

// deleteItem removes an item and its result.
func (a *Agent) deleteItem(it *item) {
	if it.result != nil {
		a.heldBytes -= len(it.result.GetText())
	}
	delete(a.items, it.id)
}

// cancelItem stops an item whose job was cancelled. A running item is removed when its
// worker has stopped it.
func (a *Agent) cancelItem(it *item) {
	it.cancelled = true
	switch it.state {
	case itemRunning:
		if it.stop != nil {
			it.stop()
		}
	case itemQueued:
		a.withdraw(it)
		a.deleteItem(it)
	case itemDone:
		a.deleteItem(it)
	}
}

// itemRate measures finished items per second.
type itemRate struct {
	sampleStart time.Time
	count       int
	rate        float64
}

// rateSampleInterval is the shortest time over which one sample of the rate is taken.
const rateSampleInterval = 500 * time.Millisecond

func (r *itemRate) record(now time.Time) {
	if r.sampleStart.IsZero() {
		r.sampleStart = now
	}
	r.count++
	if d := now.Sub(r.sampleStart); d >= rateSampleInterval {
		sample := float64(r.count) / d.Seconds()
		if r.rate == 0 {
			r.rate = sample
		}
		r.rate += (sample - r.rate) / 2
		r.sampleStart = now
		r.count = 0
	}
}
