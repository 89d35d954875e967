package backpressure

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// An endpoint's limit holds for all daemons together. A token bucket at each of 195 daemons
// would add up to 195 requests at once, so only some daemons send to the endpoint: the first
// ones by rendezvous hashing, each at an equal part of the limit. They need to ask nobody, and
// views of the daemons that differ by some move the part of a few only.

const (
	// minHolders is the number of daemons that share the smallest limit. The endpoint is used
	// although one of them is gone or gets no requests.
	minHolders = 2
	// minPerSecond is the rate at which an endpoint with a smaller limit is asked: only its
	// answers tell that the limit has changed.
	minPerSecond = 0.25
	// quietSpan is the time without an answer after which one daemon more may send: those
	// whose part it is may get no requests.
	quietSpan = 10 * time.Second
	// burst is the number of requests that a daemon may send at once.
	burst = 1
	// never is the rank of a daemon that doesn't take requests.
	never = math.MaxInt
)

// Limit is the number of requests a second that an endpoint takes from all daemons together.
type Limit struct {
	PerSecond float64 `json:"per-second,omitempty" cbor:"1,keyasint,omitempty"`
	// Named is false if the endpoint names no limit.
	Named bool `json:"named,omitempty" cbor:"2,keyasint,omitempty"`
}

// perSecond is the rate at which the endpoint is sent requests.
func (li Limit) perSecond() float64 { return max(li.PerSecond, minPerSecond) }

// holders is the number of daemons that share the limit.
func (li Limit) holders(daemons int) int {
	return int(min(float64(daemons), minHolders+math.Ceil(li.perSecond())))
}

// limited is an endpoint's limit and what this daemon has left of its part.
type limited struct {
	limit Limit
	// limitAt is when the endpoint held to the limit for certain: when an answer that names it
	// came, or when the request was sent whose answer names none.
	limitAt time.Time
	// rank is this daemon's place among those that may send; 0 is the first.
	rank int
	// tokens are the requests that it may send, as of refilled.
	tokens   float64
	refilled time.Time
}

// empty takes what is left of the daemon's part.
func (li *limited) empty(now time.Time) { li.tokens, li.refilled = 0, now }

// rate is the daemon's part of the limit, in requests a second.
func (li *limited) rate(daemons int) float64 {
	return li.limit.perSecond() / float64(li.limit.holders(daemons))
}

// refill adds what has come since.
func (li *limited) refill(now time.Time, daemons int) {
	li.tokens = min(burst, li.tokens+li.rate(daemons)*now.Sub(li.refilled).Seconds())
	li.refilled = now
}

// holds tells whether this daemon may send to the endpoint at all.
func (li *limited) holds(now time.Time, daemons int) bool {
	quiet := max(0, int(now.Sub(li.limitAt)/quietSpan))
	return li.rank < li.limit.holders(daemons)+quiet
}

// opens returns after what time the daemon may send; false if another daemon may, not it.
func (li *limited) opens(now time.Time, daemons int) (time.Duration, bool) {
	if !li.limit.Named {
		return 0, true
	}
	if !li.holds(now, daemons) {
		return 0, false
	}
	li.refill(now, daemons)
	lacks := max(0, burst-li.tokens)
	return time.Duration(math.Ceil(lacks / li.rate(daemons) * float64(time.Second))), true
}

func (li *limited) spend(now time.Time, daemons int) {
	if li.limit.Named {
		li.refill(now, daemons)
		li.tokens--
	}
}

// daemons are those that share limits.
type daemons struct {
	// own is the address of this one.
	own string
	// taking are those that take requests.
	taking []string
	// known is the number of all that were heard of, also of those that are silent now.
	known int
}

// num is the number of daemons among which a limit is divided. Silent ones count: they may
// be sending still.
func (da *daemons) num() int { return max(1, da.known) }

// rank returns this daemon's place among those that may send to an endpoint.
func (da *daemons) rank(endpoint string) int {
	if da.own == "" {
		return 0
	}
	own, rank, taking := weight(da.own, endpoint), 0, false
	for _, ip := range da.taking {
		taking = taking || ip == da.own
		if weight(ip, endpoint) > own {
			rank++
		}
	}
	if !taking {
		return never
	}
	return rank
}

// weight orders the daemons for an endpoint, as in rendezvous hashing.
func weight(daemon, endpoint string) uint64 { return xxhash.Sum64String(daemon + "\x00" + endpoint) }
