package front

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
)

// pickOrWait chooses a group or, if the request is queued, waits for a slot. A resumed stream waits no
// longer than interval, because another group may accept it. It reports whether it has waited.
func (st *stream) pickOrWait(ctx context.Context, ne dispatch.Request, cancel context.CancelCauseFunc, interval time.Duration) (dispatch.Choice, *dispatch.Ticket, bool) {
	waitCtx, wake := context.WithCancel(ctx)
	defer wake()
	ne.Wake = wake
	begin := st.sv.Clock.Now()
	ch, ti := st.sv.Table.Pick(ne, cancel, begin)
	if ti != nil || ch.Waiter == nil {
		return ch, ti, false
	}
	wa := ch.Waiter
	limit := wa.Limit
	if st.started {
		limit = min(limit, interval)
	}
	_ = st.sv.Clock.Sleep(waitCtx, limit) // EndWait tells whether the request got a slot.
	ch, ti = st.sv.Table.EndWait(wa)
	now := st.sv.Clock.Now()
	outcome := "refused"
	switch {
	case ti != nil && stalled(ctx):
		// The request got a slot of a group that has stalled since; attempt tries another group.
		outcome = "stalled"
	case ctx.Err() != nil:
		outcome = "caller-gone"
		if ti != nil {
			// The slot goes to the next waiting request.
			ti.Return(now)
			ti = nil
		}
	case ti != nil:
		outcome = "sent"
	default:
		ch = st.sv.Table.RefuseWaiter(wa, now)
	}
	st.recordSlotWait(outcome, now.Sub(begin), ne.Rank)
	return ch, ti, true
}

// stalled reports whether an attempt was canceled because its group has stalled.
func stalled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), dispatch.ErrStalled) }

// recordSlotWait logs and counts a wait for a slot.
func (st *stream) recordSlotWait(outcome string, took time.Duration, rank int) {
	slotWaits.Update(took.Seconds())
	metrics.GetOrCreateCounter(`corianderhub_slot_waits_total{outcome="` + outcome + `"}`).Inc()
	st.log.Debug("front: waited for a slot.", "outcome", outcome, "ms", took.Milliseconds(), "rank", rank)
}
