package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pumiceford/balance"
	"pumiceford/estimate"
	"pumiceford/routing"
	"pumiceford/seats"
	"pumiceford/targets"
	"pumiceford/waitroom"
)

// Times and limits of the simulation. Values from the product's I/O code are repeated
// here because the simulation replaces that code.
const (
	lateAfter            = 300 * time.Millisecond
	firstEventDelay      = 30 * time.Millisecond // from the start in a slot
	networkDelay         = 2 * time.Millisecond
	pollInterval         = 25 * time.Millisecond // between an agent's polls of its target, plus jitter
	firstMoveCheck       = 100 * time.Millisecond
	moveCheckInterval    = 30 * time.Millisecond
	dispatchInterval     = 100 * time.Millisecond
	minDispatchGap       = 20 * time.Millisecond
	reservationTime      = time.Second // after which reservations are renewed
	minReservationGap    = 250 * time.Millisecond
	reportRepeatInterval = 250 * time.Millisecond // between reports of an unchanged load
	reserveTime          = 4 * time.Millisecond   // round trip of a reservation
	connIdleTimeout      = 8 * time.Second
	troughTime           = 3600 * time.Millisecond
	cycleTime            = 6 * time.Second
)

// simulation holds the state of one call of Run.
type simulation struct {
	timeline
	scenario    Scenario
	policy      Policy
	start       time.Time
	targets     []*target
	byID        map[string]*target
	entries     []*entry
	choiceRand  *rand.Rand
	arrivalRand *rand.Rand // of requests, independent of placement
	itemRand    *rand.Rand // of item arrivals, independent of placement
	paceRand    *rand.Rand // of neighbours' work, independent of placement
	out         Outcome
	lost        bool          // see Scenario.LostFrom
	held        []int         // requests sent to targets, by workspace
	lastID      int           // of a request or an item
	slotTime    time.Duration // sum of the times that slots were in use
	usage       []usage       // by source
}

// target is a simulated target. It admits work in arrival order.
type target struct {
	id            string
	instance      targets.Instance
	machinePace   float64 // see estimate.UsualPace
	slowdown      float64 // factor by which neighbours slow it now
	cutOff        bool    // it does not respond
	running       []*work
	measured      *seats.Pace
	observed      []observation // of the runs, newest last
	active        int
	queue         []*work
	reservedSlots int // slots reserved for requests that have not arrived
	arbiter       *seats.Arbiter
	workBySeat    map[uint64]*work
	reservations  map[uint64]waitingItem
	listeners     []*listener
}

// listener is an entry that receives load reports from a target's agent.
type listener struct {
	entry      *entry
	lastReport balance.Report
	sentAt     time.Time
}

// mixedPace is the pace of the slower targets of a scenario with MixedSpeeds.
const mixedPace = 1.3

// slowed converts a duration at the usual pace to the duration at this target.
func (t *target) slowed(d time.Duration) time.Duration {
	return whole(float64(d) * t.machinePace * t.slowdown)
}

// unslowed converts a duration at this target to the duration at the usual pace.
func (t *target) unslowed(d time.Duration) time.Duration {
	return whole(float64(d) / (t.machinePace * t.slowdown))
}

// whole rounds down to nanoseconds, allowing for errors of floating point.
func whole(ns float64) time.Duration {
	const tolerance = 1e-6
	return time.Duration(math.Floor(ns + tolerance))
}

// releaseSeat releases the seat of an item, if it has one.
func (t *target) releaseSeat(w *work) {
	if w.seat == 0 {
		return
	}
	t.arbiter.Release(w.seat)
	delete(t.workBySeat, w.seat)
	w.seat = 0
}

// entry is a process that chooses targets.
type entry struct {
	table       *balance.Table
	conns       map[string]*connCount // connections of this entry by target
	batch       []*work               // items waiting for a seat
	inSeats     []*work               // items in seats
	reserving   int                   // items that wait for reserved seats
	dispatched  time.Time             // time of the last dispatch
	ownRequests map[string]int        // work of this entry in progress by target
	room        *waitroom.Room
	lateRetries *waitroom.Budget
}

// connCount counts the connections of an entry to one target: those in use and all
// that are open.
type connCount struct {
	busy, open int
	lastUsed   time.Time
}

