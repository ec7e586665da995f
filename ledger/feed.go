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

// ErrStreamClosed says that a batch stream was closed by this side.
var ErrStreamClosed = errors.New("batch stream closed")

// Stream is one batch stream to an agent.
type Stream interface {
	Send(m *wire.FeedDown) error
	Recv(m *wire.FeedUp) error
	Close()
}

// feed is an owner's side of the batch stream to one agent. feed.mu guards the
// outgoing message; Owner.mu guards the rest.
type feed struct {
	owner *Owner
	agent string
	st    Stream

	mu     sync.Mutex
	out    *wire.FeedDown
	signal chan struct{}
	gone   chan struct{}
	once   sync.Once

	// Guarded by Owner.mu.
	want     int
	models   []string
	inc      string
	declared bool
	leaving  bool
}

// feedKeepalive is the longest time between two messages to an agent. It must
// be well below the agent's LeaseFor.
const feedKeepalive = time.Second

// Attach serves the batch stream to an agent until it ends.
func (o *Owner) Attach(ctx context.Context, agent string, st Stream) {
	f := &feed{
		owner:  o,
		agent:  agent,
		st:     st,
		out:    &wire.FeedDown{},
		signal: make(chan struct{}, 1),
		gone:   make(chan struct{}),
	}
	if !o.addFeed(f) {
		return
	}
	defer o.removeFeed(f)
	go f.read()
	f.run(ctx)
}

func (o *Owner) addFeed(f *feed) bool {
	o.mu.Lock()
	old := o.feeds[f.agent]
	if o.closed || !o.owned() {
		o.mu.Unlock()
		return false
	}
	o.feeds[f.agent] = f
	delete(o.lost, f.agent)
	// A job cancelled while this agent was away may still be queued there.
	o.part.Jobs(func(j *batch.Job) bool {
		if j.State() == batch.JobCancelled {
			f.out.Cancelled = append(f.out.Cancelled, o.jobRef(j.ID))
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
		o.lost[f.agent] = time.Now()
	}
}

func (f *feed) close() {
	f.once.Do(func() {
		close(f.gone)
		f.st.Close()
	})
}

func (f *feed) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

func (f *feed) durable(ref *wire.ItemRef) {
	f.mu.Lock()
	f.out.Durable = append(f.out.Durable, ref)
	f.mu.Unlock()
	f.wake()
}

func (f *feed) cancelled(ref *wire.JobRef) {
	f.mu.Lock()
	f.out.Cancelled = append(f.out.Cancelled, ref)
	f.mu.Unlock()
	f.wake()
}

// run sends messages: grants, acknowledgements, cancels, and the epoch that
// keeps the agent's lease.
func (f *feed) run(ctx context.Context) {
	tick := time.NewTicker(feedKeepalive)
	defer tick.Stop()
	var sent time.Time
	for {
		grants := f.owner.grantsFor(ctx, f)
		m := f.take()
		m.Grants = grants
		idle := len(grants) == 0 && len(m.Durable) == 0 && len(m.Cancelled) == 0
		if !idle || time.Since(sent) >= feedKeepalive/2 {
			if !f.owner.stamp(m) || f.st.Send(m) != nil {
				return
			}
			sent = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-f.gone:
			return
		case <-f.signal:
		case <-tick.C:
		}
	}
}

func (f *feed) take() *wire.FeedDown {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.out
	f.out = &wire.FeedDown{}
	return m
}

// stamp adds the owner's epoch. It reports false when the partition is lost;
// then nothing more may be sent, or the agent would take it for a live owner.
func (o *Owner) stamp(m *wire.FeedDown) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owned() || o.closed {
		return false
	}
	m.Epochs = []*wire.PartitionEpoch{{Partition: o.number, Epoch: o.epoch}}
	m.Backlog = uint32(min(o.disp.Backlog(), maxBacklogTold))
	return true
}

// maxBacklogTold bounds the backlog in messages; agents only compare it with 0.
const maxBacklogTold = 1 << 30

func (f *feed) read() {
	defer f.close()
	for {
		m := &wire.FeedUp{}
		if f.st.Recv(m) != nil {
			return
		}
		f.owner.takeUp(f, m)
	}
}

func keyOf(ref *wire.ItemRef) (batch.ItemKey, bool) {
	var key batch.ItemKey
	if len(ref.GetJob()) != len(key.Job) {
		return key, false
	}
	copy(key.Job[:], ref.GetJob())
	key.Index = ref.GetIndex()
	return key, true
}

// takeUp applies one message of an agent.
func (o *Owner) takeUp(f *feed, m *wire.FeedUp) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owned() || o.feeds[f.agent] != f {
		return
	}
	f.models = m.GetModels()
	f.leaving = m.GetLeaving()
	o.declare(f, m)
	o.takeItems(f, m)
	for _, ref := range m.GetStopped() {
		o.confirmStop(f.agent, ref)
	}
	if m.Want != nil {
		f.want = int(m.GetWant())
	}
	f.wake()
}

func (o *Owner) takeItems(f *feed, m *wire.FeedUp) {
	for _, ref := range m.GetStarted() {
		if key, ok := o.mine(ref); ok {
			o.disp.MarkStarted(key, f.agent)
		}
	}
	for _, res := range m.GetResults() {
		o.takeResult(f, res)
	}
	for _, ref := range m.GetHandedBack() {
		if key, ok := o.mine(ref); ok {
			o.disp.HandBack(key, f.agent)
		}
	}
}

