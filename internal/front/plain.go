package front

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// maxResponseBytes bounds a response that is buffered before it is forwarded.
	maxResponseBytes = 8 << 20
	// attemptObjectives is the timeout of one attempt of an idempotent request, as a
	// multiple of the route's objective. Another endpoint is tried after it.
	attemptObjectives = 2
	// retryAfterBusy is the shortest retry delay when all endpoints are full. It is
	// about three times the duration of a request.
	retryAfterBusy = 100 * time.Millisecond
)

// response is an endpoint's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
	notRun bool
}

// plainCall is a request whose response is read completely before any of it is forwarded. A
// failed attempt can then be retried or reported.
type plainCall struct {
	*call
	tried []*dispatch.PlainEndpoint
	// last is the last response that was read.
	last *response
	// err is the error of the last attempt, or nil if a response was read.
	err error
	// state is the verdict over all attempts.
	state verdict.Verdict
	// quarantinedFor is the remaining time of the request's quarantine; 0 if there is none.
	quarantinedFor time.Duration
}

// plain handles a request on a route that is not streaming.
func (ca *call) plain() {
	ctx, cancel := context.WithDeadline(ca.req.Context(), ca.deadline)
	defer cancel()
	pc := &plainCall{call: ca, state: verdict.NotRun}
	for ca.sends < ca.route.MaxAttempts && ctx.Err() == nil {
		if left, quarantined := ca.quarantined(); quarantined {
			pc.quarantinedFor = left
			break
		}
		ep := pc.next()
		if ep == nil || pc.attempt(ctx, ep) {
			break
		}
	}
	pc.finish()
}

// next returns the endpoint to send to, or nil if none is left or the retry budget is spent.
func (pc *plainCall) next() *dispatch.PlainEndpoint {
	now := pc.sv.Clock.Now()
	ep := pc.sv.Plain.Pick(pc.service, pc.tried, now)
	if ep == nil {
		return nil
	}
	if pc.sends > 0 && !pc.sv.Budget.Spend(pc.service, now) {
		pc.sv.Plain.Release(ep)
		pc.log.Info("front: not sent again.", "reason", "retry-budget")
		return nil
	}
	pc.tried = append(pc.tried, ep)
	return ep
}

// attempt sends the request to an endpoint and reports whether that was the last attempt.
func (pc *plainCall) attempt(ctx context.Context, ep *dispatch.PlainEndpoint) bool {
	sent := pc.sv.Clock.Now()
	an, err := pc.attemptPlain(ctx, ep)
	pc.err = err
	if err != nil {
		if http1.VerdictOf(err) == verdict.NotRun {
			return false
		}
		pc.state = verdict.MayHaveRun
		return !pc.route.Idempotent()
	}
	pc.last = an
	if an.notRun {
		return false
	}
	pc.state = verdict.Ran
	if an.status < http.StatusMultipleChoices {
		pc.reportCompletion(sent)
	}
	return an.status < http.StatusInternalServerError || !pc.route.Idempotent()
}

// attemptPlain sends the request to one endpoint and reads the response. Its errors are
// *http1.Error.
func (ca *call) attemptPlain(ctx context.Context, ep *dispatch.PlainEndpoint) (*response, error) {
	if ca.route.Idempotent() && ca.sends+1 < ca.route.MaxAttempts && ca.route.Objective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptObjectives*ca.route.Objective)
		defer cancel()
	}
	begin := ca.sv.Clock.Now()
	// Only idempotent requests reuse connections: an endpoint may close an idle connection
	// while a request is being sent, and whether it read the request is then unknown.
	ex, err := ca.sv.Pool.Send(ctx, ep.Address, ca.endpointRequest(ep.ID, !ca.route.Idempotent()))
	if http1.VerdictOf(err) != verdict.NotRun || err == nil {
		ca.sends++
		sendCount.Inc()
	}
	if err != nil {
		ca.plainAttemptFailed(ctx, ep, err)
		return nil, err
	}
	defer ex.Close()
	ca.sv.ApplyResponseHeader(ep.Instance(), ex.Response, begin)
	body, err := ex.ReadAll(maxResponseBytes)
	if err == nil {
		err = ca.checkUnframedEnd(ctx, ex, ep.ID, ep.Address)
	}
	if err != nil {
		err = &http1.Error{Verdict: verdict.MayHaveRun, Err: err}
		ca.plainAttemptFailed(ctx, ep, err)
		return nil, err
	}
	ca.hold.add(int64(len(body)))
	an := &response{ex.Response.StatusCode, ex.Response.Header, body, notRun(ex.Response)}
	now := ca.sv.Clock.Now()
	ca.sv.Plain.RecordResponse(ep, now.Sub(begin), an.status >= http.StatusInternalServerError, now)
	if an.status == http.StatusMisdirectedRequest {
		ca.sv.OnMisrouted()
	}
	ca.log.Debug("front: endpoint responded.", "endpoint", ep.ID, "status", an.status, "not-run", an.notRun)
	return an, nil
}

