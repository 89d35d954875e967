// Package clock passes time in as an interface, so that decisions can be
// tested and replayed without waiting.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time and waits.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
	// Sleep waits for dur or until ctx ends, and returns ctx.Err() in the latter case.
	Sleep(ctx context.Context, dur time.Duration) error
}

// System is the machine's clock.
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

// Manual is a clock that moves only when told to. Sleep returns at once.
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

// Advance moves the clock by dur.
func (mc *Manual) Advance(dur time.Duration) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.now = mc.now.Add(dur)
}

// Sleep implements Clock by moving the clock itself.
func (mc *Manual) Sleep(ctx context.Context, dur time.Duration) error {
	mc.Advance(dur)
	return ctx.Err()
}
