package dispatch

import (
	"slices"
	"time"
)

// moves holds the groups that broke recently. All daemons move their streams from such a group at
// the same time, before any of them has reported it, and would all select the group with the least
// reported load. The other streams of the selected group would pause while it prefills the prompts
// of the moved ones.
type moves []move

// move records the requests of one broken group that are sent to other groups.
type move struct {
	group, model string
	at           time.Time
	requests     int
}

// moveWindow is how long moved requests count: until the daemons have reported them, and until all
// daemons have learned of the loss.
const moveWindow = 250 * time.Millisecond

// add records that a group broke. Its requests are now sent to other groups.
func (mo *moves) add(gr *Group, now time.Time) {
	*mo = slices.DeleteFunc(*mo, func(mv move) bool { return now.Sub(mv.at) > moveWindow })
	if slices.ContainsFunc(*mo, func(mv move) bool { return mv.group == gr.Name }) {
		return
	}
	if num := gr.ownLoad.Requests + gr.peerLoad.Requests; num > 0 {
		*mo = append(*mo, move{gr.Name, gr.Model, now, num})
	}
}

// moveSkew is the multiple of its even share of the moved requests that a group may get, even if it
// is empty: it prefills their prompts one after the other.
const moveSkew = 2

// boundMoves limits the room of each group while requests move.
func boundMoves(levels []level, moving float64) {
	most := 1 + moveSkew*moving/float64(len(levels))
	for i := range levels {
		levels[i].room = min(levels[i].room, levels[i].load+most)
	}
}

// forModel returns the number of requests for the model that are being moved.
func (mo moves) forModel(model string, now time.Time) float64 {
	num := 0
	for _, mv := range mo {
		if mv.model == model && now.Sub(mv.at) <= moveWindow {
			num += mv.requests
		}
	}
	return float64(num)
}
