package batch

import (
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
)

// ItemKey identifies an item in its partition.
type ItemKey struct {
	Job   JobID
	Index uint32
}

// Limits bounds the attempts to run one item. An item that reaches MaxAttempts or
// MaxTargetLosses is recorded as failed.
type Limits struct {
	MaxAttempts     uint32        // executions that ended in a retryable failure, default 4
	MaxTargetLosses uint32        // targets lost while the item ran alone, default 2
	BackoffBase     time.Duration // base of the exponential back-off, default 200 ms
	BackoffMax      time.Duration // longest back-off, default 10 s
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{MaxAttempts: 4, MaxTargetLosses: 2, BackoffBase: 200 * time.Millisecond, BackoffMax: 10 * time.Second}
}

// activeGrant is the grant of one item to an agent.
type activeGrant struct {
	agent   string
	alone   bool // the agent runs no other batch item at the same time
	started bool // the agent reported the start
}

// failureRecord counts the failures of an item. Only items that failed or lost a
// target have one.
type failureRecord struct {
	attempts     uint32    // executions that ended in a retryable failure
	targetLosses uint32    // targets lost while the item ran alone
	queuedLosses uint32    // hosts lost while the item was granted there and not reported as started
	suspect      bool      // may have killed a target, so it runs alone from now on
	retryAt      time.Time // end of the back-off
}

// jobQueue holds the items of one job that are not granted.
type jobQueue struct {
	job      *Job
	pending  *roaring.Bitmap
	suspects *roaring.Bitmap     // pending items that must run alone
	delayed  map[uint32]struct{} // items in back-off until retryAt
}

// Dispatcher decides which item runs next on which agent. Its state is not
// stored: a new owner rebuilds it from the partition and from the items that
// agents hold. Workspaces share grants by start-time fair queueing.
type Dispatcher struct {
	limits      Limits
	queues      map[JobID]*jobQueue
	inFlight    map[ItemKey]activeGrant
	byAgent     map[string]map[ItemKey]struct{}
	alone       map[string]int // items granted alone, by agent; at most one each
	failures    map[ItemKey]*failureRecord
	share       func(workspace string) float64
	virtualTime map[string]float64 // workspace -> virtual finish time of its last grant
	virtualNow  float64            // virtual start time of the last grant
}

// NewDispatcher returns an empty Dispatcher.
func NewDispatcher(limits Limits) *Dispatcher {
	return &Dispatcher{
		limits:      limits,
		queues:      make(map[JobID]*jobQueue),
		inFlight:    make(map[ItemKey]activeGrant),
		byAgent:     make(map[string]map[ItemKey]struct{}),
		alone:       make(map[string]int),
		failures:    make(map[ItemKey]*failureRecord),
		virtualTime: make(map[string]float64),
	}
}

// SetShares sets the function that returns a workspace's weight. Weights at or
// below zero count as 1.
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

// Add queues the pending items of a job that are not granted.
func (d *Dispatcher) Add(j *Job) {
	q := &jobQueue{job: j, pending: j.Pending(), suspects: roaring.New(), delayed: make(map[uint32]struct{})}
	if j.Commit.GetNonIdempotent() {
		// Started items may have run under an earlier owner, so they are never
		// granted again. They wait for a report of the agent that holds them.
		q.pending.AndNot(j.started)
	}
	for key := range d.inFlight {
		if key.Job == j.ID {
			q.pending.Remove(key.Index)
		}
	}
	d.queues[j.ID] = q
}

// Drop removes a job that has ended.
func (d *Dispatcher) Drop(id JobID) {
	delete(d.queues, id)
	for key, g := range d.inFlight {
		if key.Job == id {
			d.removeGrant(key, g)
		}
	}
	for key := range d.failures {
		if key.Job == id {
			delete(d.failures, key)
		}
	}
}

