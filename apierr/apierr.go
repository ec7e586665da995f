// Package apierr defines the typed errors of the API for callers and operators.
// Each has a stable code, an HTTP status and an indication of whether the request
// was executed.
package apierr

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/wire"
)

// Code is a stable, machine-readable error code.
type Code string

// Error codes. They are part of the API and never change meaning.
const (
	CodeBadRequest          Code = "bad_request"
	CodeTooLarge            Code = "too_large"
	CodeUnauthorized        Code = "unauthorized"
	CodeForbidden           Code = "forbidden"
	CodeNotFound            Code = "not_found"
	CodeModelNotFound       Code = "model_not_found"
	CodeIdempotencyConflict Code = "idempotency_conflict"
	CodePlanConflict        Code = "plan_conflict"
	CodeRateLimited         Code = "rate_limited"
	CodeOverloaded          Code = "overloaded"
	CodeNotRun              Code = "not_run"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeDeadlineExceeded    Code = "deadline_exceeded"
	CodeLogUnavailable      Code = "log_unavailable"
	CodeNoTarget            Code = "no_target"
	CodeLeaving             Code = "leaving"
	CodeEngineFailed        Code = "engine_failed"
	CodeWrongIncarnation    Code = "wrong_incarnation"
	CodeUnknownRequest      Code = "unknown_request"
	CodeNotOwner            Code = "not_owner"
	CodeCancelled           Code = "cancelled"
	CodeInternal            Code = "internal"
)

// Error is an API error with its code and whether the request was executed.
type Error struct {
	Code       Code
	Message    string
	Ran        wire.Ran
	RetryAfter time.Duration // zero if retrying does not help
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// New returns an Error for a request that was certainly not executed.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: wire.Ran_RAN_NO}
}

// MaybeExecuted returns an Error for a request that may have been executed.
func MaybeExecuted(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: wire.Ran_RAN_UNKNOWN}
}

// Executed returns an Error for a request that was executed, at least in part.
func Executed(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: wire.Ran_RAN_YES}
}

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// From returns the Error in the chain of err, or nil for nil. Any other error becomes
// CodeInternal with an unknown outcome, since it may have come before or after execution.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return MaybeExecuted(CodeInternal, "%v", err)
}

// Is reports whether the chain of err contains an Error with code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

var statusByCode = map[Code]int{
	CodeBadRequest:          http.StatusBadRequest,
	CodeTooLarge:            http.StatusRequestEntityTooLarge,
	CodeUnauthorized:        http.StatusUnauthorized,
	CodeForbidden:           http.StatusForbidden,
	CodeNotFound:            http.StatusNotFound,
	CodeModelNotFound:       http.StatusNotFound,
	CodeIdempotencyConflict: http.StatusConflict,
	CodePlanConflict:        http.StatusConflict,
	CodeRateLimited:         http.StatusTooManyRequests,
	CodeOverloaded:          http.StatusServiceUnavailable,
	CodeNotRun:              http.StatusServiceUnavailable,
	CodeOutcomeUnknown:      http.StatusBadGateway,
	CodeDeadlineExceeded:    http.StatusGatewayTimeout,
	CodeLogUnavailable:      http.StatusServiceUnavailable,
	CodeNoTarget:            http.StatusServiceUnavailable,
	CodeLeaving:             http.StatusServiceUnavailable,
	CodeEngineFailed:        http.StatusBadGateway,
	CodeWrongIncarnation:    http.StatusServiceUnavailable,
	CodeUnknownRequest:      http.StatusNotFound,
	CodeNotOwner:            http.StatusServiceUnavailable,
	CodeCancelled:           http.StatusConflict,
	CodeInternal:            http.StatusInternalServerError,
}

// Status returns the HTTP status of e.
func (e *Error) Status() int {
	if s, ok := statusByCode[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// ToWire converts e for transmission to another process.
func (e *Error) ToWire() *wire.Failure {
	return &wire.Failure{
		Code:         string(e.Code),
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// FromWire converts an error received from another process.
func FromWire(f *wire.Failure) *Error {
	return &Error{
		Code:       Code(f.GetCode()),
		Message:    f.GetMessage(),
		Ran:        f.GetRan(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}
