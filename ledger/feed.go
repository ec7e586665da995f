package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/batch"
	"pumiceford/logging"
	"pumiceford/wire"
)

// ErrStreamClosed reports that this side closed a batch stream.
var ErrStreamClosed = errors.New("batch stream closed")

// AgentStream is one batch stream to an agent. Close may be called concurrently with
// Send and Recv, and makes both fail.
type AgentStream interface {
	Send(m *wire.OwnerUpdate) error
	Recv(m *wire.AgentUpdate) error
	Close()
}

// feed is the owner's side of the batch stream to one agent. feed.mu guards
// outgoing; Owner.mu guards the last group of fields.
type feed struct {
	owner  *Owner
	agent  string
	stream AgentStream

	mu        sync.Mutex
	outgoing  *wire.OwnerUpdate
	wakeup    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	// Guarded by Owner.mu.
	want        int      // items that the agent requested and was not granted yet
	models      []string // models that the agent serves
	incarnation string
	declared    bool // the agent has listed the items that it holds of the partition
	draining    bool
}

// feedKeepalive is the longest time between two messages to an agent. It must be
// well below the agent's LeaseTimeout, after which it starts no more queued items.
const feedKeepalive = time.Second

// Attach serves the batch stream to an agent until the stream or ctx ends.
func (o *Owner) Attach(ctx context.Context, agent string, stream AgentStream) {
	f := &feed{
		owner:    o,
		agent:    agent,
		stream:   stream,
		outgoing: &wire.OwnerUpdate{},
		wakeup:   make(chan struct{}, 1),
		closed:   make(chan struct{}),
	}
	if !o.addFeed(f) {
		return
	}
	defer o.removeFeed(f)
	go f.recvLoop()
	f.sendLoop(ctx)
}

// addFeed registers a feed and closes an earlier one of the same agent. It
// reports false when the owner has lost the partition.
func (o *Owner) addFeed(f *feed) bool {
	o.mu.Lock()
	old := o.feeds[f.agent]
	if o.closed || !o.owned() {
		o.mu.Unlock()
		return false
	}
	o.feeds[f.agent] = f
	delete(o.disconnectedAt, f.agent)
	// A job that was cancelled while the agent was disconnected may still be
	// queued there.
	o.partition.Jobs(func(j *batch.Job) bool {
		if j.State() == batch.JobCancelled {
			f.outgoing.Cancelled = append(f.outgoing.Cancelled, o.jobRef(j.ID))
		}
		return true
	})
	o.mu.Unlock()
	if old != nil {
		old.close()
	}
	return true
}

func (o *Owner) removeFeed(f *feed) {
	f.close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.feeds[f.agent] == f {
		delete(o.feeds, f.agent)
		o.disconnectedAt[f.agent] = time.Now()
	}
}

func (f *feed) close() {
	f.closeOnce.Do(func() {
		close(f.closed)
		f.stream.Close()
	})
}

func (f *feed) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// ackDurable queues the notice that a result is durable.
func (f *feed) ackDurable(ref *wire.ItemRef) {
	f.mu.Lock()
	f.outgoing.Durable = append(f.outgoing.Durable, ref)
	f.mu.Unlock()
	f.wake()
}

// notifyCancelled queues the notice that a job is cancelled.
func (f *feed) notifyCancelled(ref *wire.JobRef) {
	f.mu.Lock()
	f.outgoing.Cancelled = append(f.outgoing.Cancelled, ref)
	f.mu.Unlock()
	f.wake()
}

// sendLoop sends grants, acknowledgements and cancellations to the agent. Each
// message carries the epoch, which renews the agent's lease.
func (f *feed) sendLoop(ctx context.Context) {
	tick := time.NewTicker(feedKeepalive)
	defer tick.Stop()
	var sent time.Time
	for {
		grants := f.owner.nextGrants(ctx, f)
		m := f.takeOutgoing()
		m.Grants = grants
		idle := len(grants) == 0 && len(m.Durable) == 0 && len(m.Cancelled) == 0
		if !idle || time.Since(sent) >= feedKeepalive/2 {
			if !f.owner.addEpoch(m) || f.stream.Send(m) != nil {
				return
			}
			sent = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-f.closed:
			return
		case <-f.wakeup:
		case <-tick.C:
		}
	}
}

// takeOutgoing returns the queued notices and clears the queue.
func (f *feed) takeOutgoing() *wire.OwnerUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.outgoing
	f.outgoing = &wire.OwnerUpdate{}
	return m
}

