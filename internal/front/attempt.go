package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/pkg/verdict"
	"corianderhub.dev/corianderhub/platform"
)

// errOvertaken is the cancellation cause of an attempt when another one continues the stream.
var errOvertaken = errors.New("front: another attempt continues the stream")

// attempt is one send of a stream's request to a group. While the group is stalled, a standby tries
// other groups. The attempt that is the first to emit the next event continues the stream. If that is
// the one at the stalled group, the standby still waits for a while.
type attempt struct {
	st     *stream
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	choice dispatch.Choice
	ticket *dispatch.Ticket
	ex     *http1.Exchange
	events *eventReader
	repetition
	// sent is when the request was sent, emitted whether the caller has an event of this attempt.
	sent    time.Time
	emitted bool

	mu sync.Mutex
	// base is the state of the stream from which a standby starts; nil until the request is sent.
	base *stream
	// stalled is set if the group stalled before the request was sent.
	stalled bool
	// stays is set once it was logged that the request may not be sent again.
	stays bool
	// closed is set once no standby may start any more.
	closed bool
	// standby is the last standby; nil if there was none. overtaken is set once it continues the stream.
	standby   *standby
	overtaken bool
	// writing is set while the caller's goroutine writes what the attempt has read. No standby
	// continues the stream then: duplicates of events without ID can't be detected.
	writing bool
	// recoveredAt is since when the group emits events again although there is a standby; zero if it
	// does not. changed is signaled when it, writing, closed or the context of the standby has changed.
	recoveredAt time.Time
	changed     *sync.Cond
	// retries are the sends of the standbys that have ended.
	retries retries
}

// retries are sends of a request besides its first one.
type retries struct {
	sends, refusals int
	tried           []*dispatch.Group
	final           *response
	crashed         bool
}

// newAttempt returns an attempt that has no group yet. The caller must call close.
func newAttempt(ctx context.Context, st *stream) *attempt {
	at := &attempt{st: st, parent: ctx}
	at.changed = sync.NewCond(&at.mu)
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	return at
}

// onStall starts a standby, unless there is one, or the request may not be sent again. In that case
// it stays where it is: the group may go on.
func (at *attempt) onStall(cause error) {
	at.mu.Lock()
	defer at.mu.Unlock()
	switch {
	case at.base == nil:
		at.stalled = true
	case at.closed, at.overtaken:
	case at.standby != nil && !at.standby.ended():
		at.recoveredAt = time.Time{}
		at.changed.Broadcast()
	case at.base.crashed || !at.base.maySendAgain():
		if !at.stays {
			at.stays = true
			at.base.log.Info("front: group stalled, request stays.", at.stallAttrs(cause, at.base.sv.Clock.Now())...)
		}
	default:
		at.recoveredAt = time.Time{}
		at.standby = newStandby(at, cause)
		go at.standby.run()
	}
}

// stallAttrs returns the attributes of a log line about the attempt's stalled group. The caller holds
// mu.
func (at *attempt) stallAttrs(cause error, now time.Time) []any {
	silentSince := at.sent
	if at.emitted {
		silentSince = at.base.lastAt
	}
	return []any{"group", at.choice.Group.Name, "silent-ms", now.Sub(silentSince).Milliseconds(), "events", at.base.numEvents,
		"sends", at.base.sends, "refusals", at.base.refusals, "cause", cause.Error()}
}

// stalledBeforeSend reports whether the group stalled before the request was sent to it.
func (at *attempt) stalledBeforeSend() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.stalled
}

// begin sends the request. It returns the first event like next.
func (at *attempt) begin() (*attempt, []byte, error) {
	if err := at.send(); err != nil {
		return at.failOver(err)
	}
	if at.ex.Response.StatusCode != http.StatusOK {
		return at.failOver(at.readResponse())
	}
	at.st.state = verdict.Ran
	return at.next()
}

// send sends the request and reads the header of the response.
func (at *attempt) send() error {
	st, leader := at.st, at.choice.Group.Leader()
	at.sent = st.sv.Clock.Now()
	at.setBase()
	ex, err := st.sv.Pool.Send(at.ctx, leader.Address, st.groupRequest(leader.ID))
	if err == nil || http1.VerdictOf(err) != verdict.NotRun {
		st.sends++
		sendCount.Inc()
	}
	if err != nil {
		if at.ctx.Err() == nil && http1.ConnectFailed(err) {
			st.sv.Table.MarkUnreachable(at.choice.Group)
		}
		return err
	}
	at.ex, at.events = ex, newEventReader(ex)
	at.events.hold = ex.Hold
	st.sv.ApplyResponseHeader(leader.Instance(), ex.Response, at.sent)
	return nil
}

// setBase sets the state from which a standby starts: the request is sent, and may run.
func (at *attempt) setBase() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.base = at.st.copy()
	at.base.sends++
	at.base.state = verdict.MayHaveRun
}

// next returns the next event, or io.EOF at the end of a complete stream, and the attempt that
// continues the stream: at itself, or the one of its standby.
func (at *attempt) next() (*attempt, []byte, error) {
	event, err := at.read()
	if (err == nil || err == io.EOF) && at.claim() {
		return at, event, err
	}
	return at.failOver(err)
}

// read reads the next event. It returns io.EOF at the end of a complete stream.
func (at *attempt) read() ([]byte, error) {
	event, err := at.events.next()
	if err == io.EOF {
		leader := at.choice.Group.Leader()
		if err := at.st.checkUnframedEnd(at.ctx, at.ex, leader.ID, leader.Address); err != nil {
			return nil, err
		}
	}
	return event, err
}

// recoveryTime is how long a stalled group must emit events again until its standby is canceled: it may
// have been dissolved for its silence, and then ends its requests.
const recoveryTime = 250 * time.Millisecond

