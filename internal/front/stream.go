package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/stop"
	"corianderhub.dev/corianderhub/pkg/verdict"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// callerDelay is the part of the objective that is lost on the network between caller
	// and daemon and by forwarding events late.
	callerDelay = 12 * time.Millisecond
	// resumePollInterval is the time between two attempts to find a group that can resume a
	// stream, and resumeTimeout bounds the search. Callers abort a stream after a gap of 2 s.
	resumePollInterval = 25 * time.Millisecond
	resumeTimeout      = 1500 * time.Millisecond
	// maxLateWait is the longest predicted wait for a first event that misses its objective.
	maxLateWait = 1500 * time.Millisecond
	// latePollInterval is the time between two attempts to find a group for a late request
	// after its delay.
	latePollInterval = 100 * time.Millisecond
	// writeTimeout bounds a write to a caller that doesn't read.
	writeTimeout = 5 * time.Second
)

// stream is a request whose response is an event stream.
type stream struct {
	*call
	model string
	// prompt is the number of prompt tokens, 0 if unknown. tried are the groups tried so far.
	prompt int64
	tried  []*dispatch.Group
	progress
	// refusals counts the sends that a group refused without running the request.
	refusals int
	// choice is the last chosen group with its prediction.
	choice dispatch.Choice
	// refusedBy is the choice that named no group; nil if there is none.
	refusedBy *dispatch.Choice
	// state is the verdict over all attempts.
	state verdict.Verdict
	// final is a response without events, to be forwarded unchanged.
	final *response
	// cause is the error of the last failed attempt. crashed is set if its endpoint has crashed and
	// the next one might, too.
	cause   error
	crashed bool
}

// progress is what the caller of a stream has received.
type progress struct {
	// started is set once the response header was sent to the caller.
	started bool
	// numEvents counts the forwarded events, and lastID is the ID of the last one.
	numEvents int
	lastID    int64
	hasID     bool
	lastAt    time.Time
	// firstEvent is the time from the request to its first event, maxPause the longest time
	// between two events.
	firstEvent, maxPause time.Duration
}

// copy returns an independent copy of the stream's state.
func (st *stream) copy() *stream {
	ca, cp := *st.call, *st
	cp.call, cp.tried = &ca, slices.Clone(st.tried)
	return &cp
}

// addRetries counts the sends of standbys.
func (st *stream) addRetries(re retries) {
	st.sends += re.sends
	st.refusals += re.refusals
	st.tried = append(st.tried, re.tried...)
	if re.sends > re.refusals && st.state == verdict.NotRun {
		st.state = verdict.MayHaveRun
	}
	if st.final == nil {
		st.final = re.final
	}
	st.crashed = st.crashed || re.crashed
}

// stream handles a request on a streaming route.
func (ca *call) stream() {
	st := &stream{call: ca, model: ca.req.Header.Get(platform.HeaderModel), state: verdict.NotRun}
	st.prompt = promptTokens(ca.req.Header.Get(platform.HeaderTokens))
	ctx, release := ca.context()
	defer release()
	for {
		ch, done := st.attempt(ctx)
		if done {
			return
		}
		if !st.mayRetry(ctx) {
			st.endUnretried(ctx, ch)
			return
		}
	}
}

// promptTokens returns the number of prompt tokens, the first number of the header with the
// token counts. It returns 0 if that is missing or invalid.
func promptTokens(counts string) int64 {
	first, _, _ := strings.Cut(counts, ",")
	num, err := strconv.ParseInt(strings.TrimSpace(first), 10, 64)
	if err != nil || num < 0 {
		return 0
	}
	return min(num, maxPromptTokens)
}

// maxPromptTokens bounds the tokens that a prompt counts, so that the prediction of its time doesn't
// overflow. No engine has memory for as many.
const maxPromptTokens = 1 << 32

