// Package gateway serves opaque requests: it matches the route, chooses a target, sends the
// request there, and fails over to other targets as far as the route's rules allow.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/exchange"
	"pumiceford/fairshare"
	"pumiceford/fleet"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/origins"
	"pumiceford/quarantine"
	"pumiceford/refusals"
	"pumiceford/shutdown"
	"pumiceford/targets"
	"pumiceford/waitroom"
)

// Responder writes the response to the client that sent a request.
type Responder interface {
	// Start sends status and header. The length of the body is in bytes, -1 when unknown.
	Start(status int, header http.Header, length int64)
	// Write sends a part of the body and flushes it.
	Write(p []byte) error
	// Abort closes the connection, so that a response that has started does not look
	// complete.
	Abort()
	// Refuse sends the refusal of a request.
	Refuse(r Refusal)
}

// Reason is why a request is refused or failed.
type Reason string

// The reasons.
const (
	NoRoute          Reason = "no_route"         // no route has the host and path
	NotReady         Reason = "not_ready"        // no catalog has been loaded yet, or an old one lacks the route
	NoTarget         Reason = "no_target"        // no target of the service is usable
	Overload         Reason = "overload"         // no target can serve it within a useful time
	ResponseLost     Reason = "lost"             // a target may have run it, but the response is lost
	TimedOut         Reason = "timed_out"        // its deadline passed
	Malformed        Reason = "malformed"        // the request cannot be parsed
	TooLarge         Reason = "too_large"        // its body exceeds the limit
	HeaderTooLarge   Reason = "header_too_large" // its header exceeds the limit
	UploadTimeout    Reason = "upload_timeout"   // its body was not complete in time
	CallersMemory    Reason = "callers_memory"   // the requests of all callers hold too much memory
	StoreUnavailable Reason = "unsure"           // the shared store does not respond
	JobNotFound      Reason = "unknown"          // there is no such job
	JobConflict      Reason = "conflict"         // another job has the same ID
	VersionGone      Reason = "version_gone"     // no target of the version that began its stream is usable
	NotRecorded      Reason = "not_recorded"     // the version that begins its stream cannot be recorded
	OriginUnknown    Reason = "origin_unknown"   // the version that began its stream is not known
	SlowCallers      Reason = "slow_callers"     // responses that callers do not read hold too much memory
	Quarantined      Reason = "quarantined"      // it, or a part of its prompt, crashes the targets that run it
	Stopping         Reason = "stopping"         // this process may stop before it ends

	UnknownKey         Reason = "unknown_key"         // its key belongs to no workspace
	StaleConfiguration Reason = "stale_configuration" // its key cannot be confirmed to be valid
	OverLimit          Reason = "over_limit"          // its workspace exceeds its rate limit
	LimitUnknown       Reason = "limit_unknown"       // no process grants requests of its workspace
)

// Refusal is the final response to a request that is refused or failed.
type Refusal struct {
	Reason Reason
	// NotRun promises that the request was not run and never will be.
	NotRun bool
	// RetryAfter is how long the caller should wait before a retry, 0 when none is suggested.
	RetryAfter time.Duration
}

// Limits and timeouts of serving.
const (
	// maxSends bounds how often one request is sent, including to targets that report
	// that they did not run it.
	maxSends = 4
	// startupGrace is how long after its start a process holds requests while it loads
	// the catalog and the targets.
	startupGrace = 250 * time.Millisecond
	// maxCatalogAge is the age of the catalog's last confirmation up to which a route that it lacks
	// is refused for good. A route that was added longer ago may have to be served.
	maxCatalogAge = 1900 * time.Millisecond
	// retryAfterUnavailable is the retry-after while no target is known: a new one
	// registers within about a second.
	retryAfterUnavailable = 500 * time.Millisecond
	// retryAfterStopping is the retry-after of a process that is being stopped. Another one
	// can serve the request at once.
	retryAfterStopping = 50 * time.Millisecond
	// queuedThreshold is how long a request goes without a response before it counts as
	// queued: three times what a target with a free slot takes. queuePollInterval is the
	// pause between checks for a free slot at another target.
	queuedThreshold   = 100 * time.Millisecond
	queuePollInterval = 30 * time.Millisecond
	// firstEventShare is the fraction of the route's objective for the first event after
	// which a target with a free slot counts as unresponsive. The rest suffices for another
	// target that starts at once.
	firstEventShare = 0.7
	// timeoutPerWaiting extends that timeout for each request known to wait at the target.
	timeoutPerWaiting = 120 * time.Millisecond
	// eventGapShare is the fraction of the route's objective for the gap between events
	// after which a target counts as unresponsive. Engines that are merely slow pause for
	// less.
	eventGapShare = 0.6
	// defaultEventTimeout applies to the first event and to gaps where the route sets
	// no objective.
	defaultEventTimeout = 2 * time.Second
)

