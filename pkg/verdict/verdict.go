// Package verdict states whether a request may have been executed by an
// endpoint. Every failing path of the system ends in one verdict, and the
// verdict alone decides whether the request may be sent again.
package verdict

import (
	"errors"
	"net/http"
	"time"
)

// Verdict says what is known about the execution of a request.
type Verdict string

const (
	// NotRun means no endpoint has executed or will execute the request.
	NotRun Verdict = "not-run"
	// MayHaveRun means an endpoint may have executed the request or may still do so.
	MayHaveRun Verdict = "may-have-run"
	// Ran means an endpoint has executed the request.
	Ran Verdict = "ran"
)

// Code is the stable, machine-readable reason of an error.
type Code string

// The codes a caller or an operator can meet.
const (
	CodeBadRequest     Code = "bad-request"
	CodeUnauthorized   Code = "unauthorized"
	CodeNoRoute        Code = "no-route"
	CodeTooLarge       Code = "too-large"
	CodeOverloaded     Code = "overloaded"
	CodeDeadline       Code = "deadline"
	CodeNoGroup        Code = "no-group"
	CodeNoClaim        Code = "no-claim"
	CodeDuplicate      Code = "duplicate"
	CodeKeyReused      Code = "key-reused"
	CodeEndpointFailed Code = "endpoint-failed"
	CodeBrokenAnswer   Code = "broken-answer"
	CodeForeignAnswer  Code = "foreign-answer"
	CodeCallerGone     Code = "caller-gone"
	CodeStopping       Code = "stopping"
	CodeConflict       Code = "conflict"
	CodeInvalid        Code = "invalid"
	CodeNotReady       Code = "not-ready"
	CodePlatform       Code = "platform-unavailable"
)

// Error is a failed request together with its verdict.
type Error struct {
	Code    Code
	Verdict Verdict
	Message string
	// RetryAfter is when a retry may help; zero when it would not.
	RetryAfter time.Duration
	// Cause is the underlying error, if any. It is not sent to callers.
	Cause error
}

// Error implements the error interface.
func (err *Error) Error() string {
	msg := string(err.Code) + " (" + string(err.Verdict) + "): " + err.Message
	if err.Cause != nil {
		msg += ": " + err.Cause.Error()
	}
	return msg
}

// Unwrap returns the underlying error.
func (err *Error) Unwrap() error { return err.Cause }

// Of returns the verdict carried by err. An error that carries none is
// treated as MayHaveRun, the only safe assumption.
func Of(err error) Verdict {
	var ve *Error
	if errors.As(err, &ve) {
		return ve.Verdict
	}
	return MayHaveRun
}

// As returns err as an *Error, wrapping it as endpoint-failed with the
// verdict MayHaveRun when it is of another kind.
func As(err error) *Error {
	var ve *Error
	if errors.As(err, &ve) {
		return ve
	}
	return &Error{Code: CodeEndpointFailed, Verdict: MayHaveRun, Message: "the request failed", Cause: err}
}

var statuses = map[Code]int{
	CodeBadRequest:     http.StatusBadRequest,
	CodeUnauthorized:   http.StatusUnauthorized,
	CodeNoRoute:        http.StatusNotFound,
	CodeTooLarge:       http.StatusRequestEntityTooLarge,
	CodeOverloaded:     http.StatusTooManyRequests,
	CodeDeadline:       http.StatusGatewayTimeout,
	CodeNoGroup:        http.StatusServiceUnavailable,
	CodeNoClaim:        http.StatusServiceUnavailable,
	CodeDuplicate:      http.StatusConflict,
	CodeKeyReused:      http.StatusUnprocessableEntity,
	CodeEndpointFailed: http.StatusBadGateway,
	CodeBrokenAnswer:   http.StatusBadGateway,
	CodeForeignAnswer:  http.StatusBadGateway,
	CodeStopping:       http.StatusServiceUnavailable,
	CodeConflict:       http.StatusConflict,
	CodeInvalid:        http.StatusUnprocessableEntity,
	CodeNotReady:       http.StatusServiceUnavailable,
	CodePlatform:       http.StatusServiceUnavailable,
}

// Status returns the HTTP status that carries the error.
func (err *Error) Status() int {
	if status, ok := statuses[err.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
