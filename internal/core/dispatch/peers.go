package dispatch

import "time"

// peerLoadAge is how long what another daemon told of its load counts.
const peerLoadAge = 2 * time.Second

// relayedPeer is the name under which the load of all other daemons together
// is kept, where one daemon adds it up for the others.
const relayedPeer = ""

// peerLoad is what another daemon has sent to the groups, by their names.
type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// PeerLoads takes in what another daemon has sent to the groups. It replaces
// what was relayed, which holds the same load.
func (ta *Table) PeerLoads(peer string, loads map[string]Load, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.peers == nil {
		return
	}
	ta.replace(relayedPeer, nil)
	ta.replace(peer, loads)
	ta.peers[peer] = peerLoad{at: now, loads: loads}
	delete(ta.peers, relayedPeer)
	if now.Sub(ta.expired) > peerLoadAge/4 {
		ta.expired = now
		ta.sumPeers(now)
	}
}

// replace counts a daemon's load at the groups instead of what it told before.
func (ta *Table) replace(peer string, loads map[string]Load) {
	for name, lo := range ta.peers[peer].loads {
		if gr := ta.groups[name]; gr != nil {
			gr.peers = gr.peers.minus(lo)
		}
	}
	for name, lo := range loads {
		if gr := ta.groups[name]; gr != nil {
			gr.peers = gr.peers.plus(lo)
		}
	}
}

// RelayedLoads takes in what all other daemons together have sent to the
// groups. It replaces what single daemons told.
func (ta *Table) RelayedLoads(loads map[string]Load, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.peers == nil {
		return
	}
	clear(ta.peers)
	ta.peers[relayedPeer] = peerLoad{at: now, loads: loads}
	ta.sumPeers(now)
}

// sumPeers adds up what the daemons told lately and forgets the rest.
func (ta *Table) sumPeers(now time.Time) {
	for _, gr := range ta.groups {
		gr.peers = Load{}
	}
	for peer, pl := range ta.peers {
		if now.Sub(pl.at) > peerLoadAge {
			delete(ta.peers, peer)
			continue
		}
		for name, lo := range pl.loads {
			if gr := ta.groups[name]; gr != nil {
				gr.peers = gr.peers.plus(lo)
			}
		}
	}
}

// Own returns the load that this daemon has sent to each group.
func (ta *Table) Own() map[string]Load {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	loads := make(map[string]Load, len(ta.groups))
	for name, gr := range ta.groups {
		if gr.own.Requests > 0 {
			loads[name] = gr.own
		}
	}
	return loads
}

// LoadsBut returns the load of each group without what one other daemon has
// sent there: what that daemon can't know by itself.
func (ta *Table) LoadsBut(peer string) map[string]Load {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	told := ta.peers[peer].loads
	loads := make(map[string]Load, len(ta.groups))
	for name, gr := range ta.groups {
		if lo := gr.own.plus(gr.peers).minus(told[name]); lo.Requests > 0 {
			loads[name] = lo
		}
	}
	return loads
}
