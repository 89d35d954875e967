package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/pkg/verdict"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// callerDelay is what the objective loses on the way to and from a caller,
	// and by events that are passed on late.
	callerDelay = 12 * time.Millisecond
	// goOnPause is the time between looks for a group to go on at, and
	// goOnWait bounds it: callers give a stream up after a gap of 2 s.
	goOnPause = 25 * time.Millisecond
	goOnWait  = 1500 * time.Millisecond
	// lateWait is the longest predicted wait for a first event that is late.
	lateWait = 1500 * time.Millisecond
	// lateAgain is the time between looks for a group for a late request that was held back.
	lateAgain = 100 * time.Millisecond
	// writePatience bounds the wait for a caller that doesn't read.
	writePatience = 5 * time.Second
)

// stream is a request that is answered by events.
type stream struct {
	*call
	model  string
	prompt int64
	tried  []*dispatch.Group
	// started is set once the caller has the head of the answer.
	started bool
	// passed counts events, and lastID is the last one's identifier.
	passed int
	lastID int64
	hasID  bool
	lastAt time.Time
	// first is when the caller got the first event after its request, pause the
	// longest time between two; choice is the last group with what was predicted.
	first, pause time.Duration
	choice       dispatch.Choice
	state        verdict.Verdict
	// final is an answer without events, to be passed on as it is.
	final *answer
	cause error
}

// stream handles a request on a streaming route.
func (ca *call) stream() {
	st := &stream{call: ca, model: ca.req.Header.Get(platform.HeaderModel), state: verdict.NotRun}
	st.prompt = promptTokens(ca.req.Header.Get(platform.HeaderTokens))
	ctx, cancel := context.WithDeadline(ca.req.Context(), ca.deadline)
	defer cancel()
	for {
		ch, done := st.attempt(ctx)
		if done {
			return
		}
		if !st.mayGoOn(ctx) {
			st.giveUp(ctx, ch)
			return
		}
	}
}

// promptTokens returns the tokens to read, the first of two numbers.
func promptTokens(counts string) int64 {
	first, _, _ := strings.Cut(counts, ",")
	num, err := strconv.ParseInt(strings.TrimSpace(first), 10, 64)
	if err != nil || num < 0 {
		return 0
	}
	return num
}

// attempt sends the request to one group and passes its events on. It tells
// whether the caller has a final answer.
func (st *stream) attempt(ctx context.Context) (dispatch.Choice, bool) {
	if st.endQuarantined() {
		return dispatch.Choice{}, true
	}
	part, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	leave := cancel
	if !st.maySendAfter() {
		leave = stay
	}
	ch, ti := st.pick(part, leave)
	if ti == nil {
		st.noGroup(ch)
		return ch, true
	}
	defer ti.End()
	if st.endQuarantined() {
		return ch, true
	}
	if st.sends > 0 && !st.sv.Budget.Spend(st.service, st.sv.Clock.Now()) {
		st.log.Info("front: not sent again.", "reason", "retry-budget")
		st.giveUp(ctx, ch)
		return ch, true
	}
	st.tried = append(st.tried, ch.Group)
	st.choice = ch
	st.log.Debug("front: sent.", "group", ch.Group.Name, "predicted-ms", ch.FirstEvent.Milliseconds(), "fits", ch.MeetsObjective)
	sent := st.sv.Clock.Now()
	head := ch.Group.Head()
	ex, err := st.sv.Pool.Send(part, head.Address, st.request(head.ID))
	if err == nil || http1.VerdictOf(err) != verdict.NotRun {
		st.sends++
		sendCount.Inc()
	}
	if err != nil {
		if part.Err() == nil && http1.ConnectFailed(err) {
			st.sv.Table.MarkUnreachable(ch.Group)
		}
		st.failed(part, ch.Group, err, http1.VerdictOf(err))
		return ch, false
	}
	defer ex.Close()
	st.sv.ApplyResponseHeader(head.Instance(), ex.Response, sent)
	if ex.Response.StatusCode != http.StatusOK {
		return ch, st.other(part, ch, ex, sent)
	}
	st.state = verdict.Ran
	err = st.relay(ex, ti, sent, ch.FirstEvent)
	if err == nil {
		st.finish()
		return ch, true
	}
	st.failed(part, ch.Group, err, verdict.Ran)
	return ch, false
}

// endQuarantined ends the request if it is to be sent to no server, and tells whether it did.
// That may be learnt while it waits for a group to go on at.
func (st *stream) endQuarantined() bool {
	left, held := st.quarantined()
	if held {
		st.end(reasonQuarantined, left)
	}
	return held
}

// maySendAfter tells whether the request may be sent to another group after the
// next one.
func (st *stream) maySendAfter() bool {
	return st.route.Idempotent() && st.sends+1 < st.route.MaxAttempts && len(st.tried)+1 < maxTried
}

