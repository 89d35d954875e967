package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// tellGone is how long the others are told of an endpoint that has left.
	tellGone = 3 * time.Second
	// forgetGone is how much newer than its leave the steward's knowledge must be until
	// it is left out of views no more. One that was only cut off from the store
	// registers anew in the same life, and is used again then. Counted by the daemon's own
	// time instead, servers got requests 4.3 s after they had said that they leave: the
	// store had turned the steward away for longer.
	forgetGone = 4 * time.Second
)

// goneEndpoints are endpoints that were seen to leave at the store, by this
// daemon or another one. A steward that is cut off from the store names them
// still in its views, and for a while after it is back: entries that are missing
// then may return. Whoever has seen one leave must send it nothing new. A server
// that starts again under its ID has another life, which has not left.
type goneEndpoints map[catalog.Instance]time.Time

// note adds an endpoint and tells whether it was new.
func (ge goneEndpoints) note(li catalog.Instance, now time.Time) bool {
	if _, ok := ge[li]; ok {
		return false
	}
	ge[li] = now
	return true
}

// has tells whether the endpoint was seen to leave, in this life or in one that
// was not known.
func (ge goneEndpoints) has(li catalog.Instance) bool {
	for gone := range ge {
		if gone.ID == li.ID && !gone.Incarnation.Differs(li.Incarnation) {
			return true
		}
	}
	return false
}

// lately returns the endpoints to tell the others of, and forgets those that the
// steward, whose knowledge is from that time, knows of. A daemon that follows the store
// tells of them for as long as the steward does not: others may have started since.
func (ge goneEndpoints) lately(now, known time.Time, follows bool) []catalog.Instance {
	var lately []catalog.Instance
	for li, at := range ge {
		switch {
		case now.Sub(at) > forgetGone && known.Sub(at) > forgetGone:
			delete(ge, li)
		case now.Sub(at) < tellGone, follows && known.Before(at):
			lately = append(lately, li)
		}
	}
	return lately
}

// stewardKnowledge is when the store last confirmed what the steward knows.
func (ct *control) stewardKnowledge() time.Time {
	if ct.lease.core == nil && !ct.heard.IsZero() {
		return ct.heard.Add(-ct.steward.Age)
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.confirmed
}

// filter takes the endpoints out of a view.
func (ge goneEndpoints) filter(vi *catalog.View) *catalog.View {
	if len(ge) == 0 {
		return vi
	}
	return vi.Without(ge.has)
}

// hearGone takes in the endpoints that another daemon has seen leave.
func (ct *control) hearGone(lives []catalog.Instance, now time.Time) {
	heard := false
	for _, li := range lives {
		if !ct.gone.note(li, now) {
			continue
		}
		heard = true
		if ep, ok := ct.endpoints[li.ID]; ok && ct.age(now) > staleAfter && !ep.Incarnation.Differs(li.Incarnation) {
			// This daemon can't see it itself. When it reaches the store again, it
			// reads all entries anew.
			ct.unregister(li.ID)
		}
	}
	if !heard {
		return
	}
	ct.updateView()
	ct.stepSteward(now)
}
