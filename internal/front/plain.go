package front

import (
	"context"
	"errors"
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

// plain handles a request whose answer is read whole before any of it is
// passed on, so that a broken one can be asked for again or be told apart.
func (ca *call) plain() {
	ctx, cancel := context.WithDeadline(ca.req.Context(), ca.deadline)
	defer cancel()
	var tried []*dispatch.PlainEndpoint
	var last *answer
	var lastErr error
	state := verdict.NotRun
	for ca.sends < ca.route.MaxAttempts && ctx.Err() == nil {
		ep := ca.sv.Plain.Pick(ca.service, tried, ca.sv.Clock.Now())
		if ep == nil {
			break
		}
		if ca.sends > 0 && !ca.sv.Budget.Spend(ca.service, ca.sv.Clock.Now()) {
			ca.sv.Plain.Dropped(ep)
			ca.log.Info("front: not sent again.", "reason", "retry-budget")
			break
		}
		tried = append(tried, ep)
		an, err := ca.try(ctx, ep)
		if err != nil {
			lastErr = err
			if verdictOf(err) == verdict.NotRun {
				continue
			}
			state = verdict.MayHaveRun
			if !ca.route.Idempotent() {
				break
			}
			continue
		}
		last, lastErr = an, nil
		if an.notRun {
			continue
		}
		state = verdict.Ran
		if an.status < http.StatusInternalServerError || !ca.route.Idempotent() {
			break
		}
	}
	ca.finishPlain(last, lastErr, state, len(tried))
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
	if verdictOf(err) != verdict.NotRun || err == nil {
		ca.sends++
		sendCount.Inc()
	}
	if err != nil {
		ca.tryFailed(ep, err)
		return nil, err
	}
	defer ex.Close()
	body, err := ex.ReadAll(maxAnswer)
	if err != nil {
		err = &http1.Error{Verdict: verdict.MayHaveRun, Err: err}
		ca.tryFailed(ep, err)
		return nil, err
	}
	an := &answer{ex.Response.StatusCode, ex.Response.Header, body, notRun(ex.Response)}
	ca.sv.Plain.Answered(ep, ca.sv.Clock.Now().Sub(begin), an.status >= http.StatusInternalServerError)
	if an.status == http.StatusMisdirectedRequest {
		ca.sv.OnWrong()
	}
	ca.log.Debug("front: tried.", "endpoint", ep.ID, "status", an.status, "not-run", an.notRun)
	return an, nil
}

func (ca *call) tryFailed(ep *dispatch.PlainEndpoint, err error) {
	if ca.req.Context().Err() != nil {
		ca.sv.Plain.Dropped(ep)
		return
	}
	ca.sv.Plain.Failed(ep, ca.sv.Clock.Now())
	ca.log.Info("front: attempt failed.", "endpoint", ep.ID, "cause", err.Error())
}

// verdictOf says whether the request may have run after a failed attempt.
func verdictOf(err error) verdict.Verdict {
	var he *http1.Error
	if errors.As(err, &he) {
		return he.Verdict
	}
	return verdict.MayHaveRun
}

// finishPlain gives the caller the last answer, or says what is known.
func (ca *call) finishPlain(last *answer, err error, state verdict.Verdict, tried int) {
	switch {
	case last != nil && !last.notRun && (err == nil || ca.route.Idempotent()):
		ca.pass(last)
	case state == verdict.NotRun && tried == 0:
		ca.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no-endpoint", again: againNoEndpoint})
	case state == verdict.NotRun:
		ca.refuse(refusal{status: http.StatusServiceUnavailable, reason: "endpoints-refused", again: againBusy, cause: err})
	case ca.left() <= 0:
		ca.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout", cause: err})
	default:
		ca.refuse(refusal{status: http.StatusBadGateway, reason: "answer-lost", cause: err})
	}
}

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