// stay keeps a request at a group that stands still: there is no other for it, and
// the group may go on. Its caller gives it up, or the group breaks it off.
func stay(error) {}

// request is the caller's, or one for what the caller lacks still.
func (st *stream) request(endpoint string) *http1.Request {
	rq := st.outgoing(endpoint, !st.route.Idempotent())
	if st.hasID {
		rq.Header.Set(platform.HeaderLastEventID, strconv.FormatInt(st.lastID, 10))
	}
	return rq
}

// pick chooses a group. A stream that has begun waits a little for one, and so does a late
// request that had to be held back.
func (st *stream) pick(ctx context.Context, cancel context.CancelCauseFunc) (dispatch.Choice, *dispatch.Ticket) {
	pause, until := goOnPause, st.sv.Clock.Now().Add(goOnWait)
	if !st.started {
		pause, until = lateAgain, st.holdLate(ctx)
	}
	for {
		now := st.sv.Clock.Now()
		ne := st.need(now)
		ne.FinalAttempt = !st.started && !until.IsZero() && now.Add(pause).After(until)
		ch, ti := st.sv.Table.Pick(ne, cancel, now)
		if ti != nil || now.Add(pause).After(until) || st.sv.Clock.Sleep(ctx, pause) != nil {
			return ch, ti
		}
	}
}

// need is what the request asks of a group now.
func (st *stream) need(now time.Time) dispatch.Request {
	ne := dispatch.Request{Service: st.service, Model: st.model, Prompt: st.prompt, MaxPause: st.route.PauseObjective,
		Objective: st.route.Objective - st.waited - now.Sub(st.arrived) - callerDelay, MaxWait: min(lateWait, st.left()), Resumed: st.started, Exclude: st.tried}
	if st.started {
		// The caller has the first event: what counts now is a short gap.
		ne.Objective = st.route.PauseObjective
	}
	return ne
}

// holdLate holds a request back that is late in any case, while too many such come. It
// returns until when the request may wait for a group, or zero if it was not held back.
func (st *stream) holdLate(ctx context.Context) time.Time {
	now := st.sv.Clock.Now()
	if st.sends > 0 {
		return time.Time{}
	}
	ho := st.sv.Table.HoldLate(st.need(now), st.left(), now)
	if ho.Delay <= 0 {
		return time.Time{}
	}
	lateHolds.Update(ho.Delay.Seconds())
	_ = st.sv.Clock.Sleep(ctx, ho.Delay) // The next look at ctx ends the request.
	return now.Add(ho.MaxDelay)
}

// relay passes events on as they come. It returns nil at the end of a whole
// stream.
func (st *stream) relay(ex *http1.Exchange, ti *dispatch.Ticket, sent time.Time, predicted time.Duration) error {
	er := newEventReader(ex)
	for first := true; ; first = false {
		event, err := er.next()
		if err == io.EOF {
			return st.begin(ex.Response.Header)
		}
		if err != nil {
			return err
		}
		now := st.sv.Clock.Now()
		ti.Event(now)
		if first {
			predictErrors.Update((now.Sub(sent) - predicted).Abs().Seconds())
		}
		if err := st.pass(ex.Response.Header, event, now); err != nil {
			return err
		}
	}
}

// pass gives the caller one event, unless it has it already.
func (st *stream) pass(header http.Header, event []byte, now time.Time) error {
	id, ok := eventID(event)
	if ok && st.hasID && id <= st.lastID {
		return nil
	}
	if err := st.begin(header); err != nil {
		return err
	}
	if st.passed == 0 {
		st.first = now.Sub(st.arrived)
		firstEvents.Update(st.first.Seconds())
	} else {
		st.pause = max(st.pause, now.Sub(st.lastAt))
		pauses.Update(now.Sub(st.lastAt).Seconds())
	}
	rc := http.NewResponseController(st.w)
	_ = rc.SetWriteDeadline(time.Now().Add(writePatience))
	if _, err := st.w.Write(event); err != nil {
		return errCallerGone
	}
	if err := rc.Flush(); err != nil {
		return errCallerGone
	}
	st.passed++
	st.lastAt = now
	if ok {
		st.lastID, st.hasID = id, true
	}
	return nil
}

var errCallerGone = errors.New("front: the caller is gone")

// begin gives the caller the head of the first group's answer, once.
func (st *stream) begin(header http.Header) error {
	if st.started {
		return nil
	}
	st.started = true
	stop := st.w.Header().Get("Connection")
	copyHeaders(st.w.Header(), header)
	if stop != "" {
		st.w.Header().Set("Connection", stop)
	}
	st.w.WriteHeader(http.StatusOK)
	return nil
}

