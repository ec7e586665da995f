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

// Request is one online request of a caller.
type Request struct {
	ID            uuid.UUID
	Workspace     string
	Model         string
	Prompt        string
	MaxTokens     uint32
	Service       string // plain service; Model, Prompt and MaxTokens are unused then
	Method        string
	Path          string
	Body          []byte
	NonIdempotent bool
	Key           string // caller's idempotency key, with NonIdempotent
	Deadline      time.Time
	Weight        float64
}

// Sink receives the pieces of an answer in order. An error means that the caller
// is gone.
type Sink func(*wire.Piece) error

// dispatch is one online request on its way.
type dispatch struct {
	e               *Entry
	req             *Request
	sink            Sink
	deliveredTokens uint32   // tokens given to the caller
	ran             wire.Ran // what is known of all tries so far
	excluded        map[string]bool
}

// maxAttempts bounds the agents that one request is sent to.
const maxAttempts = 4

// Do runs a request and gives its answer to sink. Every failure is an
// apierr.Error that says truly whether the request ran.
func (e *Entry) Do(ctx context.Context, req *Request, sink Sink) (*wire.End, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r := &dispatch{e: e, req: req, sink: sink, excluded: make(map[string]bool), ran: wire.Ran_RAN_NO}
	began := time.Now()
	end, err := r.start(ctx)
	e.cfg.Metrics.Observe("online_total", req.Workspace, time.Since(began))
	if err == nil {
		e.retryBudget.Success()
		return end, nil
	}
	fail := apierr.From(err)
	e.cfg.Metrics.Count("online_failed_" + string(fail.Code))
	e.log.Info("request failed", logging.F("request", req.ID.String()), logging.F("workspace", req.Workspace),
		logging.F("code", string(fail.Code)), logging.F("ran", ranText(fail.Ran)))
	return nil, fail
}

func (r *dispatch) start(ctx context.Context) (*wire.End, error) {
	if r.req.NonIdempotent && r.req.Key != "" {
		return r.runKeyed(ctx)
	}
	return r.tryAgents(ctx)
}

// pickAgent chooses an agent and counts the request there.
func (r *dispatch) pickAgent() (routing.Choice, bool) {
	q := routing.Query{Model: r.req.Model, Service: r.req.Service, Exclude: r.excluded}
	if r.req.Service == "" {
		q.Prefix = routing.PrefixKey(r.req.Model, r.req.Prompt)
	}
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	c, ok := r.e.router.Pick(time.Now(), q)
	if ok {
		r.e.router.Began(c.Name)
	}
	return c, ok
}

func (r *dispatch) recordEnd(name string, err error) {
	fault := err != nil && (apierr.Is(err, apierr.CodeEngine) || errors.Is(err, errAgentLost))
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.router.Ended(time.Now(), name, fault)
}

// errAgentLost says that an agent that had the request cannot be asked any more.
var errAgentLost = errors.New("agent gone")

// tryAgents sends the request to agents until it is answered or must be given up.
func (r *dispatch) tryAgents(ctx context.Context) (*wire.End, error) {
	var last error
	for n := 0; n < maxAttempts; n++ {
		choice, ok := r.pickAgent()
		if !ok {
			break
		}
		end, err := r.sendTo(ctx, choice)
		r.recordEnd(choice.Name, err)
		if err == nil {
			return end, nil
		}
		last = err
		r.ran = mergeRan(r.ran, apierr.From(err).Ran)
		r.excluded[choice.Name] = true
		if !r.canRetryElsewhere(ctx, err) {
			return nil, r.finalError(err)
		}
		if n > 0 {
			sleepWithJitter(ctx, n)
		}
	}
	if last != nil {
		return nil, r.finalError(last)
	}
	return nil, r.noTargetError()
}

// noTargetError is the truth when no agent could be tried.
func (r *dispatch) noTargetError() error {
	if r.req.Service == "" && !r.e.modelExists(r.req.Model) {
		return apierr.New(apierr.CodeUnknownModel, "no such model: %s", r.req.Model)
	}
	return apierr.New(apierr.CodeNoTarget, "no target serves this now").After(time.Second)
}

// retryBaseDelay is the mean pause before the second retry; it doubles.
const retryBaseDelay = 5 * time.Millisecond

