package batch

import (
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
)

// ItemKey names an item in its partition.
type ItemKey struct {
	Job   JobID
	Index uint32
}

// Limits bounds what one item may cost before it ends as failed.
type Limits struct {
	MaxAttempts   uint32        // executions that ended in a retryable failure, default 4
	MaxTargetLoss uint32        // targets lost while the item was granted alone, default 2
	BackoffBase   time.Duration // first pause before a retry, default 200 ms
	BackoffMax    time.Duration // longest pause, default 10 s
}

// DefaultLimits returns the limits used when settings give none.
func DefaultLimits() Limits {
	return Limits{MaxAttempts: 4, MaxTargetLoss: 2, BackoffBase: 200 * time.Millisecond, BackoffMax: 10 * time.Second}
}

// flight is one item granted to an agent.
type flight struct {
	agent   string
	alone   bool // the agent runs no other batch item beside it
	started bool // the agent said that it started
}

// trouble is kept only for items that failed or lost a target.
type trouble struct {
	attempts uint32
	losses   uint32 // targets lost while running alone
	near     uint32 // hosts lost while queued there, not known to run
	suspect  bool   // may have killed a target: runs alone from now on
	due      time.Time
}

// queue holds the items of one job that are not granted.
type queue struct {
	job      *Job
	pending  *roaring.Bitmap
	suspects *roaring.Bitmap     // pending items that run alone
	delayed  map[uint32]struct{} // wait for their trouble's due time
}

// Dispatcher decides which item runs where next. It is volatile: a new owner
// builds it again from the partition and from what agents hold.
type Dispatcher struct {
	limits   Limits
	queues   map[JobID]*queue
	inFlight map[ItemKey]flight
	byAgent  map[string]map[ItemKey]struct{}
	alone    map[string]int // items granted alone, by agent: never more than one
	troubles map[ItemKey]*trouble
	share    func(workspace string) float64
	served   map[string]float64 // workspace -> virtual time
	clock    float64            // virtual time of the last grant
}

// NewDispatcher returns an empty Dispatcher.
func NewDispatcher(limits Limits) *Dispatcher {
	return &Dispatcher{
		limits:   limits,
		queues:   make(map[JobID]*queue),
		inFlight: make(map[ItemKey]flight),
		byAgent:  make(map[string]map[ItemKey]struct{}),
		alone:    make(map[string]int),
		troubles: make(map[ItemKey]*trouble),
		served:   make(map[string]float64),
	}
}

// SetShares sets how to look up a workspace's weight. Weights at or below zero
// count as 1.
func (d *Dispatcher) SetShares(share func(workspace string) float64) {
	d.share = share
}

func (d *Dispatcher) weight(workspace string) float64 {
	if d.share == nil {
		return 1
	}
	if w := d.share(workspace); w > 0 {
		return w
	}
	return 1
}

// Add queues the pending items of a job that are not in flight.
func (d *Dispatcher) Add(j *Job) {
	q := &queue{job: j, pending: j.Pending(), suspects: roaring.New(), delayed: make(map[uint32]struct{})}
	if j.Commit.GetNonIdempotent() {
		// An earlier owner may have had these run. They wait for an agent's word
		// and are never granted again.
		q.pending.AndNot(j.started)
	}
	for key := range d.inFlight {
		if key.Job == j.ID {
			q.pending.Remove(key.Index)
		}
	}
	d.queues[j.ID] = q
}

// Drop forgets a job that ended.
func (d *Dispatcher) Drop(id JobID) {
	delete(d.queues, id)
	for key, fl := range d.inFlight {
		if key.Job == id {
			d.land(key, fl)
		}
	}
	for key := range d.troubles {
		if key.Job == id {
			delete(d.troubles, key)
		}
	}
}

// Done forgets items whose outcome is durable.
func (d *Dispatcher) Done(id JobID, indexes []uint32) {
	for _, index := range indexes {
		key := ItemKey{Job: id, Index: index}
		if fl, ok := d.inFlight[key]; ok {
			d.land(key, fl)
		}
		delete(d.troubles, key)
		if q := d.queues[id]; q != nil {
			q.forget(index)
		}
	}
}

// forget takes an item off the queue.
func (q *queue) forget(index uint32) {
	q.pending.Remove(index)
	q.suspects.Remove(index)
	delete(q.delayed, index)
}

// put queues an item. Suspects wait apart, because an agent takes only one of
// them at a time: were it lost with several, nothing would tell the killer from
// the others.
func (d *Dispatcher) put(q *queue, index uint32) {
	if t := d.troubles[ItemKey{Job: q.job.ID, Index: index}]; t != nil && t.suspect {
		q.suspects.Add(index)
		return
	}
	q.pending.Add(index)
}

func (d *Dispatcher) land(key ItemKey, fl flight) {
	delete(d.inFlight, key)
	if fl.alone {
		if d.alone[fl.agent]--; d.alone[fl.agent] == 0 {
			delete(d.alone, fl.agent)
		}
	}
	held := d.byAgent[fl.agent]
	delete(held, key)
	if len(held) == 0 {
		delete(d.byAgent, fl.agent)
	}
}

