package runner

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/estimate"
	"pumiceford/events"
	"pumiceford/exchange"
	"pumiceford/fairshare"
	"pumiceford/jobs"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/quarantine"
	"pumiceford/seats"
	"pumiceford/targets"
)

// Timeouts of one run.
const (
	// firstEventTimeout bounds the wait for the first event of an item. The target has a
	// free seat, so even a slow one starts much sooner.
	firstEventTimeout = 1500 * time.Millisecond
	// eventGapTimeout bounds the wait between two events: fifty times the usual gap.
	eventGapTimeout = 1200 * time.Millisecond
	// maxOutputBytes bounds the output of an item, far above what can be read of one result.
	maxOutputBytes = 4 << 20
)

// statusImpossible is the status of an item that no target can ever process.
const statusImpossible = http.StatusUnprocessableEntity

// route returns the current route of an item's path, or nil if there is none.
func (r *Runner) route(open jobstore.OpenItem) *catalog.Route {
	cat := r.cfg.View.Catalog()
	if cat == nil {
		return nil
	}
	return cat.Match(open.Spec.GetHost(), open.Item.GetPath())
}

// service returns the service that runs an item. It reports false if the item has no
// route.
func (r *Runner) service(c candidate) (string, bool) {
	route := r.route(c.open)
	if route == nil {
		return "", false
	}
	return route.Service(c.open.Item.GetId()), true
}

// isRoutedTo reports whether the configuration in force sends an item to a service.
func (r *Runner) isRoutedTo(c candidate, service string) bool {
	now, ok := r.service(c)
	return ok && now == service
}

// work returns the size of an item, as far as it is known.
func (r *Runner) work(open jobstore.OpenItem, st *itemState) estimate.Work {
	w := st.size
	if route := r.route(open); route != nil {
		w.Class = route.Name
	}
	return w
}

// standing returns the standing of an item's workspace. It keeps those that it has looked up
// in known.
func (r *Runner) standing(now time.Time, open jobstore.OpenItem, known map[fairshare.Holder]fairshare.Standing) fairshare.Standing {
	h := r.holder(open)
	s, ok := known[h]
	if !ok {
		s = r.cfg.Shares.Standing(now, h)
		known[h] = s
	}
	return s
}

// seatRequest returns the request for an item's seat.
func (r *Runner) seatRequest(now time.Time, c candidate) seats.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := seats.Request{
		Due: c.YieldDue(now), Workspace: c.open.Spec.GetWorkspace(), Rank: c.Rank, Excess: c.Excess,
		Remaining: c.Remaining, Started: c.Started, Late: !c.Feasible(now),
	}
	if st := r.items[c.open.Key()]; st != nil && !st.waitingSince.IsZero() {
		req.Waited = now.Sub(st.waitingSince)
	}
	return req
}

// holder returns the workspace that an item is accounted to, as the catalog in force describes
// it.
func (r *Runner) holder(open jobstore.OpenItem) fairshare.Holder {
	h := fairshare.Holder{Workspace: open.Spec.GetWorkspace()}
	if cat := r.cfg.View.Catalog(); cat != nil {
		w := cat.Workspace(h.Workspace)
		h.Rank, h.Weight = catalog.Rank(r.route(open), w), cat.Weight(w)
	}
	return h
}

// recordBacklog accounts the items of a scan that got no slot.
func (r *Runner) recordBacklog(now time.Time, scanned []candidate) {
	var waiting []jobstore.OpenItem
	r.mu.Lock()
	for _, c := range scanned {
		if st := r.items[c.open.Key()]; st != nil && !st.running && !st.done {
			waiting = append(waiting, c.open)
		}
	}
	r.mu.Unlock()
	backlog := make(map[fairshare.Holder]int)
	for _, open := range waiting {
		backlog[r.holder(open)]++
	}
	r.cfg.Shares.SetBacklog(now, backlog)
}

// remainingAt estimates how long an item still has to run at a target with the given pace.
func (r *Runner) remainingAt(c candidate, pace float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.items[c.open.Key()]
	if st == nil { // the item has been closed meanwhile
		return c.Remaining
	}
	return r.estimates.Remaining(r.work(c.open, st), pace, st.lastEvent)
}

