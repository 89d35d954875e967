package dispatch

import (
	"testing"
	"time"
)

// Guards against taking a group that has left the view for one without requests.
func TestRequestsAtGroupOutOfView(t *testing.T) {
	ta := table(group("g", "here"))
	_, ti := ta.Pick(testRequest(), ignore, begin)
	ta.ApplyPeerWork("peer", Work{Loads: GroupLoads{"g": {Requests: 2}}}, begin)
	update(ta, begin)
	if got := ta.RequestsAt("g", begin); got != 3 {
		t.Errorf("%d requests at a group that has left the view, want 3", got)
	}
	ti.End()
	update(ta, begin)
	if got := ta.RequestsAt("g", begin); got != 2 {
		t.Errorf("%d requests after the end of this daemon's own, want 2", got)
	}
	if got := ta.RequestsAt("g", begin.Add(maxPeerLoadAge+time.Millisecond)); got != 0 {
		t.Errorf("%d requests by an expired report, want 0", got)
	}
}

// Guards against never using a sound group again: it has stalled, its requests have ended or moved, and
// no later request could show that it goes on.
func TestStalledGroupWithoutRequestsIsProbed(t *testing.T) {
	ta := table(group("a", "here"))
	_, ti := ta.Pick(testRequest(), ignore, begin)
	ta.StalledGroups(begin.Add(time.Second))
	ti.End()
	later := begin.Add(time.Second + 2*recheckInterval)
	if got := ta.StalledGroups(later); len(got) != 1 {
		t.Fatalf("groups to probe: %v, want the stalled one", got)
	}
	ta.MarkHealthy("a")
	if ch, _ := ta.Pick(testRequest(), ignore, later); ch.Group == nil {
		t.Error("not used although all members have responded")
	}
}