func (o *Owner) mine(ref *wire.ItemRef) (batch.ItemKey, bool) {
	if ref.GetPartition() != o.number {
		return batch.ItemKey{}, false
	}
	return keyOf(ref)
}

// declare adopts what an agent holds. What this owner granted and the agent does
// not hold was lost on the way, or with an earlier run of the agent.
func (o *Owner) declare(f *feed, m *wire.FeedUp) {
	mine := false
	for _, p := range m.GetDeclared() {
		mine = mine || p == o.number
	}
	if !mine {
		return
	}
	f.declared = true
	f.inc = string(m.GetIncarnation())
	held := make(map[batch.ItemKey]bool)
	for _, ref := range m.GetHeld() {
		key, ok := o.mine(ref)
		if !ok {
			continue
		}
		held[key] = true
		if !o.disp.Adopt(key, f.agent) {
			f.durable(ref)
		}
	}
	restarted := o.incarnations[f.agent] != "" && o.incarnations[f.agent] != f.inc
	o.incarnations[f.agent] = f.inc
	if restarted {
		o.agentLost(f.agent, held)
		return
	}
	for _, key := range o.disp.HeldBy(f.agent) {
		if !held[key] {
			o.disp.HandBack(key, f.agent)
		}
	}
}

// forgetAgent drops what is kept of an agent that is gone.
func (o *Owner) forgetAgent(agent string) {
	delete(o.incarnations, agent)
	for _, w := range o.cancels {
		w.confirm(agent)
	}
}

// expireAgents gives up on agents that have been away too long.
func (o *Owner) expireAgents(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owned() {
		return
	}
	for agent, since := range o.lost {
		if now.Sub(since) < o.cfg.AgentLostAfter {
			continue
		}
		delete(o.lost, agent)
		o.agentLost(agent, nil)
		o.forgetAgent(agent)
		o.log.Warn("agent lost", logging.F("agent", agent), logging.F("partition", o.number))
	}
	o.endInDoubt(now)
}

// agentLost requeues what a lost agent held, but for what its successor holds.
func (o *Owner) agentLost(agent string, held map[batch.ItemKey]bool) {
	for _, key := range o.disp.AgentLost(agent, held) {
		reason := ReasonTargetLost
		if j := o.part.Job(key.Job); j != nil && j.Commit.GetNonIdempotent() {
			reason = ReasonOutcomeUnknown
		}
		o.addOutcome(key, &wire.Outcome{Index: key.Index, Reason: reason}, ackRef{})
	}
}

// Reasons of items that end as failed without a word from an engine.
const (
	ReasonTargetLost     = "target lost repeatedly while the item ran alone"
	ReasonOutcomeUnknown = "outcome unknown"
	ReasonTooLarge       = "result is over the log's record limit"
	ReasonBadItem        = "item cannot be read"
)

// endInDoubt ends started non-idempotent items of which no agent has told for
// InDoubtAfter since the takeover. They may have run, so they never run again.
func (o *Owner) endInDoubt(now time.Time) {
	if o.doubtDone || now.Sub(o.tookOver) < o.cfg.InDoubtAfter {
		return
	}
	o.doubtDone = true
	o.part.Jobs(func(j *batch.Job) bool {
		if j.State() != batch.JobRunning || !j.Commit.GetNonIdempotent() {
			return true
		}
		it := j.Started().Iterator()
		for it.HasNext() {
			key := batch.ItemKey{Job: j.ID, Index: it.Next()}
			if o.disp.InDoubt(key) {
				o.addOutcome(key, &wire.Outcome{Index: key.Index, Reason: ReasonOutcomeUnknown}, ackRef{})
			}
		}
		return true
	})
}

// takeResult takes one execution's outcome.
func (o *Owner) takeResult(f *feed, res *wire.ItemResult) {
	key, ok := o.mine(res.GetRef())
	if !ok {
		return
	}
	if holder, ok := o.unsettled[key]; ok {
		// Another agent's copy is not needed: the holder keeps its own until the
		// outcome is durable.
		if holder != f.agent {
			f.durable(res.GetRef())
		}
		return
	}
	verdict := o.disp.Result(time.Now(), key, f.agent, batch.Report{
		OK:         res.GetOk(),
		Retryable:  res.GetRetryable(),
		NotRun:     res.GetNotRun(),
		TargetLost: res.GetTargetLost(),
	})
	switch verdict {
	case batch.VerdictIgnore, batch.VerdictRetry:
		f.durable(res.GetRef())
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
		o.addOutcome(key, oc, ackRef{agent: f.agent, ref: res.GetRef()})
	}
}

// addOutcome buffers an outcome until it is appended.
func (o *Owner) addOutcome(key batch.ItemKey, oc *wire.Outcome, ack ackRef) {
	if _, ok := o.unsettled[key]; ok {
		return
	}
	if outcomeSize(oc) > o.cfg.RecordLimit/2 {
		oc = &wire.Outcome{Index: oc.GetIndex(), Reason: ReasonTooLarge}
	}
	if len(o.results) == 0 {
		o.resultsAt = time.Now()
	}
	o.unsettled[key] = ack.agent
	o.results[key.Job] = append(o.results[key.Job], oc)
	o.resultRefs[key.Job] = append(o.resultRefs[key.Job], ack)
	o.buffered += outcomeSize(oc)
}