// work is an online request or a batch item.
type work struct {
	entry         *entry
	target        *target
	batch         bool
	arrived       time.Time
	due           time.Time
	remaining     time.Duration // run time that an item still needs
	started       time.Time
	running       bool
	gotFirstEvent bool
	id            string
	pace          float64       // believed of its target when it was sent
	left          time.Duration // of its run at the usual pace, at the time since
	since         time.Time
	timing        int // incremented whenever its end is computed anew, to ignore outdated events
	// reserved is true while a slot is reserved for the work at its target.
	reserved  bool
	retried   bool // the request was refused and this is its second attempt
	placement int  // incremented whenever the work leaves a target, to ignore outdated events
	seat      uint64
	workspace int
	ticket    waitroom.Ticket

	source           int
	waitingSince     time.Time
	reserving        bool
	reservation      int // incremented when reservations end, to ignore outdated grants
	reserveNotBefore time.Time
	moves            int
}

// Run simulates a scenario under a policy. The same seed gives the same arrivals under
// every policy.
func Run(scenario Scenario, policy Policy, seed uint64) Outcome {
	s := &simulation{
		scenario: scenario, policy: policy, byID: make(map[string]*target),
		choiceRand: rand.New(rand.NewPCG(seed, 1)), arrivalRand: rand.New(rand.NewPCG(seed, 2)), itemRand: rand.New(rand.NewPCG(seed, 3)), paceRand: rand.New(rand.NewPCG(seed, 4)),
		out: Outcome{Scenario: scenario.Name, Policy: policy.Name, Batch: scenario.ItemRate > 0},
	}
	s.out.Sources = make([]SourceOutcome, len(scenario.Sources))
	s.usage = make([]usage, max(len(scenario.Sources), 1))
	s.start = time.Unix(1000, 0)
	s.now = s.start
	s.held = make([]int, scenario.Workspaces)
	s.setUp()
	s.arriveRequest()
	if scenario.ItemRate > 0 {
		s.arriveItem()
	}
	s.runUntil(s.start.Add(scenario.Duration))
	s.summarise()
	return s.out
}

func (s *simulation) setUp() {
	var all []targets.Instance
	for i := range s.scenario.Targets {
		t := &target{
			id: fmt.Sprint("i", i), machinePace: s.scenario.pace(i), slowdown: 1, measured: seats.NewPace(),
			reservations: make(map[uint64]waitingItem),
			arbiter:      seats.NewArbiter(s.scenario.Slots, seats.ReservedSlots(fmt.Sprint("host", i))), workBySeat: make(map[uint64]*work),
		}
		s.targets = append(s.targets, t)
		s.byID[t.id] = t
		t.instance = targets.Instance{ID: t.id, Service: "s", Slots: s.scenario.Slots}
		all = append(all, t.instance)
		if !s.policy.NoLoadReports && !s.policy.NaiveForwarding {
			s.after(time.Duration(i)*time.Millisecond/2, func() { s.report(t) })
		}
	}
	if s.scenario.LostFrom > 0 {
		s.after(s.scenario.LostFrom, func() { s.loseTargets(all) })
	}
	s.planFaults()
	ids := make([]string, 0, len(all))
	for _, in := range all {
		ids = append(ids, in.ID)
	}
	for e := range s.scenario.Entries {
		en := &entry{table: balance.NewTable(uint64(e)), conns: make(map[string]*connCount), ownRequests: make(map[string]int), room: waitroom.NewRoom(roomLimit), lateRetries: waitroom.NewBudget(lateShare, lateLimit)}
		en.table.Replace(all)
		s.entries = append(s.entries, en)
		s.subscribe(en, ids)
		if !s.policy.NaiveForwarding {
			s.after(time.Duration(e)*time.Millisecond, func() { s.dispatch(en) })
		}
	}
}

// subscribe adds an entry to the listeners of the targets that it watches.
func (s *simulation) subscribe(e *entry, ids []string) {
	if s.policy.MaxWatched > 0 {
		ids = routing.Top(ids, routing.Score(fmt.Sprint("entry", len(s.entries)), 1), s.policy.MaxWatched)
	}
	for _, id := range ids {
		t := s.byID[id]
		t.listeners = append(t.listeners, &listener{entry: e})
	}
}

// report polls a target's load, recalls seats for waiting requests and sends the load to
// the listeners. It then schedules the next poll.
func (s *simulation) report(t *target) {
	if t.cutOff {
		return
	}
	load := seats.Load{Active: t.active, Queued: len(t.queue)}
	for _, id := range t.arbiter.Report(s.now, load) {
		w := t.workBySeat[id]
		s.after(networkDelay, func() { s.yield(w, id) })
	}
	s.grantReserved(t)
	rep := balance.Report{
		Active: load.Active, Queued: load.Queued, Batch: t.arbiter.Held(), Slots: s.scenario.Slots,
		FreeSeats: max(t.arbiter.FreeSeats(s.now)-t.arbiter.Waiting(), 0), UrgentSeats: max(t.arbiter.UrgentSeats(s.now), 0),
	}
	s.measure(t, &rep)
	for _, l := range t.listeners {
		s.sendReport(t, l, rep)
	}
	s.after(pollInterval+time.Duration(s.choiceRand.IntN(12))*time.Millisecond, func() { s.report(t) })
}