// excludeFailed returns the targets at which an item may be retried. A target that fails
// every item immediately always has free seats, so without this rule a valid item uses up
// its attempts at the same few targets and is given up. An item that has failed is
// therefore retried only at other targets, and only at those that are not suspect, so that
// the failures counted against it are its own. If there is no such target, the item waits
// until one is no longer suspect.
func excludeFailed(all []balance.BatchTarget, avoid []string) []balance.BatchTarget {
	if len(avoid) == 0 {
		return all
	}
	var out []balance.BatchTarget
	for _, c := range all {
		if !c.Suspect && !slices.Contains(avoid, c.Instance.ID) {
			out = append(out, c)
		}
	}
	return out
}

// suitable returns the targets at which an item may run now. Those that can continue its output
// come first; the others are left out while the item waits for one of them.
func (r *Runner) suitable(now time.Time, c candidate, all []balance.BatchTarget) []balance.BatchTarget {
	written, repeated, waited := r.outputOf(now, c)
	if repeated == 0 || r.mistaken(written) {
		return all
	}
	var same, others []balance.BatchTarget
	for _, t := range all {
		if t.Instance.Software() == written.software {
			same = append(same, t)
		} else {
			others = append(others, t)
		}
	}
	serves := false
	r.cfg.View.WithTable(func(t *balance.Table) { serves = t.Serves(now, written.software) })
	if serves && !c.StartsAnew(now, waited, repeated) {
		return same
	}
	return append(same, others...)
}

// outputOf returns what wrote an item's output so far, without the output, the time in which a
// target of the usual pace would repeat it, 0 if there is none, and how long the item has waited
// for a seat.
func (r *Runner) outputOf(now time.Time, c candidate) (written progress, repeated, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.items[c.open.Key()]
	if st == nil || st.lastEvent == 0 {
		return progress{}, 0, 0
	}
	work := r.work(c.open, st)
	repeated = r.estimates.Remaining(work, estimate.UsualPace, 0) - r.estimates.Remaining(work, estimate.UsualPace, st.lastEvent)
	if !st.waitingSince.IsZero() {
		waited = now.Sub(st.waitingSince)
	}
	return st.writers(), max(repeated, 1), waited
}

// seatCandidates returns the targets of a service that may have a free seat, best first, and
// whether it left one out that is too slow.
func seatCandidates(t *balance.Table, now time.Time, service string, req seats.Request) (free []balance.BatchTarget, tooSlow bool) {
	return t.BatchTargetsFor(now, service, balance.Item{Remaining: req.Remaining, Due: req.Due, Urgent: seats.Urgent(now, req.Due)})
}

// seatTimeout bounds the search for one item's seat. Other items wait behind it, and a
// request to an agent that is down takes a quarter of a second to time out.
const seatTimeout = 500 * time.Millisecond

// acquireSeat requests a seat from the agents, the best candidate first. It reads the state
// of the targets again before each request and once more after it: a target may start
// draining in the meantime, and must then get no item. It returns no seat if none is free, and
// whether the item left out a target with a free seat.
func (r *Runner) acquireSeat(ctx context.Context, service string, avoid []string, c candidate) (g grant, leftOut bool) {
	ctx, cancel := context.WithTimeout(ctx, seatTimeout)
	defer cancel()
	req := r.seatRequest(time.Now(), c)
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		t, slow, ok := r.nextTarget(service, avoid, c, req, tried)
		in := t.Instance
		leftOut = leftOut || slow
		if !ok {
			break
		}
		tried[in.ID] = true
		seat, err := r.cfg.Seats.Acquire(ctx, in, r.at(c, req, t.Pace))
		granted := seat != nil && err == nil
		if r.recordSeatReply(service, in, granted) {
			return grant{in: in, seat: seat}, false
		}
		if granted {
			r.cfg.Metrics.Count("seat_not_used")
			seat.Close()
		}
	}
	return grant{}, leftOut
}

// recordSeatReply records an agent's answer and reports whether the seat may be used.
func (r *Runner) recordSeatReply(service string, in targets.Instance, granted bool) bool {
	eligible := false
	r.cfg.View.WithTable(func(t *balance.Table) {
		t.RecordSeatReply(in.ID, granted)
		eligible = t.Eligible(time.Now(), service, in.ID)
	})
	return granted && eligible
}

// at returns the request for a seat at a target of the given pace.
func (r *Runner) at(c candidate, req seats.Request, pace float64) seats.Request {
	req.Remaining = r.remainingAt(c, pace)
	return req
}

