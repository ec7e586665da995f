package agent

import (
	"context"
	"time"

	"pumiceford/link"
	"pumiceford/wire"
)

// partition is the agent's state of one batch partition.
type partition struct {
	epoch         uint64
	feed          *feed
	lastHeard     time.Time // last message from the owner
	cancelledJobs map[string]bool
}

// feed is one open stream to the owner of partitions. Agent.mu guards the fields.
type feed struct {
	owner       string
	started     []*wire.ItemRef
	results     []*wire.ItemResult
	handedBack  []*wire.ItemRef
	cancelling  map[string]*wire.JobRef // cancelled jobs not yet confirmed
	undeclared  []uint32                // partitions whose items were not yet declared
	backlog     uint32                  // items that wait at the owner
	wantPending bool                    // the owner has sent nothing since the last want
	signal      chan struct{}
	closed      bool
}

func (f *feed) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

func (a *Agent) feedFor(partition uint32) *feed {
	if p := a.partitions[partition]; p != nil && p.feed != nil && !p.feed.closed {
		return p.feed
	}
	return nil
}

// feedInterval is the longest time between two messages to an owner.
const feedInterval = time.Second

// feedBatchDelay is how long a message waits for further events after the first one,
// so that they share it.
const feedBatchDelay = 5 * time.Millisecond

func (a *Agent) handleFeed(ctx context.Context, call *wire.Feed, st *link.Stream) {
	f := &feed{
		owner:      call.GetOwner(),
		signal:     make(chan struct{}, 1),
		cancelling: make(map[string]*wire.JobRef),
	}
	a.mu.Lock()
	a.feeds[f] = struct{}{}
	a.mu.Unlock()
	defer a.closeFeed(f)
	recvDone := make(chan struct{})
	go func() {
		defer close(recvDone)
		a.readFeed(f, st)
	}()
	for {
		if st.Send(a.nextAgentUpdate(f)) != nil {
			return
		}
		timer := time.NewTimer(feedInterval)
		select {
		case <-recvDone:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-f.signal:
			timer.Stop()
			time.Sleep(feedBatchDelay)
		}
	}
}

func (a *Agent) closeFeed(f *feed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.closed = true
	delete(a.feeds, f)
}

func (a *Agent) readFeed(f *feed, st *link.Stream) {
	for {
		m := &wire.OwnerUpdate{}
		if st.Recv(m) != nil {
			return
		}
		a.applyOwnerUpdate(f, m)
		a.wake()
	}
}

// applyOwnerUpdate applies one message of an owner. It applies the epochs first, so that
// it refuses grants and cancels of a superseded owner.
func (a *Agent) applyOwnerUpdate(f *feed, m *wire.OwnerUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, pe := range m.GetEpochs() {
		a.applyEpoch(f, pe, now)
	}
	for _, ref := range m.GetDurable() {
		if it := a.items[itemIDOf(ref)]; it != nil && it.state == itemDone {
			a.deleteItem(it)
		}
	}
	for _, ref := range m.GetCancelled() {
		a.cancelJob(f, ref)
	}
	for _, g := range m.GetGrants() {
		if a.draining() || !a.acceptGrant(g) {
			f.handedBack = append(f.handedBack, g.GetRef())
		}
	}
	f.backlog = m.GetBacklog()
	f.wantPending = false
	f.wake()
}

func (a *Agent) applyEpoch(f *feed, pe *wire.PartitionEpoch, now time.Time) {
	p := a.partitions[pe.GetPartition()]
	if p == nil {
		p = &partition{cancelledJobs: make(map[string]bool)}
		a.partitions[pe.GetPartition()] = p
	}
	if pe.GetEpoch() < p.epoch {
		return
	}
	if pe.GetEpoch() > p.epoch || p.feed != f {
		p.epoch = pe.GetEpoch()
		p.feed = f
		f.undeclared = append(f.undeclared, pe.GetPartition())
	}
	p.lastHeard = now
	a.renewLease(pe.GetPartition())
}

// renewLease offers the queued items of a partition to admission again, in case they
// were withdrawn when its lease expired.
func (a *Agent) renewLease(partition uint32) {
	for id, it := range a.items {
		if id.partition == partition && it.state == itemQueued {
			a.enqueue(it)
		}
	}
}

