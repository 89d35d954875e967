package caller

import (
	"context"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
)

// silenceWatch signals when nothing was received for some time. Create it with newSilenceWatch.
type silenceWatch struct {
	// signals receives a value each time the limit has passed without a reset. A reset may follow
	// before the value is read, so readers check remaining.
	signals chan struct{}

	clock clock.Clock
	limit time.Duration
	mu    sync.Mutex
	last  time.Time
}

func newSilenceWatch(cl clock.Clock, limit time.Duration) *silenceWatch {
	return &silenceWatch{signals: make(chan struct{}), clock: cl, limit: limit, last: cl.Now()}
}

// reset records that something was received.
func (sw *silenceWatch) reset() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.last = sw.clock.Now()
}

// remaining returns the time until the limit has passed.
func (sw *silenceWatch) remaining() time.Duration {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.limit - sw.clock.Now().Sub(sw.last)
}

// run signals until ctx ends. A limit of 0 disables it.
func (sw *silenceWatch) run(ctx context.Context) {
	if sw.limit == 0 {
		return
	}
	for {
		wait := sw.remaining()
		if wait > 0 {
			if sw.clock.Sleep(ctx, wait) != nil {
				return
			}
			continue
		}
		select {
		case sw.signals <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}
