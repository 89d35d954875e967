package caller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	defaultCallTimeout = 30 * time.Second
	// maxCallAttempts is the maximum number of attempts for one call.
	maxCallAttempts = 3
)

// errCallTimeout is the cancellation cause of a call that has reached its endpoint's timeout.
var errCallTimeout = errors.New("no complete response within the endpoint's timeout")

// call is one call to a plain service. If no response has come within the endpoint's timeout, another
// attempt is started beside the first, and the first complete response is returned. Only one
// goroutine uses a call.
type call struct {
	se      *Server
	ex      *exchange
	en      intent.Endpoint
	guard   atMostOnce
	silence *silenceWatch
	results chan callResult
	ended   sync.WaitGroup
	// tried are the addresses that the call was sent to, open those that have not responded.
	tried []string
	open  []string
	// mayHaveRun is true if an attempt has failed that may have run.
	mayHaveRun bool
	// stopped is true if no further attempt may be started.
	stopped bool
}

// callResult is the result of an attempt.
type callResult struct {
	addr string
	rsp  endpoint.Response
	err  error
}

// call makes attempts until one succeeds or no further attempt is allowed.
func (se *Server) call(ctx context.Context, ex *exchange, en intent.Endpoint, on atMostOnce) (endpoint.Response, error) {
	se.budget.Earn()
	ca := &call{se: se, ex: ex, en: en, guard: on, silence: newSilenceWatch(se.Clock, callTimeout(en)),
		results: make(chan callResult, maxCallAttempts)}
	ctx, cancel := context.WithCancelCause(ctx)
	defer ca.ended.Wait()
	defer cancel(nil)
	ca.ended.Go(func() { ca.silence.run(ctx) })
	addr := se.picker.pick(en, nil, se.Clock.Now())
	if addr == "" {
		return endpoint.Response{}, &verdict.Error{Code: verdict.CodeNoGroup, Verdict: verdict.NotRun,
			RetryAfter: time.Second, Message: "no address of the endpoint is in use"}
	}
	ca.start(ctx, addr)
	for {
		select {
		case res := <-ca.results:
			if res.err == nil {
				ca.explain(res.addr, "answered")
				return res.rsp, nil
			}
			if err := ca.onFailure(ctx, res); err != nil {
				return endpoint.Response{}, err
			}
		case <-ca.silence.signals:
			if !ca.onSilence(ctx) {
				cancel(errCallTimeout)
			}
		}
	}
}

// callTimeout returns how long an attempt at an endpoint may be silent.
func callTimeout(en intent.Endpoint) time.Duration {
	if timeout := time.Duration(en.Timeout); timeout > 0 {
		return timeout
	}
	return defaultCallTimeout
}

func (ca *call) explain(addr, reason string) {
	ca.ex.record.addAttempt(admin.Attempt{At: ca.se.Clock.Now(), Target: addr, Reason: reason})
}

// start sends the call to an address.
func (ca *call) start(ctx context.Context, addr string) {
	ca.tried = append(ca.tried, addr)
	ca.open = append(ca.open, addr)
	ca.silence.reset()
	rq := endpoint.Call{
		RequestID:  ca.ex.id,
		Address:    addr,
		Method:     ca.ex.req.Method,
		Path:       ca.ex.req.URL.RequestURI(),
		Header:     forwardedHeader(ca.ex),
		Body:       ca.ex.body,
		AtMostOnce: ca.guard.required,
	}
	ca.ended.Go(func() {
		rsp, err := ca.se.Services.Do(ctx, rq)
		ca.results <- callResult{addr, rsp, err}
	})
}

// onFailure handles a failed attempt. It returns the error of the call if no attempt is left.
func (ca *call) onFailure(ctx context.Context, res callResult) error {
	ca.explain(res.addr, res.err.Error())
	ca.se.picker.markFailed(res.addr, ca.se.Clock.Now())
	ca.open = slices.DeleteFunc(ca.open, func(addr string) bool { return addr == res.addr })
	ve := verdict.As(res.err)
	ca.mayHaveRun = ca.mayHaveRun || ve.Verdict != verdict.NotRun
	ca.stopped = ca.stopped || !ca.guard.mayRetry(ve, idempotent(ca.ex.req.Method))
	if addr := ca.pickNext(ctx); addr != "" {
		ca.start(ctx, addr)
		return nil
	}
	if len(ca.open) > 0 {
		return nil
	}
	if ca.mayHaveRun {
		ve.Verdict = verdict.MayHaveRun
	}
	return ve
}

// onSilence handles that no attempt has ended within the endpoint's timeout. It reports whether the
// call goes on: another attempt was started beside those that are silent.
func (ca *call) onSilence(ctx context.Context) bool {
	if len(ca.open) == 0 || ca.stopped || ca.silence.remaining() > 0 {
		return true
	}
	silent := strings.Join(ca.open, " ")
	for _, addr := range ca.open {
		ca.se.picker.markFailed(addr, ca.se.Clock.Now())
	}
	addr := ""
	if ca.guard.mayRetry(errSilent(), idempotent(ca.ex.req.Method)) {
		addr = ca.pickNext(ctx)
	}
	ca.se.Log.Info("caller: call timed out.", "request", ca.ex.id, "endpoint", ca.en.Name, "silent", silent, "next", addr,
		"attempts", len(ca.tried))
	if addr == "" {
		ca.stopped = true
		return false
	}
	ca.explain(addr, "called, since "+silent+" is silent")
	ca.start(ctx, addr)
	return true
}

// pickNext returns an address that a further attempt may be sent to, or "".
func (ca *call) pickNext(ctx context.Context) string {
	if ca.stopped || ctx.Err() != nil || len(ca.tried) >= maxCallAttempts || !ca.se.canEnd(ca.ex) {
		return ""
	}
	addr := ca.se.picker.pick(ca.en, ca.tried, ca.se.Clock.Now())
	if addr == "" || !ca.se.budget.Spend() {
		return ""
	}
	return addr
}
