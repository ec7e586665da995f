package gateway

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/events"
	"pumiceford/exchange"
	"pumiceford/logging"
	"pumiceford/quarantine"
	"pumiceford/targets"
)

// maxBufferedBodyBytes is the size below which a response that is not an event stream is
// read in full before any of it is sent to the caller. If the target fails meanwhile, the
// request can still be retried at another target.
const maxBufferedBodyBytes = 1 << 20

// freeBufferedBodyBytes is the part of it that is read without a reservation of memory, and bufferCopies
// how much the growing buffer holds, relative to its content.
const (
	freeBufferedBodyBytes = 64 << 10
	bufferCopies          = 2
)

// maxBodyBytes bounds a response that is not an event stream. A longer one is the target's error.
const maxBodyBytes = 32 << 20

// errBodyTooLarge reports a response over maxBodyBytes.
var errBodyTooLarge = errors.New("response over 32 MiB")

// watchdog polls a condition while a send waits for its target, and cancels the send when
// the condition holds. It is safe for concurrent use. mu is held during shouldCancel: once stop
// has returned, the state that the condition reads may change.
type watchdog struct {
	initial      time.Duration // until the first check
	interval     time.Duration // between later checks
	shouldCancel func() bool   // reports whether to cancel the send
	cancel       context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	fired   bool // the send was cancelled
}

func newWatchdog(initial, interval time.Duration, cancel context.CancelFunc, shouldCancel func() bool) *watchdog {
	w := &watchdog{initial: initial, interval: interval, shouldCancel: shouldCancel, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(initial, w.check)
	return w
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.shouldCancel() {
		w.fired = true
		w.cancel()
		return
	}
	w.timer.Reset(w.interval)
}

// reset restarts the wait before the first check.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !w.fired {
		w.timer.Reset(w.initial)
	}
}

// stop stops the watchdog after a check that is in progress. It reports whether the watchdog
// cancelled the send.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.fired
}

// outcomeServed is the outcome of a request whose response was relayed to its end.
const outcomeServed = "served"

// outcomeCallerLeft is the outcome of a request whose caller has disconnected.
const outcomeCallerLeft = "caller_left"

// handleSendError decides what to do after a send without a usable response.
func (s *requestState) handleSendError(in targets.Instance, err error) step {
	var se *exchange.SendError
	if !errors.As(err, &se) {
		se = &exchange.SendError{Fault: exchange.FaultBroken, Sent: true, Cause: err}
	}
	if s.ctx.Err() != nil {
		// The caller disconnected or the deadline passed; neither is evidence against the
		// target.
		s.fail(TimedOut, 0)
		return finished
	}
	switch se.Fault {
	case exchange.FaultConnect:
		s.updateHealth(in, balance.Unreachable, "connect")
	case exchange.FaultBroken, exchange.FaultInvalid:
		s.updateHealth(in, balance.Failed, string(se.Fault))
		if se.Sent && se.Fault == exchange.FaultBroken {
			s.reportBrokenRun(in)
		}
	case exchange.FaultCanceled:
	}
	s.tried[in.ID] = true
	if !se.Sent {
		s.possibleRuns--
		if s.sends < maxSends && s.takeResend() {
			s.logRetry("sent elsewhere; it never reached the target", in, "error", err.Error())
			return tryNext
		}
		s.fail(NoTarget, retryAfterUnavailable)
		return finished
	}
	if s.mayResend() {
		s.logRetry("sent again; its answer is lost", in, "error", err.Error())
		return tryNext
	}
	s.fail(ResponseLost, 0)
	return finished
}

// handleNotRun decides what to do after a target reported that it did not run the request.
func (s *requestState) handleNotRun(in targets.Instance, resp *exchange.Response) step {
	s.possibleRuns--
	s.tried[in.ID] = true
	reason := "full"
	if resp.Outcome == exchange.OtherInstance {
		reason = "other_instance"
		s.g.view.MarkSuperseded(in.ID)
	}
	if s.sends < maxSends && s.takeResend() {
		s.logRetry("sent elsewhere; the target did not run it", in, "why", reason)
		return tryNext
	}
	s.fail(Overload, s.retryAfter())
	return finished
}

