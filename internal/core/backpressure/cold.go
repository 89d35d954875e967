package backpressure

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// A cold endpoint tolerates only a few requests a second, and crashes at more. Like a limit that
// an endpoint announces, this applies to all daemons together, so the first few daemons by
// rendezvous hashing share it. Other than there, a daemon that may not know all others sends
// nothing, and no others take the place of senders that have failed: the endpoint is cold for a
// few seconds only.

// Cold is an endpoint that is cold, with the requests that it tolerates.
type Cold struct {
	Instance catalog.Instance
	// PerSecond is the rate of requests from all daemons together. Peak is the number that may
	// arrive within any second.
	PerSecond, Peak float64
}

// coldBurstShare is the part of the difference between the peak and the rate that senders may use
// up by sending at the same moment. The rest is for requests that arrive closer together than
// they were sent, and for daemons that have not learned yet that the endpoint is cold.
const coldBurstShare = 0.5

// senders returns how many of the given number of daemons share the rate.
func (cl Cold) senders(daemons int) int {
	return max(1, min(daemons, int((cl.Peak-cl.PerSecond)*coldBurstShare/burst)))
}

// rate returns a sender's share of the rate, in requests a second. It is never zero, so that each
// waiting time is finite.
func (cl Cold) rate(daemons int) float64 {
	return max(minPerSecond, min(cl.PerSecond, cl.Peak-burst)) / float64(cl.senders(daemons))
}

// coldState is a cold endpoint and the token bucket for this daemon's share.
type coldState struct {
	Cold
	bucket
	rank int
}

// waitTime returns how long this daemon must wait before it may send a request to the endpoint.
// The second value is false if it is not among the senders.
func (cs *coldState) waitTime(now time.Time, daemons int) (time.Duration, bool) {
	if cs.rank >= cs.senders(daemons) {
		return 0, false
	}
	return cs.bucket.waitTime(now, cs.rate(daemons)), true
}

// SetCold replaces the list of cold endpoints. An endpoint that stays in the list keeps its share.
func (re *Tracker) SetCold(cold []Cold, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	next := make(map[catalog.Instance]*coldState, len(cold))
	for _, cl := range cold {
		cs := re.cold[cl.Instance]
		if cs == nil {
			cs = &coldState{}
			cs.clear(now)
			cs.rank = re.daemons.rankAmongKnown(cl.Instance.ID)
		}
		cs.Cold = cl
		next[cl.Instance] = cs
	}
	re.cold = next
	re.countEndpoints()
}

// updateColdRanks applies a change of the daemons to the shares.
func (re *Tracker) updateColdRanks(now time.Time) {
	for li, cs := range re.cold {
		rank := re.daemons.rankAmongKnown(li.ID)
		if rank < cs.rank {
			cs.clear(now)
		}
		cs.rank = rank
	}
}

// rankAmongKnown returns the position of this daemon in the endpoint's order of all known
// daemons, or unranked while this daemon may not know all of them.
func (da *Daemons) rankAmongKnown(endpoint string) int {
	if da.Own == "" {
		return 0
	}
	if !da.Complete {
		return unranked
	}
	return da.rankAmong(da.Known, endpoint)
}

// NumCold returns the number of cold endpoints whose requests are limited.
func (re *Tracker) NumCold() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return len(re.cold)
}
