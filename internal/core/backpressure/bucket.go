package backpressure

import (
	"math"
	"time"
)

// bucket is a token bucket for one daemon's share of a rate that all daemons use together. Its
// capacity is burst.
type bucket struct {
	// tokens is the number of requests that this daemon may send, as of refilledAt. It is negative
	// after requests in excess of the share.
	tokens     float64
	refilledAt time.Time
}

// burst is the capacity of a daemon's token bucket, in requests.
const burst = 1

// clear empties the bucket.
func (bu *bucket) clear(now time.Time) { bu.tokens, bu.refilledAt = 0, now }

// refill adds the tokens that have accrued since the last refill; rate is in requests a second.
func (bu *bucket) refill(now time.Time, rate float64) {
	bu.tokens = min(burst, bu.tokens+rate*now.Sub(bu.refilledAt).Seconds())
	bu.refilledAt = now
}

// take deducts one request.
func (bu *bucket) take(now time.Time, rate float64) {
	bu.refill(now, rate)
	bu.tokens--
}

// waitTime returns the time until a request may be sent.
func (bu *bucket) waitTime(now time.Time, rate float64) time.Duration {
	bu.refill(now, rate)
	missing := max(0, burst-bu.tokens)
	return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
}