// claim reports whether the attempt continues the stream with what it has read. Its standby, if there is
// one, then waits.
func (at *attempt) claim() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.overtaken {
		return false
	}
	at.writing = true
	if at.standby != nil && at.recoveredAt.IsZero() {
		at.recoveredAt = at.st.sv.Clock.Now()
	}
	return true
}

// forwarded records that the caller has received an event. It cancels a standby that is not needed any
// more, or that can't detect duplicate events because they have no ID.
func (at *attempt) forwarded() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.emitted, at.writing = true, false
	at.base.progress = at.st.progress
	at.changed.Broadcast()
	if at.standby != nil && (!at.st.hasID || at.recovered()) {
		at.cancelStandby()
	}
}

// recovered reports whether the group goes on, so that its standby is not needed any more. An event that
// was read before the standby started shows nothing. The caller holds mu.
func (at *attempt) recovered() bool {
	return !at.recoveredAt.IsZero() && (!at.standby.sent || at.st.lastAt.Sub(at.recoveredAt) >= recoveryTime)
}

// cancelStandby cancels the standby unless it continues the stream. The caller holds mu.
func (at *attempt) cancelStandby() {
	if at.standby != nil && !at.overtaken {
		at.standby.cancel(errOvertaken)
		at.changed.Broadcast()
	}
}

// failOver returns the attempt that continues the stream after at has failed with err or was overtaken,
// with its first result. It returns at and err if there is none.
func (at *attempt) failOver(err error) (*attempt, []byte, error) {
	if context.Cause(at.ctx) != errOvertaken {
		at.recordFailure(err)
	}
	if at.st.isFinal(err) && at.claim() {
		return at, nil, err
	}
	at.release()
	sb := at.awaitStandby()
	if sb == nil || sb.next == nil {
		return at, nil, err
	}
	st, next := at.st, sb.next
	sb.next = nil
	st.log.Info("front: stream continued at another group.", "from", at.choice.Group.Name, "group", next.choice.Group.Name, "events", st.numEvents)
	at.close()
	st.choice, st.state = next.choice, verdict.Ran
	next.st = st
	return next, sb.event, sb.err
}

// awaitStandby waits until the standby has ended, and returns it; nil if there is none. A standby whose
// request has not been sent is canceled.
func (at *attempt) awaitStandby() *standby {
	at.mu.Lock()
	at.closed = true
	at.changed.Broadcast()
	sb := at.standby
	if sb != nil && !sb.sent {
		at.cancelStandby()
	}
	at.mu.Unlock()
	if sb != nil {
		<-sb.done
	}
	return sb
}

// close ends the attempt and its standby, unless failOver has returned the attempt of that. Further
// calls have no effect.
func (at *attempt) close() {
	at.mu.Lock()
	at.closed = true
	at.cancelStandby()
	sb := at.standby
	at.mu.Unlock()
	if sb != nil {
		<-sb.done
		if sb.next != nil {
			sb.next.close()
			sb.next = nil
		}
	}
	at.release()
	at.cancel(nil)
	at.st.addRetries(at.retries)
	at.retries = retries{}
}

// release closes the connection and ends the count at the group.
func (at *attempt) release() {
	if at.ex != nil {
		at.ex.Close()
		at.ex = nil
	}
	if at.ticket != nil {
		at.ticket.End()
	}
}

// responseError is a response that is not a stream: a refusal or an error.
type responseError struct{ *response }

// Error implements the error interface.
func (re *responseError) Error() string { return "front: " + http.StatusText(re.status) }

// readResponse reads a response that is not a stream and returns it as an error.
func (at *attempt) readResponse() error {
	body, err := at.ex.ReadAll(maxResponseBytes)
	if err != nil {
		return err
	}
	return &responseError{&response{at.ex.Response.StatusCode, at.ex.Response.Header, body, notRun(at.ex.Response)}}
}

// isFinal reports whether err is a response that is forwarded to the caller instead of trying another
// group.
func (st *stream) isFinal(err error) bool {
	var re *responseError
	return errors.As(err, &re) && !re.notRun && !st.started && (re.status < http.StatusInternalServerError || !st.route.Idempotent())
}

// recordFailure records the failure of the attempt and its verdict.
func (at *attempt) recordFailure(err error) {
	var re *responseError
	if errors.As(err, &re) {
		at.recordResponse(re.response)
		return
	}
	st, gr := at.st, at.choice.Group
	if http1.VerdictOf(err) != verdict.NotRun {
		st.state = verdict.MayHaveRun
	}
	st.cause = err
	st.crashed = !st.reportDisconnect(at.ctx, gr.Leader().ID, gr.Leader().Address, err, st.numEvents > 0)
	st.log.Info("front: attempt failed.", "group", gr.Name, "events", st.numEvents, "parts", platform.SharedParts(st.req.Header), "cause", err.Error())
}

// recordResponse records a refusal or an error of the group.
func (at *attempt) recordResponse(rsp *response) {
	st, gr := at.st, at.choice.Group
	if !rsp.notRun {
		st.state, st.final = verdict.Ran, rsp
		if rsp.status >= http.StatusInternalServerError {
			st.log.Info("front: group failed.", "group", gr.Name, "status", rsp.status)
		}
		return
	}
	st.refusals++
	if rsp.status == http.StatusMisdirectedRequest {
		st.sv.Table.MarkMisrouted(gr)
		st.sv.OnMisrouted()
	} else if at.choice.Idle {
		// An idle group is predicted to be the fastest, so without this the next requests
		// would be sent to it as well.
		leader := gr.Leader()
		st.sv.Backpressure.SetRefused(leader.Instance(), at.sent, st.sv.Clock.Now())
	}
	st.log.Info("front: group refused.", "group", gr.Name, "status", rsp.status)
}