func (st *stream) finish() {
	st.outlived()
	st.sv.Table.RecordAnswer(st.choice.Group, st.passed, st.sv.Clock.Now())
	st.log.Info("front: answered.", "outcome", "whole", "status", http.StatusOK, "sends", st.sends, "events", st.passed,
		"group", st.choice.Group.Name, "first-ms", st.first.Milliseconds(), "predicted-ms", st.choice.FirstEvent.Milliseconds(),
		"fits", st.choice.MeetsObjective, "running", int(st.choice.Running), "waited-ms", st.waited.Milliseconds(), "pause-ms", st.pause.Milliseconds(), "ms", st.sv.Clock.Now().Sub(st.arrived).Milliseconds())
	st.count("passed-2xx")
}

// other handles an answer that is no stream: a refusal, or an error.
func (st *stream) other(ctx context.Context, ch dispatch.Choice, ex *http1.Exchange, sent time.Time) bool {
	gr := ch.Group
	body, err := ex.ReadAll(maxAnswer)
	if err != nil {
		st.failed(ctx, gr, err, verdict.MayHaveRun)
		return false
	}
	an := &answer{ex.Response.StatusCode, ex.Response.Header, body, notRun(ex.Response)}
	if an.notRun {
		if an.status == http.StatusMisdirectedRequest {
			st.sv.Table.MarkMisrouted(gr)
			st.sv.OnMisrouted()
		} else if ch.Idle {
			// It has room and takes nothing, so that it would look best again.
			head := gr.Head()
			st.sv.Backpressure.SetRefused(head.Instance(), sent, st.sv.Clock.Now())
		}
		st.log.Info("front: group refused.", "group", gr.Name, "status", an.status)
		return false
	}
	st.state = verdict.Ran
	st.final = an
	if an.status >= http.StatusInternalServerError && st.route.Idempotent() {
		st.log.Info("front: group failed.", "group", gr.Name, "status", an.status)
		return false
	}
	if st.started {
		return false
	}
	st.call.pass(an)
	return true
}

// failed notes why an attempt ended.
func (st *stream) failed(ctx context.Context, gr *dispatch.Group, err error, ran verdict.Verdict) {
	if cause := context.Cause(ctx); errors.Is(cause, dispatch.ErrStalled) {
		err = cause
	}
	if ran != verdict.NotRun {
		st.state = verdict.MayHaveRun
	}
	st.cause = err
	st.brokenOff(ctx, gr.Head().ID, gr.Head().Address, err)
	st.log.Info("front: attempt failed.", "group", gr.Name, "events", st.passed, "cause", err.Error())
}

// mayGoOn tells whether the request may be sent to another group.
func (st *stream) mayGoOn(ctx context.Context) bool {
	if ctx.Err() != nil || errors.Is(st.cause, errCallerGone) || st.sends >= st.route.MaxAttempts || len(st.tried) >= maxTried {
		return false
	}
	if st.state != verdict.NotRun && !st.route.Idempotent() {
		return false
	}
	if st.started {
		resumed.Inc()
	}
	return true
}

// maxTried bounds the groups that a request is tried at, also where none could
// be connected to.
const maxTried = 4

// noGroup ends a request for which there is no group.
func (st *stream) noGroup(ch dispatch.Choice) {
	reason := "full"
	switch {
	case ch.AllLimited:
		reason = reasonClosed
	case ch.Groups == 0:
		reason = "no-group"
	}
	st.end(reason, ch.RetryAfter)
}

// giveUp ends a request that can't be sent any more.
func (st *stream) giveUp(ctx context.Context, ch dispatch.Choice) {
	if st.req.Context().Err() != nil || errors.Is(st.cause, errCallerGone) {
		st.log.Info("front: answered.", "outcome", "caller-gone", "sends", st.sends, "events", st.passed)
		st.count("caller-gone")
		return
	}
	reason := "attempts-failed"
	if ctx.Err() != nil {
		reason = "timeout"
	}
	now := st.sv.Clock.Now()
	st.end(reason, max(againBusy, ch.RetryAfter, st.sv.Table.WaitTime(st.need(now), now)))
}

// end gives the final answer. A stream that has begun ends by closing the
// connection, so that it can't look whole.
func (st *stream) end(reason string, again time.Duration) {
	switch {
	case st.started:
		st.log.Info("front: answered.", "outcome", "broken", "reason", reason, "sends", st.sends, "events", st.passed,
			"ms", st.sv.Clock.Now().Sub(st.arrived).Milliseconds())
		st.count("broken-" + reason)
		panic(http.ErrAbortHandler)
	case st.state == verdict.NotRun:
		st.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason, again: again, cause: st.cause})
	case st.final != nil:
		st.call.pass(st.final)
	case reason == "timeout":
		st.refuse(refusal{status: http.StatusGatewayTimeout, reason: reason, cause: st.cause})
	default:
		st.refuse(refusal{status: http.StatusBadGateway, reason: reason, cause: st.cause})
	}
}
