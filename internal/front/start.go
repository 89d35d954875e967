package front

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// startWait is how long after its first request a daemon that has just started holds
	// requests back until it knows its configuration. A refused caller comes back later
	// than that, and is late then.
	startWait = 700 * time.Millisecond
	// startPause is the time between looks for the configuration.
	startPause = 10 * time.Millisecond
)

// awaitConfig returns the configuration in force; nil if there is none in time.
func (sv *Server) awaitConfig(ctx context.Context) *catalog.Config {
	if cfg := sv.Config(); cfg != nil {
		return cfg
	}
	now := sv.Clock.Now()
	sv.firstAt.CompareAndSwap(0, now.UnixNano())
	until := time.Unix(0, sv.firstAt.Load()).Add(startWait)
	for sv.Clock.Now().Before(until) {
		if sv.Clock.Sleep(ctx, startPause) != nil {
			return nil
		}
		if cfg := sv.Config(); cfg != nil {
			return cfg
		}
	}
	return nil
}
