package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/control"
)

const (
	// tickInterval is the time between two ticks of the control state.
	tickInterval = 50 * time.Millisecond
	// eventQueueSize is the capacity of the event queue. When it is full,
	// ResponseStarted events, which are evidence from traffic, are dropped; all
	// other events wait.
	eventQueueSize = 1024
)

// loop runs the control state on one goroutine. Request handlers read the views
// that it publishes.
type loop struct {
	core   *control.Core
	clock  clock.Clock
	events chan control.Event
	calls  chan func()
	done   chan struct{}
	view   atomic.Pointer[control.View]
	// startAction starts an action without blocking the loop.
	startAction func(control.Action)
	// onView is called on the loop's goroutine with each new view.
	onView func(*control.View)
}

func newLoop(core *control.Core, cl clock.Clock) *loop {
	lo := &loop{
		core:   core,
		clock:  cl,
		events: make(chan control.Event, eventQueueSize),
		calls:  make(chan func()),
		done:   make(chan struct{}),
	}
	lo.view.Store(core.View())
	return lo
}

// run handles events, ticks and calls until ctx ends.
func (lo *loop) run(ctx context.Context) error {
	defer close(lo.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			lo.step(control.Tick{})
			lo.publish()
		case ev := <-lo.events:
			lo.step(ev)
			if urgent(ev) {
				lo.publish()
			}
		case call := <-lo.calls:
			call()
		}
	}
}

// urgent reports whether an event can change which requests are allowed. The
// view is then published immediately and not at the next tick.
func urgent(ev control.Event) bool {
	switch ev := ev.(type) {
	case control.Revoked, control.Leave, control.ConfigArrived, control.DocsArrived:
		return true
	case control.Probed:
		return ev.Report == nil || ev.Report.Leaving || !ev.Report.Ready
	}
	return false
}

func (lo *loop) step(ev control.Event) {
	for _, ac := range lo.core.Step(lo.clock.Now(), ev) {
		lo.startAction(ac)
	}
}

func (lo *loop) publish() {
	vi := lo.core.View()
	lo.view.Store(vi)
	lo.onView(vi)
}

// View implements caller.Control.
func (lo *loop) View() *control.View { return lo.view.Load() }

// Post implements caller.Control. After the loop has ended, events are dropped.
func (lo *loop) Post(ev control.Event) {
	if _, ok := ev.(control.ResponseStarted); ok {
		select {
		case lo.events <- ev:
		default:
		}
		return
	}
	select {
	case lo.events <- ev:
	case <-lo.done:
	}
}

// call runs fn on the loop's goroutine and waits for it. It returns false if the
// loop or ctx ends before fn starts; fn then does not run.
func (lo *loop) call(ctx context.Context, fn func()) bool {
	done := make(chan struct{})
	select {
	case lo.calls <- func() { fn(); close(done) }:
		<-done
		return true
	case <-lo.done:
	case <-ctx.Done():
	}
	return false
}
