package backpressure

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The limit of an endpoint applies to all daemons together. With a token bucket in each of 195
// daemons, the endpoint could receive 195 requests at once. Therefore only the first few daemons
// by rendezvous hashing send to it, each at an equal share of the limit. This needs no
// coordination, and if the daemons' membership views differ slightly, only a few shares change.
// The order covers unresponsive daemons as well: in a network partition each part would otherwise
// choose senders of its own.

const (
	// minSenders is the number of daemons that share a limit in addition to one per request a
	// second, so that the endpoint is still used if one of them has failed or receives no
	// requests.
	minSenders = 2
	// minPerSecond is the lowest rate of requests a second sent to a limited endpoint, even if
	// its limit is smaller: only its responses show that the limit has changed.
	minPerSecond = 0.25
	// extraSenderInterval is the time without a confirmed limit after which one more daemon may
	// send, and another one after each further interval: the regular senders may have no
	// requests for the endpoint.
	extraSenderInterval = 10 * time.Second
	// unranked is the rank of a daemon that does not accept requests and so never sends any.
	unranked = math.MaxInt
)

// Limit is the request rate that an endpoint accepts from all daemons together.
type Limit struct {
	// PerSecond is the rate in requests a second.
	PerSecond float64 `json:"per-second,omitempty" cbor:"1,keyasint,omitempty"`
	// Named is false if the endpoint has announced no limit.
	Named bool `json:"named,omitempty" cbor:"2,keyasint,omitempty"`
}

// perSecond returns the rate at which all daemons together may send, in requests a second.
func (li Limit) perSecond() float64 { return max(li.PerSecond, minPerSecond) }

// senders returns how many of the given number of daemons share the limit.
func (li Limit) senders(daemons int) int {
	return int(min(float64(daemons), minSenders+math.Ceil(li.perSecond())))
}

// limitState is the limit of an endpoint and the token bucket for this daemon's share of it.
type limitState struct {
	limit Limit
	// limitAsOf is the latest time at which the limit is known to have been in force: when a
	// response that announced it arrived, or when a request was sent whose response announced
	// none.
	limitAsOf time.Time
	// rank is the position of this daemon in the endpoint's order of senders; 0 is the first.
	rank int
	bucket
}

// rate returns this daemon's share of the limit, in requests a second.
func (li *limitState) rate(daemons int) float64 {
	return li.limit.perSecond() / float64(li.limit.senders(daemons))
}

// maySend reports whether this daemon is among the senders, regardless of its tokens.
func (li *limitState) maySend(now time.Time, daemons int) bool {
	extra := max(0, int(now.Sub(li.limitAsOf)/extraSenderInterval))
	return li.rank < li.limit.senders(daemons)+extra
}

// waitTime returns how long this daemon must wait for a token. The second value is false if it
// is not among the senders.
func (li *limitState) waitTime(now time.Time, daemons int) (time.Duration, bool) {
	if !li.limit.Named {
		return 0, true
	}
	if !li.maySend(now, daemons) {
		return 0, false
	}
	return li.bucket.waitTime(now, li.rate(daemons)), true
}

// spendToken takes a token for a request, if the endpoint has a limit.
func (li *limitState) spendToken(now time.Time, daemons int) {
	if li.limit.Named {
		li.take(now, li.rate(daemons))
	}
}

// Daemons describes the daemons that share limits.
type Daemons struct {
	// Own is the address of this daemon; empty if it runs alone.
	Own string
	// Accepting lists the addresses of the daemons that accept requests, including this one if it
	// does.
	Accepting []string
	// Known lists the addresses of all daemons seen so far, including this one and unresponsive
	// ones. Complete is set once the list can be expected to hold every daemon.
	Known    []string
	Complete bool
}

// num returns the number of daemons that a limit is divided among. Unresponsive daemons count,
// as they may still be sending.
func (da *Daemons) num() int { return max(1, len(da.Known)) }

// rank returns the position of this daemon in the order of senders to an endpoint with a limit, or
// unranked if it accepts no requests. While this daemon may not know all others, it ranks itself
// among those that accept requests.
func (da *Daemons) rank(endpoint string) int {
	switch {
	case da.Own == "":
		return 0
	case !slices.Contains(da.Accepting, da.Own):
		return unranked
	case da.Complete:
		return da.rankAmong(da.Known, endpoint)
	}
	return da.rankAmong(da.Accepting, endpoint)
}

// rankAmong returns the position of this daemon among others.
func (da *Daemons) rankAmong(others []string, endpoint string) int {
	own, rank := weight(da.Own, endpoint), 0
	for _, ip := range others {
		if weight(ip, endpoint) > own {
			rank++
		}
	}
	return rank
}

// weight returns the rendezvous hash of a daemon for an endpoint. Higher weights rank first.
func weight(daemon, endpoint string) uint64 { return xxhash.Sum64String(daemon + "\x00" + endpoint) }