// sleepWithJitter waits a random time, so that retries of many requests do not meet.
func sleepWithJitter(ctx context.Context, n int) {
	limit := retryBaseDelay << n
	_ = wait.For(ctx, time.Duration(rand.Int64N(int64(limit))))
}

// canRetryElsewhere says whether a failure lets the request go to another agent.
func (r *dispatch) canRetryElsewhere(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	fail := apierr.From(err)
	if fail.Ran == wire.Ran_RAN_NO {
		switch fail.Code {
		case apierr.CodeLeaving, apierr.CodeWrongIncarnation, apierr.CodeUnknownModel, apierr.CodeNotRun:
			return true
		case apierr.CodeOverloaded, apierr.CodeEngine:
			return r.e.retryBudget.Take()
		}
		return false
	}
	if r.req.NonIdempotent {
		return false
	}
	lost := errors.Is(err, errAgentLost) || fail.Code == apierr.CodeEngine
	return lost && r.e.retryBudget.Take()
}

// finalError turns the last failure into what the caller gets.
func (r *dispatch) finalError(err error) error {
	fail := *apierr.From(err)
	if errors.Is(err, errAgentLost) && fail.Ran != wire.Ran_RAN_NO {
		fail = *apierr.Unknown(apierr.CodeOutcomeUnknown, "the target was lost while it had the request")
	}
	// The last target may truly not have run it while an earlier one did. Without
	// this the caller would be told "not run" after a run whose target was lost.
	fail.Ran = mergeRan(r.ran, fail.Ran)
	if fail.Code == apierr.CodeEngine && fail.Ran == wire.Ran_RAN_UNKNOWN {
		fail.Code = apierr.CodeOutcomeUnknown
	}
	return &fail
}

// mergeRan joins what is known of two tries: one that ran outweighs one that may
// have run, and that one outweighs one that did not.
func mergeRan(a, b wire.Ran) wire.Ran {
	switch {
	case a == wire.Ran_RAN_YES || b == wire.Ran_RAN_YES:
		return wire.Ran_RAN_YES
	case a == wire.Ran_RAN_UNKNOWN || b == wire.Ran_RAN_UNKNOWN:
		return wire.Ran_RAN_UNKNOWN
	}
	return wire.Ran_RAN_NO
}

// sendTo runs the request at one agent.
func (r *dispatch) sendTo(ctx context.Context, c routing.Choice) (*wire.End, error) {
	n := r.e.agent(c.Name)
	if n == nil {
		return nil, apierr.New(apierr.CodeNotRun, "agent is gone")
	}
	start := &wire.Start{
		Id:               r.req.ID[:],
		Workspace:        r.req.Workspace,
		Class:            "online",
		Model:            r.req.Model,
		Service:          r.req.Service,
		Method:           r.req.Method,
		Path:             r.req.Path,
		Body:             r.req.Body,
		Prompt:           r.req.Prompt,
		MaxTokens:        r.req.MaxTokens,
		TimeoutMs:        time.Until(r.req.Deadline).Milliseconds(),
		NonIdempotent:    r.req.NonIdempotent,
		ResumeFrom:       r.deliveredTokens,
		AgentIncarnation: []byte(c.Incarnation),
		KeepAnswer:       r.req.Key != "",
		Weight:           r.req.Weight,
	}
	at := &answerReader{dispatch: r, node: n, incarnation: []byte(c.Incarnation), assembler: online.NewAssembler(r.req.ID[:]), id: r.req.ID[:]}
	return at.readToEnd(ctx, &wire.Call{Kind: &wire.Call_Start{Start: start}})
}

// answerReader follows one answer at one agent through lost connections.
type answerReader struct {
	dispatch    *dispatch
	node        *node
	id          []byte
	incarnation []byte // incarnation of the agent that the request is meant for
	assembler   *online.Assembler
	// shared says that the request belongs to another call of the same caller;
	// leaving it must not stop it.
	shared bool
}

