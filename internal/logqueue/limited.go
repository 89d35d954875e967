package logqueue

import (
	"log/slog"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
)

// maxLinesPerSecond bounds the lines of a Limited in a second.
const maxLinesPerSecond = 10

// Limited logs events that clients can cause as often as they like. It writes a bounded number of lines
// and counts the others. Set the exported fields before use.
type Limited struct {
	Clock clock.Clock
	Log   *slog.Logger

	mu         sync.Mutex
	begin      time.Time
	lines      int
	suppressed int
}

// Warn writes a line unless there were too many. The first line after that has their number.
func (li *Limited) Warn(msg string, attrs ...any) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if now := li.Clock.Now(); now.Sub(li.begin) >= time.Second {
		li.begin, li.lines = now, 0
	}
	if li.lines == maxLinesPerSecond {
		li.suppressed++
		return
	}
	li.lines++
	if li.suppressed > 0 {
		attrs = append(attrs, "suppressed", li.suppressed)
		li.suppressed = 0
	}
	li.Log.Warn(msg, attrs...)
}
