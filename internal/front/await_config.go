package front

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// configTimeout bounds how long a daemon that has just started delays requests until it
	// has a configuration, counted from the first request. A refused caller would retry
	// later than that and miss its objective.
	configTimeout = 700 * time.Millisecond
	// configPollInterval is the interval at which the configuration is polled.
	configPollInterval = 10 * time.Millisecond
)

// awaitConfig returns the current configuration, or nil if there is none within the timeout.
func (sv *Server) awaitConfig(ctx context.Context) *catalog.Config {
	if cfg := sv.Config(); cfg != nil {
		return cfg
	}
	now := sv.Clock.Now()
	sv.firstUnconfigured.CompareAndSwap(0, now.UnixNano())
	until := time.Unix(0, sv.firstUnconfigured.Load()).Add(configTimeout)
	for sv.Clock.Now().Before(until) {
		if sv.Clock.Sleep(ctx, configPollInterval) != nil {
			return nil
		}
		if cfg := sv.Config(); cfg != nil {
			return cfg
		}
	}
	return nil
}
