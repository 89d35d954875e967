package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// tellGone is how long the others are told of an endpoint that has left.
	tellGone = 3 * time.Second
	// forgetGone is how long it is left out of views: by then the steward has
	// heard of it. One that was only cut off from the store registers anew under
	// the same ID, and is used again then.
	forgetGone = 4 * time.Second
)

// goneEndpoints are endpoints that were seen to leave at the store, by this
// daemon or another one. A steward that is cut off from the store names them
// still in its views, and for a while after it is back: entries that are missing
// then may return. Whoever has seen one leave must send it nothing new.
type goneEndpoints map[string]time.Time

// note adds an endpoint and tells whether it was new.
func (ge goneEndpoints) note(id string, now time.Time) bool {
	if _, ok := ge[id]; ok {
		return false
	}
	ge[id] = now
	return true
}

// lately returns the endpoints to tell the others of, and forgets old ones.
func (ge goneEndpoints) lately(now time.Time) []string {
	var ids []string
	for id, at := range ge {
		switch age := now.Sub(at); {
		case age > forgetGone:
			delete(ge, id)
		case age < tellGone:
			ids = append(ids, id)
		}
	}
	return ids
}

// filter takes the endpoints out of a view.
func (ge goneEndpoints) filter(vi *catalog.View) *catalog.View {
	if len(ge) == 0 {
		return vi
	}
	return vi.Without(func(id string) bool {
		_, gone := ge[id]
		return gone
	})
}

// hearGone takes in the endpoints that another daemon has seen leave.
func (ct *control) hearGone(ids []string, now time.Time) {
	heard := false
	for _, id := range ids {
		if !ct.gone.note(id, now) {
			continue
		}
		heard = true
		if ct.age(now) > staleAfter {
			// This daemon can't see it itself. When it reaches the store again, it
			// reads all entries anew.
			ct.unregister(id)
		}
	}
	if !heard {
		return
	}
	ct.updateView()
	ct.stepSteward(now)
}
