package front

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// standby tries other groups while the group of an attempt is stalled. A stalled group may go on, so
// its attempt continues until the standby's has emitted an event.
type standby struct {
	from *attempt
	// st is a copy of the stream. It sends nothing to the caller.
	st     *stream
	ctx    context.Context
	cancel context.CancelCauseFunc
	begun  time.Time
	// sent is set while the request is sent to a group. It is protected by from.mu.
	sent bool
	// done is closed at the end, after which the following fields are set: next is the attempt that
	// continues the stream, nil if there is none or failOver has returned it, and event and err are its
	// first result.
	done  chan struct{}
	next  *attempt
	event []byte
	err   error
}

// newStandby returns a standby for an attempt whose group has stalled. The caller holds at.mu.
func newStandby(at *attempt, cause error) *standby {
	sb := &standby{from: at, st: at.base.copy(), begun: at.base.sv.Clock.Now(), done: make(chan struct{})}
	sb.ctx, sb.cancel = context.WithCancelCause(at.parent)
	sb.st.log.Info("front: group stalled, trying another one.", at.stallAttrs(cause, sb.begun)...)
	return sb
}

// ended reports whether the standby has ended.
func (sb *standby) ended() bool {
	select {
	case <-sb.done:
		return true
	default:
		return false
	}
}

// run tries groups until an attempt has emitted an event, the request may not be sent again, or the
// standby is canceled.
func (sb *standby) run() {
	defer sb.end()
	for sb.mayContinue() {
		at := newAttempt(sb.ctx, sb.st)
		if !sb.choose(at) {
			at.close()
			return
		}
		sb.setSent(true)
		next, event, err := at.begin()
		if (err == nil || err == io.EOF) && sb.overtake() {
			sb.next, sb.event, sb.err = next, event, err
			return
		}
		next.close()
		sb.setSent(false)
		if sb.st.isFinal(err) {
			return
		}
	}
}

// mayContinue reports whether another group may be tried.
func (sb *standby) mayContinue() bool {
	sb.from.mu.Lock()
	defer sb.from.mu.Unlock()
	return !sb.from.closed && sb.ctx.Err() == nil && sb.st.maySendAgain() && !sb.st.crashed
}

// setSent records whether the request is sent to a group.
func (sb *standby) setSent(sent bool) {
	sb.from.mu.Lock()
	defer sb.from.mu.Unlock()
	sb.sent = sent
}

// choose waits for a group for the attempt. It returns false if there is none before the standby ends.
func (sb *standby) choose(at *attempt) bool {
	st := sb.st
	for repeated := false; sb.mayContinue(); repeated = true {
		now := st.sv.Clock.Now()
		interval := latePollInterval
		if st.started && now.Sub(sb.begun) < resumeTimeout {
			interval = resumePollInterval
		}
		waited := false
		if st.sv.Budget.Remaining(st.service, now) >= 1 {
			ne := st.dispatchRequest(now)
			ne.Repeated, ne.Polled = repeated, true
			if waited = st.pickOrWait(at, ne, interval); at.ticket != nil {
				return sb.take(at)
			}
		}
		if !waited && st.sv.Clock.Sleep(sb.ctx, interval) != nil {
			return false
		}
	}
	return false
}

// take reports whether the request may be sent to the group that was chosen.
func (sb *standby) take(at *attempt) bool {
	st := sb.st
	st.tried = append(st.tried, at.choice.Group)
	if _, _, quarantined := st.sv.Quarantine.Quarantined(st.identity, st.sv.Clock.Now()); quarantined {
		return false
	}
	if !st.sv.Budget.Spend(st.service, st.sv.Clock.Now()) {
		return false
	}
	if st.started {
		streamResumes.Inc()
	}
	return true
}

// overtake makes the standby's attempt continue the stream. While the stalled group emits events again,
// it waits until that attempt fails or the group stalls again, and the caller has the last event. It
// returns false if it is canceled.
func (sb *standby) overtake() bool {
	at := sb.from
	at.mu.Lock()
	defer at.mu.Unlock()
	for (at.writing || !at.recoveredAt.IsZero()) && !at.closed && sb.ctx.Err() == nil {
		at.changed.Wait()
	}
	if sb.ctx.Err() != nil {
		return false
	}
	at.overtaken = true
	at.cancel(errOvertaken)
	return true
}

// end reports the result and the sends to the stalled attempt.
func (sb *standby) end() {
	defer close(sb.done)
	outcome := "none"
	switch {
	case sb.next != nil:
		outcome = "overtook"
	case context.Cause(sb.ctx) == errOvertaken:
		outcome = "canceled"
	}
	at, st := sb.from, sb.st
	metrics.GetOrCreateCounter(`corianderhub_stream_standbys_total{outcome="` + outcome + `"}`).Inc()
	st.log.Info("front: standby ended.", "from", at.choice.Group.Name, "outcome", outcome, "sends", st.sends, "refusals", st.refusals,
		"tried", len(st.tried), "budget-left", int(st.sv.Budget.Remaining(st.service, st.sv.Clock.Now())), "ms", st.sv.Clock.Now().Sub(sb.begun).Milliseconds())
	at.mu.Lock()
	defer at.mu.Unlock()
	at.retries.sends += st.sends - at.base.sends
	at.retries.refusals += st.refusals - at.base.refusals
	at.retries.tried = append(at.retries.tried, st.tried[len(at.base.tried):]...)
	at.retries.final, at.retries.crashed = st.final, st.crashed
	at.base.sends, at.base.refusals, at.base.tried, at.base.crashed = st.sends, st.refusals, st.tried, st.crashed
}