// nextTarget returns the best target for an item that has not been tried yet. It reports
// false if there is none, and whether it left one out that is too slow or where the item
// would start anew. If the item has failed at every target of the service, it excludes none
// for that.
func (r *Runner) nextTarget(service string, avoid []string, c candidate, req seats.Request, tried map[string]bool) (target balance.BatchTarget, leftOut, ok bool) {
	var ranked []balance.BatchTarget
	failedAtAll := false
	r.cfg.View.WithTable(func(t *balance.Table) {
		ranked, leftOut = seatCandidates(t, time.Now(), service, req)
		failedAtAll = t.CountInService(service) <= len(avoid)
	})
	if !failedAtAll {
		ranked = excludeFailed(ranked, avoid)
	}
	usable := r.suitable(time.Now(), c, ranked)
	leftOut = leftOut || len(usable) < len(ranked)
	for _, t := range usable {
		if !tried[t.Instance.ID] {
			return t, leftOut, true
		}
	}
	return balance.BatchTarget{}, leftOut, false
}

// accepts reports whether an item waits for a seat at a target with the given pace, see
// schedule.Item.Accepts.
func (r *Runner) accepts(c candidate, pace, best float64) bool {
	return pace <= best || c.Accepts(time.Now(), r.remainingAt(c, pace), r.remainingAt(c, best))
}

// run makes one attempt at an item and records its result. It returns the seat that the item
// moves to, or nil.
func (r *Runner) run(ctx context.Context, cancel context.CancelCauseFunc, c candidate, st *itemState, g grant, waited time.Duration) *grant {
	began, in, seat := time.Now(), g.in, g.seat
	r.mu.Lock()
	from := st.lastEvent
	r.mu.Unlock()
	go func() {
		select {
		case <-seat.Yield:
			cancel(errYield)
		case <-ctx.Done():
		}
	}()
	r.cfg.View.WithTable(func(t *balance.Table) { t.BatchStarted(began, in.ID) })
	holder := r.holder(c.open)
	r.cfg.Shares.Begin(began, holder)
	defer func() { r.cfg.Shares.End(time.Now(), holder) }()
	outcome, err := r.attempt(ctx, c, st, g)
	if err != nil && connectionLost(ctx, err) {
		r.reportLostConnection(ctx, c, st, g.run, in, from, began)
	}
	r.cfg.View.WithTable(func(t *balance.Table) { t.BatchEnded(time.Now(), in.ID, err == nil) })
	why := "complete"
	if err != nil {
		why = reason(ctx, err)
	}
	to, failed, next := r.endRun(ctx, c, st, g, outcome, err, from, began)
	r.cfg.Log.Info("item run ended", logging.F("job", c.open.Job), logging.F("item", c.open.Item.GetId()),
		logging.F("index", c.open.Index), logging.F("parts", quarantine.PartIDs(st.parts)), logging.F("instance", in.ID), logging.F("version", in.Version), logging.F("why", why), logging.F("from_event", from), logging.F("to_event", to),
		logging.F("took_ms", time.Since(began).Milliseconds()), logging.F("failed", failed),
		logging.F("waited_ms", waited.Milliseconds()), logging.F("rank", c.Rank), logging.F("excess", c.Excess),
		logging.F("due_in_ms", time.Until(c.Due).Milliseconds()))
	return next
}

// errYield is the cancellation cause of a run whose seat the agent revoked.
var errYield = errors.New("seat asked back")

// stoppedLocally reports whether this process cancelled the run itself.
func stoppedLocally(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errYield) || errors.Is(cause, errHandOver) || errors.Is(cause, errItemClosed) || errors.Is(cause, errMoved)
}

// reason returns why a run ended without an outcome, for the log.
func reason(ctx context.Context, err error) string {
	if stoppedLocally(ctx) {
		return context.Cause(ctx).Error()
	}
	return err.Error()
}

// connectionLost reports whether a run ended because its connection broke after the item
// had been sent to the target.
func connectionLost(ctx context.Context, err error) bool {
	var se *exchange.SendError
	if errors.As(err, &se) {
		return se.Sent && se.Fault == exchange.FaultBroken
	}
	return ctx.Err() == nil && errors.Is(err, errNoOutcome)
}

