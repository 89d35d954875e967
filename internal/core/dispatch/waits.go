package dispatch

import (
	"sync"
	"time"
)

// Waits estimates how long callers have waited before the attempt at hand. A
// caller counts its wait from its first attempt, which may have been refused by
// another daemon, and an attempt does not say whether it is the first. But each
// tells how long the caller will still wait, and first attempts on a route all
// tell the same.
type Waits struct {
	mu     sync.Mutex
	routes map[string]*patiences
}

// patiences are the times that the last callers on a route would wait.
type patiences struct {
	last [64]time.Duration
	next int
}

const (
	// usualCount is how often a time occurs among the last ones that is taken as
	// that of first attempts. Callers that come back tell all sorts of times.
	usualCount = 5
	// maxRoutes bounds the routes that are kept: those of old configurations
	// stay until there are too many.
	maxRoutes = 1024
)

// Before returns how long the caller of a request has waited already, and notes
// how long it will wait still. It is 0 if that is not known.
func (wa *Waits) Before(route string, patience time.Duration) time.Duration {
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
	pa.last[pa.next] = patience
	pa.next = (pa.next + 1) % len(pa.last)
	if usual := pa.usual(patience); usual > 0 {
		return usual - patience
	}
	return 0
}

// usual returns the shortest time that first attempts tell and that is not
// shorter than patience; 0 if there is none.
func (pa *patiences) usual(patience time.Duration) time.Duration {
	best := time.Duration(0)
	for _, du := range pa.last {
		if du >= patience && (best == 0 || du < best) && pa.count(du) >= usualCount {
			best = du
		}
	}
	return best
}

func (pa *patiences) count(of time.Duration) int {
	num := 0
	for _, du := range pa.last {
		if du == of {
			num++
		}
	}
	return num
}
