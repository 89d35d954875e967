// Package rtt estimates response times of peers and of the local machine, so that timeouts adapt to
// current conditions. It performs no I/O.
package rtt

import "time"

// Smoothing weights of a new sample in the mean and in the variation, and the number of variations
// added to the mean to get a timeout, as in RFC 6298.
const (
	meanWeight      = 1.0 / 8
	variationWeight = 1.0 / 4
	variationFactor = 4
)

// Estimator keeps the smoothed mean and variation of response times. Its zero value has no samples.
type Estimator struct {
	mean, variation time.Duration
	initialized     bool
}

// Add records the duration of one response. Callers must also add responses that arrive after the
// timeout; without them an estimate that is too low would never grow.
func (es *Estimator) Add(took time.Duration) {
	if !es.initialized {
		es.initialized, es.mean, es.variation = true, took, took/2
		return
	}
	es.variation += time.Duration(variationWeight * float64((es.mean-took).Abs()-es.variation))
	es.mean += time.Duration(meanWeight * float64(took-es.mean))
}

// Timeout returns the timeout for a response: the mean plus four variations, clamped to the range from
// least to most. It returns least if there are no samples.
func (es *Estimator) Timeout(least, most time.Duration) time.Duration {
	return min(most, max(least, es.mean+variationFactor*es.variation))
}