// reportLostConnection reports to the quarantine that a connection broke while the target
// was processing an item.
func (r *Runner) reportLostConnection(ctx context.Context, c candidate, st *itemState, run *quarantine.Attempt, in targets.Instance, from uint64, began time.Time) {
	r.mu.Lock()
	events := st.lastEvent - from
	r.mu.Unlock()
	r.cfg.Quarantine.RecordBroken(ctx, quarantine.BrokenRun{
		Attempt: run, Request: c.open.Item.GetId(), Target: in, Events: events, Took: time.Since(began),
	})
}

// endRun records the result of an attempt. It returns the item's last event, its number of
// failed attempts and the seat that it moves to.
func (r *Runner) endRun(ctx context.Context, c candidate, st *itemState, g grant, o *jobs.Outcome, err error, from uint64, began time.Time) (uint64, int, *grant) {
	in, pace := g.in, estimate.UsualPace
	r.cfg.View.WithTable(func(t *balance.Table) { pace = t.UsualPace(time.Now(), in.ID) })
	work := r.work(c.open, st)
	r.mu.Lock()
	// Set done under the same lock as the end of the run. Otherwise the item looks open
	// in between and is started again.
	st.running, st.cancel, st.done = false, nil, o != nil
	next := st.current.next
	st.current = nil
	r.running--
	if err != nil && !stoppedLocally(ctx) {
		st.backoff = min(max(2*st.backoff, minBackoff), maxBackoff)
		st.notBefore = time.Now().Add(st.backoff)
	}
	if o != nil {
		st.backoff = 0
		r.estimates.ObserveItem(work, st.lastEvent)
	}
	r.estimates.ObserveRun(work, pace, st.lastEvent-from, time.Since(began))
	last, failed, ended := st.lastEvent, st.failures, st.ended
	r.mu.Unlock()
	switch {
	case o != nil:
		r.cfg.Metrics.Count("item_complete")
		r.recordHealth(in, balance.Succeeded)
		r.cfg.Quarantine.RecordSuccess(g.run)
		r.finish(st, c, *o)
	case stoppedLocally(ctx):
		r.cfg.Metrics.Count("item_stopped")
	default:
		r.cfg.Metrics.Count("item_run_broken")
	}
	close(ended)
	signal(r.wake)
	return last, failed, next
}

// recordHealth records a verdict on the health of a target.
func (r *Runner) recordHealth(in targets.Instance, v balance.Outcome) {
	r.cfg.View.WithTable(func(t *balance.Table) { t.RecordOutcome(time.Now(), in.ID, v) })
}

// errNoOutcome marks errors of an attempt that ended before the item was complete. The item
// is retried after such an error.
var errNoOutcome = errors.New("attempt ended without an outcome")

// errOutputTooLarge marks an output over maxOutputBytes. The item starts anew after it.
var errOutputTooLarge = errors.New("output over 4 MiB")

// errMistakenOutput marks an output that software of two versions may have written. The item
// starts anew after it.
var errMistakenOutput = errors.New("two software versions may have written the output")

// attempt runs an item from its last complete event on. It returns the outcome if the item
// completes, and an error otherwise.
func (r *Runner) attempt(ctx context.Context, c candidate, st *itemState, g grant) (*jobs.Outcome, error) {
	in := g.in
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(firstEventTimeout, func() {
		r.recordHealth(in, balance.Unreachable)
		cancel()
	})
	defer watchdog.Stop()
	item := c.open.Item
	r.mu.Lock()
	after := st.lastEvent
	r.mu.Unlock()
	resp, err := r.cfg.Sender.Send(ctx, in, &exchange.Call{
		ID: item.GetId(), Method: http.MethodPost, Host: c.open.Spec.GetHost(), URI: item.GetPath(),
		Header: r.cfg.Headers(item.GetHeaders()), Body: item.GetBody(), Work: r.work(c.open, st), ResumeAfter: after, Workspace: c.open.Spec.GetWorkspace(),
	})
	if err != nil {
		r.recordSendError(ctx, in, err)
		return nil, errors.Mark(err, errNoOutcome)
	}
	defer func() { _ = resp.Body.Close() }() // nothing more is read from it
	r.cfg.View.WithTable(func(t *balance.Table) { t.ObserveSlowness(time.Now(), in, resp.Slowness) })
	if err := r.checkResponse(c, st, in, resp); err != nil {
		return nil, err
	}
	outcome, err := r.readStream(c, st, g.run, resp, after, watchdog)
	if events.IsMalformed(err) || errors.Is(err, errOutputTooLarge) {
		r.recordHealth(in, balance.Failed)
	}
	return outcome, err
}

