package losses

import (
	"strings"
	"time"

	"pumiceford/explain"
)

// request collects the log lines of one online request.
type request struct {
	lastSent    time.Time
	resendCause Cause // of the last retry, "" if there was none
	load        int64
	batch       int64 // slots of its target held by batch work
	waiting     int64 // requests waiting for a slot of its target
	ended       bool
	outcome     string
	endedAt     time.Time
	timeToFirst time.Duration // from its arrival to the first part of the response
	firstWithin time.Duration // limit of timeToFirst that its route sets; 0 for none
}

// online collects the online requests in the logs.
type online struct {
	requests map[string]*request
	order    []string
	unlisted map[Cause]int // refusals that lines count without their requests
}

func newOnline() *online {
	return &online{requests: make(map[string]*request), unlisted: make(map[Cause]int)}
}

func (o *online) get(id string) *request {
	q := o.requests[id]
	if q == nil {
		q = &request{}
		o.requests[id] = q
		o.order = append(o.order, id)
	}
	return q
}

func (o *online) addLine(l explain.Line) {
	id := stringField(l, "request")
	message, ok := strings.CutPrefix(l.Message, "online: ")
	if message == "requests refused" {
		o.unlisted[outcomeCause(stringField(l, "outcome"))] += int(intField(l, "count"))
		return
	}
	if id == "" || !ok {
		return
	}
	switch {
	case message == "request sent":
		q := o.get(id)
		q.lastSent, q.load, q.batch, q.waiting = l.Time, intField(l, "load"), intField(l, "batch"), intField(l, "waiting")
	case message == "request ended", message == "request refused":
		q := o.get(id)
		q.ended, q.endedAt, q.outcome = true, l.Time, stringField(l, "outcome")
		q.timeToFirst, q.firstWithin = millisField(l, "first_ms"), millisField(l, "aim_ms")
	case strings.HasPrefix(message, "sent "), strings.HasPrefix(message, "stream goes on"):
		o.get(id).resendCause = resendCause(message, l)
	}
}

// resendCause returns why a request was sent again.
func resendCause(message string, l explain.Line) Cause {
	switch {
	case stringField(l, "why") == "other_instance":
		return WrongInstance
	case stringField(l, "why") == "full":
		return TargetFull
	case strings.HasPrefix(message, "sent again after a failure"):
		return TargetFailed
	case strings.Contains(stringField(l, "error"), "context canceled"):
		return TargetUnresponsive
	}
	return TargetUnreachable
}

func (o *online) report(r *Report) {
	r.Requests = len(o.order)
	if len(o.unlisted) > 0 {
		r.Unlisted = o.unlisted
	}
	for _, id := range o.order {
		q := o.requests[id]
		if c, lost, at := q.loss(); c != "" {
			r.add(c, id, at, lost)
		}
	}
}

// causeByOutcome maps the outcome in a request's last line to its cause.
var causeByOutcome = map[string]Cause{
	"not_ready": NotReady, "no_route": NoRoute, "no_target": NoTarget, "version_gone": VersionGone, "origin_unknown": OriginUnknown, "not_recorded": NotRecorded, "overload": Overload,
	"unknown_key": UnknownKey, "stale_configuration": KeyUnconfirmed, "over_limit": OverLimit, "limit_unknown": LimitUnknown,
	"quarantined": Quarantined, "stopping": Stopping,
	"lost": ResponseLost, "timed_out": DeadlineExceeded,
}

// outcomeCause returns the cause of an outcome other than served. The prefix "cut_" says that the
// response had begun.
func outcomeCause(outcome string) Cause {
	if c, ok := causeByOutcome[strings.TrimPrefix(outcome, "cut_")]; ok {
		return c
	}
	return OtherOnline
}

// loss returns the cause, the delay and the time of a loss. The cause is "" if the request
// was served in time or its caller left.
func (q *request) loss() (Cause, time.Duration, time.Time) {
	switch {
	case !q.ended:
		return ProcessLost, 0, q.lastSent
	case q.outcome == "caller_left":
		return "", 0, q.endedAt
	case q.outcome != "served":
		return outcomeCause(q.outcome), 0, q.endedAt
	case q.firstWithin <= 0 || q.timeToFirst <= q.firstWithin:
		return "", 0, q.endedAt
	}
	return q.lateCause(), q.timeToFirst - q.firstWithin, q.endedAt
}

func (q *request) lateCause() Cause {
	switch {
	case q.resendCause != "":
		return q.resendCause
	case q.waiting > 0:
		return WaitedForSlot
	case q.batch > 0:
		return WaitedForBatch
	}
	return SlowTarget
}
