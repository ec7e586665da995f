package jobroute

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/jobstore"
	"pumiceford/wire"
)

// Server executes calls that other processes forward.
type Server struct {
	Local            Local
	StoreUnavailable func() bool // reports whether this process cannot reach the store at all
	// HasDirectStore reports whether this process reaches the store directly. While it does
	// not, it declines writes, which the calling process may be able to do itself. It still
	// serves results that it knows, since during an outage no other process may have them.
	HasDirectStore func() bool
}

// Serve executes one call. It never forwards the call, so that two processes which take
// each other for the owner do not loop.
func (s *Server) Serve(ctx context.Context, call *wire.JobCall) *wire.JobReply {
	if isWrite(call) && !s.HasDirectStore() {
		return &wire.JobReply{Outcome: wire.JobReply_DECLINED}
	}
	if !canServeLocally(s.Local, s.StoreUnavailable, jobID(call)) {
		return encodeReply(s.Local.Unavailable())
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	switch k := call.GetKind().(type) {
	case *wire.JobCall_Accept:
		return encodeReply(s.Local.Accept(ctx, k.Accept))
	case *wire.JobCall_End:
		return encodeReply(s.Local.End(ctx, k.End))
	case *wire.JobCall_Body:
		body, err := s.Local.Body(ctx, k.Body.GetJob(), k.Body.GetItem())
		out := encodeReply(err)
		out.Body = body
		return out
	case *wire.JobCall_Read:
		wait := time.Duration(k.Read.GetWaitMs()) * time.Millisecond
		res, err := s.Local.Results(ctx, k.Read.GetJob(), int(k.Read.GetFrom()), wait)
		out := encodeReply(err)
		out.Total, out.Next = uint32(res.Total), uint32(res.Next)
		for _, it := range res.Items {
			out.Results = append(out.Results, &wire.JobResult{Item: it.ID, Dead: it.Dead, Text: it.Text})
		}
		return out
	}
	return &wire.JobReply{Outcome: wire.JobReply_DECLINED} // a call kind of a later version
}

// jobID returns the ID of the job that a call is about, "" for an unknown kind of call.
func jobID(call *wire.JobCall) string {
	switch k := call.GetKind().(type) {
	case *wire.JobCall_Accept:
		return k.Accept.GetId()
	case *wire.JobCall_End:
		return k.End
	case *wire.JobCall_Read:
		return k.Read.GetJob()
	case *wire.JobCall_Body:
		return k.Body.GetJob()
	}
	return ""
}

// isWrite reports whether a call writes to the store.
func isWrite(call *wire.JobCall) bool {
	switch call.GetKind().(type) {
	case *wire.JobCall_Accept, *wire.JobCall_End:
		return true
	}
	return false
}

// decodeResults converts the results of a reply.
func decodeResults(r *wire.JobReply) jobstore.Results {
	out := jobstore.Results{Total: int(r.GetTotal()), Next: int(r.GetNext())}
	for _, it := range r.GetResults() {
		out.Items = append(out.Items, jobstore.ResultItem{ID: it.GetItem(), Dead: it.GetDead(), Text: it.GetText()})
	}
	return out
}

// encodeReply returns a reply with the outcome that err stands for, and without results.
func encodeReply(err error) *wire.JobReply {
	out := &wire.JobReply{Outcome: encodeOutcome(err)}
	var unavailable *jobstore.UnavailableError
	if errors.As(err, &unavailable) {
		out.Away, out.ComeBackMs = true, uint32(unavailable.RetryAfter.Milliseconds())
	}
	return out
}

func encodeOutcome(err error) wire.JobReply_Outcome {
	switch {
	case err == nil:
		return wire.JobReply_DONE
	case errors.Is(err, jobstore.ErrJobNotFound):
		return wire.JobReply_UNKNOWN_JOB
	case errors.Is(err, jobstore.ErrJobConflict):
		return wire.JobReply_OTHER_JOB
	case errors.Is(err, jobstore.ErrStoreUnavailable) && !errors.Is(err, jobstore.ErrOutcomeUnknown):
		return wire.JobReply_UNSURE
	}
	// Unrecognised errors too: the caller must not conclude that nothing was written.
	return wire.JobReply_UNKNOWN_EFFECT
}

// errRemoteFailed is the cause of failures at the called process, whose own log has the
// details.
var errRemoteFailed = errors.New("called process could not execute the job call")

// decodeError returns the error that encodeReply encoded, or nil.
func decodeError(r *wire.JobReply) error {
	cause := errRemoteFailed
	if r.GetAway() {
		cause = &jobstore.UnavailableError{RetryAfter: time.Duration(r.GetComeBackMs()) * time.Millisecond}
	}
	switch r.GetOutcome() {
	case wire.JobReply_DONE:
		return nil
	case wire.JobReply_UNKNOWN_JOB:
		return jobstore.ErrJobNotFound
	case wire.JobReply_OTHER_JOB:
		return jobstore.ErrJobConflict
	case wire.JobReply_UNSURE:
		return errors.Mark(cause, jobstore.ErrStoreUnavailable)
	case wire.JobReply_UNKNOWN_EFFECT, wire.JobReply_DECLINED:
	}
	return errors.Mark(cause, jobstore.ErrOutcomeUnknown)
}
