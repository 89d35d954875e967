package dispatch

import (
	"sync"
	"time"
)

// Waits estimates how long callers have waited before the attempt at hand. A
// caller counts its wait from its first attempt, which may have been refused by
// another daemon, and an attempt does not say whether it is the first. But each
// tells how long the caller will still wait, and first attempts on a route all
// tell about the same.
type WaitEstimator struct {
	mu     sync.Mutex
	routes map[string]*patiences
}

// patiences are the times that the last callers on a route would wait.
type patiences struct {
	last [64]time.Duration
	// seen is how many of last are set.
	seen, next int
}

const (
	// usualCount is how often a time occurs among the last ones that is taken as
	// that of first attempts. Callers that come back tell all sorts of times.
	usualCount = 5
	// patienceBand is the part by which the times of first attempts may differ.
	patienceBand = 0.16
	// enoughSeen is how many times are known before they say more than the route's timeout.
	enoughSeen = 16
	// firstShare is the least part of the last callers that first attempts are.
	firstShare = 0.1
	// maxRoutes bounds the routes that are kept: those of old configurations
	// stay until there are too many.
	maxRoutes = 1024
)

// Before returns how long the caller of a request has waited already, and notes
// how long it will wait still. It is 0 for first attempts. timeout is the route's, for
// which callers are taken to wait until their own times are known.
func (wa *WaitEstimator) ElapsedWait(route string, patience, timeout time.Duration) time.Duration {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	pa := wa.routes[route]
	if pa == nil {
		if wa.routes == nil || len(wa.routes) >= maxRoutes {
			wa.routes = make(map[string]*patiences)
		}
		pa = &patiences{}
		wa.routes[route] = pa
	}
	pa.add(patience)
	if usual := pa.usual(patience); usual > 0 {
		return usual - patience
	}
	if longest := pa.longest(timeout); patience < scale(longest, 1-patienceBand) {
		return longest - patience
	}
	return 0
}

func (pa *patiences) add(patience time.Duration) {
	pa.last[pa.next] = patience
	pa.next = (pa.next + 1) % len(pa.last)
	pa.seen = min(len(pa.last), pa.seen+1)
}

// usual returns the shortest time that first attempts tell exactly and that is not
// shorter than patience; 0 if there is none.
func (pa *patiences) usual(patience time.Duration) time.Duration {
	best := time.Duration(0)
	for _, du := range pa.last[:pa.seen] {
		if du >= patience && (best == 0 || du < best) && pa.count(du, du) >= usualCount {
			best = du
		}
	}
	return best
}

// longest returns the longest time that first attempts tell, where their times differ.
func (pa *patiences) longest(timeout time.Duration) time.Duration {
	if pa.seen < enoughSeen {
		return timeout
	}
	longest := time.Duration(0)
	for _, du := range pa.last[:pa.seen] {
		if du > longest && float64(pa.count(scale(du, 1-patienceBand), du)) >= firstShare*float64(pa.seen) {
			longest = du
		}
	}
	return longest
}

// count returns how many of the last times lie between two.
func (pa *patiences) count(from, to time.Duration) int {
	num := 0
	for _, du := range pa.last[:pa.seen] {
		if du >= from && du <= to {
			num++
		}
	}
	return num
}
