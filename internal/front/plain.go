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

// retryAfterBusy is the shortest retry delay when all endpoints are full. It is about three times
// the duration of a request.
const retryAfterBusy = 100 * time.Millisecond

// plainCall is a request whose response is read completely before any of it is forwarded. A
// failed attempt can then be retried or reported.
//
// Its fields belong to the goroutine of the request and, once an endpoint is silent, to that of the
// plainRace. Attempts don't use them.
type plainCall struct {
	*call
	tried []*dispatch.PlainEndpoint
	// maxSends is the largest number of sends, which counts attempts in progress.
	maxSends int
	// last is the last response that was read, refusals aside.
	last *response
	// err is the error of the last attempt, or nil if a response was read.
	err error
	// state is the verdict over all attempts.
	state verdict.Verdict
	// quarantinedFor is the remaining time of the request's quarantine; 0 if there is none.
	quarantinedFor time.Duration
	// budgetSpent is set once the retry budget has prevented an attempt.
	budgetSpent bool
	// stopped is set if the server stops too soon for another attempt.
	stopped bool
}

// plain handles a request on a route that is not streaming.
func (ca *call) plain() {
	ctx, release := ca.context()
	defer release()
	pc := &plainCall{call: ca, state: verdict.NotRun, maxSends: ca.route.MaxAttempts}
	for pc.maySend(ctx) {
		at := pc.next()
		if at == nil || pc.attempt(ctx, at) {
			break
		}
	}
	pc.finish()
}

// maySend reports whether the request may be sent to one more endpoint.
func (pc *plainCall) maySend(ctx context.Context) bool {
	if pc.sends >= pc.maxSends || ctx.Err() != nil {
		return false
	}
	if pc.stopped = !pc.canEnd(0); pc.stopped {
		return false
	}
	left, quarantined := pc.quarantined()
	pc.quarantinedFor = left
	return !quarantined
}

// next returns the next attempt, or nil if no endpoint is left or the retry budget is spent.
func (pc *plainCall) next() *plainAttempt {
	now := pc.sv.Clock.Now()
	// Pick counts a request against the endpoint's rate limit, so the budget comes first.
	if pc.sends > 0 && pc.sv.Budget.Remaining(pc.service, now) < 1 {
		pc.logBudgetSpent()
		return nil
	}
	ep := pc.sv.Plain.Pick(pc.service, pc.tried, now)
	if ep == nil {
		return nil
	}
	if pc.sends > 0 && !pc.sv.Budget.Spend(pc.service, now) {
		pc.sv.Plain.Release(ep)
		pc.logBudgetSpent()
		return nil
	}
	pc.tried = append(pc.tried, ep)
	pc.sends++
	return pc.newAttempt(ep, now)
}

// logBudgetSpent logs once that the request isn't sent again.
func (pc *plainCall) logBudgetSpent() {
	if !pc.budgetSpent {
		pc.log.Info("front: not sent again.", "reason", "retry-budget")
	}
	pc.budgetSpent = true
}

// attempt sends the request to an endpoint and reports whether that was the last attempt. If the
// endpoint is silent for too long, others are tried in the meantime.
func (pc *plainCall) attempt(ctx context.Context, at *plainAttempt) bool {
	limit := attemptObjectives * pc.route.Objective
	if !pc.route.Idempotent() || pc.sends >= pc.maxSends || limit <= 0 {
		return pc.record(at.run(ctx))
	}
	first, cancel := context.WithCancel(ctx)
	defer cancel()
	at.cancel = cancel
	races := make(chan *plainRace, 1)
	timer := time.AfterFunc(limit, func() {
		ra := newPlainRace(pc, at, limit)
		races <- ra
		ra.run(ctx)
	})
	end := at.run(first)
	if timer.Stop() {
		return pc.record(end)
	}
	ra := <-races
	ra.ends <- end
	<-ra.done
	return true
}

// record records how an attempt ended and reports whether its response is final.
func (pc *plainCall) record(end plainEnd) bool {
	pc.err = end.err
	if end.err != nil {
		if http1.VerdictOf(end.err) == verdict.NotRun {
			pc.sends--
			return false
		}
		pc.state = verdict.MayHaveRun
		return !pc.route.Idempotent()
	}
	an := end.response
	if an.notRun {
		return false
	}
	pc.keep(an)
	pc.state = verdict.Ran
	if an.status < http.StatusMultipleChoices {
		pc.reportCompletion(end.sent)
	}
	return an.status < http.StatusInternalServerError || !pc.route.Idempotent()
}

// keep replaces the last response.
func (pc *plainCall) keep(an *response) {
	if pc.last != nil {
		pc.hold.Add(-int64(len(pc.last.body)))
	}
	pc.hold.Add(int64(len(an.body)))
	pc.last = an
}

// finish forwards the last response, or else sends an error that states what is known.
func (pc *plainCall) finish() {
	switch {
	case pc.last != nil && (pc.err == nil || pc.route.Idempotent()):
		pc.writeResponse(pc.last)
	case pc.state == verdict.NotRun && (pc.stopped || pc.stop.IsCutOff()):
		pc.refuse(stopRefusal(pc.err))
	case pc.stop.IsCutOff():
		pc.refuse(refusal{status: http.StatusGatewayTimeout, reason: reasonStopping, cause: pc.err})
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
	ca.closeIfStopping()
	if an.status < http.StatusMultipleChoices || an.status == http.StatusGatewayTimeout {
		ca.recordDuration()
	}
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
	attrs := []any{"outcome", "passed", "status", an.status, "sends", ca.sends, "ms", ca.sv.Clock.Now().Sub(ca.arrived).Milliseconds()}
	if ended := ca.hold.Ended(); ended != "" {
		attrs = append(attrs, "connection", ended)
	}
	ca.log.Info("front: answered.", attrs...)
	ca.count("passed-" + strconv.Itoa(an.status/100) + "xx")
}
