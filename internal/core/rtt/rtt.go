// Package rtt estimates how long answers take, so that the time after which one is
// given up follows what peers and the own machine do at present. It does no input or
// output.
package rtt

import "time"

// Weights of a new sample in the smoothed time and in its variation, and the number
// of variations that a limit leaves, as in RFC 6298.
const (
	meanWeight      = 1.0 / 8
	variationWeight = 1.0 / 4
	variations      = 4
)

// Estimator smooths the times that answers took. Its zero value has seen none.
type Estimator struct {
	mean, variation time.Duration
	seen            bool
}

// Add takes in the time that an answer took. Late answers count too: without them an
// estimate that is too low could never grow.
func (es *Estimator) Add(took time.Duration) {
	if !es.seen {
		es.seen, es.mean, es.variation = true, took, took/2
		return
	}
	es.variation += time.Duration(variationWeight * float64((es.mean-took).Abs()-es.variation))
	es.mean += time.Duration(meanWeight * float64(took-es.mean))
}

// Limit returns the time within which an answer is to be expected, between the two
// bounds. It is the lower one before any answer was seen.
func (es *Estimator) Timeout(least, most time.Duration) time.Duration {
	return min(most, max(least, es.mean+variations*es.variation))
}