// sendReport sends a load to a listener if it has changed or the last report is at least
// reportRepeatInterval old.
func (s *simulation) sendReport(t *target, l *listener, rep balance.Report) {
	since, counts := s.now.Sub(l.sentAt), rep
	counts.TokenTime, counts.UsualTokenTime = 0, 0
	if since < s.policy.MinReportInterval || counts == l.lastReport && since < reportRepeatInterval {
		return
	}
	l.lastReport, l.sentAt = counts, s.now
	s.out.LoadReports++
	s.after(networkDelay+time.Duration(s.choiceRand.IntN(8))*time.Millisecond, func() {
		l.entry.table.UpdateLoad(s.now, t.id, rep)
		s.serveWaiting(l.entry)
		if s.policy.WakeOnFreeSeat && rep.FreeSeats+rep.UrgentSeats > 0 && s.now.Sub(l.entry.dispatched) >= minDispatchGap {
			s.dispatchOnce(l.entry)
		}
	})
}

func (s *simulation) arriveRequest() {
	rate := s.scenario.TroughRate
	if s.inPeak() {
		rate = s.scenario.PeakRate
	}
	s.lastID++
	w := &work{id: fmt.Sprint(s.lastID), pace: estimate.UsualPace, entry: s.entries[s.arrivalRand.IntN(len(s.entries))], arrived: s.now, workspace: s.drawWorkspace()}
	s.shares(w).Requests++
	next := time.Duration(s.arrivalRand.ExpFloat64() / rate * float64(time.Second))
	s.out.Requests++
	s.send(w)
	s.after(next, s.arriveRequest)
}

// arriveItem adds the items of one job to an entry.
func (s *simulation) arriveItem() {
	source, items := 0, 1
	if len(s.scenario.Sources) > 0 {
		source = s.drawSource()
		items = s.scenario.Sources[source].JobItems
	}
	e := s.entries[s.itemRand.IntN(len(s.entries))]
	next := time.Duration(s.itemRand.ExpFloat64() / s.scenario.ItemRate * float64(items) * float64(time.Second))
	for range items {
		s.lastID++
		w := &work{
			id: fmt.Sprint(s.lastID), pace: estimate.UsualPace,
			entry: e, batch: true, arrived: s.now, waitingSince: s.now,
			due: s.now.Add(s.scenario.DueWithin), remaining: s.scenario.RunTime, source: source,
		}
		if w.due.Before(s.start.Add(s.scenario.Duration)) {
			s.out.Items++
			if len(s.out.Sources) > 0 {
				s.out.Sources[source].Items++
			}
		}
		if s.policy.NaiveForwarding {
			s.send(w)
		} else {
			e.batch = append(e.batch, w)
			s.usage[source].waiting++
		}
	}
	s.after(next, s.arriveItem)
}

// drawSource draws the source of the next job, so that each source has its share of the items.
func (s *simulation) drawSource() int {
	sum := 0.0
	for _, src := range s.scenario.Sources {
		sum += src.Share / float64(src.JobItems)
	}
	left := s.itemRand.Float64() * sum
	for i, src := range s.scenario.Sources {
		if left -= src.Share / float64(src.JobItems); left < 0 {
			return i
		}
	}
	return len(s.scenario.Sources) - 1
}

// submit sends work to its target's queue over a connection. Work with a reservation
// goes to the front.
func (s *simulation) submit(w *work) {
	w.entry.ownRequests[w.target.id]++
	s.connect(w)
	placement := w.placement
	s.after(networkDelay, func() {
		if w.placement != placement {
			return
		}
		if w.reserved {
			w.reserved = false
			w.target.reservedSlots--
			w.target.queue = append([]*work{w}, w.target.queue...)
		} else {
			w.target.queue = append(w.target.queue, w)
		}
		s.admit(w.target)
	})
}

func (s *simulation) connect(w *work) {
	c := w.entry.conns[w.target.id]
	if c == nil {
		c = &connCount{}
		w.entry.conns[w.target.id] = c
	}
	if s.now.Sub(c.lastUsed) > connIdleTimeout {
		c.open = c.busy
	}
	c.busy++
	if c.busy > c.open {
		c.open = c.busy
		s.out.ConnsOpened++
	}
}