// Done removes items whose outcome is durable.
func (d *Dispatcher) Done(id JobID, indexes []uint32) {
	for _, index := range indexes {
		key := ItemKey{Job: id, Index: index}
		if g, ok := d.inFlight[key]; ok {
			d.removeGrant(key, g)
		}
		delete(d.failures, key)
		if q := d.queues[id]; q != nil {
			q.remove(index)
		}
	}
}

// remove removes an item from the queue.
func (q *jobQueue) remove(index uint32) {
	q.pending.Remove(index)
	q.suspects.Remove(index)
	delete(q.delayed, index)
}

// enqueue adds an item to the queue. Suspects are queued separately, because an
// agent gets only one at a time. If an agent with several suspects were lost,
// nothing would show which of them killed the target.
func (d *Dispatcher) enqueue(q *jobQueue, index uint32) {
	if rec := d.failures[ItemKey{Job: q.job.ID, Index: index}]; rec != nil && rec.suspect {
		q.suspects.Add(index)
		return
	}
	q.pending.Add(index)
}

// removeGrant ends the grant of an item without queueing the item.
func (d *Dispatcher) removeGrant(key ItemKey, g activeGrant) {
	delete(d.inFlight, key)
	if g.alone {
		if d.alone[g.agent]--; d.alone[g.agent] == 0 {
			delete(d.alone, g.agent)
		}
	}
	held := d.byAgent[g.agent]
	delete(held, key)
	if len(held) == 0 {
		delete(d.byAgent, g.agent)
	}
}

// Adopt records that an agent holds an item, granted by this owner or an earlier
// one. It reports false when the agent must not run the item, because the item is
// not pending or is granted to another agent.
func (d *Dispatcher) Adopt(key ItemKey, agent string) bool {
	q := d.queues[key.Job]
	if q == nil || q.job.Terminal(key.Index) || key.Index >= q.job.Total {
		return false
	}
	if g, ok := d.inFlight[key]; ok {
		return g.agent == agent
	}
	q.remove(key.Index)
	d.addGrant(key, activeGrant{agent: agent})
	return true
}

func (d *Dispatcher) addGrant(key ItemKey, g activeGrant) {
	d.inFlight[key] = g
	if g.alone {
		d.alone[g.agent]++
	}
	held := d.byAgent[g.agent]
	if held == nil {
		held = make(map[ItemKey]struct{})
		d.byAgent[g.agent] = held
	}
	held[key] = struct{}{}
}

// Pick is an item chosen for an agent.
type Pick struct {
	Key     ItemKey
	Job     *Job
	Alone   bool
	Attempt uint32
}

// Grant picks up to want items for an agent that serves models. Workspaces get
// grants in proportion to their weights. Within a workspace the job with the
// earliest deadline goes first. Items of a job stay in order, because neighbouring
// items often share a prompt prefix.
func (d *Dispatcher) Grant(now time.Time, agent string, want int, models []string) []Pick {
	d.enqueueDue(now)
	var picks []Pick
	for len(picks) < want {
		pick, ok := d.pickNext(agent, models)
		if !ok {
			return picks
		}
		picks = append(picks, pick)
	}
	return picks
}

// enqueueDue queues the items whose back-off has ended.
func (d *Dispatcher) enqueueDue(now time.Time) {
	for id, q := range d.queues {
		for index := range q.delayed {
			rec := d.failures[ItemKey{Job: id, Index: index}]
			if rec != nil && now.Before(rec.retryAt) {
				continue
			}
			delete(q.delayed, index)
			d.enqueue(q, index)
		}
	}
}

// pickNext grants the next item to an agent. It reports false when no queued item
// suits the agent.
func (d *Dispatcher) pickNext(agent string, models []string) (Pick, bool) {
	suspects := d.alone[agent] == 0
	q := d.chooseQueue(models, suspects)
	if q == nil {
		return Pick{}, false
	}
	if suspects && !q.suspects.IsEmpty() {
		return d.grantItem(agent, q, q.suspects.Minimum(), true), true
	}
	return d.grantItem(agent, q, q.pending.Minimum(), false), true
}

