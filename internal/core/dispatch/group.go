package dispatch

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Group is a group that serves, with what this daemon knows of its load. The
// embedded part is read without the lock, so it is never changed.
type Group struct {
	catalog.Group
	// leaving and reported are the newest view's word on leaving and slowness.
	leaving  bool
	reported float64
	engine   *catalog.Engine
	model    catalog.Model
	// own is the work that this daemon sent, peers what the others told.
	own, peers Load
	// untold is the number of requests that the others are expected to have sent
	// since they told.
	untold float64
	// listed is false once the group has left the view.
	listed bool
	// stalled is set while the group's streams stand still.
	stalled bool
	// advancing is set when the streams of a group go on that stood still, until that
	// was told.
	advancing bool
	// unreachable is set when no connection to the head could be opened.
	unreachable bool
	// activity is when the group last emitted anything, or got its first
	// request after it had none.
	activity time.Time
	// checked is when the group's members were last asked for.
	checked time.Time
	streams map[*Ticket]struct{}
	// pace is how many times longer pauses are than predicted, smoothed.
	pace float64
}

// head returns the life of the process that the group's requests are sent to.
func (gr *Group) head() catalog.Instance { return gr.Members[0].Instance() }

// Key names a group in what daemons tell each other.
func (gr *Group) Key() string { return gr.Name }

// Ticket is one request at a group. End must be called.
type Ticket struct {
	Group *Group
	ta    *Table
	load  Load
	// sent is when the request was sent, stated after what time the engine's description
	// lets its first event come; zero where that says nothing.
	sent   time.Time
	stated time.Duration
	// first is set once the request has emitted an event.
	first  bool
	last   time.Time
	cancel context.CancelCauseFunc
	done   bool
}

// Event tells that the request has emitted an event.
func (ti *Ticket) Event(now time.Time) {
	ti.ta.mu.Lock()
	defer ti.ta.mu.Unlock()
	gr := ti.Group
	gr.activity = now
	gr.advancing = gr.advancing || gr.stalled
	gr.stalled, gr.unreachable = false, false
	if !ti.first {
		ti.first = true
		if ti.stated > 0 {
			ti.ta.residuals.learn(gr.Model, now.Sub(ti.sent)-ti.stated)
		}
		gr.own.Prefill -= ti.load.Prefill
		gr.own.Context += ti.load.Prefill
		ti.load.Context = ti.load.Prefill
		ti.load.Prefill = 0
	} else if !ti.last.IsZero() && !ti.done {
		gr.learn(now.Sub(ti.last))
	}
	ti.last = now
	if !ti.done {
		tokens := int64(gr.engine.Stride)
		ti.load.Context += tokens
		gr.own.Context += tokens
	}
}

const (
	// paceWeight smooths over some ten pauses.
	paceWeight = 0.1
	// maxPace bounds what a single long pause may count.
	maxPace = 8
)

// learn compares a pause with what the model predicts for the present load.
func (gr *Group) learn(pause time.Duration) {
	expected := predict(gr.engine, gr.model, gr.reported, gr.own.plus(gr.peers), 0).Pass
	if expected <= 0 {
		return
	}
	ratio := min(maxPace, float64(pause)/float64(expected))
	if gr.pace == 0 {
		gr.pace = 1
	}
	gr.pace += paceWeight * (ratio - gr.pace)
}

// slowness is how many times slower than its model the group works.
func (gr *Group) slowness() float64 {
	if gr.pace > slowPace {
		return max(gr.pace, gr.reported)
	}
	return max(1, gr.reported)
}

// slowPace is the ratio of pauses from which a group counts as slow; below it
// the difference is that of bursts of prompts.
const slowPace = 1.6

// End tells that the request is over at the group.
func (ti *Ticket) End() {
	ti.ta.mu.Lock()
	defer ti.ta.mu.Unlock()
	if ti.done {
		return
	}
	ti.done = true
	gr := ti.Group
	gr.own.Requests--
	gr.own.Prefill -= ti.load.Prefill
	gr.own.Context -= ti.load.Context
	delete(gr.streams, ti)
}