// checkLeases withdraws queued items whose owner has sent nothing for LeaseTimeout.
// Another entry may own the partition by now and may have cancelled the job, and no
// item of a cancelled job may start.
func (a *Agent) checkLeases(now time.Time) {
	for id, it := range a.items {
		p := a.partitions[id.partition]
		fresh := p != nil && now.Sub(p.lastHeard) <= a.cfg.LeaseTimeout
		if it.state == itemQueued && !fresh {
			a.withdraw(it)
		}
	}
}

func (a *Agent) cancelJob(f *feed, ref *wire.JobRef) {
	p := a.partitions[ref.GetPartition()]
	if p == nil || ref.GetEpoch() < p.epoch {
		return
	}
	job := string(ref.GetJob())
	p.cancelledJobs[job] = true
	f.cancelling[job] = ref
	for id, it := range a.items {
		if id.partition == ref.GetPartition() && id.job == job {
			a.cancelItem(it)
		}
	}
}

// nextAgentUpdate builds the next message to an owner and clears what it reports.
func (a *Agent) nextAgentUpdate(f *feed) *wire.AgentUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	update := &wire.AgentUpdate{
		Results: f.results,
		Started: f.started,
		Models:  a.models,
		Leaving: a.draining(),
	}
	f.results = nil
	f.started = nil
	a.declarePartitions(f, update)
	a.confirmStopped(f, update)
	if a.draining() {
		a.handBackQueued(f)
	}
	update.HandedBack = f.handedBack
	f.handedBack = nil
	if n, ok := a.wantedItems(f); ok {
		update.Want = &n
	}
	return update
}

// declarePartitions lists all items held of partitions that have a new owner, so that
// the owner does not grant items again that are running or finished here.
func (a *Agent) declarePartitions(f *feed, update *wire.AgentUpdate) {
	for _, number := range f.undeclared {
		p := a.partitions[number]
		if p == nil || p.feed != f {
			continue
		}
		update.Declared = append(update.Declared, number)
		update.Incarnation = a.cfg.Incarnation[:]
		for id, it := range a.items {
			if id.partition != number || it.cancelled {
				continue
			}
			update.Held = append(update.Held, it.grant.GetRef())
			if it.state == itemRunning {
				update.Started = append(update.Started, it.grant.GetRef())
			}
			if it.state == itemDone {
				update.Results = append(update.Results, it.result)
			}
		}
	}
	f.undeclared = nil
}

// confirmStopped lists the cancelled jobs of which no item runs here any more.
func (a *Agent) confirmStopped(f *feed, update *wire.AgentUpdate) {
	for job, ref := range f.cancelling {
		running := false
		for id, it := range a.items {
			if id.job == job && id.partition == ref.GetPartition() && it.state == itemRunning {
				running = true
				break
			}
		}
		if !running {
			update.Stopped = append(update.Stopped, ref)
			delete(f.cancelling, job)
		}
	}
}

func (a *Agent) handBackQueued(f *feed) {
	for id, it := range a.items {
		p := a.partitions[id.partition]
		if it.state != itemQueued || p == nil || p.feed != f {
			continue
		}
		f.handedBack = append(f.handedBack, it.grant.GetRef())
		a.withdraw(it)
		a.deleteItem(it)
	}
}

// wantedItems returns how many more items the agent requests from one owner. In total
// it requests enough for BatchQueueTime at the measured rate, but at least twice the
// seats, divided among the owners that have a backlog. It returns false while an
// earlier request is outstanding.
func (a *Agent) wantedItems(f *feed) (uint32, bool) {
	paused := a.heldBytes >= a.cfg.MaxHeldBytes || time.Now().Before(a.batchHeldUntil)
	if a.draining() || paused || a.cfg.Engine == nil {
		return 0, true
	}
	if f.wantPending {
		return 0, false
	}
	unfinished := 0
	for _, it := range a.items {
		if it.state != itemDone {
			unfinished++
		}
	}
	goal := max(2*a.cfg.Admission.Seats, int(a.rate.rate*a.cfg.BatchQueueTime.Seconds()))
	need := goal - unfinished
	if need <= 0 {
		return 0, true
	}
	sharers := a.feedsWithBacklog()
	if sharers == 0 || f.backlog == 0 {
		sharers = max(len(a.feeds), 1)
	}
	f.wantPending = true
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
