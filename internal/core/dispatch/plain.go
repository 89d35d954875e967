package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// avoidFirst and avoidMost bound how long an endpoint that failed is
	// avoided; the time doubles with each failure in a row.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 5 * time.Second
	// remotePenalty is what another data centre counts against an endpoint, in
	// waiting requests. It keeps traffic local until the own are busy.
	remotePenalty = 1.0
	// failureWeight smooths an endpoint's rate of failures over some ten
	// answers, and failurePenalty is what a rate of 1 counts in requests.
	failureWeight  = 0.1
	failurePenalty = 20.0
	// failureSpan is the time in which a rate of failures fades that is not measured again:
	// nothing is sent to an endpoint with a high rate while others have little to do.
	failureSpan = 5 * time.Second
	// latencyWeight smooths the time of answers.
	latencyWeight = 0.2
)

// Plain holds the endpoints of services without groups.
type Plain struct {
	// DataCenter is the daemon's own.
	DataCenter string
	// Backpressure holds what endpoints say of how much they take; nil means that none says
	// anything.
	Backpressure *backpressure.Register
	mu           sync.Mutex
	services     map[string][]*PlainEndpoint
}

// PlainEndpoint is an endpoint with what this daemon knows of it. The embedded
// part is read without the lock, so it is never changed.
type PlainEndpoint struct {
	catalog.PlainEndpoint
	leaving  bool
	open     int
	failures int
	rate     float64
	// ratedAt is when the rate of failures was last measured.
	ratedAt time.Time
	latency time.Duration
	avoid   time.Time
}

// Update takes a view in. What is known of endpoints that stay is kept; one that
// has started again is another one.
func (pl *Plain) Update(vi *catalog.View) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	known := make(map[string]*PlainEndpoint)
	for _, list := range pl.services {
		for _, ep := range list {
			known[ep.ID] = ep
		}
	}
	pl.services = make(map[string][]*PlainEndpoint)
	for _, ce := range vi.Plain {
		ep := known[ce.ID]
		if ep == nil || ep.Incarnation.Differs(ce.Incarnation) {
			ep = &PlainEndpoint{PlainEndpoint: ce}
		}
		ep.leaving = ce.Leaving
		pl.services[ce.Service] = append(pl.services[ce.Service], ep)
	}
}

// Pick returns the endpoint of a service with the least to do, and counts a
// request there. It returns nil when there is none besides those excepted.
func (pl *Plain) Pick(service string, except []*PlainEndpoint, now time.Time) *PlainEndpoint {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var best *PlainEndpoint
	var bestCost float64
	for _, ep := range pl.services[service] {
		if ep.leaving || slices.Contains(except, ep) || !pl.Backpressure.Accepts(ep.Instance(), now) {
			continue
		}
		if co := pl.cost(ep, now); best == nil || co < bestCost {
			best, bestCost = ep, co
		}
	}
	if best != nil {
		best.open++
		pl.Backpressure.RecordSent(best.Instance(), now)
	}
	return best
}

// Opens returns after what time the first endpoint of a service should take a request, if all
// of them take none now because of what they say, and 0 otherwise.
func (pl *Plain) WaitTime(service string, now time.Time) time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var lives []catalog.Instance
	for _, ep := range pl.services[service] {
		if !ep.leaving {
			lives = append(lives, ep.Instance())
		}
	}
	return opens(pl.Backpressure, lives, now)
}

// cost counts in waiting requests. The random part spreads the requests of
// daemons that know the same.
func (pl *Plain) cost(ep *PlainEndpoint, now time.Time) float64 {
	co := float64(ep.open) + ep.failureRate(now)*failurePenalty + float64(ep.latency)/float64(latencyUnit) + rand.Float64()
	if ep.DataCenter != pl.DataCenter {
		co += remotePenalty
	}
	if now.Before(ep.avoid) {
		co += avoidPenalty
	}
	return co
}

const (
	// avoidPenalty puts endpoints that failed lately behind all others.
	avoidPenalty = 1000
	// latencyUnit is the time that counts as one waiting request.
	latencyUnit = 30 * time.Millisecond
)

// Answered tells that an endpoint has answered after that time.
func (pl *Plain) RecordResponse(ep *PlainEndpoint, took time.Duration, failed bool, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep.open--
	ep.failures = 0
	ep.avoid = time.Time{}
	ep.latency += time.Duration(latencyWeight * float64(took-ep.latency))
	ep.count(failed, now)
}

// failureRate is the part of the endpoint's answers that were failures.
func (ep *PlainEndpoint) failureRate(now time.Time) float64 {
	return ep.rate * math.Exp(-now.Sub(ep.ratedAt).Seconds()/failureSpan.Seconds())
}

func (ep *PlainEndpoint) count(failed bool, now time.Time) {
	ep.rate = ep.failureRate(now) * (1 - failureWeight)
	ep.ratedAt = now
	if failed {
		ep.rate += failureWeight
	}
}

// Failed tells that an endpoint gave no answer that can be used.
func (pl *Plain) RecordFailure(ep *PlainEndpoint, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep.open--
	ep.count(true, now)
	ep.avoid = now.Add(min(avoidMost, avoidFirst<<min(ep.failures, 4)))
	ep.failures++
}

// Dropped tells that a request ended without saying anything of the endpoint.
func (pl *Plain) Release(ep *PlainEndpoint) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep.open--
}

// Count returns how many endpoints of a service may be sent requests.
func (pl *Plain) Count(service string) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.services[service])
}
