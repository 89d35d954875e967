package backpressure

import "time"

// An endpoint asks one daemon for rest, but it turns the others' requests away as well mostly.
// If each of 195 daemons had to learn that by a refusal of its own, every three seconds anew,
// refusals would use up the retry budget. So the word of one daemon leaves the endpoint to a
// few others, who find out whether it takes requests; once it does, all may send again.

const (
	// probers is the number of daemons that may send to an endpoint which has asked another one
	// for rest.
	probers = 6
	// probeSpan is how long after a rest has ended that still holds: long enough for their
	// requests to be answered and for the others to hear of it.
	probeSpan = 500 * time.Millisecond
)

// rested is what is known of an endpoint that turns requests away.
type rested struct {
	// restUntil is until when it wants no request of this daemon.
	restUntil time.Time
	// shedAt is when it last turned away or took a request of any daemon, shedUntil is until
	// when it is left to the probers; not after shedAt if it took one.
	shedAt, shedUntil time.Time
	// refusals are the requests in a row that it turned away without asking for rest.
	refusals int
}

const (
	// backoffFirst is for how long a daemon leaves out an endpoint that turns requests away
	// without asking for rest. The time doubles with each refusal in a row, up to backoffMost.
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 1600 * time.Millisecond
	// refusalsInRow is the number of refusals in a row from which that holds. One alone is that
	// of an endpoint whose last place was taken meanwhile.
	refusalsInRow = 2
	// refusalsKept is how long after that the refusals still count as in a row.
	refusalsKept = 5 * time.Second
)

// refuse takes in that the endpoint turned a request away without asking for rest.
func (rs *rested) refuse(now time.Time) {
	rs.refusals++
	if rs.refusals < refusalsInRow {
		return
	}
	backoff := min(backoffMost, backoffFirst<<min(rs.refusals-refusalsInRow, 10))
	if until := now.Add(backoff); until.After(rs.restUntil) {
		rs.restUntil = until
	}
}

// opens returns after what time this daemon may send to the endpoint.
func (rs *rested) opens(now time.Time, rank int) time.Duration {
	wait := rs.restUntil.Sub(now)
	if rank >= probers {
		wait = max(wait, rs.shedUntil.Sub(now))
	}
	return wait
}

// setShed takes in that the endpoint turned a request away then, and is to be left to the
// probers for that long; or took one, where that is 0. It tells whether it is news.
func (rs *rested) setShed(at time.Time, span time.Duration) bool {
	if !at.After(rs.shedAt) {
		return false
	}
	rs.shedAt, rs.shedUntil = at, at.Add(span)
	return true
}