// relayBody relays a response that is not an event stream.
func (s *requestState) relayBody(resp *exchange.Response, c balance.Choice) step {
	if resp.ContentLength > maxBodyBytes {
		return s.handleSendError(c.Instance, &exchange.SendError{Fault: exchange.FaultInvalid, Sent: true, Cause: errBodyTooLarge})
	}
	body, whole, err := s.bufferBody(resp.Body)
	if err != nil {
		return s.handleSendError(c.Instance, &exchange.SendError{Fault: exchange.FaultBroken, Sent: true, Cause: err})
	}
	s.firstResponseAt = time.Now()
	if whole {
		s.updateHealth(c.Instance, balance.Succeeded, "")
		s.responder.Start(resp.Status, resp.Header, int64(len(body)))
		s.outcome = outcomeServed
		if s.responder.Write(body) != nil {
			s.callerDisconnected()
		}
		return finished
	}
	s.headerSent = true
	s.responder.Start(resp.Status, resp.Header, resp.ContentLength)
	if s.responder.Write(body) != nil {
		s.callerDisconnected()
		return finished
	}
	to := &responderWriter{responder: s.responder}
	n, err := io.Copy(to, io.LimitReader(resp.Body, maxBodyBytes))
	switch {
	case to.err != nil:
		s.callerDisconnected()
	case s.ctx.Err() != nil:
		s.abortResponse("timed_out")
	case err != nil:
		s.updateHealth(c.Instance, balance.Failed, "cut")
		s.reportBrokenRun(c.Instance)
		s.abortResponse("broken")
	case n == maxBodyBytes:
		s.updateHealth(c.Instance, balance.Failed, "too_large")
		s.abortResponse("too_large")
	default:
		s.updateHealth(c.Instance, balance.Succeeded, "")
		s.outcome = outcomeServed
	}
	return finished
}

// bufferBody reads the start of a response: maxBufferedBodyBytes, or freeBufferedBodyBytes if there is no memory
// for more. It reports whether that is the whole response.
func (s *requestState) bufferBody(src io.Reader) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(src, freeBufferedBodyBytes))
	if err != nil || len(body) < freeBufferedBodyBytes {
		return body, err == nil, err
	}
	if s.req.ReserveMemory != nil && !s.req.ReserveMemory(bufferCopies*maxBufferedBodyBytes) {
		return body, false, nil
	}
	buf := bytes.NewBuffer(body)
	_, err = buf.ReadFrom(io.LimitReader(src, maxBufferedBodyBytes-freeBufferedBodyBytes))
	return buf.Bytes(), err == nil && buf.Len() < maxBufferedBodyBytes, err
}

// responderWriter is an io.Writer that remembers the error of its Responder.
type responderWriter struct {
	responder Responder
	err       error
}

