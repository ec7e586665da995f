// Package exchange defines how an opaque request is executed at a target: the request, its
// outcome, and the interfaces through which it is sent.
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/estimate"
	"pumiceford/targets"
)

// Call is one request to a target. It must not be modified once it is sent.
type Call struct {
	ID           string
	Method       string
	Host         string // as sent by the caller; decides the route
	URI          string // path and query, escaped as received
	Header       http.Header
	Body         []byte
	Deadline     time.Time // the target stops work at this time; zero for none
	ResumeAfter  uint64    // ID of the event after which a stream resumes; 0 for its start
	Work         estimate.Work
	ReservedSlot string // name of the slot reserved at the target; "" for none
	// Workspace is the workspace that the call belongs to, "" for none. It is sent to the
	// target.
	Workspace string
}

// Outcome is the result of a call that got a response.
type Outcome int

// The outcomes.
const (
	// Done: the target ran the call and this is its response.
	Done Outcome = iota
	// Failed: the target ran the call and reports a failure.
	Failed
	// NotRun: the target reports that it did not and will not run the call.
	NotRun
	// OtherInstance: another instance now has the address. The call was not run.
	OtherInstance
)

// Response is a target's response to a call. The receiver must close Body.
type Response struct {
	Outcome       Outcome
	Status        int
	Header        http.Header // end-to-end headers only, without hop-by-hop ones
	Body          io.ReadCloser
	ContentLength int64 // of the body in bytes, -1 when unknown
	EventStream   bool  // whether the body is an event stream
	// Slowness is how long work takes at the target at this moment, relative to usual work of
	// its kind; 0 if the target does not state it.
	Slowness float64
}

// Sender sends calls to targets.
type Sender interface {
	// Send sends a call to one instance and returns when the response header has arrived.
	// The body is read from the connection; closing it early makes the target cancel the
	// call. Any error is a *SendError.
	Send(ctx context.Context, to targets.Instance, call *Call) (*Response, error)
}

// ErrFull reports that a target has no free slot to reserve.
var ErrFull = errors.New("target has no free slot")

// Reserver reserves slots at targets.
type Reserver interface {
	// Reserve reserves a slot for a request of the given number of tokens and returns the
	// slot's name. It returns ErrFull when the target has no free slot. A reserved slot
	// that is not used is released after keep.
	Reserve(ctx context.Context, at targets.Instance, tokens int, keep time.Duration) (string, error)
}

// Fault classifies why a call has no usable response.
type Fault string

// The faults.
const (
	FaultConnect  Fault = "connect"  // no connection to the target was established
	FaultBroken   Fault = "broken"   // the connection ended before the complete response
	FaultInvalid  Fault = "spoiled"  // the data received is not a valid response to this call
	FaultCanceled Fault = "canceled" // the call's context ended
)

// SendError reports that a call has no usable response.
type SendError struct {
	Fault Fault
	// Sent reports whether any part of the call may have reached the target. When false,
	// the call was not run and never will be.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	return "target: " + string(e.Fault) + ": " + e.Cause.Error()
}

// Unwrap returns e.Cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}
