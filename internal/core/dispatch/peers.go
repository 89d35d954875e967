package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// peerLoadAge is how long what another daemon told of its load counts.
const peerLoadAge = 2 * time.Second

// relayedPeer is the name under which the load of all other daemons together
// is kept, where one daemon adds it up for the others.
const relayedPeer = ""

// Work is what one or several daemons have to do with groups.
type Work struct {
	// Loads is what they have sent to each group, by its name.
	Loads map[string]Load `cbor:"1,keyasint,omitempty"`
	// Rates are the requests that they get for each model, in a second.
	Rates map[string]float32 `cbor:"2,keyasint,omitempty"`
	// Demand is what callers ask of each model. It is not relayed: only the steward
	// needs it, and each daemon tells it its own.
	Demand map[string]catalog.Demand `cbor:"3,keyasint,omitempty"`
}

// peerWork is another daemon's work, told at that time.
type peerWork struct {
	Work
	at time.Time
}

// PeerWork takes in another daemon's work. It replaces what was relayed, which
// holds the same.
func (ta *Table) ApplyPeerWork(peer string, wo Work, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.peers == nil {
		return
	}
	ta.replace(relayedPeer, Work{})
	ta.replace(peer, wo)
	ta.peers[peer] = peerWork{wo, now}
	delete(ta.peers, relayedPeer)
	if now.Sub(ta.expired) > peerLoadAge/4 {
		ta.expired = now
		ta.sumPeers(now)
	}
}

// replace counts a daemon's work instead of what it told before.
func (ta *Table) replace(peer string, wo Work) {
	before := ta.peers[peer]
	for name, lo := range before.Loads {
		if gr := ta.groups[name]; gr != nil {
			gr.peers = gr.peers.minus(lo)
		}
	}
	for model, perSecond := range before.Rates {
		ta.peerRates[model] -= perSecond
	}
	ta.count(wo)
}

// count adds a daemon's work to that of all others.
func (ta *Table) count(wo Work) {
	for name, lo := range wo.Loads {
		if gr := ta.groups[name]; gr != nil {
			gr.peers = gr.peers.plus(lo)
		}
	}
	for model, perSecond := range wo.Rates {
		ta.peerRates[model] += perSecond
	}
}

// RelayedWork takes in the work of all other daemons together. It replaces what
// single daemons told.
func (ta *Table) ApplyRelayedWork(wo Work, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.peers == nil {
		return
	}
	clear(ta.peers)
	ta.peers[relayedPeer] = peerWork{wo, now}
	ta.sumPeers(now)
}

// sumPeers adds up what the daemons told lately and forgets the rest.
func (ta *Table) sumPeers(now time.Time) {
	for _, gr := range ta.groups {
		gr.peers = Load{}
	}
	clear(ta.peerRates)
	for peer, pe := range ta.peers {
		if now.Sub(pe.at) > peerLoadAge {
			delete(ta.peers, peer)
			continue
		}
		ta.count(pe.Work)
	}
}

// Own returns the work of this daemon.
func (ta *Table) OwnWork(now time.Time) Work {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	wo := Work{Loads: make(map[string]Load, len(ta.groups)), Rates: ta.rates.all(now), Demand: ta.ownDemand(now)}
	for name, gr := range ta.groups {
		if gr.own.Requests > 0 {
			wo.Loads[name] = gr.own
		}
	}
	return wo
}

// WorkBut returns the work of all daemons without that of another one: what
// that one can't know by itself.
func (ta *Table) WorkExcept(peer string, now time.Time) Work {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	told := ta.peers[peer]
	wo := Work{Loads: make(map[string]Load, len(ta.groups)), Rates: ta.rates.all(now)}
	for name, gr := range ta.groups {
		if lo := gr.own.plus(gr.peers).minus(told.Loads[name]); lo.Requests > 0 {
			wo.Loads[name] = lo
		}
	}
	for model, perSecond := range ta.peerRates {
		if others := perSecond - told.Rates[model]; others > minRate {
			wo.Rates[model] += others
		}
	}
	return wo
}
