// Package duration keeps how long requests have taken.
package duration

import (
	"sync"
	"time"
)

const (
	// window is how long a duration counts at least; it counts less than twice as long.
	window = 30 * time.Second
	// maxNames bounds the names that are kept.
	maxNames = 1024
)

// Longest keeps the longest recent duration of the requests of each name. The zero value is empty. Its
// methods are safe for concurrent use.
type Longest struct {
	mu sync.Mutex
	// begin is when the current window began.
	begin             time.Time
	current, previous map[string]time.Duration
}

// Add adds the duration of a request that has ended. Names beyond maxNames are not kept.
func (lo *Longest) Add(name string, took time.Duration, now time.Time) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.advance(now)
	longest, known := lo.current[name]
	if known || len(lo.current) < maxNames {
		lo.current[name] = max(longest, took)
	}
}

// Of returns the longest recent duration of a name, and false if there is none.
func (lo *Longest) Of(name string, now time.Time) (time.Duration, bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.advance(now)
	current, inCurrent := lo.current[name]
	previous, inPrevious := lo.previous[name]
	return max(current, previous), inCurrent || inPrevious
}

// advance begins a new window if the current one is over.
func (lo *Longest) advance(now time.Time) {
	if lo.current != nil && now.Sub(lo.begin) < window {
		return
	}
	lo.previous = lo.current
	if now.Sub(lo.begin) >= 2*window {
		lo.previous = nil
	}
	lo.begin, lo.current = now, make(map[string]time.Duration)
}
