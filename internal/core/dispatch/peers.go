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
	// Loads is the load sent to each group. Number 1 was the same in an earlier encoding.
	Loads GroupLoads `cbor:"8,keyasint,omitempty"`
	// Rates is the rate of requests for each model, per second.
	Rates map[string]float32 `cbor:"2,keyasint,omitempty"`
	// Demand is the demand for each model. It is not relayed: only the steward uses it, and each
	// daemon reports its own to the steward.
	Demand map[string]catalog.Demand `cbor:"3,keyasint,omitempty"`
	// Readings holds recent loads that groups' leaders have stated, the newest of each group.
	Readings GroupReadings `cbor:"4,keyasint,omitempty"`
	// Ranks is the rate of requests for each model by rank.
	Ranks rankRates `cbor:"5,keyasint,omitempty"`
	// Shares is the work of workspaces, or which of them are above their share.
	Shares Shares `cbor:"6,keyasint,omitzero"`
	// Returns is the rate of returning requests for each model.
	Returns map[string]Returns `cbor:"7,keyasint,omitempty"`
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
	ta.endBlindness()
	ta.replacePeerWork(relayedPeer, Work{})
	ta.replacePeerWork(peer, wo)
	ta.peers[peer], ta.reportedAt = peerWork{wo, now}, now
	delete(ta.peers, relayedPeer)
	ta.expirePeers(now)
	ta.recordEstimates(now)
	ta.applyPeerReadings(peer, wo.Readings, now)
}

// endBlindness resets the corrections if there was no report of another daemon so far: they stand for
// the requests that the reports will now tell.
func (ta *Table) endBlindness() {
	if len(ta.peers) == 0 {
		ta.resetAccounts()
	}
}

// expirePeers deletes expired reports from time to time.
func (ta *Table) expirePeers(now time.Time) {
	if len(ta.peers) > 0 && now.Sub(ta.expiredAt) > maxPeerLoadAge/4 {
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
	for model, re := range before.Returns {
		ta.peerReturns[model] = ta.peerReturns[model].minus(re)
	}
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
	for model, re := range wo.Returns {
		ta.peerReturns[model] = ta.peerReturns[model].plus(re)
	}
}

// ApplyRelayedWork records the combined work of all other daemons. It replaces the reports of single
// daemons.
func (ta *Table) ApplyRelayedWork(wo Work, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.peers == nil {
		return
	}
	ta.endBlindness()
	clear(ta.peers)
	ta.peers[relayedPeer], ta.reportedAt = peerWork{wo, now}, now
	ta.sumPeers(now)
	ta.recordEstimates(now)
	ta.applyPeerReadings(relayedPeer, wo.Readings, now)
}

// sumPeers recomputes the sums over all other daemons and deletes expired reports.
func (ta *Table) sumPeers(now time.Time) {
	for _, gr := range ta.groups {
		gr.peerLoad = Load{}
	}
	clear(ta.peerRates)
	known := len(ta.peers)
	clear(ta.peerRanks)
	clear(ta.peerReturns)
	for peer, pe := range ta.peers {
		if now.Sub(pe.at) > maxPeerLoadAge {
			delete(ta.peers, peer)
			ta.withdrawReport(pe.Work, now)
			continue
		}
		ta.addPeerWork(pe.Work)
	}
	if known > 0 && len(ta.peers) == 0 {
		ta.resetAccounts()
	}
}

// OwnWork returns the work of this daemon.
func (ta *Table) OwnWork(now time.Time) Work {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	wo := Work{Loads: make(map[string]Load, len(ta.groups)), Rates: ta.rates.all(now), Demand: ta.ownDemand(now),
		Readings: ta.sharedReadings("", true, now), Ranks: ta.rankCounters.all(now), Returns: ta.ownReturns(now), Shares: ta.ownShares(now)}
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
	wo := Work{Loads: make(map[string]Load, len(ta.groups)), Rates: ta.rates.all(now), Readings: ta.sharedReadings(peer, false, now), Returns: ta.ownReturns(now)}
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
	for model, re := range ta.peerReturns {
		if others := re.minus(reported.Returns[model]); others.Due > minReturns || others.Came > minReturns {
			wo.Returns[model] = wo.Returns[model].plus(others)
		}
	}
	wo.Shares.Over = ta.overusers(now)
	return wo
}
