package front

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// maxResponseBytes bounds a response that is buffered before it is forwarded.
const maxResponseBytes = 8 << 20

// response is an endpoint's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
	notRun bool
}

// plainAttempt is an attempt of a request at one endpoint. Several attempts of a request may run at
// the same time, so they use only those parts of the call that don't change.
type plainAttempt struct {
	ca  *call
	ep  *dispatch.PlainEndpoint
	rq  *http1.Request
	log *slog.Logger
	// sent is when the attempt began.
	sent time.Time
	// cancel ends the attempt. It is set if other attempts may run at the same time.
	cancel context.CancelFunc
	// silent is set once the endpoint's silence was recorded.
	silent atomic.Bool
}

// plainEnd is the end of an attempt: a response or an *http1.Error.
type plainEnd struct {
	*plainAttempt
	response *response
	err      error
}

// newAttempt returns an attempt at an endpoint.
func (ca *call) newAttempt(ep *dispatch.PlainEndpoint, now time.Time) *plainAttempt {
	// Only idempotent requests reuse connections: an endpoint may close an idle connection
	// while a request is being sent, and whether it read the request is then unknown.
	return &plainAttempt{ca: ca, ep: ep, rq: ca.endpointRequest(ep.ID, !ca.route.Idempotent()), log: ca.log, sent: now}
}

// run sends the request to the endpoint and reads the response. It ends soon after ctx does.
func (at *plainAttempt) run(ctx context.Context) plainEnd {
	an, err := at.exchange(ctx)
	if err != nil {
		at.recordFailure(ctx, err)
		return plainEnd{at, nil, err}
	}
	now := at.ca.sv.Clock.Now()
	at.ca.sv.Plain.RecordResponse(at.ep, now.Sub(at.sent), an.status >= http.StatusInternalServerError, now)
	if an.status == http.StatusMisdirectedRequest {
		at.ca.sv.OnMisrouted()
	}
	at.log.Debug("front: endpoint responded.", "endpoint", at.ep.ID, "status", an.status, "not-run", an.notRun)
	return plainEnd{at, an, nil}
}

// exchange sends the request and reads the response. Its errors are *http1.Error.
func (at *plainAttempt) exchange(ctx context.Context) (*response, error) {
	sv := at.ca.sv
	ex, err := sv.Pool.Send(ctx, at.ep.Address, at.rq)
	if err == nil || http1.VerdictOf(err) != verdict.NotRun {
		sendCount.Inc()
	}
	if err != nil {
		return nil, err
	}
	defer ex.Close()
	sv.ApplyResponseHeader(at.ep.Instance(), ex.Response, at.sent)
	body, err := ex.ReadAll(maxResponseBytes)
	if err == nil {
		err = at.ca.checkUnframedEnd(ctx, ex, at.ep.ID, at.ep.Address)
	}
	if err != nil {
		return nil, &http1.Error{Verdict: verdict.MayHaveRun, Err: err}
	}
	return &response{ex.Response.StatusCode, ex.Response.Header, body, notRun(ex.Response)}, nil
}

// recordFailure records that the attempt has failed, unless it was canceled: that says nothing about
// the endpoint.
func (at *plainAttempt) recordFailure(ctx context.Context, err error) {
	sv := at.ca.sv
	if errors.Is(ctx.Err(), context.Canceled) || at.ca.req.Context().Err() != nil {
		sv.Plain.Release(at.ep)
		return
	}
	if ctx.Err() != nil && at.silent.Load() {
		sv.Plain.Release(at.ep) // The silence was recorded before.
	} else {
		sv.Plain.RecordFailure(at.ep, sv.Clock.Now())
	}
	at.ca.reportDisconnect(ctx, at.ep.ID, at.ep.Address, err, false) // Requests to plain endpoints have no parts.
	at.log.Info("front: attempt failed.", "endpoint", at.ep.ID, "cause", err.Error())
}

// recordSilence records that the endpoint has been silent for too long.
func (at *plainAttempt) recordSilence(now time.Time) {
	if at.silent.CompareAndSwap(false, true) {
		at.ca.sv.Plain.RecordSilence(at.ep, now)
	}
}