// recordSendError records the health of a target after a failed send, unless the run was
// cancelled.
func (r *Runner) recordSendError(ctx context.Context, in targets.Instance, err error) {
	var se *exchange.SendError
	if ctx.Err() != nil || !errors.As(err, &se) {
		return
	}
	if se.Fault == exchange.FaultConnect {
		r.recordHealth(in, balance.Unreachable)
		return
	}
	r.recordHealth(in, balance.Failed)
}

// statusError reports that a target responded with something other than a result stream.
type statusError struct {
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return "target responded with status " + http.StatusText(e.status)
}

// checkResponse returns nil if a response is a result stream. For any other response it
// records the failure and returns a statusError.
func (r *Runner) checkResponse(c candidate, st *itemState, in targets.Instance, resp *exchange.Response) error {
	if resp.Outcome == exchange.Done && resp.Status < http.StatusMultipleChoices {
		if !resp.EventStream {
			r.recordHealth(in, balance.Failed)
			return &statusError{resp.Status}
		}
		return nil
	}
	failed := resp.Outcome == exchange.Failed && resp.Status == http.StatusInternalServerError
	impossible := resp.Outcome == exchange.Done && resp.Status == statusImpossible
	if resp.Outcome == exchange.OtherInstance {
		r.cfg.View.MarkSuperseded(in.ID)
	}
	if failed || impossible {
		r.mu.Lock()
		if failed {
			st.failures++
			st.failedTargets, st.lastFailure = append(st.failedTargets, in.ID), time.Now()
		}
		firstFailure := st.failures == 1
		st.impossible = st.impossible || impossible
		count, isImpossible := st.failures, st.impossible
		r.mu.Unlock()
		if failed && firstFailure {
			// If the item has failed before, it may be at fault itself, not the target.
			r.recordHealth(in, balance.Failed)
		}
		go r.saveFailures(c, count, isImpossible)
	}
	return &statusError{resp.Status}
}

// saveFailures saves the number of failed attempts on the store, so that another process
// does not start counting from zero.
func (r *Runner) saveFailures(c candidate, failed int, impossible bool) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := r.cfg.Store.RecordFailures(ctx, c.open.Job, c.open.Index, failed, impossible); err != nil {
		r.cfg.Log.Warn("failed attempt not saved", logging.F("job", c.open.Job),
			logging.F("item", c.open.Item.GetId()), logging.F("error", err.Error()))
	}
}

// readStream reads the events that follow the event after, up to the end of the stream. A
// stream that ends without an event completes the item only if earlier events are known.
func (r *Runner) readStream(c candidate, st *itemState, run *quarantine.Attempt, resp *exchange.Response, after uint64, watchdog *time.Timer) (*jobs.Outcome, error) {
	rd := events.NewReader(resp.Body, after)
	var began time.Time // of the response; zero before its first event
	reported := false   // the response has gone on for so long that it clears the prompt's parts
	for n := 0; ; n++ {
		ev, err := rd.Next()
		if errors.Is(err, io.EOF) && n+int(after) > 0 {
			if after > 0 && r.mistaken(r.writersOf(st)) {
				return nil, errMistakenOutput
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			return &jobs.Outcome{Job: c.open.Job, Item: c.open.Index, Text: st.text}, nil
		}
		if err != nil {
			return nil, errors.Mark(err, errNoOutcome)
		}
		if ev.ID > 0 {
			watchdog.Reset(eventGapTimeout) // only these events are known to make progress
		}
		switch {
		case began.IsZero():
			began = time.Now()
		case !reported && time.Since(began) >= quarantine.SoundAfter:
			reported = true
			r.cfg.Quarantine.RecordProgress(run)
		}
		r.mu.Lock()
		st.add(ev)
		tooLarge := len(st.text) > maxOutputBytes
		if tooLarge {
			st.progress, st.savedEvent = progress{}, 0
		}
		r.mu.Unlock()
		if tooLarge {
			return nil, errors.Mark(errOutputTooLarge, errNoOutcome)
		}
	}
}

// add appends a complete event.
func (p *progress) add(ev events.Event) {
	if !ev.HasData {
		return
	}
	if p.lastEvent > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, ev.Data...)
	p.lastEvent = max(p.lastEvent, ev.ID)
}
