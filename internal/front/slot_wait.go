package front

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
)

// pickOrWait chooses a group for the attempt or, if the request is queued, waits for a slot. A resumed
// stream waits no longer than interval, because another group may accept it. It reports whether it has
// waited.
func (st *stream) pickOrWait(at *attempt, ne dispatch.Request, interval time.Duration) bool {
	waitCtx, wake := context.WithCancel(at.ctx)
	defer wake()
	ne.Wake = wake
	begin := st.sv.Clock.Now()
	at.choice, at.ticket = st.sv.Table.Pick(ne, at.onStall, begin)
	if at.ticket != nil || at.choice.Waiter == nil {
		return false
	}
	wa := at.choice.Waiter
	limit := wa.Limit
	if st.started {
		limit = min(limit, interval)
	}
	_ = st.sv.Clock.Sleep(waitCtx, limit) // EndWait tells whether the request got a slot.
	at.choice, at.ticket = st.sv.Table.EndWait(wa)
	now := st.sv.Clock.Now()
	outcome := "refused"
	switch {
	case at.ctx.Err() != nil:
		outcome = "caller-gone"
		if at.ticket != nil {
			// The slot goes to the next waiting request.
			at.ticket.Return(now)
			at.ticket = nil
		}
	case at.ticket != nil && at.stalledBeforeSend():
		// The request got a slot of a group that has stalled since; another group is tried.
		outcome = "stalled"
	case at.ticket != nil:
		outcome = "sent"
	default:
		at.choice = st.sv.Table.RefuseWaiter(wa, now)
	}
	st.recordSlotWait(outcome, now.Sub(begin), ne.Rank)
	return true
}

// recordSlotWait logs and counts a wait for a slot.
func (st *stream) recordSlotWait(outcome string, took time.Duration, rank int) {
	slotWaits.Update(took.Seconds())
	metrics.GetOrCreateCounter(`corianderhub_slot_waits_total{outcome="` + outcome + `"}`).Inc()
	st.log.Debug("front: waited for a slot.", "outcome", outcome, "ms", took.Milliseconds(), "rank", rank)
}