// addEpoch adds the owner's epoch and backlog to a message. It reports false
// when this node no longer owns the partition. Then nothing more may be sent,
// because every message renews the agent's lease from this owner.
func (o *Owner) addEpoch(m *wire.OwnerUpdate) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owned() || o.closed {
		return false
	}
	m.Epochs = []*wire.PartitionEpoch{{Partition: o.number, Epoch: o.epoch}}
	m.Backlog = uint32(min(o.dispatcher.Backlog(), maxReportedBacklog))
	return true
}

// maxReportedBacklog bounds the backlog in a message, so that it fits the field.
// Agents only compare it with 0.
const maxReportedBacklog = 1 << 30

// recvLoop handles the agent's messages until the stream ends.
func (f *feed) recvLoop() {
	defer f.close()
	for {
		m := &wire.AgentUpdate{}
		if f.stream.Recv(m) != nil {
			return
		}
		f.owner.handleMessage(f, m)
	}
}

// itemKey converts a reference from the wire. It reports false when the job id
// has the wrong length.
func itemKey(ref *wire.ItemRef) (batch.ItemKey, bool) {
	var key batch.ItemKey
	if len(ref.GetJob()) != len(key.Job) {
		return key, false
	}
	copy(key.Job[:], ref.GetJob())
	key.Index = ref.GetIndex()
	return key, true
}

// handleMessage applies one message from an agent.
func (o *Owner) handleMessage(f *feed, m *wire.AgentUpdate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owned() || o.feeds[f.agent] != f {
		return
	}
	f.models = m.GetModels()
	f.draining = m.GetLeaving()
	o.reconcileHeld(f, m)
	o.handleItems(f, m)
	for _, ref := range m.GetStopped() {
		o.confirmCancel(f.agent, ref)
	}
	if m.Want != nil {
		f.want = int(m.GetWant())
	}
	f.wake()
}

// handleItems applies the starts, results and returned items of a message.
// Owner.mu must be held.
func (o *Owner) handleItems(f *feed, m *wire.AgentUpdate) {
	for _, ref := range m.GetStarted() {
		if key, ok := o.ownItemKey(ref); ok {
			o.dispatcher.MarkStarted(key, f.agent)
		}
	}
	for _, res := range m.GetResults() {
		o.handleResult(f, res)
	}
	for _, ref := range m.GetHandedBack() {
		if key, ok := o.ownItemKey(ref); ok {
			o.dispatcher.HandBack(key, f.agent)
		}
	}
}

// ownItemKey converts a reference. It reports false when the item belongs to
// another partition.
func (o *Owner) ownItemKey(ref *wire.ItemRef) (batch.ItemKey, bool) {
	if ref.GetPartition() != o.number {
		return batch.ItemKey{}, false
	}
	return itemKey(ref)
}

// reconcileHeld compares the items that an agent holds with the granted ones.
// It adopts held items. Granted items that the agent does not hold were lost on
// the way or with an earlier incarnation of the agent, and are queued again.
// Owner.mu must be held.
func (o *Owner) reconcileHeld(f *feed, m *wire.AgentUpdate) {
	declared := false
	for _, p := range m.GetDeclared() {
		declared = declared || p == o.number
	}
	if !declared {
		return
	}
	f.declared = true
	f.incarnation = string(m.GetIncarnation())
	held := make(map[batch.ItemKey]bool)
	for _, ref := range m.GetHeld() {
		key, ok := o.ownItemKey(ref)
		if !ok {
			continue
		}
		held[key] = true
		if !o.dispatcher.Adopt(key, f.agent) {
			f.ackDurable(ref)
		}
	}
	restarted := o.incarnations[f.agent] != "" && o.incarnations[f.agent] != f.incarnation
	o.incarnations[f.agent] = f.incarnation
	if restarted {
		o.requeueLost(f.agent, held)
		return
	}
	for _, key := range o.dispatcher.HeldBy(f.agent) {
		if !held[key] {
			o.dispatcher.HandBack(key, f.agent)
		}
	}
}

// forgetAgent drops the state of a lost agent and stops waiting for its cancel
// confirmations. Owner.mu must be held.
func (o *Owner) forgetAgent(agent string) {
	delete(o.incarnations, agent)
	for _, w := range o.cancels {
		w.confirm(agent)
	}
}

