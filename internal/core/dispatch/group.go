package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/occupancy"
)

// Group is a group in the view together with this daemon's estimate of its load. The embedded part
// is read without the lock, so it is never changed.
type Group struct {
	catalog.Group
	// draining and reportedSlowness are taken from the newest view.
	draining         bool
	reportedSlowness float64
	engine           *catalog.Engine
	model            catalog.Model
	// ownLoad is the load sent by this daemon, peerLoad that reported by the other daemons.
	ownLoad, peerLoad Load
	// unreported is the estimated number of requests that the other daemons have sent since their
	// last reports.
	unreported float64
	// account corrects the estimate by the load that the leader states in its responses.
	account occupancy.Account
	// inView is false once the group has left the view.
	inView bool
	// stalled is set while the group emits nothing. A stalled group gets no new requests.
	stalled bool
	// recovered is set when a stalled group emits an event again, until RecoveredGroups has returned
	// the group.
	recovered bool
	// unreachable is set when connecting to the leader has failed.
	unreachable bool
	// lastActivity is when the group last emitted an event, or got its first request after having
	// none.
	lastActivity time.Time
	// checkedAt is when the group's members were last probed.
	checkedAt time.Time
	// streams holds the open requests of this daemon at the group.
	streams map[*Ticket]struct{}
	// pauseRatio is the smoothed ratio of measured to predicted pauses between events; 0 means no
	// sample.
	pauseRatio float64
}

// leader identifies the process that receives the group's requests.
func (gr *Group) leader() catalog.Instance { return gr.Members[0].Instance() }

// Key returns the name that identifies the group in messages between daemons.
func (gr *Group) Key() string { return gr.Name }

// Ticket represents one request at a group. The caller must call End.
type Ticket struct {
	Group *Group
	ta    *Table
	load  Load
	// sent is when the request was sent. baseline is the predicted time to the first event by the
	// engine's description alone; zero if the prediction does not apply.
	sent     time.Time
	baseline time.Duration
	// emitted is set once the request has emitted an event.
	emitted   bool
	lastEvent time.Time
	// onStall is called with an error that wraps ErrStalled when the group has stalled, and again while
	// it stays stalled. It must not block or call the table.
	onStall func(error)
	done    bool
}

// Event records that the request has emitted an event.
func (ti *Ticket) Event(now time.Time) {
	ti.ta.mu.Lock()
	defer ti.ta.mu.Unlock()
	gr := ti.Group
	gr.lastActivity = now
	gr.recovered = gr.recovered || gr.stalled
	gr.stalled, gr.unreachable = false, false
	if !ti.emitted {
		ti.emitted = true
		if ti.baseline > 0 {
			ti.ta.residuals.observe(gr.Model, now.Sub(ti.sent)-ti.baseline)
		}
		gr.ownLoad.PrefillTokens -= ti.load.PrefillTokens
		gr.ownLoad.ContextTokens += ti.load.PrefillTokens
		ti.load.ContextTokens = ti.load.PrefillTokens
		ti.load.PrefillTokens = 0
	} else if !ti.lastEvent.IsZero() && !ti.done {
		gr.observePause(now.Sub(ti.lastEvent))
	}
	ti.lastEvent = now
	if !ti.done {
		tokens := int64(gr.engine.Stride)
		ti.load.ContextTokens += tokens
		gr.ownLoad.ContextTokens += tokens
	}
}

const (
	// pauseRatioWeight is the weight of a new pause: it smooths over about ten pauses.
	pauseRatioWeight = 0.1
	// maxPauseRatio limits the effect of a single long pause.
	maxPauseRatio = 8
)

// observePause updates pauseRatio from a pause between events and its prediction for the present
// load.
func (gr *Group) observePause(pause time.Duration) {
	expected := predict(gr.engine, gr.model, gr.reportedSlowness, gr.ownLoad.plus(gr.peerLoad), 0).Pass
	if expected <= 0 {
		return
	}
	ratio := min(maxPauseRatio, float64(pause)/float64(expected))
	if gr.pauseRatio == 0 {
		gr.pauseRatio = 1
	}
	gr.pauseRatio += pauseRatioWeight * (ratio - gr.pauseRatio)
}

// slowness returns the factor by which the group is slower than its model's description, at least 1.
func (gr *Group) slowness() float64 {
	if gr.pauseRatio > slowPauseRatio {
		return max(gr.pauseRatio, gr.reportedSlowness)
	}
	return max(1, gr.reportedSlowness)
}

// slowPauseRatio is the pause ratio above which a group counts as slow. Smaller ratios also result
// from bursts of prompts.
const slowPauseRatio = 1.6

// End records that the request has ended at the group. Further calls have no effect.
func (ti *Ticket) End() {
	ti.ta.mu.Lock()
	defer ti.ta.mu.Unlock()
	if ti.done {
		return
	}
	ti.end()
}

// end implements End. The caller holds mu and has checked done.
func (ti *Ticket) end() {
	ti.done = true
	gr := ti.Group
	gr.ownLoad.Requests--
	gr.ownLoad.PrefillTokens -= ti.load.PrefillTokens
	gr.ownLoad.ContextTokens -= ti.load.ContextTokens
	delete(gr.streams, ti)
}