// attempt sends the request to one group and forwards its events. It reports whether the request
// is finished.
func (st *stream) attempt(ctx context.Context) (dispatch.Choice, bool) {
	if st.endIfQuarantined() || st.endIfStopping() {
		return dispatch.Choice{}, true
	}
	at := newAttempt(ctx, st)
	defer func() { at.close() }()
	st.pick(at)
	if at.ticket == nil {
		st.abortIfCallerGone()
		if st.stop.IsCutOff() {
			st.end(reasonStopping, retryAfterStopping)
			return at.choice, true
		}
		st.endNoGroup(at.choice)
		return at.choice, true
	}
	if st.endIfQuarantined() || st.endIfStopping() {
		return at.choice, true
	}
	if st.sends > 0 && !st.sv.Budget.Spend(st.service, st.sv.Clock.Now()) {
		st.log.Info("front: not sent again.", "reason", "retry-budget")
		st.endUnretried(ctx, at.choice)
		return at.choice, true
	}
	st.choice = at.choice
	st.tried = append(st.tried, at.choice.Group)
	if at.stalledBeforeSend() && len(st.tried) < maxGroupsTried {
		return at.choice, false
	}
	st.log.Debug("front: sent.", "group", at.choice.Group.Name, "predicted-ms", at.choice.FirstEvent.Milliseconds(), "fits", at.choice.MeetsObjective)
	var event []byte
	var err error
	at, event, err = at.begin()
	if err == nil || err == io.EOF {
		at, err = st.relay(at, event, err)
	}
	switch {
	case err == nil:
		at.ticket.EndAt(st.sv.Clock.Now())
		st.finish(at.sent)
		return at.choice, true
	case st.isFinal(err):
		st.call.writeResponse(st.final)
		return at.choice, true
	}
	return at.choice, false
}

// endIfQuarantined ends the request if it is quarantined, and reports whether it did. The
// quarantine may begin while the request waits for a group.
func (st *stream) endIfQuarantined() bool {
	left, quarantined := st.quarantined()
	if quarantined {
		st.end(reasonQuarantined, left)
	}
	return quarantined
}

// endIfStopping ends the request if the server stops before another attempt can be expected to end,
// and reports whether it did.
func (st *stream) endIfStopping() bool {
	if st.canEnd(st.done()) {
		return false
	}
	st.end(reasonStopping, retryAfterStopping)
	return true
}

// done returns the time that another attempt needn't repeat.
func (st *stream) done() time.Duration {
	if !st.started {
		return 0
	}
	return st.sv.Clock.Now().Sub(st.complete)
}

// groupRequest returns the request to a group. For a resumed stream it asks only for the events
// that the caller has not received.
func (st *stream) groupRequest(endpoint string) *http1.Request {
	rq := st.endpointRequest(endpoint, !st.route.Idempotent())
	if st.hasID {
		rq.Header.Set(platform.HeaderLastEventID, strconv.FormatInt(st.lastID, 10))
	}
	return rq
}

// pick chooses a group for the attempt. It waits for one if the stream is to be resumed, or if the
// request is late and was delayed.
func (st *stream) pick(at *attempt) {
	interval, until := resumePollInterval, st.sv.Clock.Now().Add(resumeTimeout)
	if !st.started {
		interval, until = latePollInterval, st.delayLate(at.ctx)
	}
	for repeated := false; ; repeated = true {
		now := st.sv.Clock.Now()
		ne := st.dispatchRequest(now)
		last := now.Add(interval).After(until)
		ne.Repeated, ne.Polled = repeated, !last
		ne.FinalAttempt = !st.started && !until.IsZero() && last
		waited := st.pickOrWait(at, ne, interval)
		if at.ticket != nil || last || at.ctx.Err() != nil {
			return
		}
		if !waited && st.sv.Clock.Sleep(at.ctx, interval) != nil {
			return
		}
	}
}

// dispatchRequest returns the request and its current latency limits, as Pick expects them.
func (st *stream) dispatchRequest(now time.Time) dispatch.Request {
	ne := dispatch.Request{Service: st.service, Model: st.model, Prompt: st.prompt, MaxPause: st.route.PauseObjective,
		Objective: st.route.Objective - st.waited - now.Sub(st.arrived) - callerDelay, MaxWait: min(maxLateWait, st.remaining()), Resumed: st.started, Exclude: st.tried,
		Rank: st.priority(), Bytes: int64(len(st.body)), Waited: st.waited, Left: st.remaining()}
	if st.workspace != nil {
		ne.Workspace = st.workspace.Name
	}
	if st.started {
		// The caller already has the first event, so the objective is now a short gap.
		ne.Objective = st.route.PauseObjective
	}
	return ne
}

