package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"pumiceford/apierr"
	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/online"
	"pumiceford/routing"
	"pumiceford/wire"
)

// Request is an online request of a caller.
type Request struct {
	ID            uuid.UUID
	Workspace     string
	Model         string
	Prompt        string
	MaxTokens     uint32
	Service       string // name of a plain service, for which Model, Prompt and MaxTokens are not used
	Method        string
	Path          string
	Body          []byte
	NonIdempotent bool
	Key           string // caller's idempotency key; it prevents a second run only with NonIdempotent
	Deadline      time.Time
	Weight        float64
}

// Sink receives the pieces of a response in order. It returns an error if the
// caller has disconnected.
type Sink func(*wire.Piece) error

// dispatch is the state of one online request while it is sent to agents.
type dispatch struct {
	e               *Entry
	req             *Request
	sink            Sink
	deliveredTokens uint32          // tokens passed to the caller so far
	ran             wire.Ran        // whether any attempt so far ran
	excluded        map[string]bool // names of the agents already tried
}

// maxAttempts is the maximum number of agents that one request is sent to.
const maxAttempts = 4

// Do runs a request and passes its response to sink. It returns the end of the response or an
// *apierr.Error, whose Ran field states whether the request ran.
func (e *Entry) Do(ctx context.Context, req *Request, sink Sink) (*wire.End, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	d := &dispatch{e: e, req: req, sink: sink, excluded: make(map[string]bool), ran: wire.Ran_RAN_NO}
	startedAt := time.Now()
	end, err := d.start(ctx)
	e.cfg.Metrics.Observe("online_total", req.Workspace, time.Since(startedAt))
	if err == nil {
		e.retryBudget.RecordSuccess()
		return end, nil
	}
	fail := apierr.From(err)
	e.cfg.Metrics.Count("online_failed_" + string(fail.Code))
	e.log.Info("request failed", logging.F("request", req.ID.String()), logging.F("workspace", req.Workspace),
		logging.F("code", string(fail.Code)), logging.F("ran", ranText(fail.Ran)))
	return nil, fail
}

func (d *dispatch) start(ctx context.Context) (*wire.End, error) {
	if d.req.NonIdempotent && d.req.Key != "" {
		return d.runKeyed(ctx)
	}
	return d.tryAgents(ctx)
}

// pickAgent chooses an agent for the request and counts the request as running
// there. It returns false if no agent is eligible.
func (d *dispatch) pickAgent() (routing.Choice, bool) {
	q := routing.Query{Model: d.req.Model, Service: d.req.Service, Exclude: d.excluded}
	if d.req.Service == "" {
		q.Prefix = routing.PrefixKey(d.req.Model, d.req.Prompt)
	}
	d.e.mu.Lock()
	defer d.e.mu.Unlock()
	c, ok := d.e.router.Pick(time.Now(), q)
	if ok {
		d.e.router.RequestStarted(c.Name)
	}
	return c, ok
}

// recordEnd records in the router that the request has ended at an agent, and whether the
// agent or its engine is at fault.
func (d *dispatch) recordEnd(name string, err error) {
	fault := err != nil && (apierr.Is(err, apierr.CodeEngineFailed) || errors.Is(err, errAgentLost))
	d.e.mu.Lock()
	defer d.e.mu.Unlock()
	d.e.router.RequestEnded(time.Now(), name, fault)
}

// errAgentLost marks failures in which the agent that received the request, or was
// meant to, is unreachable or no longer has it.
var errAgentLost = errors.New("agent unreachable or request not found at the agent")

// tryAgents sends the request to one agent after another until one completes it, no further
// retry is allowed or maxAttempts is reached.
func (d *dispatch) tryAgents(ctx context.Context) (*wire.End, error) {
	var last error
	for n := 0; n < maxAttempts; n++ {
		choice, ok := d.pickAgent()
		if !ok {
			break
		}
		end, err := d.sendTo(ctx, choice)
		d.recordEnd(choice.Name, err)
		if err == nil {
			return end, nil
		}
		last = err
		d.ran = mergeRan(d.ran, apierr.From(err).Ran)
		d.excluded[choice.Name] = true
		if !d.canRetryElsewhere(ctx, err) {
			return nil, d.finalError(err)
		}
		if n > 0 {
			sleepWithJitter(ctx, n)
		}
	}
	if last != nil {
		return nil, d.finalError(last)
	}
	return nil, d.noTargetError()
}

// noTargetError returns the error for a request that no agent is eligible for.
func (d *dispatch) noTargetError() error {
	if d.req.Service == "" && !d.e.modelExists(d.req.Model) {
		return apierr.New(apierr.CodeModelNotFound, "no such model: %s", d.req.Model)
	}
	return apierr.New(apierr.CodeNoTarget, "no target serves this now").WithRetryAfter(time.Second)
}