// expireAgents declares agents lost that have been disconnected for
// AgentLostAfter.
func (o *Owner) expireAgents(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owned() {
		return
	}
	for agent, since := range o.disconnectedAt {
		if now.Sub(since) < o.cfg.AgentLostAfter {
			continue
		}
		delete(o.disconnectedAt, agent)
		o.requeueLost(agent, nil)
		o.forgetAgent(agent)
		o.log.Warn("agent lost", logging.F("agent", agent), logging.F("partition", o.number))
	}
	o.failInDoubt(now)
}

// requeueLost queues again the items of a lost agent, except those in held,
// which the agent's next incarnation holds. Items that must not run again are
// recorded as failed. Owner.mu must be held.
func (o *Owner) requeueLost(agent string, held map[batch.ItemKey]bool) {
	for _, key := range o.dispatcher.AgentLost(agent, held) {
		reason := ReasonTargetLost
		if j := o.partition.Job(key.Job); j != nil && j.Commit.GetNonIdempotent() {
			reason = ReasonOutcomeUnknown
		}
		o.bufferOutcome(key, &wire.Outcome{Index: key.Index, Reason: reason}, resultAck{})
	}
}

// Reasons of items that are recorded as failed without a response of an engine.
const (
	ReasonTargetLost     = "target lost repeatedly while the item ran alone"
	ReasonOutcomeUnknown = "outcome unknown"
	ReasonTooLarge       = "result is over the log's record limit"
	ReasonBadItem        = "item cannot be read"
)

// failInDoubt records started non-idempotent items as failed when no agent has
// reported them within InDoubtAfter since the takeover. They may have run, so
// they never run again. Owner.mu must be held.
func (o *Owner) failInDoubt(now time.Time) {
	if o.inDoubtResolved || now.Sub(o.takenOverAt) < o.cfg.InDoubtAfter {
		return
	}
	o.inDoubtResolved = true
	o.partition.Jobs(func(j *batch.Job) bool {
		if j.State() != batch.JobRunning || !j.Commit.GetNonIdempotent() {
			return true
		}
		it := j.Started().Iterator()
		for it.HasNext() {
			key := batch.ItemKey{Job: j.ID, Index: it.Next()}
			if o.dispatcher.InDoubt(key) {
				o.bufferOutcome(key, &wire.Outcome{Index: key.Index, Reason: ReasonOutcomeUnknown}, resultAck{})
			}
		}
		return true
	})
}

// handleResult processes the outcome of one execution. Owner.mu must be held.
func (o *Owner) handleResult(f *feed, res *wire.ItemResult) {
	key, ok := o.ownItemKey(res.GetRef())
	if !ok {
		return
	}
	if holder, ok := o.pendingOutcomes[key]; ok {
		// A copy from another agent is not needed, because the holder keeps its
		// own until the outcome is durable.
		if holder != f.agent {
			f.ackDurable(res.GetRef())
		}
		return
	}
	verdict := o.dispatcher.Result(time.Now(), key, f.agent, batch.Report{
		OK:         res.GetOk(),
		Retryable:  res.GetRetryable(),
		NotRun:     res.GetNotRun(),
		TargetLost: res.GetTargetLost(),
	})
	switch verdict {
	case batch.VerdictIgnore, batch.VerdictRetry:
		f.ackDurable(res.GetRef())
	case batch.VerdictSuccess, batch.VerdictFailed:
		oc := &wire.Outcome{
			Index:            key.Index,
			Ok:               res.GetOk(),
			Reason:           res.GetReason(),
			Text:             res.GetText(),
			PromptTokens:     res.GetPromptTokens(),
			CompletionTokens: res.GetCompletionTokens(),
			CustomId:         res.GetCustomId(),
		}
		o.bufferOutcome(key, oc, resultAck{agent: f.agent, ref: res.GetRef()})
	}
}

// bufferOutcome adds an outcome to the next results record. An outcome over half
// of the record limit is replaced by a failure. Owner.mu must be held.
func (o *Owner) bufferOutcome(key batch.ItemKey, oc *wire.Outcome, ack resultAck) {
	if _, ok := o.pendingOutcomes[key]; ok {
		return
	}
	if outcomeSize(oc) > o.cfg.RecordLimit/2 {
		oc = &wire.Outcome{Index: oc.GetIndex(), Reason: ReasonTooLarge}
	}
	if len(o.results) == 0 {
		o.resultsSince = time.Now()
	}
	o.pendingOutcomes[key] = ack.agent
	o.results[key.Job] = append(o.results[key.Job], oc)
	o.resultAcks[key.Job] = append(o.resultAcks[key.Job], ack)
	o.bufferedBytes += outcomeSize(oc)
}
