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

// request is one online request at the agent. Agent.mu guards all fields except
// response, which has its own lock.
type request struct {
	start       *wire.Start
	entry       *admission.Entry
	lifecycle   *online.Lifecycle
	response    *online.Response
	deadline    time.Time
	running     bool
	stop        context.CancelFunc // set while running
	revoked     bool
	finishedAt  time.Time
	readers     int
	unreadSince time.Time // when the last reader left
}

// charsPerToken is the assumed average for the estimate of prompt tokens.
const charsPerToken = 4

// kvBlockTokens is the number of tokens in one KV block.
const kvBlockTokens = 16

// estimateCost returns the expected tokens and KV blocks of a generation.
func estimateCost(prompt string, maxTokens uint32) (cost float64, blocks int) {
	tokens := len(prompt)/charsPerToken + 1 + int(maxTokens)
	return float64(tokens), (tokens + kvBlockTokens - 1) / kvBlockTokens
}

func deadlineFailure() *wire.Failure {
	return apierr.New(apierr.CodeDeadlineExceeded, "no seat before the deadline").ToWire()
}

func (a *Agent) handleStart(ctx context.Context, s *wire.Start, st *link.Stream) {
	r, fail := a.admit(s)
	if fail != nil {
		// The stream may be closed; the entry then asks by Revoke whether the
		// request ran.
		_ = st.Send(&wire.Frame{Id: s.GetId(), Kind: &wire.Frame_Failure{Failure: fail.ToWire()}})
		return
	}
	a.schedule()
	a.streamResponse(ctx, r, 0, st)
}

// admit queues a new request, or returns the existing one with the same ID. The caller
// must call removeReader for the returned request.
func (a *Agent) admit(s *wire.Start) (*request, *apierr.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := string(s.GetId())
	if inc, ok := oplog.IncarnationFrom(s.GetAgentIncarnation()); !ok || inc != a.cfg.Incarnation {
		// The request may already have run in an earlier incarnation of this agent.
		// Accepting it here could run it twice.
		return nil, apierr.New(apierr.CodeWrongIncarnation, "this agent was restarted")
	}
	if r := a.requests[id]; r != nil {
		r.readers++
		return r, nil
	}
	if t, ok := a.tombstones[id]; ok {
		return nil, t.failure()
	}
	if err := a.rejectReason(s); err != nil {
		a.addTombstoneLocked(id, wire.Ran_RAN_NO)
		return nil, err
	}
	r := a.newRequest(s)
	if !a.adm.Offer(time.Now(), r.entry) {
		a.addTombstoneLocked(id, wire.Ran_RAN_NO)
		return nil, apierr.New(apierr.CodeOverloaded, "no seat before the deadline").WithRetryAfter(a.adm.RetryAfter())
	}
	a.requests[id] = r
	r.readers++
	return r, nil
}