// Write implements io.Writer.
func (w *responderWriter) Write(p []byte) (int, error) {
	if w.err = w.responder.Write(p); w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// relayStream relays an event stream from its start. Status and header are sent with the
// first complete event: until then another target can still serve the whole stream.
func (s *requestState) relayStream(resp *exchange.Response, c balance.Choice, cancel context.CancelFunc) step {
	return s.relayEvents(resp, c, cancel, func() error {
		if err := s.beginStream(c); err != nil {
			return err
		}
		s.firstResponseAt = time.Now()
		s.headerSent = true
		s.responder.Start(resp.Status, resp.Header, -1)
		return nil
	})
}

// resumeStream continues a stream that another target started.
func (s *requestState) resumeStream(resp *exchange.Response, c balance.Choice, cancel context.CancelFunc) step {
	if !resp.EventStream || resp.Outcome != exchange.Done {
		return s.handleBrokenStream(c.Instance, false, errNotEventStream)
	}
	return s.relayEvents(resp, c, cancel, func() error { return s.checkRest(c) })
}

// errNotEventStream reports that the response to a resumed request is not the rest of its
// stream.
var errNotEventStream = errors.New("response is not an event stream")

// errEmptyStream reports that a stream ended before its first event.
var errEmptyStream = errors.New("event stream ended before its first event")

// relayEvents relays events until the stream ends. It calls onFirst before it relays the first
// event. If onFirst returns an error, nothing is relayed.
func (s *requestState) relayEvents(resp *exchange.Response, c balance.Choice, cancel context.CancelFunc, onFirst func() error) step {
	in := c.Instance
	startWatchdog := func() *watchdog {
		return newWatchdog(s.gapTimeout(), s.gapTimeout(), cancel, func() bool {
			s.handleUnresponsive(in)
			return s.mayRetry() && s.hasOther(in)
		})
	}
	gapWatchdog := startWatchdog()
	defer func() { gapWatchdog.stop() }()
	rd := events.NewReader(resp.Body, s.resumeAfter())
	var began time.Time // of the response; zero before its first event
	reported := false   // the response has gone on for so long that it clears the prompt's parts
	for {
		ev, err := rd.Next()
		if errors.Is(err, io.EOF) && !began.IsZero() {
			s.updateHealth(in, balance.Succeeded, "")
			s.outcome = outcomeServed
			return finished
		}
		if errors.Is(err, io.EOF) && s.resumeAfter() > 0 {
			return s.handleEmptyRest(c, onFirst)
		}
		if errors.Is(err, io.EOF) {
			err = errEmptyStream
		}
		if err != nil {
			return s.handleBrokenStream(in, gapWatchdog.stop(), err)
		}
		gapWatchdog.reset()
		if !reported && !began.IsZero() && time.Since(began) >= quarantine.SoundAfter {
			reported = true
			s.g.quarantine.RecordProgress(s.current)
		}
		if began.IsZero() {
			began = time.Now()
			gapWatchdog.stop() // the target does not cause the time that onFirst takes
			if err := onFirst(); err != nil {
				return s.handleRejectedStream(c, err)
			}
			gapWatchdog = startWatchdog()
		}
		if s.responder.Write(ev.Raw) != nil {
			s.callerDisconnected()
			return finished
		}
		s.lastEvent = max(s.lastEvent, ev.ID)
		s.attemptEvents++
	}
}

// maxEmptyRests is the number of targets that are asked whether a stream has no more events. One
// alone may have lost the rest.
const maxEmptyRests = 2

// handleEmptyRest handles the complete response of a target that has no events after the last one
// that the caller has.
func (s *requestState) handleEmptyRest(c balance.Choice, onFirst func() error) step {
	s.emptyRests++
	if s.emptyRests < maxEmptyRests && s.mayRetry() && s.hasOther(c.Instance) {
		return s.continueElsewhere(c.Instance, errEmptyStream, ResponseLost)
	}
	if err := onFirst(); err != nil {
		return s.handleRejectedStream(c, err)
	}
	s.updateHealth(c.Instance, balance.Succeeded, "")
	s.outcome = outcomeServed
	return finished
}

// handleBrokenStream decides what to do when a stream broke off. When timedOut is true, the
// watchdog ended the stream and handleUnresponsive has already recorded the target's outcome.
func (s *requestState) handleBrokenStream(in targets.Instance, timedOut bool, err error) step {
	if s.ctx.Err() != nil {
		s.fail(TimedOut, 0)
		return finished
	}
	if !timedOut {
		s.updateHealth(in, balance.Failed, "cut")
		s.reportBrokenRun(in)
	}
	return s.continueElsewhere(in, err, ResponseLost)
}

// continueElsewhere lets a stream go on at another target. If it may not be sent once more, it
// fails for the given reason.
func (s *requestState) continueElsewhere(in targets.Instance, err error, otherwise Reason) step {
	s.tried[in.ID] = true
	if s.mayRetry() {
		s.logRetry("stream goes on elsewhere", in, "error", err.Error())
		return tryNext
	}
	s.fail(otherwise, 0)
	return finished
}

// reportBrokenRun reports to the quarantine that a connection ended while the target had
// the request.
func (s *requestState) reportBrokenRun(in targets.Instance) {
	s.g.quarantine.RecordBroken(s.ctx, quarantine.BrokenRun{
		Attempt: s.current, Request: s.req.ID, Target: in, Events: s.attemptEvents, Took: time.Since(s.sentAt),
	})
}

// fail ends a request without a complete response: by a refusal, or by aborting the
// connection when the response has already started.
func (s *requestState) fail(reason Reason, retry time.Duration) {
	if errors.Is(context.Cause(s.ctx), context.Canceled) {
		s.callerDisconnected()
		return
	}
	if s.headerSent {
		s.abortResponse(string(reason))
		return
	}
	if reason == Overload {
		s.recordOverload()
	}
	s.outcome, s.retryIn = string(reason), retry
	s.responder.Refuse(Refusal{Reason: reason, NotRun: s.possibleRuns == 0, RetryAfter: retry})
}

// callerDisconnected ends a request whose caller has disconnected. It aborts the connection:
// when a handler returns without writing, the HTTP library sends an empty success, which a
// caller that has only closed its sending half would take for the response.
func (s *requestState) callerDisconnected() {
	s.outcome = outcomeCallerLeft
	s.responder.Abort()
}

func (s *requestState) abortResponse(reason string) {
	s.outcome = "cut_" + reason
	s.responder.Abort()
}

// report logs the outcome of the request and records its metrics.
func (s *requestState) report() {
	m := s.g.metrics
	m.Count("online_" + s.outcome)
	now := time.Now()
	switch s.outcome {
	case outcomeServed:
		s.g.rooms.succeeded()
		s.g.quarantine.RecordSuccess(s.current)
	case outcomeCallerLeft:
	default:
		s.g.refusals.Count(now, s.req.Workspace, s.outcome)
	}
	s.observeHoldTime(now)
	m.Observe("online", s.route.Name, now.Sub(s.req.Arrived))
	if s.req.Workspace != "" {
		m.Observe("online_by_workspace", s.req.Workspace, now.Sub(s.req.Arrived))
	}
	firstMs := int64(-1)
	if !s.firstResponseAt.IsZero() {
		d := s.firstResponseAt.Sub(s.req.Arrived)
		firstMs = d.Milliseconds()
		m.Observe("online_first", s.route.Name, d)
	}
	s.g.log.Info("request ended",
		logging.F("request", s.req.ID), logging.F("key", s.req.Key.String()), logging.F("route", s.route.Name), logging.F("outcome", s.outcome),
		logging.F("workspace", s.req.Workspace), logging.F("instance", s.instance), logging.F("sends", s.sends), logging.F("events", s.lastEvent),
		logging.F("returning", s.isRetry), logging.F("first_ms", firstMs), logging.F("aim_ms", s.route.FirstEventWithin.Milliseconds()), logging.F("took_ms", now.Sub(s.req.Arrived).Milliseconds()),
		logging.F("load", s.choice.Load), logging.F("waiting", s.choice.Waiting), logging.F("among", s.choice.Candidates),
		logging.F("load_age_ms", ageMillis(s.choice.LoadAge)), logging.F("wait_estimate_ms", s.choice.Wait.Milliseconds()),
		logging.F("rank", s.standing.Rank), logging.F("excess", s.standing.Excess),
		logging.F("room_ms", s.roomTime.Milliseconds()), logging.F("room_estimate_ms", s.admission.Wait.Milliseconds()),
		logging.F("room_spread_ms", s.admission.Spread.Milliseconds()), logging.F("room_allowance_ms", s.admission.Allowance.Milliseconds()),
		logging.F("freed_per_s", s.freedRate), logging.F("retry_after_ms", s.retryIn.Milliseconds()), logging.F("held_part", s.heldPart))
}
