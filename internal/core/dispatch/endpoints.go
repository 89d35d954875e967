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
	// minAvoidTime and maxAvoidTime bound how long an endpoint is avoided after a failure; the time
	// doubles with each consecutive failure.
	minAvoidTime = 300 * time.Millisecond
	maxAvoidTime = 5 * time.Second
	// remotePenalty is the cost of an endpoint in another data centre, in waiting requests. It keeps
	// traffic local until the local endpoints are busy.
	remotePenalty = 1.0
	// failureWeight is the weight of a new outcome in an endpoint's failure rate: it smooths over
	// about ten requests. failurePenalty is the cost of a failure rate of 1, in waiting requests.
	failureWeight  = 0.1
	failurePenalty = 20.0
	// failureDecay is the time constant with which a failure rate decays without new outcomes.
	// Without it, an endpoint with a high rate would get no requests, and so no new outcomes, while
	// other endpoints are idle.
	failureDecay = 5 * time.Second
	// latencyWeight is the weight of a new sample in an endpoint's smoothed latency.
	latencyWeight = 0.2
)

// PlainTable holds the endpoints of the services without groups and selects among them. It is safe
// for concurrent use.
type PlainTable struct {
	// DataCenter is the daemon's own data centre.
	DataCenter string
	// Backpressure holds the limits that endpoints report; nil means no limits.
	Backpressure *backpressure.Tracker
	mu           sync.Mutex
	services     map[string][]*PlainEndpoint
}

// PlainEndpoint is an endpoint in the view together with this daemon's measurements of it. The
// embedded part is read without the lock, so it is never changed.
type PlainEndpoint struct {
	catalog.PlainEndpoint
	leaving bool
	// openRequests is the number of this daemon's requests that have not ended, failures the number
	// of consecutive failures.
	openRequests        int
	failures            int
	smoothedFailureRate float64
	// failureRateAt is when smoothedFailureRate was last updated.
	failureRateAt time.Time
	latency       time.Duration
	avoidUntil    time.Time
	others        othersLoad
}

// Update applies a view. Endpoints that remain keep their measurements. An endpoint with a new
// incarnation has restarted and starts without any.
func (pl *PlainTable) Update(vi *catalog.View) {
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

// Pick returns the endpoint of a service with the lowest cost and counts a request there. It returns
// nil if no endpoint outside exclude accepts requests. The caller must end the request with
// RecordResponse, RecordFailure or Release.
func (pl *PlainTable) Pick(service string, exclude []*PlainEndpoint, now time.Time) *PlainEndpoint {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var best *PlainEndpoint
	var bestCost float64
	meanOthers := pl.meanOthers(service, now)
	for _, ep := range pl.services[service] {
		if ep.leaving || slices.Contains(exclude, ep) || !pl.Backpressure.Accepts(ep.Instance(), now) {
			continue
		}
		if co := pl.cost(ep, meanOthers, now); best == nil || co < bestCost {
			best, bestCost = ep, co
		}
	}
	if best != nil {
		best.openRequests++
		pl.Backpressure.RecordSent(best.Instance(), now)
	}
	return best
}

// WaitTime returns the time until the first endpoint of a service is expected to accept a request if
// the limits of all endpoints currently reject it, and 0 otherwise.
func (pl *PlainTable) WaitTime(service string, now time.Time) time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var instances []catalog.Instance
	for _, ep := range pl.services[service] {
		if !ep.leaving {
			instances = append(instances, ep.Instance())
		}
	}
	return waitTime(pl.Backpressure, instances, now)
}

// cost returns the cost of sending a request to the endpoint, in waiting requests. meanOthers is the
// mean number of other daemons' requests at the endpoints of the service. The random term spreads the
// requests of daemons with the same information.
func (pl *PlainTable) cost(ep *PlainEndpoint, meanOthers float64, now time.Time) float64 {
	co := float64(ep.openRequests) + ep.othersAt(meanOthers, now) + ep.failureRate(now)*failurePenalty + float64(ep.latency)/float64(latencyUnit) + rand.Float64()
	if ep.DataCenter != pl.DataCenter {
		co += remotePenalty
	}
	if now.Before(ep.avoidUntil) {
		co += avoidPenalty
	}
	return co
}

const (
	// avoidPenalty ranks endpoints that failed recently behind all others.
	avoidPenalty = 1000
	// latencyUnit is the latency that costs as much as one waiting request.
	latencyUnit = 30 * time.Millisecond
)

// RecordResponse records that an endpoint has responded after the given time. failed is set if the
// response is itself a failure.
func (pl *PlainTable) RecordResponse(ep *PlainEndpoint, took time.Duration, failed bool, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep.openRequests--
	ep.failures = 0
	ep.avoidUntil = time.Time{}
	ep.latency += time.Duration(latencyWeight * float64(took-ep.latency))
	ep.recordOutcome(failed, now)
}

// failureRate returns the endpoint's smoothed fraction of failures, decayed to now.
func (ep *PlainEndpoint) failureRate(now time.Time) float64 {
	return ep.smoothedFailureRate * math.Exp(-now.Sub(ep.failureRateAt).Seconds()/failureDecay.Seconds())
}

// recordOutcome updates the smoothed failure rate.
func (ep *PlainEndpoint) recordOutcome(failed bool, now time.Time) {
	ep.smoothedFailureRate = ep.failureRate(now) * (1 - failureWeight)
	ep.failureRateAt = now
	if failed {
		ep.smoothedFailureRate += failureWeight
	}
}

// RecordFailure records that an endpoint gave no usable response. The endpoint is avoided for some
// time.
func (pl *PlainTable) RecordFailure(ep *PlainEndpoint, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep.openRequests--
	ep.recordFailure(now)
}

// RecordSilence records that an endpoint has a request and gives no response for a long time. It is
// avoided as after a failure. The request has not ended.
func (pl *PlainTable) RecordSilence(ep *PlainEndpoint, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep.recordFailure(now)
}

// recordFailure counts a failure and sets until when the endpoint is avoided.
func (ep *PlainEndpoint) recordFailure(now time.Time) {
	ep.recordOutcome(true, now)
	ep.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(ep.failures, 4)))
	ep.failures++
}

// Release records that a request ended with no information about the endpoint.
func (pl *PlainTable) Release(ep *PlainEndpoint) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep.openRequests--
}

// RequestsIn returns the number of this daemon's requests that have not ended at the endpoints of a
// data centre.
func (pl *PlainTable) RequestsIn(dataCenter string) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	num := 0
	for _, list := range pl.services {
		for _, ep := range list {
			if ep.DataCenter == dataCenter {
				num += ep.openRequests
			}
		}
	}
	return num
}

// Count returns the number of endpoints of a service in the view.
func (pl *PlainTable) Count(service string) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.services[service])
}