// Request is one request of a caller.
type Request struct {
	exchange.Call
	Arrived time.Time      // before the body was read
	Key     quarantine.Key // the same for each attempt of the caller
	// Parts are the parts of the prompt that other requests may share.
	Parts []quarantine.Part
	// FirstAttempt is the ID of the attempt that brought the first event of the stream that the
	// request resumes; "" if it resumes none or the caller does not name it.
	FirstAttempt string
	Holder       fairshare.Holder
	// ReserveMemory reserves bytes for the response until the request ends, and reports whether they
	// are free; nil reserves nothing.
	ReserveMemory func(bytes int64) bool
}

// FailureNotifier notifies other processes of target failures.
type FailureNotifier interface {
	// NotifyFailure reports that a request failed at an instance. It does not block.
	NotifyFailure(instance string)
}

// Config holds the dependencies of a Gateway.
type Config struct {
	View *fleet.View
	// CatalogAsOf returns the time up to which the catalog is known to be the newest, the zero
	// time until the store has confirmed it; nil if the catalog is always the newest.
	CatalogAsOf     func() time.Time
	Sender          exchange.Sender
	Reserver        exchange.Reserver
	FailureNotifier FailureNotifier
	Quarantine      *quarantine.Tracker
	Shares          *fairshare.Ledger // account of the slots held; nil for one of its own
	// Origins knows the software that began a stream; nil if streams are never taken up.
	Origins *origins.Directory
	// Refusals counts refused and failed requests; nil counts none.
	Refusals *refusals.Table
	Shutdown *shutdown.Plan // of this process; nil if it is never stopped
	Log      logging.Logger
	Metrics  *metrics.Set
}

// Gateway serves requests. Its methods are safe for concurrent use.
type Gateway struct {
	view       *fleet.View
	asOf       func() time.Time
	sender     exchange.Sender
	reserver   exchange.Reserver
	notifier   FailureNotifier
	quarantine *quarantine.Tracker
	shares     *fairshare.Ledger
	origins    *origins.Directory
	refusals   *refusals.Table
	shutdown   *shutdown.Plan
	log        logging.Logger
	refusalLog *refusalLog
	metrics    *metrics.Set
	started    time.Time
	timeouts   *timeoutTracker
	rooms      *rooms
	orderedBy  atomic.Int64 // version of the catalog whose ranks order the requests that wait
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	if cfg.Shares == nil {
		cfg.Shares = fairshare.NewLedger()
	}
	if cfg.CatalogAsOf == nil {
		cfg.CatalogAsOf = time.Now
	}
	return &Gateway{
		view: cfg.View, asOf: cfg.CatalogAsOf, sender: cfg.Sender, reserver: cfg.Reserver, notifier: cfg.FailureNotifier, quarantine: cfg.Quarantine,
		refusals: cfg.Refusals, refusalLog: &refusalLog{log: cfg.Log}, shares: cfg.Shares, origins: cfg.Origins, rooms: newRooms(),
		shutdown: cfg.Shutdown, log: cfg.Log, metrics: cfg.Metrics, started: time.Now(), timeouts: newTimeoutTracker(),
	}
}

// Route returns the route of a request, or the refusal when there is none. A process that has
// just started waits up to startupGrace for catalog and targets: a caller that has to
// retry loses much more time.
func (g *Gateway) Route(ctx context.Context, id, host, path string) (*catalog.Route, *Refusal) {
	route, refusal := g.route(ctx, host, path)
	if refusal != nil {
		if g.recordRefusal("", refusal.Reason) {
			g.log.Info("request refused", logging.F("request", id), logging.F("outcome", refusal.Reason),
				logging.F("host", host), logging.F("path", path), logging.F("catalog", g.view.CatalogVersion()))
		}
	}
	return route, refusal
}

// recordRefusal counts a refusal of a request that was not served. It reports whether the
// caller has to log it; if not, it is part of a line with a count.
func (g *Gateway) recordRefusal(workspace string, reason Reason) (listed bool) {
	now := time.Now()
	g.metrics.Count("online_" + string(reason))
	g.refusals.Count(now, workspace, string(reason))
	return g.refusalLog.listed(now, workspace, reason)
}