// grantItem grants an item and charges its workspace for it.
func (d *Dispatcher) grantItem(agent string, q *jobQueue, index uint32, alone bool) Pick {
	q.remove(index)
	key := ItemKey{Job: q.job.ID, Index: index}
	d.addGrant(key, activeGrant{agent: agent, alone: alone})
	ws := q.job.Commit.GetWorkspace()
	start := max(d.virtualTime[ws], d.virtualNow)
	d.virtualNow = start
	d.virtualTime[ws] = start + 1/d.weight(ws)
	pick := Pick{Key: key, Job: q.job, Alone: alone}
	if rec := d.failures[key]; rec != nil {
		pick.Attempt = rec.attempts
	}
	return pick
}

// chooseQueue returns the queue of the workspace with the lowest virtual time, and
// within that workspace the queue with the earliest deadline. It returns nil when
// no queue has an item for the agent.
func (d *Dispatcher) chooseQueue(models []string, suspects bool) *jobQueue {
	var best *jobQueue
	for _, q := range d.queues {
		if !q.hasGrantable(suspects) || !slices.Contains(models, q.job.Commit.GetModel()) {
			continue
		}
		if best == nil || d.goesBefore(q, best) {
			best = q
		}
	}
	return best
}

// hasGrantable reports whether the queue has an item to grant. Suspects count only
// if suspects is true.
func (q *jobQueue) hasGrantable(suspects bool) bool {
	return !q.pending.IsEmpty() || (suspects && !q.suspects.IsEmpty())
}

