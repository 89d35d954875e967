package backpressure

import "time"

// An endpoint names a retry time only in its refusal to one daemon, but it usually refuses the
// requests of the other daemons as well. If each of 195 daemons found that out by a refusal of its
// own, again every three seconds, the refusals would use up the retry budget. Therefore a notice
// from one daemon restricts the endpoint to a few other daemons, the probers, which test whether
// it accepts requests. Once it does, all daemons may send again.

const (
	// probers is the number of daemons that may send to an endpoint which has named a retry time
	// to another daemon.
	probers = 6
	// probeSpan is how long the endpoint stays restricted to the probers after the retry time:
	// long enough for their requests to be answered and for the other daemons to be notified.
	probeSpan = 500 * time.Millisecond
)

// shedState is the state of an endpoint that refuses requests.
type shedState struct {
	// backoffUntil is the time until which this daemon sends no requests to the endpoint.
	backoffUntil time.Time
	// shedAt is when the endpoint last refused or accepted a request of any daemon. shedUntil is
	// when the restriction to the probers ends; it is not after shedAt if the request was
	// accepted.
	shedAt, shedUntil time.Time
	// refusals is the number of consecutive refusals without a retry time.
	refusals int
}

const (
	// minBackoff is how long a daemon sends nothing to an endpoint that refuses requests without
	// naming a retry time. The time doubles with each consecutive refusal, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// backoffThreshold is the number of consecutive refusals at which back-off starts. A single
	// refusal only means that another request took the last free slot first.
	backoffThreshold = 2
	// refusalWindow is how long after a back-off the count of consecutive refusals is kept, at
	// least.
	refusalWindow = 5 * time.Second
)

// addRefusal counts a refusal without a retry time, and starts or extends the back-off once there
// are backoffThreshold in a row.
func (rs *shedState) addRefusal(now time.Time) {
	rs.refusals++
	if rs.refusals < backoffThreshold {
		return
	}
	backoff := min(maxBackoff, minBackoff<<min(rs.refusals-backoffThreshold, 10))
	if until := now.Add(backoff); until.After(rs.backoffUntil) {
		rs.backoffUntil = until
	}
}

// waitTime returns how long this daemon must wait before it may send to the endpoint; rank is its
// position in the endpoint's order of senders.
func (rs *shedState) waitTime(now time.Time, rank int) time.Duration {
	wait := rs.backoffUntil.Sub(now)
	if rank >= probers {
		wait = max(wait, rs.shedUntil.Sub(now))
	}
	return wait
}

// setShed records that the endpoint refused a request at the given time and is restricted to the
// probers for span, or, if span is 0, that it accepted one. It reports false if a later refusal or
// acceptance is known already.
func (rs *shedState) setShed(at time.Time, span time.Duration) bool {
	if !at.After(rs.shedAt) {
		return false
	}
	rs.shedAt, rs.shedUntil = at, at.Add(span)
	return true
}
