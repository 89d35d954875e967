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
	// maxAnswer bounds an answer that is read whole before it is passed on.
	maxAnswer = 8 << 20
	// tryObjectives is how many times its objective an idempotent request
	// waits for one endpoint before another is asked.
	tryObjectives = 2
	// againBusy is when endpoints that are full should have room: some three
	// times the work of a request.
	againBusy = 100 * time.Millisecond
)

// answer is an endpoint's answer, read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	notRun bool
}

// plainCall is a request whose answer is read whole before any of it is passed
// on, so that a broken one can be asked for again or be told apart.
type plainCall struct {
	*call
	tried []*dispatch.PlainEndpoint
	// last is the last answer that was read, unless an attempt failed since.
	last *answer
	err  error
	// state is what is known of the request over all attempts.
	state verdict.Verdict
	// heldFor is for how long the request is quarantined; 0 when it is not.
	heldFor time.Duration
}

// plain handles a request on a route that is not streaming.
func (ca *call) plain() {
	ctx, cancel := context.WithDeadline(ca.req.Context(), ca.deadline)
	defer cancel()
	pc := &plainCall{call: ca, state: verdict.NotRun}
	for ca.sends < ca.route.MaxAttempts && ctx.Err() == nil {
		if left, held := ca.quarantined(); held {
			pc.heldFor = left
			break
		}
		ep := pc.next()
		if ep == nil || pc.take(ca.try(ctx, ep)) {
			break
		}
	}
	pc.finish()
}

// next returns the endpoint to send to, or nil if there is none left or the
// budget for repeats is used up.
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

// take notes what came of an attempt and tells whether it was the last one.
func (pc *plainCall) take(an *answer, err error) bool {
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
		pc.outlived()
	}
	return an.status < http.StatusInternalServerError || !pc.route.Idempotent()
}

// try sends the request to one endpoint.
func (ca *call) try(ctx context.Context, ep *dispatch.PlainEndpoint) (*answer, error) {
	if ca.route.Idempotent() && ca.sends+1 < ca.route.MaxAttempts && ca.route.Objective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tryObjectives*ca.route.Objective)
		defer cancel()
	}
	begin := ca.sv.Clock.Now()
	// Reuse of connections is left to what may be repeated: an endpoint may
	// close an idle connection just as a request is on its way, and whether it
	// has read it is then unknown.
	ex, err := ca.sv.Pool.Send(ctx, ep.Address, ca.outgoing(ep.ID, !ca.route.Idempotent()))
	if http1.VerdictOf(err) != verdict.NotRun || err == nil {
		ca.sends++
		sendCount.Inc()
	}
	if err != nil {
		ca.tryFailed(ctx, ep, err)
		return nil, err
	}
	defer ex.Close()
	ca.sv.ApplyResponseHeader(ep.Instance(), ex.Response, begin)
	body, err := ex.ReadAll(maxAnswer)
	if err != nil {
		err = &http1.Error{Verdict: verdict.MayHaveRun, Err: err}
		ca.tryFailed(ctx, ep, err)
		return nil, err
	}
	an := &answer{ex.Response.StatusCode, ex.Response.Header, body, notRun(ex.Response)}
	now := ca.sv.Clock.Now()
	ca.sv.Plain.RecordResponse(ep, now.Sub(begin), an.status >= http.StatusInternalServerError, now)
	if an.status == http.StatusMisdirectedRequest {
		ca.sv.OnMisrouted()
	}
	ca.log.Debug("front: tried.", "endpoint", ep.ID, "status", an.status, "not-run", an.notRun)
	return an, nil
}

func (ca *call) tryFailed(ctx context.Context, ep *dispatch.PlainEndpoint, err error) {
	if ca.req.Context().Err() != nil {
		ca.sv.Plain.Release(ep)
		return
	}
	ca.sv.Plain.RecordFailure(ep, ca.sv.Clock.Now())
	ca.brokenOff(ctx, ep.ID, ep.Address, err)
	ca.log.Info("front: attempt failed.", "endpoint", ep.ID, "cause", err.Error())
}

// finish gives the caller the last answer, or says what is known.
func (pc *plainCall) finish() {
	switch {
	case pc.last != nil && !pc.last.notRun && (pc.err == nil || pc.route.Idempotent()):
		pc.pass(pc.last)
	case pc.state == verdict.NotRun && pc.heldFor > 0:
		pc.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, again: pc.heldFor})
	case pc.state == verdict.NotRun && len(pc.tried) == 0:
		pc.refuse(pc.noEndpoint())
	case pc.state == verdict.NotRun:
		again := max(againBusy, pc.sv.Plain.WaitTime(pc.service, pc.sv.Clock.Now()))
		pc.refuse(refusal{status: http.StatusServiceUnavailable, reason: "endpoints-refused", again: again, cause: pc.err})
	case pc.left() <= 0:
		pc.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout", cause: pc.err})
	default:
		pc.refuse(refusal{status: http.StatusBadGateway, reason: "answer-lost", cause: pc.err})
	}
}

// noEndpoint is the refusal of a request that no endpoint takes.
func (pc *plainCall) noEndpoint() refusal {
	re := refusal{status: http.StatusServiceUnavailable, reason: "no-endpoint", again: againNoEndpoint}
	if again := pc.sv.Plain.WaitTime(pc.service, pc.sv.Clock.Now()); again > 0 {
		re.reason, re.again = reasonClosed, again
	}
	return re
}

// reasonClosed is that of a refusal because all endpoints said that they take no more for now.
const reasonClosed = "endpoints-closed"

// againNoEndpoint is when an endpoint may have registered.
const againNoEndpoint = time.Second

// pass gives the caller an endpoint's answer unchanged.
func (ca *call) pass(an *answer) {
	header := ca.w.Header()
	keep := slices.Clone(header["Connection"])
	copyHeaders(header, an.header)
	if keep != nil {
		header["Connection"] = keep
	}
	if ca.req.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(an.body)))
	}
	ca.w.WriteHeader(an.status)
	if _, err := ca.w.Write(an.body); err != nil {
		ca.log.Debug("front: caller left before the answer.", "cause", err.Error())
	}
	ca.log.Info("front: answered.", "outcome", "passed", "status", an.status, "sends", ca.sends,
		"ms", ca.sv.Clock.Now().Sub(ca.arrived).Milliseconds())
	ca.count("passed-" + strconv.Itoa(an.status/100) + "xx")
}
