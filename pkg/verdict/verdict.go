// Package verdict defines the errors of failed requests. Each carries a verdict that
// says whether an endpoint may have executed the request, and the verdict decides
// whether the request may be sent again.
package verdict

import (
	"errors"
	"net/http"
	"time"
)

// Verdict says whether a request has been executed by an endpoint, as far as known.
type Verdict string

const (
	// NotRun means no endpoint has executed or will execute the request.
	NotRun Verdict = "not-run"
	// MayHaveRun means an endpoint may have executed the request or may still do so.
	MayHaveRun Verdict = "may-have-run"
	// Ran means an endpoint has executed the request.
	Ran Verdict = "ran"
)

// Code is the machine-readable reason of an error. Codes are stable.
type Code string

// Codes in the errors that callers and operators receive.
const (
	// CodeBadRequest means that the request is malformed, or the engine rejected it.
	CodeBadRequest Code = "bad-request"
	// CodeUnauthorized means that the workspace key or operator token is unknown.
	CodeUnauthorized Code = "unauthorized"
	// CodeNoRoute means that no endpoint, model or record of a request matches.
	CodeNoRoute Code = "no-route"
	// CodeTooLarge means that the request body exceeds the limit or could not be read or, with
	// the verdict Ran, that the response exceeds the client's limit.
	CodeTooLarge Code = "too-large"
	// CodeOverloaded means that a daemon or endpoint refused the request because of its
	// load.
	CodeOverloaded Code = "overloaded"
	// CodeDeadline means that the request did not start before its deadline.
	CodeDeadline Code = "deadline"
	// CodeNoGroup means that no group or endpoint address can be sent the request now.
	CodeNoGroup Code = "no-group"
	// CodeNoClaim means that the idempotency key could not be claimed at the platform.
	CodeNoClaim Code = "no-claim"
	// CodeDuplicate means that a request with this idempotency key was sent before and
	// that no response to it can be returned now.
	CodeDuplicate Code = "duplicate"
	// CodeKeyReused means that the idempotency key was used for a different request.
	CodeKeyReused Code = "key-reused"
	// CodeEndpointFailed means that the endpoint or daemon failed, did not answer or
	// refused the request.
	CodeEndpointFailed Code = "endpoint-failed"
	// CodeBrokenAnswer means that the response is incomplete or malformed.
	CodeBrokenAnswer Code = "broken-answer"
	// CodeForeignAnswer means that the response belongs to another request.
	CodeForeignAnswer Code = "foreign-answer"
	// CodeCallerGone means that the caller disconnected before it had received the
	// complete response.
	CodeCallerGone Code = "caller-gone"
	// CodeStopping means that the daemon is stopping.
	CodeStopping Code = "stopping"
	// CodeConflict means that another operator's change came first.
	CodeConflict Code = "conflict"
	// CodeInvalid means that the declarations have problems.
	CodeInvalid Code = "invalid"
	// CodeNotReady means that the daemon has no configuration yet, or that no daemon
	// answered.
	CodeNotReady Code = "not-ready"
	// CodeQuarantined means that engines have crashed on the request, or on a part of its prompt.
	CodeQuarantined Code = "quarantined"
	// CodePlatform means that the platform's key-value service did not answer.
	CodePlatform Code = "platform-unavailable"
)

// Error is the error of a failed request.
type Error struct {
	Code    Code
	Verdict Verdict
	Message string
	// RetryAfter is the time to wait before a retry; zero if none is recommended.
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

// Of returns the verdict carried by err. For an error without one it returns
// MayHaveRun, the only safe assumption.
func Of(err error) Verdict {
	var ve *Error
	if errors.As(err, &ve) {
		return ve.Verdict
	}
	return MayHaveRun
}

// As returns the *Error in err's chain. An error without one is wrapped with the code
// endpoint-failed and the verdict MayHaveRun.
func As(err error) *Error {
	var ve *Error
	if errors.As(err, &ve) {
		return ve
	}
	return &Error{Code: CodeEndpointFailed, Verdict: MayHaveRun, Message: "the request failed", Cause: err}
}

// statuses holds the HTTP status of each code that is sent in a response.
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
	CodeQuarantined:    http.StatusServiceUnavailable,
}

// Status returns the HTTP status of a response with the error: 500 for a code that has
// no status of its own.
func (err *Error) Status() int {
	if status, ok := statuses[err.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
