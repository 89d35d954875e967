package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/control"
)

const (
	// tickPause is the pause between two ticks of the control state.
	tickPause = 50 * time.Millisecond
	// eventQueue is how many events may wait. Evidence from traffic is dropped
	// when it is full; everything else waits.
	eventQueue = 1024
)

// loop runs the control state on one goroutine. Traffic reads its views.
type loop struct {
	core   *control.Core
	clock  clock.Clock
	events chan control.Event
	asks   chan func()
	done   chan struct{}
	view   atomic.Pointer[control.View]
	// act carries out an action without blocking the loop.
	act func(control.Action)
	// viewed is called with each new view.
	viewed func(*control.View)
}

func newLoop(core *control.Core, cl clock.Clock) *loop {
	lo := &loop{
		core:   core,
		clock:  cl,
		events: make(chan control.Event, eventQueue),
		asks:   make(chan func()),
		done:   make(chan struct{}),
	}
	lo.view.Store(core.View())
	return lo
}

// run handles events until ctx ends.
func (lo *loop) run(ctx context.Context) error {
	defer close(lo.done)
	ticker := time.NewTicker(tickPause)
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
		case ask := <-lo.asks:
			ask()
		}
	}
}

// urgent events change what traffic may do and don't wait for the next tick.
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
		lo.act(ac)
	}
}

func (lo *loop) publish() {
	vi := lo.core.View()
	lo.view.Store(vi)
	lo.viewed(vi)
}

// View implements caller.Control.
func (lo *loop) View() *control.View { return lo.view.Load() }

// Post implements caller.Control.
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

// ask runs fn on the loop's goroutine and waits for it. It returns false if
// the loop has ended.
func (lo *loop) ask(ctx context.Context, fn func()) bool {
	done := make(chan struct{})
	select {
	case lo.asks <- func() { fn(); close(done) }:
		<-done
		return true
	case <-lo.done:
	case <-ctx.Done():
	}
	return false
}
