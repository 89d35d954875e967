package dispatch

import (
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/occupancy"
)

// othersLoad is the number of requests of other daemons at a plain endpoint, from the load that the
// endpoint last stated.
type othersLoad struct {
	requests float64
	asOf     time.Time
}

const (
	// othersLatencies is the time constant with which what is known of the others' requests at an
	// endpoint is lost, in response times of the endpoint. minOthersDecay is the least one: the
	// others' rates change more slowly than that.
	othersLatencies = 4
	minOthersDecay  = 100 * time.Millisecond
)

// ApplyReading records the load that an endpoint states in a response that was received at now, of a
// request that has not been ended yet. refused is set if the response refuses the request, which the
// reading then does not count.
func (pl *PlainTable) ApplyReading(li catalog.Instance, re occupancy.Reading, refused bool, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ep := pl.find(li)
	if ep == nil {
		return
	}
	own := ep.openRequests
	if refused {
		own--
	}
	ep.others = othersLoad{float64(max(0, re.Requests()-own)), now}
}

// find returns the endpoint that is the given instance, or nil.
func (pl *PlainTable) find(li catalog.Instance) *PlainEndpoint {
	for _, list := range pl.services {
		for _, ep := range list {
			if ep.ID == li.ID && !ep.Incarnation.Differs(li.Incarnation) {
				return ep
			}
		}
	}
	return nil
}

// known reports whether the endpoint stated its load recently.
func (ol othersLoad) known(now time.Time) bool {
	return !ol.asOf.IsZero() && now.Sub(ol.asOf) <= occupancy.MaxAge
}

// meanOthers returns the mean number of other daemons' requests at the endpoints of a service that
// stated their load recently, and 0 if there is none.
func (pl *PlainTable) meanOthers(service string, now time.Time) float64 {
	sum, count := 0.0, 0
	for _, ep := range pl.services[service] {
		if ep.others.known(now) {
			sum += ep.others.requests
			count++
		}
	}
	return sum / float64(max(1, count))
}

// othersAt estimates the number of other daemons' requests at the endpoint. It approaches the mean
// over all endpoints of the service as the reading ages: an estimate that approached 0 would favour
// the endpoints with the oldest readings.
func (ep *PlainEndpoint) othersAt(mean float64, now time.Time) float64 {
	if !ep.others.known(now) {
		return mean
	}
	decay := max(minOthersDecay, othersLatencies*ep.latency)
	return mean + (ep.others.requests-mean)*math.Exp(-now.Sub(ep.others.asOf).Seconds()/decay.Seconds())
}