func (g *Gateway) route(ctx context.Context, host, path string) (*catalog.Route, *Refusal) {
	if !g.view.Ready() {
		if left := startupGrace - time.Since(g.started); left > 0 {
			g.view.WaitReady(ctx, left)
		}
	}
	cat := g.view.Catalog()
	if cat == nil {
		return nil, &Refusal{Reason: NotReady, NotRun: true, RetryAfter: retryAfterUnavailable}
	}
	if r := cat.Match(host, path); r != nil {
		return r, nil
	}
	if time.Since(g.asOf()) > maxCatalogAge {
		// The route may have been added since. Its caller would not ask another process after a
		// refusal for good.
		return nil, &Refusal{Reason: NotReady, NotRun: true, RetryAfter: retryAfterUnavailable}
	}
	return nil, &Refusal{Reason: NoRoute, NotRun: true}
}

// Serve executes one request and responds to its caller. It sets req.Deadline to the earlier
// of the caller's deadline and the route's timeout.
func (g *Gateway) Serve(ctx context.Context, route *catalog.Route, req *Request, responder Responder) {
	hasDeadline := !req.Deadline.IsZero()
	isRetry := hasDeadline && g.timeouts.isRetry(req.Arrived, route.Name, req.Deadline.Sub(req.Arrived))
	limit := req.Arrived.Add(route.Timeout)
	if req.Deadline.IsZero() || limit.Before(req.Deadline) {
		req.Deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s := &requestState{g: g, ctx: ctx, route: route, req: req, responder: responder, tried: make(map[string]bool), hasDeadline: hasDeadline, isRetry: isRetry}
	s.service = route.Service(req.ID)
	s.standing = g.shares.Standing(time.Now(), req.Holder)
	req.Work.Class = route.Name
	if s.resolveOrigin() {
		s.run()
	}
	if s.g.origins != nil {
		s.g.origins.End(req.ID)
	}
	s.report()
}

// requestState is the state of one request.
type requestState struct {
	g           *Gateway
	ctx         context.Context
	route       *catalog.Route
	req         *Request
	responder   Responder
	service     string
	hasDeadline bool // the caller sent a deadline
	isRetry     bool // the request was probably refused before
	standing    fairshare.Standing
	resendTaken atomic.Bool       // the watchdog has taken a further send from the budget
	waitsHere   bool              // the request waits at this process, not at a target
	waited      bool              // the request has waited at this process
	roomTime    time.Duration     // time that it waited at this process
	retryIn     time.Duration     // suggested with the refusal
	freedRate   float64           // see balance.Table.FreedRate
	admission   waitroom.Decision // to the room; zero if the request did not ask

	tried           map[string]bool     // targets to which the request is not sent again
	current         *quarantine.Attempt // the run in progress, or the last one; nil before the first
	heldPart        string              // part of the prompt for which the request was refused
	sends           int
	possibleRuns    int               // sends that the target may have run
	sentAt          time.Time         // time of the last send
	headerSent      bool              // status and header were sent to the caller
	lastEvent       uint64            // ID of the last event sent to the caller
	attemptEvents   uint64            // events received in the last send
	emptyRests      int               // targets that had no more events of the stream
	firstResponseAt time.Time         // time of the first event or response
	continues       *targets.Software // that the caller's events come from; nil while it has none
	outcome         string
	instance        string
	choice          balance.Choice
}

// step is what to do next after one send.
type step int

const (
	finished step = iota
	tryNext       // try another target
)

func (s *requestState) run() {
	for {
		choice, ok := s.choose()
		if !ok {
			return
		}
		if s.attempt(choice) == finished {
			return
		}
	}
}

// choose picks the target of the next send. It reports false when it has ended the request
// instead.
func (s *requestState) choose() (balance.Choice, bool) {
	if !s.maySend() {
		return balance.Choice{}, false
	}
	c, ok := s.pickAndReserve()
	if !ok {
		c, ok = s.pick()
	}
	if ok && s.waitsHere {
		if c, ok = s.waitForSlot(c); !ok {
			return c, false
		}
	}
	switch {
	case !ok && s.continues != nil:
		// A target of a version that is being replaced is not expected back.
		s.fail(VersionGone, 0)
		return c, false
	case !ok:
		s.fail(NoTarget, retryAfterUnavailable)
		return c, false
	case s.req.ReservedSlot == "" && !s.admissible(c):
		s.refuseOverload(c)
		return c, false
	}
	return c, true
}

// logSend logs a send.
func (s *requestState) logSend(c balance.Choice) {
	// The send is logged in addition to the end: a process that dies does not log the end.
	s.g.log.Info("request sent", logging.F("request", s.req.ID), logging.F("key", s.req.Key.String()), logging.F("parts", quarantine.PartIDs(s.req.Parts)), logging.F("route", s.route.Name),
		logging.F("instance", c.Instance.ID), logging.F("version", c.Instance.Version), logging.F("resume_after", s.resumeAfter()), logging.F("first_attempt", s.req.FirstAttempt),
		logging.F("load", c.Load), logging.F("batch", c.Batch),
		logging.F("waiting", c.Waiting), logging.F("load_age_ms", ageMillis(c.LoadAge)),
		logging.F("pace", c.Pace), logging.F("pace_age_ms", ageMillis(c.PaceAge)), logging.F("reserved", s.req.ReservedSlot != ""),
		logging.F("among", c.Candidates), logging.F("catalog", s.g.view.CatalogVersion()))
}

// maySend reports whether the request may still be sent. It ends the request if not. The check
// precedes each send, since this process may be stopped meanwhile, and the request's own sends may
// have caused the last crash that is needed to hold it. Without the check one request that its
// caller retries crashes a service as fast as its targets restart.
func (s *requestState) maySend() bool {
	if s.ctx.Err() != nil {
		s.fail(TimedOut, 0)
		return false
	}
	if !s.canFinish() {
		s.fail(Stopping, retryAfterStopping)
		return false
	}
	s.g.quarantine.WaitSettled(s.ctx, s.content())
	if hold := s.g.quarantine.Held(s.content()); hold != nil {
		s.refuseHeld(hold)
		return false
	}
	return true
}

// canFinish reports whether the request is sure to end before this process does. A request that a
// target may have run already goes on in any case.
func (s *requestState) canFinish() bool {
	return s.possibleRuns > 0 || s.headerSent || s.g.shutdown.Allows(s.req.Deadline)
}

// refuseHeld ends a request that is held.
func (s *requestState) refuseHeld(hold *quarantine.Hold) {
	s.heldPart = hold.Part
	s.fail(Quarantined, hold.Left)
}

// content returns what crashes are counted against.
func (s *requestState) content() quarantine.Content {
	return quarantine.Content{Key: s.req.Key, Parts: s.req.Parts}
}

// beginRun begins a run of the request. It returns nil when it has ended the request instead: it
// may have become held while it waited for its slot.
func (s *requestState) beginRun() *quarantine.Attempt {
	for {
		run, hold := s.g.quarantine.Begin(s.content())
		if hold == nil {
			return run
		}
		if !s.maySend() {
			return nil
		}
	}
}

// ageMillis returns the age in milliseconds of what a choice is based on, -1 when there was
// nothing, which the choice marks by a negative age.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// needs returns what the choice of a target considers of the request.
func (s *requestState) needs() balance.Request {
	return balance.Request{
		Service: s.service, Work: s.req.Work, FirstEventWithin: s.route.FirstEventWithin, EventGapWithin: s.route.EventGapWithin,
		Continues: s.continues,
	}
}

// pick chooses a target and counts the request there when it is admissible.
func (s *requestState) pick() (balance.Choice, bool) {
	return s.selectTarget(func(t *balance.Table) (balance.Choice, bool) {
		return t.PickFor(time.Now(), s.needs(), s.tried, rand.Float64())
	})
}

// selectTarget calls choose with the table and counts the request at the chosen target when
// it is admissible there. It holds the table's lock for both steps. A request that should wait
// at this process instead is not counted, and waitsHere is set.
func (s *requestState) selectTarget(choose func(t *balance.Table) (balance.Choice, bool)) (c balance.Choice, ok bool) {
	mayWait := s.mayWait()
	s.g.view.WithTable(func(t *balance.Table) {
		c, ok = choose(t)
		s.waitsHere = ok && mayWait && s.waitPays(t, c)
		if ok && !s.waitsHere && s.admissible(c) {
			t.OnlineStarted(time.Now(), c.Instance.ID)
		}
	})
	return c, ok
}

// attempt sends the request to one target and relays the response.
func (s *requestState) attempt(c balance.Choice) step {
	run := s.beginRun()
	defer func() {
		// The connection cannot be reused when the response was not read to its end.
		reusable := run == nil || s.outcome == outcomeServed
		s.g.view.WithTable(func(t *balance.Table) { t.OnlineEnded(time.Now(), c.Instance.ID, reusable) })
		s.g.slotEnded(s.service, c.Instance.ID)
	}()
	if run == nil {
		return finished
	}
	defer s.g.quarantine.End(run)
	s.current = run
	use := s.beginSlotUse(c)
	defer use.end()
	s.choice, s.instance = c, c.Instance.ID
	s.logSend(c)
	s.sends++
	s.sentAt, s.attemptEvents = time.Now(), 0
	s.possibleRuns++ // until the target reports that it did not run the request
	call := s.req.Call
	call.ResumeAfter = s.resumeAfter()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	queueWatchdog := newWatchdog(queuedThreshold, queuePollInterval, cancel, s.queueCheck(c))
	defer queueWatchdog.stop()
	resp, err := s.g.sender.Send(ctx, c.Instance, &call)
	queueWatchdog.stop()
	if err != nil {
		return s.handleSendError(c.Instance, err)
	}
	defer func() { _ = resp.Body.Close() }() // nothing more is read from it
	use.responded()
	s.g.view.WithTable(func(t *balance.Table) { t.ObserveSlowness(time.Now(), c.Instance, resp.Slowness) })
	switch resp.Outcome {
	case exchange.NotRun, exchange.OtherInstance:
		return s.handleNotRun(c.Instance, resp)
	case exchange.Failed:
		s.updateHealth(c.Instance, balance.Failed, "failed")
		if s.mayResend() {
			s.logRetry("sent again after a failure", c.Instance, "status", resp.Status)
			s.tried[c.Instance.ID] = true
			return tryNext
		}
	case exchange.Done:
	}
	if s.headerSent {
		return s.resumeStream(resp, c, cancel)
	}
	if resp.EventStream && resp.Outcome == exchange.Done {
		return s.relayStream(resp, c, cancel)
	}
	return s.relayBody(resp, c)
}

// resumeAfter returns the ID of the last event that the caller has, 0 if it has none.
func (s *requestState) resumeAfter() uint64 {
	return max(s.req.ResumeAfter, s.lastEvent)
}

// mayRetry reports whether the request may be sent to one more target although it may
// already have been run.
func (s *requestState) mayRetry() bool {
	return s.route.Retryable() && s.possibleRuns < max(s.route.Attempts, 1) && s.sends < maxSends
}

// mayResend is like mayRetry, but also takes a further send from the budget of this process.
// Streams that have begun need none: a slot is due to them until their end.
func (s *requestState) mayResend() bool {
	return s.mayRetry() && s.takeResend()
}

// takeResend reports whether the budget has a further send for the request.
func (s *requestState) takeResend() bool {
	if s.continues != nil || s.resendTaken.Swap(false) {
		return true
	}
	return s.g.takeResend()
}

// takeResend takes a further send from the budget of this process, if any is left.
func (g *Gateway) takeResend() bool {
	if g.rooms.takeResend() {
		return true
	}
	g.metrics.Count("resend_over_budget")
	return false
}

// updateHealth records the outcome of a call at a target, and notifies other processes when
// the call failed or the target was unreachable. The reason is used for the log and the metric
// of an ejection.
func (s *requestState) updateHealth(in targets.Instance, outcome balance.Outcome, reason string) {
	var ejected time.Duration
	s.g.view.WithTable(func(t *balance.Table) { ejected = t.RecordOutcome(time.Now(), in.ID, outcome) })
	if outcome == balance.Failed || outcome == balance.Unreachable {
		s.g.notifier.NotifyFailure(in.ID)
	}
	if ejected > 0 {
		s.g.metrics.Count("ejected_" + reason)
		s.g.log.Warn("target ejected", logging.F("instance", in.ID), logging.F("why", reason),
			logging.F("for_ms", ejected.Milliseconds()), logging.F("request", s.req.ID))
	}
}

// logRetry logs that the request is sent once more. The messages that begin with "sent " or
// "stream goes on" are parsed by package losses.
func (s *requestState) logRetry(message string, in targets.Instance, key string, value any) {
	s.g.log.Info(message, logging.F("request", s.req.ID), logging.F("instance", in.ID), logging.F("version", in.Version), logging.F("sends", s.sends),
		logging.F("last_event", s.lastEvent), logging.F(key, value))
}
