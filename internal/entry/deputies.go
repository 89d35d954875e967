package entry

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/mesh"
)

// Without a steward every daemon would read the store and wait for its changes,
// and each change would answer a call of each of them. Where daemons are many, the
// deputies of each data centre do so and tell the rest.
const (
	// deputies is how many daemons of a data centre follow the store in the
	// steward's place. The store may turn a third of the daemons away.
	deputies = 3
	// deputyPatience is added to the silence of the deputies before others read
	// the store themselves.
	deputyPatience = 700 * time.Millisecond
	// startSettle is how long a daemon that starts does not know yet who is
	// alive. When 68 daemons start together and all follow the store, each entry
	// of 300 endpoints that register wakes all of them: 1,377 calls before the
	// first request of a measured day.
	startSettle = 2 * time.Second
)

// isDeputy tells whether this daemon is one of the first of its data centre, or
// when it starts, one of the first that are known.
func (ct *control) isDeputy(now time.Time) bool {
	if now.Sub(ct.begun) < startSettle {
		if !ct.joined && now.Sub(ct.begun) < joinPatience {
			// Among the few seeds that it knows it would always be one of the first:
			// 117 daemons that started again together all read the store.
			return false
		}
		return slices.Index(slices.Sorted(slices.Values(ct.da.mesh.Known())), ct.da.Settings.IP) < deputies
	}
	if ct.da.mesh.Direct() {
		return true
	}
	before := 0
	for _, pe := range ct.da.mesh.Alive() {
		if pe.DataCenter == ct.da.Settings.DataCenter && ct.before(pe) {
			before++
		}
	}
	return before < deputies
}

// deputySilence is how long no deputy has told anything fresh, since this daemon
// started or itself last knew what the store says at most. While a steward tells that,
// no deputy speaks: counted from the last word of one, the silence was always long
// enough, and all daemons of a data centre followed the store at once when the
// steward was cut off from it.
func (ct *control) deputySilence(now time.Time) time.Duration {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return min(now.Sub(ct.deputyAt), now.Sub(ct.begun), now.Sub(ct.confirmed))
}

// deputyFresh is when the store last confirmed what a deputy of the data centre knows.
func (ct *control) deputyFresh() time.Time {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.deputyAt
}

// hearDeputy takes in how fresh a daemon of the same data centre is that follows
// the store. Its configuration must be in force here; what it saw leave came
// with the same beat.
func (ct *control) hearDeputy(be mesh.Heartbeat, now time.Time) {
	co := ct.da.config.Load()
	if !be.FollowsStore || be.DataCenter != ct.da.Settings.DataCenter || co == nil || co.Revision < be.Config {
		return
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if at := now.Add(-be.Age - hearDelay); at.After(ct.deputyAt) {
		ct.deputyAt = at
	}
}
