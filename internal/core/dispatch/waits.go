package dispatch

import (
	"sync"
	"time"
)

// WaitEstimator estimates how long the caller of a request has already waited. The caller's timeout
// runs from its first attempt, which another daemon may have refused, and a request does not state
// whether it is a retry. But each request states the remaining time, and first attempts on a route
// all state about the same. WaitEstimator is safe for concurrent use.
type WaitEstimator struct {
	mu     sync.Mutex
	routes map[string]*timeoutHistory
}

// timeoutHistory holds the remaining times of the last requests on a route.
type timeoutHistory struct {
	recent [64]time.Duration
	// seen is the number of valid entries in recent, next the index of the next one to write.
	seen, next int
}

const (
	// minRepeats is how often a time must occur among the recent ones to count as the timeout of
	// first attempts. The remaining times of retries vary.
	minRepeats = 5
	// timeoutBand is the fraction by which the timeouts of first attempts may differ.
	timeoutBand = 0.16
	// minSamples is the number of samples below which the route's timeout is assumed instead.
	minSamples = 16
	// minFirstShare is the least fraction of the recent requests that are first attempts.
	minFirstShare = 0.1
	// maxRoutes limits the number of routes tracked. Routes of old configurations stay until the
	// limit is reached, when all are dropped.
	maxRoutes = 1024
)

// ElapsedWait returns how long the caller of a request has already waited, and records remaining,
// the time that it will still wait. It returns 0 for first attempts. timeout is the route's timeout,
// which is assumed for callers until enough samples are recorded.
func (wa *WaitEstimator) ElapsedWait(route string, remaining, timeout time.Duration) time.Duration {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	pa := wa.routes[route]
	if pa == nil {
		if wa.routes == nil || len(wa.routes) >= maxRoutes {
			wa.routes = make(map[string]*timeoutHistory)
		}
		pa = &timeoutHistory{}
		wa.routes[route] = pa
	}
	pa.add(remaining)
	if exact := pa.exactTimeout(remaining); exact > 0 {
		return exact - remaining
	}
	if longest := pa.longestTimeout(timeout); remaining < scale(longest, 1-timeoutBand) {
		return longest - remaining
	}
	return 0
}

// add records the remaining time of a request.
func (pa *timeoutHistory) add(remaining time.Duration) {
	pa.recent[pa.next] = remaining
	pa.next = (pa.next + 1) % len(pa.recent)
	pa.seen = min(len(pa.recent), pa.seen+1)
}

// exactTimeout returns the shortest time of at least remaining that occurs often enough to be the
// exact timeout of first attempts; 0 if there is none.
func (pa *timeoutHistory) exactTimeout(remaining time.Duration) time.Duration {
	best := time.Duration(0)
	for _, du := range pa.recent[:pa.seen] {
		if du >= remaining && (best == 0 || du < best) && pa.countBetween(du, du) >= minRepeats {
			best = du
		}
	}
	return best
}

// longestTimeout returns the longest timeout of first attempts where their timeouts vary, or timeout
// if there are too few samples.
func (pa *timeoutHistory) longestTimeout(timeout time.Duration) time.Duration {
	if pa.seen < minSamples {
		return timeout
	}
	longest := time.Duration(0)
	for _, du := range pa.recent[:pa.seen] {
		if du > longest && float64(pa.countBetween(scale(du, 1-timeoutBand), du)) >= minFirstShare*float64(pa.seen) {
			longest = du
		}
	}
	return longest
}

// countBetween returns how many of the recent times are between from and to, inclusive.
func (pa *timeoutHistory) countBetween(from, to time.Duration) int {
	num := 0
	for _, du := range pa.recent[:pa.seen] {
		if du >= from && du <= to {
			num++
		}
	}
	return num
}