// rejectReason returns the error for a request that cannot run on this target, nil for
// others. Agent.mu must be held.
func (a *Agent) rejectReason(s *wire.Start) *apierr.Error {
	if a.draining() {
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
	return apierr.New(apierr.CodeModelNotFound, "model is not loaded here")
}

func (a *Agent) newRequest(s *wire.Start) *request {
	timeout := min(time.Duration(s.GetTimeoutMs())*time.Millisecond, MaxTimeout)
	deadline := time.Now().Add(timeout)
	cost, blocks := estimateCost(s.GetPrompt(), s.GetMaxTokens())
	return &request{
		start:     s,
		lifecycle: online.NewLifecycle(),
		response:  online.NewResponse(s.GetId()),
		deadline:  deadline,
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

// addTombstoneLocked refuses an ID for TombstoneRetention. A delayed start must not run
// after the agent has reported that the request did not run.
func (a *Agent) addTombstoneLocked(id string, ran wire.Ran) {
	a.tombstones[id] = tombstone{until: time.Now().Add(a.cfg.TombstoneRetention), ran: ran}
}

// tombstone marks an ID that must not start any more and records whether it ran.
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
		fail := apierr.MaybeExecuted(apierr.CodeUnknownRequest, "no such request here")
		_ = st.Send(&wire.Frame{Id: at.GetId(), Kind: &wire.Frame_Failure{Failure: fail.ToWire()}})
		return
	}
	a.streamResponse(ctx, r, at.GetFromSeq(), st)
}

// streamResponse sends the frames of a response, beginning with seq, until the response
// ends or the reader closes the stream. A slow reader blocks only this goroutine.
func (a *Agent) streamResponse(ctx context.Context, r *request, seq uint64, st *link.Stream) {
	defer a.removeReader(r)
	readerClosed := make(chan struct{})
	go func() {
		defer close(readerClosed)
		// The entry sends nothing more. Recv returns when the entry closes the
		// stream or the session ends.
		_ = st.Recv(&wire.Frame{})
	}()
	for {
		frames, closed, changed := r.response.FramesFrom(seq)
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
		case <-readerClosed:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) removeReader(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.unreadSince = time.Now()
	}
}

func (a *Agent) handleRevoke(rv *wire.Revoke, st *link.Stream) {
	ran := a.revoke(rv)
	_ = st.Send(&wire.Revoked{Ran: ran})
}

// revoke cancels a request and returns whether it ran. A request that has not started
// never starts; a running one is stopped at the engine.
func (a *Agent) revoke(rv *wire.Revoke) wire.Ran {
	a.mu.Lock()
	defer a.mu.Unlock()
	inc, ok := oplog.IncarnationFrom(rv.GetAgentIncarnation())
	if !ok || inc != a.cfg.Incarnation {
		return wire.Ran_RAN_UNKNOWN
	}
	id := string(rv.GetId())
	r := a.requests[id]
	if t, ok := a.tombstones[id]; ok {
		return t.ran
	}
	if r == nil {
		a.addTombstoneLocked(id, wire.Ran_RAN_NO)
		return wire.Ran_RAN_NO
	}
	r.revoked = true
	if r.lifecycle.State() == online.Queued {
		r.lifecycle.Fire(online.TriggerRevoke)
		a.adm.Remove(time.Now(), r.entry)
		r.response.Fail(apierr.New(apierr.CodeNotRun, "revoked before it started").ToWire())
		r.finishedAt = time.Now()
		return wire.Ran_RAN_NO
	}
	if r.stop != nil {
		r.stop()
	}
	return r.lifecycle.Ran()
}

// sweepRequest replaces an expired response by a tombstone and stops a running request
// that has had no reader for OrphanTimeout, unless it is non-idempotent. Agent.mu must
// be held.
func (a *Agent) sweepRequest(now time.Time, id string, r *request) {
	if !r.finishedAt.IsZero() {
		keep := a.cfg.ResponseRetention
		if r.start.GetKeepAnswer() {
			keep = a.cfg.KeyedResponseRetention
		}
		if r.readers == 0 && now.After(r.finishedAt.Add(keep)) {
			delete(a.requests, id)
			a.addTombstoneLocked(id, r.lifecycle.Ran())
		}
		return
	}
	orphan := r.readers == 0 && !r.unreadSince.IsZero() && now.After(r.unreadSince.Add(a.cfg.OrphanTimeout))
	if orphan && r.running && r.stop != nil && !r.start.GetNonIdempotent() {
		r.stop()
	}
}

// runRequest runs an online request in a worker.
func (a *Agent) runRequest(r *request) {
	ctx, cancel := context.WithDeadline(a.ctx, r.deadline)
	defer cancel()
	a.mu.Lock()
	r.stop = cancel
	revoked := r.revoked
	a.mu.Unlock()
	if revoked {
		cancel()
	}
	start := time.Now()
	if r.start.GetService() != "" {
		a.runService(ctx, r)
	} else {
		a.runModel(ctx, r)
	}
	a.cfg.Metrics.Observe("online", r.start.GetWorkspace(), time.Since(start))
	a.mu.Lock()
	r.lifecycle.Fire(online.TriggerFinish)
	r.finishedAt = time.Now()
	r.running = false
	r.stop = nil
	a.adm.Remove(r.finishedAt, r.entry)
	a.mu.Unlock()
	a.wake()
}

func (a *Agent) runService(ctx context.Context, r *request) {
	svc := a.cfg.Services[r.start.GetService()]
	status, contentType, reply, err := svc.Do(ctx, r.start.GetMethod(), r.start.GetPath(), r.start.GetBody())
	if err != nil {
		r.response.Fail(apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "service call failed: %v", err).ToWire())
		return
	}
	r.response.End(string(reply), 0, &wire.End{Status: uint32(status), ContentType: contentType})
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
		r.response.Fail(engineFailure(ctx, err, wire.Ran_RAN_NO).ToWire())
		return
	}
	defer stream.Cancel()
	last := time.Time{}
	for {
		c, err := stream.Next(ctx)
		if err != nil {
			r.response.Fail(engineFailure(ctx, err, wire.Ran_RAN_YES).ToWire())
			return
		}
		last = a.recordChunk(r.entry, last, r.response.Tokens())
		if c.FinishReason != "" {
			r.response.End(c.Text, c.Tokens, &wire.End{FinishReason: c.FinishReason, PromptTokens: c.PromptTokens})
			return
		}
		r.response.Add(c.Text, c.Tokens)
	}
}

// recordChunk reports progress and the time since the last chunk to admission. It
// returns the present time.
func (a *Agent) recordChunk(e *admission.Entry, last time.Time, tokens uint32) time.Time {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adm.SetProgress(e, tokens)
	if !last.IsZero() {
		a.adm.ObserveStep(a.adm.Running(), now.Sub(last))
	}
	return now
}

// engineFailure maps an error of the engine to an apierr.Error. ran is used where the
// error does not tell whether the request ran.
func engineFailure(ctx context.Context, err error, ran wire.Ran) *apierr.Error {
	fail := func(code apierr.Code, ran wire.Ran) *apierr.Error {
		return &apierr.Error{Code: code, Message: strings.TrimSpace(err.Error()), Ran: ran}
	}
	switch {
	case errors.Is(err, engine.ErrRejected):
		return fail(apierr.CodeBadRequest, wire.Ran_RAN_NO)
	case errors.Is(err, engine.ErrUnknownModel):
		return fail(apierr.CodeModelNotFound, wire.Ran_RAN_NO)
	case errors.Is(err, engine.ErrUnavailable):
		return fail(apierr.CodeEngineFailed, wire.Ran_RAN_NO)
	case errors.Is(err, engine.ErrTransient):
		return fail(apierr.CodeEngineFailed, ran)
	case errors.Is(err, engine.ErrLost):
		return fail(apierr.CodeEngineFailed, wire.Ran_RAN_YES)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fail(apierr.CodeDeadlineExceeded, ran)
	case ctx.Err() != nil:
		return fail(apierr.CodeCancelled, ran)
	}
	return fail(apierr.CodeEngineFailed, wire.Ran_RAN_UNKNOWN)
}