// Adopt notes an item that an agent says it holds, granted by this owner or an
// earlier one. It reports false when the item needs no execution any more.
func (d *Dispatcher) Adopt(key ItemKey, agent string) bool {
	q := d.queues[key.Job]
	if q == nil || q.job.Terminal(key.Index) || key.Index >= q.job.Total {
		return false
	}
	if fl, ok := d.inFlight[key]; ok {
		return fl.agent == agent
	}
	q.forget(key.Index)
	d.launch(key, flight{agent: agent})
	return true
}

func (d *Dispatcher) launch(key ItemKey, fl flight) {
	d.inFlight[key] = fl
	if fl.alone {
		d.alone[fl.agent]++
	}
	held := d.byAgent[fl.agent]
	if held == nil {
		held = make(map[ItemKey]struct{})
		d.byAgent[fl.agent] = held
	}
	held[key] = struct{}{}
}

// Pick is one item to grant.
type Pick struct {
	Key     ItemKey
	Job     *Job
	Alone   bool
	Attempt uint32
}

// Grant picks up to want items for an agent that serves models. Workspaces take
// turns by weight; within one the job due first goes first, and items of a job
// stay in order, because neighbours share prompt prefixes.
func (d *Dispatcher) Grant(now time.Time, agent string, want int, models []string) []Pick {
	d.wake(now)
	var picks []Pick
	for len(picks) < want {
		pick, ok := d.next(agent, models)
		if !ok {
			return picks
		}
		picks = append(picks, pick)
	}
	return picks
}

func (d *Dispatcher) wake(now time.Time) {
	for id, q := range d.queues {
		for index := range q.delayed {
			t := d.troubles[ItemKey{Job: id, Index: index}]
			if t != nil && now.Before(t.due) {
				continue
			}
			delete(q.delayed, index)
			d.put(q, index)
		}
	}
}

func (d *Dispatcher) next(agent string, models []string) (Pick, bool) {
	suspects := d.alone[agent] == 0
	q := d.chooseQueue(models, suspects)
	if q == nil {
		return Pick{}, false
	}
	if suspects && !q.suspects.IsEmpty() {
		return d.take(agent, q, q.suspects.Minimum(), true), true
	}
	return d.take(agent, q, q.pending.Minimum(), false), true
}

func (d *Dispatcher) take(agent string, q *queue, index uint32, alone bool) Pick {
	q.forget(index)
	key := ItemKey{Job: q.job.ID, Index: index}
	d.launch(key, flight{agent: agent, alone: alone})
	ws := q.job.Commit.GetWorkspace()
	start := max(d.served[ws], d.clock)
	d.clock = start
	d.served[ws] = start + 1/d.weight(ws)
	pick := Pick{Key: key, Job: q.job, Alone: alone}
	if t := d.troubles[key]; t != nil {
		pick.Attempt = t.attempts
	}
	return pick
}

// chooseQueue returns the queue of the workspace served least for its weight,
// and within it the one due first.
func (d *Dispatcher) chooseQueue(models []string, suspects bool) *queue {
	var best *queue
	for _, q := range d.queues {
		if !q.offers(suspects) || !slices.Contains(models, q.job.Commit.GetModel()) {
			continue
		}
		if best == nil || d.before(q, best) {
			best = q
		}
	}
	return best
}

// offers reports whether the queue has an item to grant.
func (q *queue) offers(suspects bool) bool {
	return !q.pending.IsEmpty() || (suspects && !q.suspects.IsEmpty())
}

func (d *Dispatcher) before(a, b *queue) bool {
	ca, cb := a.job.Commit, b.job.Commit
	if ca.GetWorkspace() != cb.GetWorkspace() {
		va := max(d.served[ca.GetWorkspace()], d.clock)
		vb := max(d.served[cb.GetWorkspace()], d.clock)
		if va != vb {
			return va < vb
		}
		return ca.GetWorkspace() < cb.GetWorkspace()
	}
	if ca.GetDueUnixMs() != cb.GetDueUnixMs() {
		return ca.GetDueUnixMs() < cb.GetDueUnixMs()
	}
	return slices.Compare(a.job.ID[:], b.job.ID[:]) < 0
}

// Verdict says what a reported execution means for its item.
type Verdict int

// The verdicts.
const (
	VerdictIgnore  Verdict = iota // late or foreign
	VerdictSuccess                // record success
	VerdictFailed                 // record failure for good
	VerdictRetry                  // queued again after a pause
)

// Report is the outcome of one execution.
type Report struct {
	OK        bool
	Retryable bool
	NotRun    bool // never reached the engine
	// TargetLost says that the engine died while the item ran.
	TargetLost bool
}

