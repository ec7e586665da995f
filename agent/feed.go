package agent

import (
	"context"
	"time"

	"pumiceford/link"
	"pumiceford/wire"
)

// partition is what an agent knows of one batch partition.
type partition struct {
	epoch   uint64
	feed    *feed
	heard   time.Time       // last word from the owner
	stopped map[string]bool // cancelled jobs
}

// feed is one open stream to an owner. Agent.mu guards the fields.
type feed struct {
	owner    string
	started  []*wire.ItemRef
	results  []*wire.ItemResult
	back     []*wire.ItemRef
	stopping map[string]*wire.JobRef // cancelled jobs not yet confirmed
	declare  []uint32
	backlog  uint32
	asked    bool
	signal   chan struct{}
	dead     bool
}

func (f *feed) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

func (a *Agent) feedOf(partition uint32) *feed {
	if p := a.parts[partition]; p != nil && p.feed != nil && !p.feed.dead {
		return p.feed
	}
	return nil
}

// feedInterval is the longest time between two messages to an owner.
const feedInterval = time.Second

// feedBatch is how long messages are gathered after the first of them.
const feedBatch = 5 * time.Millisecond

func (a *Agent) handleFeed(ctx context.Context, call *wire.Feed, st *link.Stream) {
	f := &feed{
		owner:    call.GetOwner(),
		signal:   make(chan struct{}, 1),
		stopping: make(map[string]*wire.JobRef),
	}
	a.mu.Lock()
	a.feeds[f] = struct{}{}
	a.mu.Unlock()
	defer a.dropFeed(f)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		a.readFeed(f, st)
	}()
	for {
		if st.Send(a.nextUp(f)) != nil {
			return
		}
		timer := time.NewTimer(feedInterval)
		select {
		case <-gone:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-f.signal:
			timer.Stop()
			time.Sleep(feedBatch)
		}
	}
}

func (a *Agent) dropFeed(f *feed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.dead = true
	delete(a.feeds, f)
}

func (a *Agent) readFeed(f *feed, st *link.Stream) {
	for {
		m := &wire.FeedDown{}
		if st.Recv(m) != nil {
			return
		}
		a.takeDown(f, m)
		a.wake()
	}
}

// takeDown applies one message of an owner. Epochs come first, so that grants
// and cancels of a superseded owner are refused.
func (a *Agent) takeDown(f *feed, m *wire.FeedDown) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, pe := range m.GetEpochs() {
		a.takeEpoch(f, pe, now)
	}
	for _, ref := range m.GetDurable() {
		if it := a.items[itemIDOf(ref)]; it != nil && it.state == itemDone {
			a.forgetItem(it)
		}
	}
	for _, ref := range m.GetCancelled() {
		a.cancelJob(f, ref)
	}
	for _, g := range m.GetGrants() {
		if a.closing() || !a.accept(g) {
			f.back = append(f.back, g.GetRef())
		}
	}
	f.backlog = m.GetBacklog()
	f.asked = false
	f.wake()
}

func (a *Agent) takeEpoch(f *feed, pe *wire.PartitionEpoch, now time.Time) {
	p := a.parts[pe.GetPartition()]
	if p == nil {
		p = &partition{stopped: make(map[string]bool)}
		a.parts[pe.GetPartition()] = p
	}
	if pe.GetEpoch() < p.epoch {
		return
	}
	if pe.GetEpoch() > p.epoch || p.feed != f {
		p.epoch = pe.GetEpoch()
		p.feed = f
		f.declare = append(f.declare, pe.GetPartition())
	}
	p.heard = now
	a.renewLease(pe.GetPartition())
}

// renewLease makes items queued again that lost their lease.
func (a *Agent) renewLease(partition uint32) {
	for id, it := range a.items {
		if id.partition == partition && it.state == itemQueued {
			a.enqueue(it)
		}
	}
}

// checkLeases holds queued items back whose owner has been silent. Another
// entry may own the partition by now and may have cancelled the job; starting
// the item would break the promise that a cancelled job stops.
func (a *Agent) checkLeases(now time.Time) {
	for id, it := range a.items {
		p := a.parts[id.partition]
		fresh := p != nil && now.Sub(p.heard) <= a.cfg.LeaseFor
		if it.state == itemQueued && !fresh {
			a.withdraw(it)
		}
	}
}

