package dispatch

import (
	"slices"
	"time"
)

// moves are groups that broke lately. All daemons move the streams that they have there at
// the same moment, before any of them has reported it, and would all choose the group that
// looks emptiest. Its other streams would pause while it reads the prompts that come with
// them.
type moves []move

type move struct {
	group, model string
	at           time.Time
	requests     int
}

// moveSpan is how long moved requests count: until daemons report them, and for as long as
// daemons hear of the loss one after the other.
const moveSpan = 250 * time.Millisecond

// add notes that a group broke whose requests go elsewhere now.
func (mo *moves) add(gr *Group, now time.Time) {
	*mo = slices.DeleteFunc(*mo, func(mv move) bool { return now.Sub(mv.at) > moveSpan })
	if slices.ContainsFunc(*mo, func(mv move) bool { return mv.group == gr.Name }) {
		return
	}
	if num := gr.own.Requests + gr.peers.Requests; num > 0 {
		*mo = append(*mo, move{gr.Name, gr.Model, now, num})
	}
}

// moveSkew is how many times its even part of the moved requests a group may get,
// however empty it is: the prompts that come with them are read one after the other.
const moveSkew = 2

// boundMoves bounds what each group may get while requests move.
func boundMoves(levels []level, moving float64) {
	most := 1 + moveSkew*moving/float64(len(levels))
	for i := range levels {
		levels[i].room = min(levels[i].room, levels[i].load+most)
	}
}

// of returns how many requests for the model move now.
func (mo moves) of(model string, now time.Time) float64 {
	num := 0
	for _, mv := range mo {
		if mv.model == model && now.Sub(mv.at) <= moveSpan {
			num += mv.requests
		}
	}
	return float64(num)
}
