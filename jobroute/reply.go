package jobroute

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/jobstore"
	"pumiceford/wire"
)

// Server carries calls out that other processes pass on.
type Server struct {
	Local     Local
	StoreAway func() bool // whether this process reaches the store by no way
	// Reaches reports whether this process reaches the store by itself. While it does
	// not, whoever wants to write is better off on its own. Results that are known here
	// are told all the same: through an outage nobody else may be able to.
	Reaches func() bool
}

// Serve carries one call out. It answers from this process alone, so that two processes
// which take each other for the right one do not ask in a circle.
func (s *Server) Serve(ctx context.Context, call *wire.JobCall) *wire.JobReply {
	if writes(call) && !s.Reaches() {
		return &wire.JobReply{Outcome: wire.JobReply_DECLINED}
	}
	if !answerable(s.Local, s.StoreAway, jobOf(call)) {
		return reply(s.Local.Unavailable())
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	switch k := call.GetKind().(type) {
	case *wire.JobCall_Accept:
		return reply(s.Local.Accept(ctx, k.Accept))
	case *wire.JobCall_End:
		return reply(s.Local.End(ctx, k.End))
	case *wire.JobCall_Body:
		body, err := s.Local.Body(ctx, k.Body.GetJob(), k.Body.GetItem())
		out := reply(err)
		out.Body = body
		return out
	case *wire.JobCall_Read:
		wait := time.Duration(k.Read.GetWaitMs()) * time.Millisecond
		res, err := s.Local.Results(ctx, k.Read.GetJob(), int(k.Read.GetFrom()), wait)
		out := reply(err)
		out.Total, out.Next = uint32(res.Total), uint32(res.Next)
		for _, it := range res.Items {
			out.Results = append(out.Results, &wire.JobResult{Item: it.ID, Dead: it.Dead, Text: it.Text})
		}
		return out
	}
	return &wire.JobReply{Outcome: wire.JobReply_DECLINED} // a kind of a later version
}

// jobOf returns the job that a call is about.
func jobOf(call *wire.JobCall) string {
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

// writes reports whether a call has to write to the store.
func writes(call *wire.JobCall) bool {
	switch call.GetKind().(type) {
	case *wire.JobCall_Accept, *wire.JobCall_End:
		return true
	}
	return false
}

// results decodes the results of a reply.
func results(r *wire.JobReply) jobstore.Results {
	out := jobstore.Results{Total: int(r.GetTotal()), Next: int(r.GetNext())}
	for _, it := range r.GetResults() {
		out.Items = append(out.Items, jobstore.ResultItem{ID: it.GetItem(), Dead: it.GetDead(), Text: it.GetText()})
	}
	return out
}

// reply encodes how a call ended.
func reply(err error) *wire.JobReply {
	out := &wire.JobReply{Outcome: outcome(err)}
	var away *jobstore.AwayError
	if errors.As(err, &away) {
		out.Away, out.ComeBackMs = true, uint32(away.ComeBack.Milliseconds())
	}
	return out
}

func outcome(err error) wire.JobReply_Outcome {
	switch {
	case err == nil:
		return wire.JobReply_DONE
	case errors.Is(err, jobstore.ErrUnknownJob):
		return wire.JobReply_UNKNOWN_JOB
	case errors.Is(err, jobstore.ErrOtherJob):
		return wire.JobReply_OTHER_JOB
	case errors.Is(err, jobstore.ErrUnsure) && !errors.Is(err, jobstore.ErrUnknownEffect):
		return wire.JobReply_UNSURE
	}
	// Also what is not known here: it must not be taken for a promise.
	return wire.JobReply_UNKNOWN_EFFECT
}

// errElsewhere is the cause of failures at the process that was asked; its own log
// tells more.
var errElsewhere = errors.New("process that runs the job could not carry the call out")

// failure decodes what reply encoded.
func failure(r *wire.JobReply) error {
	cause := errElsewhere
	if r.GetAway() {
		cause = &jobstore.AwayError{ComeBack: time.Duration(r.GetComeBackMs()) * time.Millisecond}
	}
	switch r.GetOutcome() {
	case wire.JobReply_DONE:
		return nil
	case wire.JobReply_UNKNOWN_JOB:
		return jobstore.ErrUnknownJob
	case wire.JobReply_OTHER_JOB:
		return jobstore.ErrOtherJob
	case wire.JobReply_UNSURE:
		return errors.Mark(cause, jobstore.ErrUnsure)
	case wire.JobReply_UNKNOWN_EFFECT, wire.JobReply_DECLINED:
	}
	return errors.Mark(cause, jobstore.ErrUnknownEffect)
}