// Result takes one report. A success counts whoever computed it.
func (d *Dispatcher) Result(now time.Time, key ItemKey, agent string, r Report) Verdict {
	q := d.queues[key.Job]
	if q == nil || key.Index >= q.job.Total || q.job.Terminal(key.Index) {
		return VerdictIgnore
	}
	if r.OK {
		return VerdictSuccess
	}
	fl, ok := d.inFlight[key]
	if !ok || fl.agent != agent {
		return VerdictIgnore
	}
	if r.NotRun {
		d.requeue(key, fl)
		return VerdictRetry
	}
	if !r.Retryable || q.job.Commit.GetNonIdempotent() {
		return VerdictFailed
	}
	t := d.troubleOf(key)
	if r.TargetLost {
		t.noteLoss(fl)
	} else {
		t.attempts++
	}
	if t.attempts >= d.limits.MaxAttempts || t.losses >= d.limits.MaxTargetLoss {
		return VerdictFailed
	}
	d.land(key, fl)
	t.due = now.Add(d.backoff(t.attempts + t.losses))
	q.delayed[key.Index] = struct{}{}
	return VerdictRetry
}

// noteLoss counts a lost target against an item that was running there.
func (t *trouble) noteLoss(fl flight) {
	t.suspect = true
	if fl.alone {
		t.losses++
	}
}

// maxBackoffShift keeps the doubling of pauses from overflowing.
const maxBackoffShift = 16

func (d *Dispatcher) backoff(attempts uint32) time.Duration {
	pause := d.limits.BackoffBase << min(attempts, maxBackoffShift)
	return min(pause, d.limits.BackoffMax)
}

func (d *Dispatcher) troubleOf(key ItemKey) *trouble {
	t := d.troubles[key]
	if t == nil {
		t = &trouble{}
		d.troubles[key] = t
	}
	return t
}

func (d *Dispatcher) requeue(key ItemKey, fl flight) {
	d.land(key, fl)
	if q := d.queues[key.Job]; q != nil && !q.job.Terminal(key.Index) {
		d.put(q, key.Index)
	}
}

// HandBack requeues an item that an agent gave back without starting it.
func (d *Dispatcher) HandBack(key ItemKey, agent string) {
	if fl, ok := d.inFlight[key]; ok && fl.agent == agent {
		d.requeue(key, fl)
	}
}

// MarkStarted notes that an agent is about to run an item.
func (d *Dispatcher) MarkStarted(key ItemKey, agent string) {
	if fl, ok := d.inFlight[key]; ok && fl.agent == agent {
		fl.started = true
		d.inFlight[key] = fl
	}
}

// nearLossLimit is how many hosts may be lost with an item queued there, not
// known to run, before it runs alone. The word that it started may be lost
// together with the host, so an item that kills its host at once would never be
// suspected without this.
const nearLossLimit = 2

// noteHostLoss counts a lost host against an item that was granted to it.
func (t *trouble) noteHostLoss(fl flight) {
	if fl.started || fl.alone {
		t.noteLoss(fl)
		return
	}
	t.near++
	if t.near >= nearLossLimit {
		t.suspect = true
	}
}

// AgentLost requeues what a lost agent held. Items that ran there become suspects
// and run alone next time. It returns the items that have now
// lost too many targets, or are non-idempotent and were started; they must be
// recorded as failed. What is in held stays with the agent.
func (d *Dispatcher) AgentLost(agent string, held map[ItemKey]bool) []ItemKey {
	var dead []ItemKey
	for _, key := range d.HeldBy(agent) {
		if held[key] {
			continue
		}
		fl := d.inFlight[key]
		q := d.queues[key.Job]
		if q == nil {
			d.land(key, fl)
			continue
		}
		if q.job.Commit.GetNonIdempotent() && q.job.started.Contains(key.Index) {
			dead = append(dead, key)
			continue
		}
		t := d.troubleOf(key)
		t.noteHostLoss(fl)
		if t.losses >= d.limits.MaxTargetLoss {
			dead = append(dead, key)
			continue
		}
		d.requeue(key, fl)
	}
	slices.SortFunc(dead, func(a, b ItemKey) int {
		if c := slices.Compare(a.Job[:], b.Job[:]); c != 0 {
			return c
		}
		return int(a.Index) - int(b.Index)
	})
	return dead
}

// HeldBy returns the items granted to an agent.
func (d *Dispatcher) HeldBy(agent string) []ItemKey {
	keys := make([]ItemKey, 0, len(d.byAgent[agent]))
	for key := range d.byAgent[agent] {
		keys = append(keys, key)
	}
	return keys
}

// InDoubt reports whether a started non-idempotent item is with no agent.
func (d *Dispatcher) InDoubt(key ItemKey) bool {
	_, flying := d.inFlight[key]
	return !flying
}

// Backlog returns how many items wait, delayed ones included.
func (d *Dispatcher) Backlog() int {
	n := 0
	for _, q := range d.queues {
		n += int(q.pending.GetCardinality()+q.suspects.GetCardinality()) + len(q.delayed)
	}
	return n
}