// retryBaseDelay is the mean back-off before the second retry. It doubles with
// each further retry.
const retryBaseDelay = 5 * time.Millisecond

// sleepWithJitter waits for a random time below retryBaseDelay * 2^n, so that many
// requests do not retry at the same moment.
func sleepWithJitter(ctx context.Context, n int) {
	limit := retryBaseDelay << n
	_ = wait.For(ctx, time.Duration(rand.Int64N(int64(limit))))
}

// canRetryElsewhere reports whether the request may be sent to another agent
// after err. It takes from the retry budget where a retry could add to an
// overload.
func (d *dispatch) canRetryElsewhere(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	fail := apierr.From(err)
	if fail.Ran == wire.Ran_RAN_NO {
		switch fail.Code {
		case apierr.CodeLeaving, apierr.CodeWrongIncarnation, apierr.CodeModelNotFound, apierr.CodeNotRun:
			return true
		case apierr.CodeOverloaded, apierr.CodeEngineFailed:
			return d.e.retryBudget.Take()
		}
		return false
	}
	if d.req.NonIdempotent {
		return false
	}
	lost := errors.Is(err, errAgentLost) || fail.Code == apierr.CodeEngineFailed
	return lost && d.e.retryBudget.Take()
}

// finalError converts the failure of the last attempt into the error for the
// caller.
func (d *dispatch) finalError(err error) error {
	fail := *apierr.From(err)
	if errors.Is(err, errAgentLost) && fail.Ran != wire.Ran_RAN_NO {
		fail = *apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "the target was lost while it had the request")
	}
	// Merge the outcomes of all attempts: the last target may not have run the
	// request although an earlier one did. Otherwise the caller would receive
	// "not run" after a run whose target was lost.
	fail.Ran = mergeRan(d.ran, fail.Ran)
	if fail.Code == apierr.CodeEngineFailed && fail.Ran == wire.Ran_RAN_UNKNOWN {
		fail.Code = apierr.CodeOutcomeUnknown
	}
	return &fail
}

// mergeRan combines the outcomes of two attempts. "Ran" takes precedence over
// "unknown", and "unknown" over "not run".
func mergeRan(a, b wire.Ran) wire.Ran {
	switch {
	case a == wire.Ran_RAN_YES || b == wire.Ran_RAN_YES:
		return wire.Ran_RAN_YES
	case a == wire.Ran_RAN_UNKNOWN || b == wire.Ran_RAN_UNKNOWN:
		return wire.Ran_RAN_UNKNOWN
	}
	return wire.Ran_RAN_NO
}

// sendTo sends the request to one agent and reads the response to its end.
func (d *dispatch) sendTo(ctx context.Context, c routing.Choice) (*wire.End, error) {
	n := d.e.agent(c.Name)
	if n == nil {
		return nil, apierr.New(apierr.CodeNotRun, "agent is gone")
	}
	start := &wire.Start{
		Id:               d.req.ID[:],
		Workspace:        d.req.Workspace,
		Class:            "online",
		Model:            d.req.Model,
		Service:          d.req.Service,
		Method:           d.req.Method,
		Path:             d.req.Path,
		Body:             d.req.Body,
		Prompt:           d.req.Prompt,
		MaxTokens:        d.req.MaxTokens,
		TimeoutMs:        time.Until(d.req.Deadline).Milliseconds(),
		NonIdempotent:    d.req.NonIdempotent,
		ResumeFrom:       d.deliveredTokens,
		AgentIncarnation: []byte(c.Incarnation),
		KeepAnswer:       d.req.Key != "",
		Weight:           d.req.Weight,
	}
	reader := &responseReader{dispatch: d, node: n, incarnation: []byte(c.Incarnation), assembler: online.NewAssembler(d.req.ID[:]), id: d.req.ID[:]}
	return reader.readToEnd(ctx, &wire.Call{Kind: &wire.Call_Start{Start: start}})
}

// responseReader reads the response to one request from one agent. It reattaches when
// the connection is lost.
type responseReader struct {
	dispatch    *dispatch
	node        *node
	id          []byte
	incarnation []byte // expected incarnation of the agent
	assembler   *online.Assembler
	// shared is set if the request was started by another call with the same
	// idempotency key. Ending this reader must then not revoke the request.
	shared bool
}

