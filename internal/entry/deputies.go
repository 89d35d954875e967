package entry

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/mesh"
)

// Without a steward, every daemon would read and watch the store, and each change would
// complete one watch per daemon. In large deployments only the deputies of each data centre
// follow the store; they pass changes on to the other daemons.
const (
	// deputiesPerDataCenter is the number of daemons per data centre that follow the store
	// in the steward's place. The store may reject a third of the daemons.
	deputiesPerDataCenter = 3
	// deputyTimeout is how long, beyond staleAfter, the deputies may be unresponsive
	// before other daemons read the store themselves.
	deputyTimeout = 700 * time.Millisecond
	// startupSettleTime is how long after its start a daemon does not yet know which
	// daemons are alive. If 68 daemons start together and all follow the store, each of
	// 300 registering endpoints wakes all of them: 1,377 calls before the first request.
	startupSettleTime = 2 * time.Second
)

// isDeputy reports whether this daemon is a deputy: one of the first of its data centre or,
// just after its start, one of the first of all known daemons.
func (ct *control) isDeputy(now time.Time) bool {
	if now.Sub(ct.startedAt) < startupSettleTime {
		if !ct.joined && now.Sub(ct.startedAt) < joinTimeout {
			// With only the few seeds known, every daemon would be among the first: 117
			// daemons that restarted together all read the store.
			return false
		}
		return slices.Index(slices.Sorted(slices.Values(ct.da.mesh.Known())), ct.da.Settings.IP) < deputiesPerDataCenter
	}
	if ct.da.mesh.Direct() {
		return true
	}
	before := 0
	for _, pe := range ct.da.mesh.Alive() {
		if pe.DataCenter == ct.da.Settings.DataCenter && ct.precedes(pe) {
			before++
		}
	}
	return before < deputiesPerDataCenter
}

// deputyStaleness returns the time since the latest of three events: the last confirmation
// of a deputy's state, this daemon's start and its own last confirmation. Deputies send
// nothing while a steward does. If only the deputies' state counted, all daemons of a data
// centre would follow the store as soon as the steward is cut off from it.
func (ct *control) deputyStaleness(now time.Time) time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return min(now.Sub(ct.deputyConfirmed), now.Sub(ct.startedAt), now.Sub(ct.confirmed))
}

// deputyConfirmedAt returns when the store last confirmed the state of a deputy in this
// data centre.
func (ct *control) deputyConfirmedAt() time.Time {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.deputyConfirmed
}

// recordDeputy records the confirmation time of a daemon in the same data centre that
// follows the store. It counts only if this daemon has the same or a newer configuration.
// The departures that the deputy has seen are part of the same heartbeat.
func (ct *control) recordDeputy(be mesh.Heartbeat, now time.Time) {
	if !be.FollowsStore || be.DataCenter != ct.da.Settings.DataCenter || ct.da.config.Load() == nil || ct.hasNewerConfig(be) {
		return
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if at := now.Add(-be.StateAge - heartbeatLatency); at.After(ct.deputyConfirmed) {
		ct.deputyConfirmed = at
	}
}
