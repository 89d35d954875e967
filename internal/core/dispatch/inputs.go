package dispatch

import "time"

// recordInputs adds to a refusal the estimates that decided it.
func (ta *Table) recordInputs(ch *Choice, cands []candidate, excess float64, now time.Time) {
	ch.Excess = excess
	for _, ca := range cands {
		ch.FreeSlots += max(0, float64(ca.gr.engine.Slots)-ca.running)
	}
	ch.SumsAge = noSums
	for _, pe := range ta.peers {
		ch.SumsAge = max(ch.SumsAge, now.Sub(pe.at))
	}
}

// noSums is the value of Choice.SumsAge if the work of no other daemon is known.
const noSums time.Duration = -1