// readToEnd opens a stream with call and reads the response to its end. After a lost
// connection it reattaches from the next frame, until no frame has arrived for
// ReattachTimeout, or ResumeTimeout if the request is idempotent.
func (r *responseReader) readToEnd(ctx context.Context, call *wire.Call) (*wire.End, error) {
	lostAt := time.Time{}
	reattachTimeout := r.dispatch.e.cfg.ReattachTimeout
	if !r.dispatch.req.NonIdempotent {
		reattachTimeout = r.dispatch.e.cfg.ResumeTimeout
	}
	for {
		nextSeq := r.assembler.NextSeq()
		err := r.readStream(ctx, call)
		if end := r.assembler.End(); end != nil {
			return end, nil
		}
		if r.assembler.NextSeq() != nextSeq {
			lostAt = time.Time{}
		}
		var fail *apierr.Error
		if errors.As(err, &fail) {
			if fail.Code == apierr.CodeUnknownRequest {
				return nil, r.resolveUnknown(ctx)
			}
			return nil, fail
		}
		if ctx.Err() != nil {
			return nil, r.abort(ctx)
		}
		var dialErr *link.DialError
		if call.GetStart() != nil && errors.As(err, &dialErr) {
			return nil, errors.Mark(apierr.New(apierr.CodeNotRun, "target not reached"), errAgentLost)
		}
		if lostAt.IsZero() {
			lostAt = time.Now()
		}
		if time.Since(lostAt) > reattachTimeout {
			return nil, errors.Mark(apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "target not reached"), errAgentLost)
		}
		if !lostAt.IsZero() && r.assembler.NextSeq() == nextSeq {
			_ = wait.For(ctx, reattachDelay)
		}
		call = &wire.Call{Kind: &wire.Call_Attach{Attach: &wire.Attach{Id: r.id, FromSeq: r.assembler.NextSeq()}}}
	}
}

// reattachDelay is the pause between two attempts to reattach to a response.
const reattachDelay = 20 * time.Millisecond

// readStream opens one stream and reads frames until the response ends or the
// stream breaks. A returned *apierr.Error ends the request; after any other error
// the caller may open another stream.
func (r *responseReader) readStream(ctx context.Context, call *wire.Call) error {
	st, err := r.node.peer.Open(ctx, link.Online, call)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	for {
		f := &wire.Frame{}
		if err := st.Recv(f); err != nil {
			return err
		}
		if fail := f.GetFailure(); fail.GetCode() == string(apierr.CodeUnknownRequest) {
			// This failure has no sequence number, so it bypasses the assembler.
			return apierr.FromWire(fail)
		}
		pieces, err := r.assembler.AddFrame(f)
		if err != nil {
			return err
		}
		for _, p := range pieces {
			if err := r.deliver(p); err != nil {
				return r.cancelForCaller()
			}
		}
		if fail := r.assembler.Failure(); fail != nil {
			return apierr.FromWire(fail)
		}
		if r.assembler.End() != nil {
			return nil
		}
	}
}

func (r *responseReader) deliver(p *wire.Piece) error {
	r.dispatch.deliveredTokens += p.GetTokens()
	return r.dispatch.sink(p)
}

// cancelForCaller revokes the request after the caller has disconnected.
func (r *responseReader) cancelForCaller() error {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	ran := r.revoke(ctx)
	return &apierr.Error{Code: apierr.CodeCancelled, Message: "the caller hung up", Ran: ran}
}

// revokeTimeout is the time limit of the call that revokes a request at its agent.
const revokeTimeout = time.Second

// revoke cancels the request at the agent and returns whether it ran. The result
// is RAN_UNKNOWN if the request is shared or the agent does not respond.
func (r *responseReader) revoke(ctx context.Context) wire.Ran {
	if r.shared {
		return wire.Ran_RAN_UNKNOWN
	}
	reply := &wire.Revoked{}
	call := &wire.Call{Kind: &wire.Call_Revoke{Revoke: &wire.Revoke{Id: r.id, AgentIncarnation: r.incarnation}}}
	if err := r.node.peer.Call(ctx, link.Online, call, reply); err != nil {
		return wire.Ran_RAN_UNKNOWN
	}
	return reply.GetRan()
}

// abort revokes a request whose deadline has passed or whose caller has
// disconnected, and returns the error for it.
func (r *responseReader) abort(ctx context.Context) error {
	revokeCtx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	ran := r.revoke(revokeCtx)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &apierr.Error{Code: apierr.CodeDeadlineExceeded, Message: "the deadline passed", Ran: ran}
	}
	return &apierr.Error{Code: apierr.CodeCancelled, Message: "the caller hung up", Ran: ran}
}

// resolveUnknown determines whether a request ran that the agent reports as unknown: its
// start was lost in transit, or the agent was restarted. The revoke leaves a
// tombstone at the agent, so that a delayed copy of the start cannot run.
func (r *responseReader) resolveUnknown(ctx context.Context) error {
	if r.assembler.NextSeq() > 0 {
		return errors.Mark(apierr.Executed(apierr.CodeOutcomeUnknown, "target lost the answer"), errAgentLost)
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	switch r.revoke(ctx) {
	case wire.Ran_RAN_NO:
		return apierr.New(apierr.CodeNotRun, "the request did not reach its target")
	case wire.Ran_RAN_YES:
		return errors.Mark(apierr.Executed(apierr.CodeOutcomeUnknown, "target lost the answer"), errAgentLost)
	}
	return errors.Mark(apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "target was restarted"), errAgentLost)
}
