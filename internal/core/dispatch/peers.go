package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// maxPeerLoadAge is the age at which the work reported by another daemon is discarded.
const maxPeerLoadAge = 2 * time.Second

// relayedPeer is the key of the combined work of all other daemons, used where one daemon aggregates
// the reports.
const relayedPeer = ""

// Work is the load that one or several daemons place on the groups.
type Work struct {
	// Loads is the load sent to each group, by group name.
	Loads map[string]Load `cbor:"1,keyasint,omitempty"`
	// Rates is the rate of requests for each model, per second.
	Rates map[string]float32 `cbor:"2,keyasint,omitempty"`
	// Demand is the demand for each model. It is not relayed: only the steward uses it, and each
	// daemon reports its own to the steward.
	Demand map[string]catalog.Demand `cbor:"3,keyasint,omitempty"`
	// Ranks is the rate of requests for each model by rank.
	Ranks rankRates `cbor:"5,keyasint,omitempty"`
	// Shares is the work of workspaces, or which of them are above their share.
	Shares Shares `cbor:"6,keyasint,omitzero"`
}

// peerWork is the work reported by another daemon, with the time of the report.
type peerWork struct {
	Work
	at time.Time
}

// ApplyPeerWork records the work reported by another daemon. It replaces any relayed work, which
// includes the same load.
func (ta *Table) ApplyPeerWork(peer string, wo Work, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.peers == nil {
		return
	}
	ta.replacePeerWork(relayedPeer, Work{})
	ta.replacePeerWork(peer, wo)
	ta.peers[peer], ta.reportedAt = peerWork{wo, now}, now
	delete(ta.peers, relayedPeer)
	if now.Sub(ta.expiredAt) > maxPeerLoadAge/4 {
		ta.expiredAt = now
		ta.sumPeers(now)
	}
}

// replacePeerWork replaces a daemon's previous work in the sums.
func (ta *Table) replacePeerWork(peer string, wo Work) {
	before := ta.peers[peer]
	for name, lo := range before.Loads {
		if gr := ta.groups[name]; gr != nil {
			gr.peerLoad = gr.peerLoad.minus(lo)
		}
	}
	for model, perSecond := range before.Rates {
		ta.peerRates[model] -= perSecond
	}
	ta.peerRanks.add(before.Ranks, -1)
	ta.addPeerWork(wo)
}

// addPeerWork adds a daemon's work to the sums over all other daemons.
func (ta *Table) addPeerWork(wo Work) {
	for name, lo := range wo.Loads {
		if gr := ta.groups[name]; gr != nil {
			gr.peerLoad = gr.peerLoad.plus(lo)
		}
	}
	for model, perSecond := range wo.Rates {
		ta.peerRates[model] += perSecond
	}
	ta.peerRanks.add(wo.Ranks, 1)
}

// ApplyRelayedWork records the combined work of all other daemons. It replaces the reports of single
// daemons.
func (ta *Table) ApplyRelayedWork(wo Work, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.peers == nil {
		return
	}
	clear(ta.peers)
	ta.peers[relayedPeer], ta.reportedAt = peerWork{wo, now}, now
	ta.sumPeers(now)
}

// sumPeers recomputes the sums over all other daemons and deletes expired reports.
func (ta *Table) sumPeers(now time.Time) {
	for _, gr := range ta.groups {
		gr.peerLoad = Load{}
	}
	clear(ta.peerRates)
	clear(ta.peerRanks)
	for peer, pe := range ta.peers {
		if now.Sub(pe.at) > maxPeerLoadAge {
			delete(ta.peers, peer)
			continue
		}
		ta.addPeerWork(pe.Work)
	}
}

// OwnWork returns the work of this daemon.
func (ta *Table) OwnWork(now time.Time) Work {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	wo := Work{Loads: make(map[string]Load, len(ta.groups)), Rates: ta.rates.all(now), Demand: ta.ownDemand(now), Ranks: ta.rankCounters.all(now), Shares: ta.ownShares(now)}
	for name, gr := range ta.groups {
		if gr.ownLoad.Requests > 0 {
			wo.Loads[name] = gr.ownLoad
		}
	}
	return wo
}

// WorkExcept returns the work of all daemons except peer, which is what peer lacks for a complete
// estimate of the load.
func (ta *Table) WorkExcept(peer string, now time.Time) Work {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	reported := ta.peers[peer]
	wo := Work{Loads: make(map[string]Load, len(ta.groups)), Rates: ta.rates.all(now)}
	for name, gr := range ta.groups {
		if lo := gr.ownLoad.plus(gr.peerLoad).minus(reported.Loads[name]); lo.Requests > 0 {
			wo.Loads[name] = lo
		}
	}
	for model, perSecond := range ta.peerRates {
		if others := perSecond - reported.Rates[model]; others > minRate {
			wo.Rates[model] += others
		}
	}
	wo.Ranks = ta.rankCounters.all(now)
	wo.Ranks.add(ta.peerRanks, 1)
	wo.Ranks.add(reported.Ranks, -1)
	wo.Ranks.trim()
	wo.Shares.Over = ta.overusers(now)
	return wo
}