func (a *Agent) cancelJob(f *feed, ref *wire.JobRef) {
	p := a.parts[ref.GetPartition()]
	if p == nil || ref.GetEpoch() < p.epoch {
		return
	}
	job := string(ref.GetJob())
	p.stopped[job] = true
	f.stopping[job] = ref
	for id, it := range a.items {
		if id.partition == ref.GetPartition() && id.job == job {
			a.dropItem(it)
		}
	}
}

// nextUp builds the next message to an owner.
func (a *Agent) nextUp(f *feed) *wire.FeedUp {
	a.mu.Lock()
	defer a.mu.Unlock()
	up := &wire.FeedUp{
		Results: f.results,
		Started: f.started,
		Models:  a.models,
		Leaving: a.closing(),
	}
	f.results = nil
	f.started = nil
	a.declarePartitions(f, up)
	a.confirmStopped(f, up)
	if a.closing() {
		a.handBackQueued(f)
	}
	up.HandedBack = f.back
	f.back = nil
	if n, ok := a.want(f); ok {
		up.Want = &n
	}
	return up
}

// declarePartitions names everything held of partitions that have a new owner,
// so that nothing that is running or computed here is run again elsewhere.
func (a *Agent) declarePartitions(f *feed, up *wire.FeedUp) {
	for _, number := range f.declare {
		p := a.parts[number]
		if p == nil || p.feed != f {
			continue
		}
		up.Declared = append(up.Declared, number)
		up.Incarnation = a.cfg.Incarnation[:]
		for id, it := range a.items {
			if id.partition != number || it.dropped {
				continue
			}
			up.Held = append(up.Held, it.grant.GetRef())
			if it.state == itemRunning {
				up.Started = append(up.Started, it.grant.GetRef())
			}
			if it.state == itemDone {
				up.Results = append(up.Results, it.result)
			}
		}
	}
	f.declare = nil
}

// confirmStopped names the cancelled jobs of which nothing runs here any more.
func (a *Agent) confirmStopped(f *feed, up *wire.FeedUp) {
	for job, ref := range f.stopping {
		busy := false
		for id, it := range a.items {
			if id.job == job && id.partition == ref.GetPartition() && it.state == itemRunning {
				busy = true
				break
			}
		}
		if !busy {
			up.Stopped = append(up.Stopped, ref)
			delete(f.stopping, job)
		}
	}
}

func (a *Agent) handBackQueued(f *feed) {
	for id, it := range a.items {
		p := a.parts[id.partition]
		if it.state != itemQueued || p == nil || p.feed != f {
			continue
		}
		f.back = append(f.back, it.grant.GetRef())
		a.withdraw(it)
		a.forgetItem(it)
	}
}

// want is how many more items the agent would take from one owner: enough for
// ReserveFor at the measured rate, shared among the owners that have a backlog.
// It reports false while an earlier word still stands.
func (a *Agent) want(f *feed) (uint32, bool) {
	held := a.heldSize >= a.cfg.MaxHeldBytes || time.Now().Before(a.holdUntil)
	if a.closing() || held || a.cfg.Engine == nil {
		return 0, true
	}
	if f.asked {
		return 0, false
	}
	waiting := 0
	for _, it := range a.items {
		if it.state != itemDone {
			waiting++
		}
	}
	target := max(2*a.cfg.Admission.Seats, int(a.rate.rate*a.cfg.ReserveFor.Seconds()))
	need := target - waiting
	if need <= 0 {
		return 0, true
	}
	sharers := a.feedsWithBacklog()
	if sharers == 0 || f.backlog == 0 {
		sharers = max(len(a.feeds), 1)
	}
	f.asked = true
	return uint32((need + sharers - 1) / sharers), true
}

func (a *Agent) feedsWithBacklog() int {
	n := 0
	for f := range a.feeds {
		if f.backlog > 0 {
			n++
		}
	}
	return n
}
