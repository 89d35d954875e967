// Package clock provides time through an interface, so that code can be tested and
// replayed without waiting.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock provides the current time and sleeps.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the clock has one.
	Now() time.Time
	// Sleep waits for dur or until ctx ends. It returns ctx.Err() in the latter case,
	// nil otherwise.
	Sleep(ctx context.Context, dur time.Duration) error
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (System) Sleep(ctx context.Context, dur time.Duration) error {
	tm := time.NewTimer(dur)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tm.C:
		return nil
	}
}

// Manual is a clock for tests. It moves only through Advance and Sleep, and Sleep
// returns at once.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual clock that starts at now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now implements Clock.
func (mc *Manual) Now() time.Time {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	return mc.now
}

// Advance moves the clock forward by dur.
func (mc *Manual) Advance(dur time.Duration) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.now = mc.now.Add(dur)
}

// Sleep implements Clock. It advances the clock instead of waiting.
func (mc *Manual) Sleep(ctx context.Context, dur time.Duration) error {
	mc.Advance(dur)
	return ctx.Err()
}
