package entry

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// announceDepartureFor is how long a departure is announced to the other daemons.
	announceDepartureFor = 3 * time.Second
	// forgetDepartureAfter is how much newer than the departure the steward's state must
	// be before the endpoint is no longer excluded from views. An endpoint that was only
	// cut off from the store registers again with the same incarnation and is then used
	// again. The steward's state counts rather than this daemon's clock, since the store
	// may reject the steward for longer than this: with this daemon's clock, servers got
	// requests 4.3 s after they had announced their shutdown.
	forgetDepartureAfter = 4 * time.Second
)

// departedEndpoints are instances that this daemon or another one has seen depart, with the
// time of their departure. A steward that is cut off from the store still has them in its
// views, also for a while after it reconnects, since missing entries may reappear. A daemon
// that knows of a departure must send the instance nothing new. A restarted server has
// another incarnation and does not count as departed.
type departedEndpoints map[catalog.Instance]time.Time

// add adds an instance and reports whether it was new.
func (ge departedEndpoints) add(li catalog.Instance, now time.Time) bool {
	if _, ok := ge[li]; ok {
		return false
	}
	ge[li] = now
	return true
}

// has reports whether the instance has departed. An unknown incarnation matches any.
func (ge departedEndpoints) has(li catalog.Instance) bool {
	for departed := range ge {
		if departed.ID == li.ID && !departed.Incarnation.Differs(li.Incarnation) {
			return true
		}
	}
	return false
}

// recent returns the departures to announce, and removes those that the steward has known
// for long enough. stewardConfirmed is when the store last confirmed the steward's state. A
// daemon that follows the store announces departures for as long as the steward does not
// know of them, since other daemons may have started meanwhile.
func (ge departedEndpoints) recent(now, stewardConfirmed time.Time, follows bool) []catalog.Instance {
	var recent []catalog.Instance
	for li, at := range ge {
		switch {
		case now.Sub(at) > forgetDepartureAfter && stewardConfirmed.Sub(at) > forgetDepartureAfter:
			delete(ge, li)
		case now.Sub(at) < announceDepartureFor, follows && stewardConfirmed.Before(at):
			recent = append(recent, li)
		}
	}
	return recent
}

// stewardConfirmedAt returns when the store last confirmed the steward's state.
func (ct *control) stewardConfirmedAt() time.Time {
	if ct.lease.core == nil && !ct.lastStewardHeartbeat.IsZero() {
		return ct.lastStewardHeartbeat.Add(-ct.steward.StateAge)
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.confirmed
}

// filter returns vi without the departed endpoints.
func (ge departedEndpoints) filter(vi *catalog.View) *catalog.View {
	if len(ge) == 0 {
		return vi
	}
	return vi.Without(ge.has)
}

// applyDepartures applies departures announced by another daemon.
func (ct *control) applyDepartures(instances []catalog.Instance, now time.Time) {
	added := false
	for _, li := range instances {
		if !ct.departed.add(li, now) {
			continue
		}
		added = true
		if ep, ok := ct.endpoints[li.ID]; ok && ct.age(now) > staleAfter && !ep.Incarnation.Differs(li.Incarnation) {
			// This daemon cannot see the removal itself. When it reaches the store
			// again, it reads all entries anew.
			ct.unregister(li.ID)
		}
	}
	if !added {
		return
	}
	ct.updateView()
	ct.stepSteward(now)
}
