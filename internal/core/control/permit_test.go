package control_test

import (
	"encoding/json"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// One member of a group answers a probe and dies, and only then the other
// becomes ready and answers. Both were observed ready, but at no common time.
// Requests sent on that evidence would reach an incomplete group.
func TestPermitRequiresMembersReadyAtSameTime(t *testing.T) {
	begin := time.Unix(1000, 0)
	co := control.New(control.Settings{Name: "d1", DataCenter: "gent", Peer: "d1", Timing: control.DefaultTiming}, begin)
	gr := fleet.Group{ID: "g", Model: "m", Version: "1", Fence: 1, Size: 2, Members: []fleet.Member{{VM: "a", Incarnation: "1"}, {VM: "b", Incarnation: "1"}}}
	raw, err := json.Marshal(fleet.Domain{Name: "x", DataCenter: "gent", Sequence: 1, Groups: []fleet.Group{gr}})
	if err != nil {
		t.Fatal(err)
	}
	co.Step(begin, control.DocsArrived{Docs: []gossip.Doc{{Name: control.DomainKey("gent", "x"), Revision: 1, Value: raw}}})
	answer := func(vm string, at time.Duration) {
		re := fleet.Report{VM: vm, Incarnation: "1", Group: "g", Fence: 1, Generation: 1, Ring: []string{"a", "b"}, Model: "m", Version: "1", Ready: true}
		co.Step(begin.Add(at+time.Millisecond), control.Probed{VM: vm, SentAt: begin.Add(at), Report: &re})
	}
	permitted := func() bool { _, ok := co.View().Find("g"); return ok }
	answer("a", 100*time.Millisecond)
	answer("b", 200*time.Millisecond)
	if permitted() {
		t.Error("permit granted although no interval shows both members ready")
	}
	answer("a", 300*time.Millisecond)
	if permitted() {
		t.Error("permit granted although b was probed only once, before the second probe of a")
	}
	answer("b", 400*time.Millisecond)
	if !permitted() {
		t.Error("no permit although both members were ready from 201 to 300 ms")
	}
}
