package soak

import (
	"context"
	"log/slog"
	"time"
)

const (
	// pauseInterval is the time between two looks at the clock.
	pauseInterval = 20 * time.Millisecond
	// minLoggedPause is the shortest pause that is logged, below the time after which daemons take an
	// endpoint for lost.
	minLoggedPause = 200 * time.Millisecond
)

// logPauses logs when this process, which also runs the emulated platform and its servers, is not
// scheduled, until ctx ends. Daemons then find all of them unresponsive at once.
func logPauses(ctx context.Context, log *slog.Logger) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(pauseInterval)
		now := time.Now()
		if pause := now.Sub(last) - pauseInterval; pause >= minLoggedPause {
			log.Warn("soak: own process was not scheduled.", "for", pause.Round(time.Millisecond), "until", now.Format(time.StampMilli))
		}
		last = now
	}
}
