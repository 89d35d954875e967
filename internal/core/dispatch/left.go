package dispatch

import "time"

// RequestsAt returns the number of running and waiting requests at a group, those of all daemons
// together. It counts those at a group that has left the view, too.
func (ta *Table) RequestsAt(group string, now time.Time) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	num := 0
	if gr := ta.groups[group]; gr != nil {
		num = gr.ownLoad.Requests
	}
	for _, pe := range ta.peers {
		if now.Sub(pe.at) <= maxPeerLoadAge {
			num += pe.Loads[group].Requests
		}
	}
	return num
}
