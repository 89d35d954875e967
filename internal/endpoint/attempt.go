package endpoint

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// errStalled ends an attempt whose connection makes no progress.
var errStalled = errors.New("no progress")

// attempt watches one HTTP request: whether any of it may have reached the
// endpoint, and whether it still makes progress.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// left is set once a connection is there to write to. Before that the
	// endpoint cannot have seen the request.
	left  atomic.Bool
	timer *time.Timer
}

// newAttempt returns an attempt that is cancelled when progress is not called
// for stall. Silent connections look alive to the kernel for minutes; only
// the absence of progress shows them.
func newAttempt(ctx context.Context, stall time.Duration) *attempt {
	at := &attempt{}
	ctx, at.cancel = context.WithCancelCause(ctx)
	at.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { at.left.Store(true) },
	})
	if stall > 0 {
		at.timer = time.AfterFunc(stall, func() { at.cancel(errStalled) })
	}
	return at
}

func (at *attempt) progress(stall time.Duration) {
	if at.timer != nil {
		at.timer.Reset(stall)
	}
}

func (at *attempt) end() {
	if at.timer != nil {
		at.timer.Stop()
	}
	at.cancel(nil)
}

// fail returns err with the verdict that the attempt's progress allows.
func (at *attempt) fail(code verdict.Code, message string, err error) *verdict.Error {
	ve := &verdict.Error{Code: code, Verdict: verdict.MayHaveRun, Message: message, Cause: err}
	if !at.left.Load() {
		ve.Verdict = verdict.NotRun
	}
	if cause := context.Cause(at.ctx); cause != nil {
		ve.Cause = cause
	}
	return ve
}

// refusal returns the error for an answer by which the endpoint says that it
// did not run the request, or nil.
func refusal(rsp *http.Response) *verdict.Error {
	if rsp.Header.Get(HeaderVerdict) != string(verdict.NotRun) {
		return nil
	}
	code := verdict.CodeEndpointFailed
	if rsp.StatusCode == http.StatusTooManyRequests {
		code = verdict.CodeOverloaded
	}
	return &verdict.Error{Code: code, Verdict: verdict.NotRun, Message: "the endpoint refused the request", RetryAfter: time.Second}
}