// delayLate delays a request that will miss its objective anyway, while there are too many such
// requests. It returns until when the request may wait for a group, or zero if it was not
// delayed.
func (st *stream) delayLate(ctx context.Context) time.Time {
	now := st.sv.Clock.Now()
	if st.sends > 0 {
		return time.Time{}
	}
	ho := st.sv.Table.HoldLate(st.dispatchRequest(now), st.remaining(), now)
	if ho.Delay <= 0 {
		return time.Time{}
	}
	lateDelays.Update(ho.Delay.Seconds())
	_ = st.sv.Clock.Sleep(ctx, ho.Delay) // If ctx is canceled, its next use ends the request.
	return now.Add(ho.MaxDelay)
}

// mayRetry reports whether the request may be sent to another group.
func (st *stream) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || st.crashed || errors.Is(st.cause, errCallerGone) {
		return false
	}
	if st.state == verdict.NotRun {
		if st.sends >= st.route.MaxAttempts || len(st.tried) >= maxGroupsTried {
			return false
		}
	} else if !st.maySendAgain() {
		return false
	}
	if st.started {
		streamResumes.Inc()
	}
	return true
}

// maySendAgain reports whether a request that may have run may be sent to another group. A refusal
// without a run uses up no attempt: the answer that may have begun would be lost for it.
func (st *stream) maySendAgain() bool {
	return st.route.Idempotent() && st.sends-st.refusals < st.route.MaxAttempts && len(st.tried) < maxGroupsTried && st.canEnd(st.done())
}

// maxGroupsTried bounds the number of groups that a request is tried at, including those to
// which no connection could be opened.
const maxGroupsTried = 4

// endNoGroup ends a request for which no group is available.
func (st *stream) endNoGroup(ch dispatch.Choice) {
	st.refusedBy = &ch
	reason := "full"
	switch {
	case ch.AllLimited:
		reason = reasonClosed
	case ch.Groups == 0:
		reason = "no-group"
	}
	st.end(reason, ch.RetryAfter)
}

// abortIfCallerGone aborts the connection if the caller has disconnected. A caller that has closed only
// its side would otherwise take what it has received for the complete response.
func (st *stream) abortIfCallerGone() {
	if st.req.Context().Err() == nil && !errors.Is(st.cause, errCallerGone) {
		return
	}
	st.log.Info("front: answered.", "outcome", "caller-gone", "connection", st.hold.Ended(), "sends", st.sends, "events", st.numEvents,
		"ms", st.sv.Clock.Now().Sub(st.arrived).Milliseconds())
	st.count("caller-gone")
	panic(http.ErrAbortHandler)
}

// endUnretried ends a request that can't be retried.
func (st *stream) endUnretried(ctx context.Context, ch dispatch.Choice) {
	st.abortIfCallerGone()
	reason := "attempts-failed"
	if ctx.Err() != nil {
		reason = "timeout"
	}
	if context.Cause(ctx) == stop.ErrStopping {
		st.end(reasonStopping, retryAfterStopping)
		return
	}
	now := st.sv.Clock.Now()
	st.end(reason, max(retryAfterBusy, ch.RetryAfter, st.sv.Table.WaitTime(st.dispatchRequest(now), now)))
}

// end sends the final response. A stream whose header was already sent ends by aborting the
// connection, so that the caller can't take it for complete.
func (st *stream) end(reason string, retryAfter time.Duration) {
	switch {
	case st.started:
		st.log.Info("front: answered.", "outcome", "broken", "reason", reason, "sends", st.sends, "events", st.numEvents,
			"ms", st.sv.Clock.Now().Sub(st.arrived).Milliseconds())
		st.count("broken-" + reason)
		if reason == reasonStopping {
			st.sv.stop.Ended.Aborted.Add(1)
		}
		panic(http.ErrAbortHandler)
	case st.state == verdict.NotRun:
		st.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, exact: st.refusedBy != nil && st.refusedBy.Scheduled,
			choice: st.refusedBy, cause: st.cause})
	case st.final != nil:
		st.call.writeResponse(st.final)
	case reason == "timeout", reason == reasonStopping:
		st.refuse(refusal{status: http.StatusGatewayTimeout, reason: reason, cause: st.cause})
	default:
		st.refuse(refusal{status: http.StatusBadGateway, reason: reason, cause: st.cause})
	}
}