// release removes work from the entry's counts for its target. The connection is closed
// if the run did not complete.
func (s *simulation) release(w *work, completed bool) {
	c := w.entry.conns[w.target.id]
	c.busy--
	c.lastUsed = s.now
	if !completed {
		c.open--
	}
	w.entry.ownRequests[w.target.id]--
	if w.batch && !s.policy.NaiveForwarding {
		w.entry.table.BatchEnded(s.now, w.target.id, completed)
		return
	}
	w.entry.table.OnlineEnded(s.now, w.target.id, completed && !s.policy.IgnoreIdleConns)
	s.onlineEnded(w, completed)
}

// admit starts queued work in order while the target has free slots.
func (s *simulation) admit(t *target) {
	for !t.cutOff && t.active+t.reservedSlots < s.scenario.Slots && len(t.queue) > 0 {
		w := t.queue[0]
		t.queue = t.queue[1:]
		t.active++
		w.running, w.started, w.since, w.left = true, s.now, s.now, s.scenario.HoldTime
		if w.batch {
			w.left = w.remaining
		}
		t.running = append(t.running, w)
		s.scheduleRun(w)
	}
}

// scheduleRun schedules the first event and the end of running work at the pace that its
// target has now.
func (s *simulation) scheduleRun(w *work) {
	w.timing++
	t, placement, timing, whole := w.target, w.placement, w.timing, s.scenario.HoldTime
	if w.batch {
		whole = w.remaining
	}
	if first := s.scenario.firstEvent() - (whole - w.left); first > 0 {
		s.after(t.slowed(first), func() {
			if w.timing == timing {
				s.recordFirstEvent(w, placement)
			}
		})
	}
	s.after(t.slowed(w.left), func() {
		if w.timing == timing {
			s.finish(w, placement)
		}
	})
}

func (s *simulation) recordFirstEvent(w *work, placement int) {
	if w.placement == placement && !w.batch {
		w.gotFirstEvent = true
		if t := w.target; !s.policy.IgnorePace && !s.policy.NaiveForwarding {
			slowness := t.machinePace * t.slowdown
			s.after(networkDelay, func() { w.entry.table.ObserveSlowness(s.now, t.instance, slowness) })
		}
		w.entry.table.Estimates().ObserveStream("s", estimate.Work{}, w.pace, s.now.Sub(w.started), 1, 0)
		took := s.now.Sub(w.arrived)
		s.out.FirstEventTimes = append(s.out.FirstEventTimes, took)
		switch {
		case took > lateAfter:
			s.shares(w).Late++
		case w.retried:
			s.shares(w).Return++
			s.out.RetriedInTime++
		default:
			s.shares(w).First++
		}
	}
}

func (s *simulation) finish(w *work, placement int) {
	if w.placement != placement {
		return
	}
	t := w.target
	t.stopped(w)
	s.slotTime += s.now.Sub(w.started)
	if !w.batch {
		w.entry.table.Estimates().ObserveRequest("s", estimate.Work{}, w.pace, s.now.Sub(w.started))
	}
	s.release(w, true)
	if w.batch {
		s.leaveSeat(w)
		if !s.now.After(w.due) && w.due.Before(s.start.Add(s.scenario.Duration)) {
			s.out.InTime++
			if len(s.out.Sources) > 0 {
				s.out.Sources[w.source].InTime++
			}
		}
	}
	w.placement++
	s.admit(t)
}

// withdraw removes work from its target before it completes.
func (s *simulation) withdraw(w *work) {
	t := w.target
	w.placement++
	if w.running {
		w.running = false
		t.stopped(w)
		s.slotTime += s.now.Sub(w.started)
	}
	t.queue = slices.DeleteFunc(t.queue, func(other *work) bool { return other == w })
	s.release(w, false)
	s.after(networkDelay, func() { s.admit(t) })
}

func (s *simulation) summarise() {
	o := &s.out
	slices.Sort(o.FirstEventTimes)
	for _, d := range o.FirstEventTimes {
		if d > lateAfter {
			o.Late++
		}
	}
	if n := len(o.FirstEventTimes); n > 0 {
		const half, hundredth = 2, 100
		o.P50, o.P99 = o.FirstEventTimes[n/half], o.FirstEventTimes[n-1-n/hundredth]
	}
	slots := float64(s.scenario.Targets*s.scenario.Slots) * s.scenario.Duration.Seconds()
	o.SlotUse = s.slotTime.Seconds() / slots
}