// readToEnd opens the answer with call and reads it to its end.
func (a *answerReader) readToEnd(ctx context.Context, call *wire.Call) (*wire.End, error) {
	lostAt := time.Time{}
	patience := a.dispatch.e.cfg.ReattachTimeout
	if !a.dispatch.req.NonIdempotent {
		patience = a.dispatch.e.cfg.ResumeTimeout
	}
	for {
		before := a.assembler.Next()
		err := a.readStream(ctx, call)
		if end := a.assembler.End(); end != nil {
			return end, nil
		}
		if a.assembler.Next() != before {
			lostAt = time.Time{}
		}
		var fail *apierr.Error
		if errors.As(err, &fail) {
			if fail.Code == apierr.CodeUnknownRequest {
				return nil, a.resolveUnknown(ctx)
			}
			return nil, fail
		}
		if ctx.Err() != nil {
			return nil, a.abort(ctx)
		}
		var unsent *link.DialError
		if call.GetStart() != nil && errors.As(err, &unsent) {
			return nil, errors.Mark(apierr.New(apierr.CodeNotRun, "target not reached"), errAgentLost)
		}
		if lostAt.IsZero() {
			lostAt = time.Now()
		}
		if time.Since(lostAt) > patience {
			return nil, errors.Mark(apierr.Unknown(apierr.CodeOutcomeUnknown, "target not reached"), errAgentLost)
		}
		if !lostAt.IsZero() && a.assembler.Next() == before {
			_ = wait.For(ctx, reattachDelay)
		}
		call = &wire.Call{Kind: &wire.Call_Attach{Attach: &wire.Attach{Id: a.id, FromSeq: a.assembler.Next()}}}
	}
}

// reattachDelay is the wait between two tries to reach an agent.
const reattachDelay = 20 * time.Millisecond

// readStream opens one stream and takes frames until the answer ends or the stream
// breaks. Failures with a type end the request; others are worth another stream.
func (a *answerReader) readStream(ctx context.Context, call *wire.Call) error {
	st, err := a.node.peer.Open(ctx, link.Online, call)
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
			// Not part of the answer's sequence.
			return apierr.FromWire(fail)
		}
		pieces, err := a.assembler.Take(f)
		if err != nil {
			return err
		}
		for _, p := range pieces {
			if err := a.deliver(p); err != nil {
				return a.cancelForCaller()
			}
		}
		if fail := a.assembler.Failure(); fail != nil {
			return apierr.FromWire(fail)
		}
		if a.assembler.End() != nil {
			return nil
		}
	}
}

func (a *answerReader) deliver(p *wire.Piece) error {
	a.dispatch.deliveredTokens += p.GetTokens()
	return a.dispatch.sink(p)
}

func (a *answerReader) cancelForCaller() error {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	ran := a.revoke(ctx)
	return &apierr.Error{Code: apierr.CodeCancelled, Message: "the caller hung up", Ran: ran}
}

// revokeTimeout bounds the call that gives a request up at its agent.
const revokeTimeout = time.Second

// revoke gives the request up at the agent and returns whether it ran. Unknown
// means that the agent could not be asked.
func (a *answerReader) revoke(ctx context.Context) wire.Ran {
	if a.shared {
		return wire.Ran_RAN_UNKNOWN
	}
	reply := &wire.Revoked{}
	call := &wire.Call{Kind: &wire.Call_Revoke{Revoke: &wire.Revoke{Id: a.id, AgentIncarnation: a.incarnation}}}
	if err := a.node.peer.Call(ctx, link.Online, call, reply); err != nil {
		return wire.Ran_RAN_UNKNOWN
	}
	return reply.GetRan()
}

// abort ends a request whose deadline passed or whose caller hung up.
func (a *answerReader) abort(ctx context.Context) error {
	short, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	ran := a.revoke(short)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &apierr.Error{Code: apierr.CodeDeadline, Message: "the deadline passed", Ran: ran}
	}
	return &apierr.Error{Code: apierr.CodeCancelled, Message: "the caller hung up", Ran: ran}
}

// resolveUnknown finds the truth about a request that the agent does not know: the
// start was lost on its way, or the agent was restarted. The revoke leaves a
// tombstone, so that a late copy of the start cannot run.
func (a *answerReader) resolveUnknown(ctx context.Context) error {
	if a.assembler.Next() > 0 {
		return errors.Mark(apierr.Executed(apierr.CodeOutcomeUnknown, "target lost the answer"), errAgentLost)
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	switch a.revoke(ctx) {
	case wire.Ran_RAN_NO:
		return apierr.New(apierr.CodeNotRun, "the request did not reach its target")
	case wire.Ran_RAN_YES:
		return errors.Mark(apierr.Executed(apierr.CodeOutcomeUnknown, "target lost the answer"), errAgentLost)
	}
	return errors.Mark(apierr.Unknown(apierr.CodeOutcomeUnknown, "target was restarted"), errAgentLost)
}
