// Package backpressure holds what endpoints say in their answers of how much they take.
package backpressure

import (
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Limit is the number of requests a second that an endpoint takes from all daemons together.
type Limit struct {
	PerSecond float64
	// Named is false if the endpoint names no limit.
	Named bool
}

// Register holds what endpoints said last. It may be used from several goroutines; the zero
// value is ready for use.
type Register struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint is what one process of an endpoint said.
type endpoint struct {
	incarnation catalog.Incarnation
	limit       Limit
	// limitAt is when the endpoint held to the limit for certain: when an answer that names it
	// came, or when the request was sent whose answer names none.
	limitAt time.Time
}

// SetLimit takes in the limit of an answer to a request that was sent then, and tells whether
// it differs from what was known.
func (re *Register) SetLimit(li catalog.Life, limit Limit, sent, now time.Time) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	ep := re.endpoints[li.ID]
	if ep == nil && !limit.Named {
		return false
	}
	ep = re.life(li)
	if ep == nil {
		return false
	}
	at := now
	if !limit.Named {
		// An answer may come late, after one that the endpoint made later.
		at = sent
	}
	if at.Before(ep.limitAt) {
		return false
	}
	changed := ep.limit != limit
	ep.limit, ep.limitAt = limit, at
	return changed
}

// life returns what is known of a life of an endpoint, or nil if a later life is known.
func (re *Register) life(li catalog.Life) *endpoint {
	ep := re.endpoints[li.ID]
	if ep != nil && ep.incarnation.Differs(li.Incarnation) {
		if li.Incarnation < ep.incarnation {
			return nil
		}
		ep = nil
	}
	if ep == nil {
		if re.endpoints == nil {
			re.endpoints = make(map[string]*endpoint)
		}
		ep = &endpoint{}
		re.endpoints[li.ID] = ep
	}
	if ep.incarnation == 0 {
		ep.incarnation = li.Incarnation
	}
	return ep
}

// Limited returns the number of endpoints that name a limit.
func (re *Register) Limited() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	num := 0
	for _, ep := range re.endpoints {
		if ep.limit.Named {
			num++
		}
	}
	return num
}