func (ca *call) plainAttemptFailed(ctx context.Context, ep *dispatch.PlainEndpoint, err error) {
	if ca.req.Context().Err() != nil {
		ca.sv.Plain.Release(ep)
		return
	}
	ca.sv.Plain.RecordFailure(ep, ca.sv.Clock.Now())
	ca.reportDisconnect(ctx, ep.ID, ep.Address, err, false) // Requests to plain endpoints have no parts.
	ca.log.Info("front: attempt failed.", "endpoint", ep.ID, "cause", err.Error())
}

// finish forwards the last response, or else sends an error that states what is known.
func (pc *plainCall) finish() {
	switch {
	case pc.last != nil && !pc.last.notRun && (pc.err == nil || pc.route.Idempotent()):
		pc.writeResponse(pc.last)
	case pc.state == verdict.NotRun && pc.quarantinedFor > 0:
		pc.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: pc.quarantinedFor})
	case pc.state == verdict.NotRun && len(pc.tried) == 0:
		pc.refuse(pc.noEndpoint())
	case pc.state == verdict.NotRun:
		retryAfter := max(retryAfterBusy, pc.sv.Plain.WaitTime(pc.service, pc.sv.Clock.Now()))
		pc.refuse(refusal{status: http.StatusServiceUnavailable, reason: "endpoints-refused", retryAfter: retryAfter, cause: pc.err})
	case pc.remaining() <= 0:
		pc.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout", cause: pc.err})
	default:
		pc.refuse(refusal{status: http.StatusBadGateway, reason: "answer-lost", cause: pc.err})
	}
}

// noEndpoint returns the refusal of a request for which no endpoint is available.
func (pc *plainCall) noEndpoint() refusal {
	re := refusal{status: http.StatusServiceUnavailable, reason: "no-endpoint", retryAfter: retryAfterNoEndpoint}
	if retryAfter := pc.sv.Plain.WaitTime(pc.service, pc.sv.Clock.Now()); retryAfter > 0 {
		re.reason, re.retryAfter = reasonClosed, retryAfter
	}
	return re
}

// reasonClosed is the reason of a refusal when no endpoint accepts requests for now, because of
// back-off or rate limits.
const reasonClosed = "endpoints-closed"

// retryAfterNoEndpoint allows time for an endpoint to register.
const retryAfterNoEndpoint = time.Second

// writeChunkBytes is how many bytes of a response a caller has to read within writeTimeout.
const writeChunkBytes = 64 << 10

// writeBody writes a response body. It fails if the caller stops reading: the body would
// otherwise be held for as long as the caller keeps the connection.
func writeBody(w http.ResponseWriter, body []byte) error {
	rc := http.NewResponseController(w)
	for chunk := range slices.Chunk(body, writeChunkBytes) {
		_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// writeResponse forwards an endpoint's response unchanged.
func (ca *call) writeResponse(an *response) {
	header := ca.w.Header()
	connection := slices.Clone(header["Connection"])
	copyHeaders(header, an.header)
	if connection != nil {
		header["Connection"] = connection
	}
	if ca.req.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(an.body)))
	}
	ca.w.WriteHeader(an.status)
	if err := writeBody(ca.w, an.body); err != nil {
		ca.log.Debug("front: caller disconnected before the response was sent.", "cause", err.Error())
	}
	ca.log.Info("front: answered.", "outcome", "passed", "status", an.status, "sends", ca.sends,
		"ms", ca.sv.Clock.Now().Sub(ca.arrived).Milliseconds())
	ca.count("passed-" + strconv.Itoa(an.status/100) + "xx")
}
