package agent

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/admission"
	"pumiceford/apierr"
	"pumiceford/engine"
	"pumiceford/link"
	"pumiceford/online"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// request is one online request at the agent. Agent.mu guards all fields but
// answer, which has its own lock.
type request struct {
	start      *wire.Start
	entry      *admission.Entry
	life       *online.Life
	answer     *online.Answer
	deadline   time.Time
	running    bool
	stop       context.CancelFunc // set while running
	stopped    bool               // revoked by its caller
	finishedAt time.Time
	readers    int
	alone      time.Time // when the last reader left
}

// charsPerToken estimates prompt tokens for admission.
const charsPerToken = 4

// kvBlockTokens is how many tokens one KV block holds in admission's sums.
const kvBlockTokens = 16

func estimate(prompt string, maxTokens uint32) (cost float64, blocks int) {
	tokens := len(prompt)/charsPerToken + 1 + int(maxTokens)
	return float64(tokens), (tokens + kvBlockTokens - 1) / kvBlockTokens
}

func deadlineFailure() *wire.Failure {
	return apierr.New(apierr.CodeDeadline, "no seat before the deadline").ToWire()
}

func (a *Agent) handleStart(ctx context.Context, s *wire.Start, st *link.Stream) {
	r, fail := a.admit(s)
	if fail != nil {
		// The stream may be gone; the entry then learns the truth by Revoke.
		_ = st.Send(&wire.Frame{Id: s.GetId(), Kind: &wire.Frame_Failure{Failure: fail.ToWire()}})
		return
	}
	a.decide()
	a.pump(ctx, r, 0, st)
}

// admit takes a new request, or finds the one that is there under its id.
func (a *Agent) admit(s *wire.Start) (*request, *apierr.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := string(s.GetId())
	if inc, ok := oplog.IncarnationFrom(s.GetAgentIncarnation()); !ok || inc != a.cfg.Incarnation {
		// A start meant for an earlier run of this process may have been started
		// there. Accepting it here could run it twice.
		return nil, apierr.New(apierr.CodeWrongIncarnation, "this agent was restarted")
	}
	if r := a.requests[id]; r != nil {
		r.readers++
		return r, nil
	}
	if t, ok := a.tombs[id]; ok {
		return nil, t.failure()
	}
	if err := a.refusal(s); err != nil {
		a.buryLocked(id, wire.Ran_RAN_NO)
		return nil, err
	}
	r := a.newRequest(s)
	if !a.adm.Offer(time.Now(), r.entry) {
		a.buryLocked(id, wire.Ran_RAN_NO)
		return nil, apierr.New(apierr.CodeOverloaded, "no seat before the deadline").After(a.adm.RetryAfter())
	}
	a.requests[id] = r
	r.readers++
	return r, nil
}

// refusal returns why a request cannot be taken at all.
func (a *Agent) refusal(s *wire.Start) *apierr.Error {
	if a.closing() {
		return apierr.New(apierr.CodeLeaving, "target is leaving")
	}
	if s.GetService() != "" {
		if a.cfg.Services[s.GetService()] == nil {
			return apierr.New(apierr.CodeNotFound, "no such service here")
		}
		return nil
	}
	for _, m := range a.models {
		if m == s.GetModel() {
			return nil
		}
	}
	return apierr.New(apierr.CodeUnknownModel, "model is not loaded here")
}

func (a *Agent) newRequest(s *wire.Start) *request {
	timeout := min(time.Duration(s.GetTimeoutMs())*time.Millisecond, MaxTimeout)
	deadline := time.Now().Add(timeout)
	cost, blocks := estimate(s.GetPrompt(), s.GetMaxTokens())
	return &request{
		start:    s,
		life:     online.NewLife(),
		answer:   online.NewAnswer(s.GetId()),
		deadline: deadline,
		entry: &admission.Entry{
			ID:        string(s.GetId()),
			Class:     admission.Online,
			Workspace: s.GetWorkspace(),
			Weight:    s.GetWeight(),
			Cost:      cost,
			Blocks:    blocks,
			Deadline:  deadline,
		},
	}
}

