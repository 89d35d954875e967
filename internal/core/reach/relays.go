package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidTime is how long a daemon that reached no endpoint for this one is asked last.
	avoidTime = time.Second
	// remoteCost is the cost of a daemon in another data centre, in open connections: bytes
	// between data centres are dear, but the last daemons of one must not be overrun.
	remoteCost = 8
	// avoidCost ranks daemons that are avoided behind all others.
	avoidCost = 1e6
)

// Candidate is a daemon that may open connections for this one.
type Candidate struct {
	IP, DataCenter string
	// Lost is the number of endpoints that the daemon itself does not reach.
	Lost int
}

// Relays chooses the daemons through which this one connects to endpoints. It is safe for
// concurrent use; set DataCenter before.
type Relays struct {
	// DataCenter is this daemon's own data centre.
	DataCenter string
	mu         sync.Mutex
	relays     map[string]*relay
}

// relay is the state of one daemon, by its IP address.
type relay struct {
	open       int
	avoidUntil time.Time
}

// Pick returns the candidate with the lowest cost that is not among those tried, or false if there is
// none. The random term spreads the connections of daemons with the same information. Each one
// tried counts against its data centre: all of it may be cut off.
func (re *Relays) Pick(candidates, tried []Candidate, now time.Time) (Candidate, bool) {
	triedIn := make(map[string]int)
	for _, ca := range tried {
		triedIn[ca.DataCenter]++
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	var best Candidate
	var bestCost float64
	found := false
	for _, ca := range candidates {
		if slices.Contains(tried, ca) {
			continue
		}
		co := re.cost(ca, now) + remoteCost*float64(triedIn[ca.DataCenter])
		if !found || co < bestCost {
			best, bestCost, found = ca, co, true
		}
	}
	return best, found
}

func (re *Relays) cost(ca Candidate, now time.Time) float64 {
	co := rand.Float64() + float64(ca.Lost)
	if ca.DataCenter != re.DataCenter {
		co += remoteCost
	}
	if rl := re.relays[ca.IP]; rl != nil {
		co += float64(rl.open)
		if now.Before(rl.avoidUntil) {
			co += avoidCost
		}
	}
	return co
}

// Opened records a connection through a daemon. The caller must call Closed when it has ended.
func (re *Relays) Opened(ip string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	rl := re.relay(ip)
	rl.open++
	rl.avoidUntil = time.Time{}
}

// Closed records the end of a connection through a daemon.
func (re *Relays) Closed(ip string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.relay(ip).open--
}

// Failed records that a daemon did not reach an endpoint that this one or another did reach, or did
// not answer. An endpoint that is down speaks against no daemon.
func (re *Relays) Failed(ip string, now time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.relay(ip).avoidUntil = now.Add(avoidTime)
}

// relay returns the state of a daemon, and creates it if necessary. re.mu must be held.
func (re *Relays) relay(ip string) *relay {
	if re.relays == nil {
		re.relays = make(map[string]*relay)
	}
	if re.relays[ip] == nil {
		re.relays[ip] = new(relay)
	}
	return re.relays[ip]
}
