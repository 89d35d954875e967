package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// tellGone is how long the others are told of an endpoint that has left.
	tellGone = 3 * time.Second
	// forgetGone is how long it is left out of views: by then the steward has
	// heard of it. One that was only cut off from the store registers anew in the
	// same life, and is used again then.
	forgetGone = 4 * time.Second
)

// goneEndpoints are endpoints that were seen to leave at the store, by this
// daemon or another one. A steward that is cut off from the store names them
// still in its views, and for a while after it is back: entries that are missing
// then may return. Whoever has seen one leave must send it nothing new. A server
// that starts again under its ID has another life, which has not left.
type goneEndpoints map[catalog.Life]time.Time

// note adds an endpoint and tells whether it was new.
func (ge goneEndpoints) note(li catalog.Life, now time.Time) bool {
	if _, ok := ge[li]; ok {
		return false
	}
	ge[li] = now
	return true
}

// has tells whether the endpoint was seen to leave, in this life or in one that
// was not known.
func (ge goneEndpoints) has(li catalog.Life) bool {
	for gone := range ge {
		if gone.ID == li.ID && !gone.Incarnation.Differs(li.Incarnation) {
			return true
		}
	}
	return false
}

// lately returns the endpoints to tell the others of, and forgets old ones.
func (ge goneEndpoints) lately(now time.Time) []catalog.Life {
	var lately []catalog.Life
	for li, at := range ge {
		switch age := now.Sub(at); {
		case age > forgetGone:
			delete(ge, li)
		case age < tellGone:
			lately = append(lately, li)
		}
	}
	return lately
}

// filter takes the endpoints out of a view.
func (ge goneEndpoints) filter(vi *catalog.View) *catalog.View {
	if len(ge) == 0 {
		return vi
	}
	return vi.Without(ge.has)
}

// hearGone takes in the endpoints that another daemon has seen leave.
func (ct *control) hearGone(lives []catalog.Life, now time.Time) {
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