// buryLocked refuses an id from now on. A late copy of the start must not run
// after its caller was told that it did not.
func (a *Agent) buryLocked(id string, ran wire.Ran) {
	a.tombs[id] = tombstone{until: time.Now().Add(a.cfg.TombstoneKeep), ran: ran}
}

// tombstone remembers an id that must not start any more, and whether it ran.
type tombstone struct {
	until time.Time
	ran   wire.Ran
}

func (t tombstone) failure() *apierr.Error {
	if t.ran == wire.Ran_RAN_NO {
		return apierr.New(apierr.CodeNotRun, "the request was given up before it started")
	}
	return apierr.Executed(apierr.CodeOutcomeUnknown, "the request ran and its answer is no longer kept")
}

func (a *Agent) handleAttach(ctx context.Context, at *wire.Attach, st *link.Stream) {
	a.mu.Lock()
	r := a.requests[string(at.GetId())]
	if r != nil {
		r.readers++
	}
	a.mu.Unlock()
	if r == nil {
		fail := apierr.Unknown(apierr.CodeUnknownRequest, "no such request here")
		_ = st.Send(&wire.Frame{Id: at.GetId(), Kind: &wire.Frame_Failure{Failure: fail.ToWire()}})
		return
	}
	a.pump(ctx, r, at.GetFromSeq(), st)
}

// pump sends the answer's frames from seq on until the answer ends or the reader
// is gone. A slow reader blocks only this goroutine.
func (a *Agent) pump(ctx context.Context, r *request, seq uint64, st *link.Stream) {
	defer a.readerLeft(r)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		// The entry sends nothing more; Recv returns when it closes the stream
		// or the session ends.
		_ = st.Recv(&wire.Frame{})
	}()
	for {
		frames, closed, changed := r.answer.From(seq)
		if len(frames) > 0 && st.SendFrames(frames) != nil {
			return
		}
		seq += uint64(len(frames))
		if closed && len(frames) == 0 {
			return
		}
		if len(frames) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) readerLeft(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.alone = time.Now()
	}
}

func (a *Agent) handleRevoke(rv *wire.Revoke, st *link.Stream) {
	ran := a.revoke(rv)
	_ = st.Send(&wire.Revoked{Ran: ran})
}

// revoke gives a request up. What is not started never will be; what is running
// stops at the engine.
func (a *Agent) revoke(rv *wire.Revoke) wire.Ran {
	a.mu.Lock()
	defer a.mu.Unlock()
	inc, ok := oplog.IncarnationFrom(rv.GetAgentIncarnation())
	if !ok || inc != a.cfg.Incarnation {
		return wire.Ran_RAN_UNKNOWN
	}
	id := string(rv.GetId())
	r := a.requests[id]
	if t, ok := a.tombs[id]; ok {
		return t.ran
	}
	if r == nil {
		a.buryLocked(id, wire.Ran_RAN_NO)
		return wire.Ran_RAN_NO
	}
	r.stopped = true
	if r.life.State() == online.Queued {
		r.life.Fire(online.TriggerRevoke)
		a.adm.Finish(time.Now(), r.entry)
		r.answer.Fail(apierr.New(apierr.CodeNotRun, "revoked before it started").ToWire())
		r.finishedAt = time.Now()
		return wire.Ran_RAN_NO
	}
	if r.stop != nil {
		r.stop()
	}
	return r.life.Ran()
}

// housekeepRequest drops finished answers and stops requests that nobody reads.
func (a *Agent) housekeepRequest(now time.Time, id string, r *request) {
	if !r.finishedAt.IsZero() {
		keep := a.cfg.AnswerKeep
		if r.start.GetKeepAnswer() {
			keep = a.cfg.KeyedAnswerKeep
		}
		if r.readers == 0 && now.After(r.finishedAt.Add(keep)) {
			delete(a.requests, id)
			a.buryLocked(id, r.life.Ran())
		}
		return
	}
	orphan := r.readers == 0 && !r.alone.IsZero() && now.After(r.alone.Add(a.cfg.OrphanAfter))
	if orphan && r.running && r.stop != nil && !r.start.GetNonIdempotent() {
		r.stop()
	}
}