func (d *Dispatcher) goesBefore(a, b *jobQueue) bool {
	ca, cb := a.job.Commit, b.job.Commit
	if ca.GetWorkspace() != cb.GetWorkspace() {
		va := max(d.virtualTime[ca.GetWorkspace()], d.virtualNow)
		vb := max(d.virtualTime[cb.GetWorkspace()], d.virtualNow)
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

// Verdict is the consequence of a reported execution for its item.
type Verdict int

// The verdicts.
const (
	VerdictIgnore  Verdict = iota // item is unknown, has its outcome, or is not granted to the agent
	VerdictSuccess                // record the success
	VerdictFailed                 // record the failure as final
	VerdictRetry                  // the item is queued again, after a back-off if it ran
)

// Report is the outcome of one execution.
type Report struct {
	OK        bool
	Retryable bool
	NotRun    bool // the item never reached the engine
	// TargetLost reports that the engine stopped while the item ran.
	TargetLost bool
}

// Result processes the report of one execution. A success counts whichever agent
// reports it, a failure only if the item is granted to the agent.
func (d *Dispatcher) Result(now time.Time, key ItemKey, agent string, r Report) Verdict {
	q := d.queues[key.Job]
	if q == nil || key.Index >= q.job.Total || q.job.Terminal(key.Index) {
		return VerdictIgnore
	}
	if r.OK {
		return VerdictSuccess
	}
	g, ok := d.inFlight[key]
	if !ok || g.agent != agent {
		return VerdictIgnore
	}
	if r.NotRun {
		d.requeue(key, g)
		return VerdictRetry
	}
	if !r.Retryable || q.job.Commit.GetNonIdempotent() {
		return VerdictFailed
	}
	rec := d.failureOf(key)
	if r.TargetLost {
		rec.countTargetLoss(g)
	} else {
		rec.attempts++
	}
	if rec.attempts >= d.limits.MaxAttempts || rec.targetLosses >= d.limits.MaxTargetLosses {
		return VerdictFailed
	}
	d.removeGrant(key, g)
	rec.retryAt = now.Add(d.backoff(rec.attempts + rec.targetLosses))
	q.delayed[key.Index] = struct{}{}
	return VerdictRetry
}

// countTargetLoss counts a lost target for an item that was running there.
func (rec *failureRecord) countTargetLoss(g activeGrant) {
	rec.suspect = true
	if g.alone {
		rec.targetLosses++
	}
}

// maxBackoffShift keeps the exponential back-off from overflowing.
const maxBackoffShift = 16

func (d *Dispatcher) backoff(attempts uint32) time.Duration {
	pause := d.limits.BackoffBase << min(attempts, maxBackoffShift)
	return min(pause, d.limits.BackoffMax)
}

func (d *Dispatcher) failureOf(key ItemKey) *failureRecord {
	rec := d.failures[key]
	if rec == nil {
		rec = &failureRecord{}
		d.failures[key] = rec
	}
	return rec
}

func (d *Dispatcher) requeue(key ItemKey, g activeGrant) {
	d.removeGrant(key, g)
	if q := d.queues[key.Job]; q != nil && !q.job.Terminal(key.Index) {
		d.enqueue(q, key.Index)
	}
}

// HandBack queues an item again that an agent returned without starting it.
func (d *Dispatcher) HandBack(key ItemKey, agent string) {
	if g, ok := d.inFlight[key]; ok && g.agent == agent {
		d.requeue(key, g)
	}
}

// MarkStarted records that an agent is about to run an item.
func (d *Dispatcher) MarkStarted(key ItemKey, agent string) {
	if g, ok := d.inFlight[key]; ok && g.agent == agent {
		g.started = true
		d.inFlight[key] = g
	}
}

// queuedLossLimit is the number of hosts lost with an item granted there and not
// reported as started after which the item becomes a suspect. The report of the
// start can be lost together with the host, so without this limit an item that
// kills its host at once would never become a suspect.
const queuedLossLimit = 2

// countHostLoss counts a lost host for an item that was granted to it.
func (rec *failureRecord) countHostLoss(g activeGrant) {
	if g.started || g.alone {
		rec.countTargetLoss(g)
		return
	}
	rec.queuedLosses++
	if rec.queuedLosses >= queuedLossLimit {
		rec.suspect = true
	}
}

// AgentLost queues again the items granted to a lost agent, except those in held,
// which stay with the agent. Items that were started there become suspects, which
// run alone. It returns the items that the caller must record as failed, sorted:
// those that reached MaxTargetLosses, and started non-idempotent ones.
func (d *Dispatcher) AgentLost(agent string, held map[ItemKey]bool) []ItemKey {
	var failed []ItemKey
	for _, key := range d.HeldBy(agent) {
		if held[key] {
			continue
		}
		g := d.inFlight[key]
		q := d.queues[key.Job]
		if q == nil {
			d.removeGrant(key, g)
			continue
		}
		if q.job.Commit.GetNonIdempotent() && q.job.started.Contains(key.Index) {
			failed = append(failed, key)
			continue
		}
		rec := d.failureOf(key)
		rec.countHostLoss(g)
		if rec.targetLosses >= d.limits.MaxTargetLosses {
			failed = append(failed, key)
			continue
		}
		d.requeue(key, g)
	}
	slices.SortFunc(failed, func(a, b ItemKey) int {
		if c := slices.Compare(a.Job[:], b.Job[:]); c != 0 {
			return c
		}
		return int(a.Index) - int(b.Index)
	})
	return failed
}

// HeldBy returns the items granted to an agent.
func (d *Dispatcher) HeldBy(agent string) []ItemKey {
	keys := make([]ItemKey, 0, len(d.byAgent[agent]))
	for key := range d.byAgent[agent] {
		keys = append(keys, key)
	}
	return keys
}

// InDoubt reports whether no agent holds a started non-idempotent item.
func (d *Dispatcher) InDoubt(key ItemKey) bool {
	_, granted := d.inFlight[key]
	return !granted
}

// Backlog returns how many items wait for a grant, including those in back-off.
func (d *Dispatcher) Backlog() int {
	n := 0
	for _, q := range d.queues {
		n += int(q.pending.GetCardinality()+q.suspects.GetCardinality()) + len(q.delayed)
	}
	return n
}
