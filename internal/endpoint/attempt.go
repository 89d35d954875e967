package endpoint

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// attempt tracks one HTTP request: whether any of it may have reached the endpoint.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	// connected is set once there is a connection to write to. Before that the
	// endpoint cannot have received the request.
	connected atomic.Bool
}

func newAttempt(ctx context.Context) *attempt {
	at := &attempt{}
	ctx, at.cancel = context.WithCancel(ctx)
	at.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { at.connected.Store(true) },
	})
	return at
}

// newError returns an error that wraps err, or the cause of the cancellation if there is one.
// Its verdict is NotRun if no connection was established and MayHaveRun otherwise.
func (at *attempt) newError(code verdict.Code, message string, err error) *verdict.Error {
	ve := &verdict.Error{Code: code, Verdict: verdict.MayHaveRun, Message: message, Cause: err}
	if !at.connected.Load() {
		ve.Verdict = verdict.NotRun
	}
	if cause := context.Cause(at.ctx); cause != nil {
		ve.Cause = cause
	}
	return ve
}

// checkHead returns an error if the head of a response is malformed. What it promises does not count then.
func checkHead(rsp *http.Response) error {
	if err := httphead.Check(rsp); err != nil {
		return &verdict.Error{Code: verdict.CodeBrokenAnswer, Verdict: verdict.MayHaveRun, Message: "the answer is malformed", Cause: err}
	}
	return nil
}

// refusalError returns the error for a response that states that the endpoint did not run the
// request, or nil for any other response.
func refusalError(rsp *http.Response) *verdict.Error {
	if rsp.Header.Get(HeaderVerdict) != string(verdict.NotRun) {
		return nil
	}
	code := verdict.CodeEndpointFailed
	if rsp.StatusCode == http.StatusTooManyRequests {
		code = verdict.CodeOverloaded
	}
	return &verdict.Error{Code: code, Verdict: verdict.NotRun, Message: "the endpoint refused the request", RetryAfter: time.Second}
}