// runRequest is the worker's part of an online request.
func (a *Agent) runRequest(r *request) {
	ctx, cancel := context.WithDeadline(a.ctx, r.deadline)
	defer cancel()
	a.mu.Lock()
	r.stop = cancel
	stopped := r.stopped
	a.mu.Unlock()
	if stopped {
		cancel()
	}
	began := time.Now()
	if r.start.GetService() != "" {
		a.runService(ctx, r)
	} else {
		a.runModel(ctx, r)
	}
	a.cfg.Metrics.Observe("online", r.start.GetWorkspace(), time.Since(began))
	a.mu.Lock()
	r.life.Fire(online.TriggerFinish)
	r.finishedAt = time.Now()
	r.running = false
	r.stop = nil
	a.adm.Finish(r.finishedAt, r.entry)
	a.mu.Unlock()
	a.wake()
}

func (a *Agent) runService(ctx context.Context, r *request) {
	svc := a.cfg.Services[r.start.GetService()]
	status, contentType, reply, err := svc.Do(ctx, r.start.GetMethod(), r.start.GetPath(), r.start.GetBody())
	if err != nil {
		r.answer.Fail(apierr.Unknown(apierr.CodeOutcomeUnknown, "service call failed: %v", err).ToWire())
		return
	}
	r.answer.End(string(reply), 0, &wire.End{Status: uint32(status), ContentType: contentType})
}

func (a *Agent) runModel(ctx context.Context, r *request) {
	stream, err := a.cfg.Engine.Generate(ctx, engine.Request{
		ID:         hexID(r.start.GetId()),
		Model:      r.start.GetModel(),
		Prompt:     r.start.GetPrompt(),
		MaxTokens:  r.start.GetMaxTokens(),
		ResumeFrom: r.start.GetResumeFrom(),
	})
	if err != nil {
		r.answer.Fail(engineFailure(ctx, err, wire.Ran_RAN_NO).ToWire())
		return
	}
	defer stream.Cancel()
	last := time.Time{}
	for {
		c, err := stream.Next(ctx)
		if err != nil {
			r.answer.Fail(engineFailure(ctx, err, wire.Ran_RAN_YES).ToWire())
			return
		}
		last = a.noteChunk(r.entry, last, r.answer.Tokens())
		if c.Finish != "" {
			r.answer.End(c.Text, c.Tokens, &wire.End{FinishReason: c.Finish, PromptTokens: c.PromptTokens})
			return
		}
		r.answer.Add(c.Text, c.Tokens)
	}
}

// noteChunk feeds admission with the time between two tokens.
func (a *Agent) noteChunk(e *admission.Entry, last time.Time, tokens uint32) time.Time {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adm.Progress(e, tokens)
	if !last.IsZero() {
		a.adm.NoteStep(a.adm.Running(), now.Sub(last))
	}
	return now
}

// engineFailure maps an engine's failure. ran says what is known when the
// failure itself does not tell.
func engineFailure(ctx context.Context, err error, ran wire.Ran) *apierr.Error {
	fail := func(code apierr.Code, ran wire.Ran) *apierr.Error {
		return &apierr.Error{Code: code, Message: strings.TrimSpace(err.Error()), Ran: ran}
	}
	switch {
	case errors.Is(err, engine.ErrRejected):
		return fail(apierr.CodeBadRequest, wire.Ran_RAN_NO)
	case errors.Is(err, engine.ErrUnknownModel):
		return fail(apierr.CodeUnknownModel, wire.Ran_RAN_NO)
	case errors.Is(err, engine.ErrUnavailable):
		return fail(apierr.CodeEngine, wire.Ran_RAN_NO)
	case errors.Is(err, engine.ErrBusy):
		return fail(apierr.CodeEngine, ran)
	case errors.Is(err, engine.ErrLost):
		return fail(apierr.CodeEngine, wire.Ran_RAN_YES)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fail(apierr.CodeDeadline, ran)
	case ctx.Err() != nil:
		return fail(apierr.CodeCancelled, ran)
	}
	return fail(apierr.CodeEngine, wire.Ran_RAN_UNKNOWN)
}
