package control_test

import (
	"encoding/json"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// One member of a group answers a probe and dies; only then does the other
// become ready and answer. Both were seen serving, but never at one moment,
// and a request sent on that evidence would meet a group that is not whole.
func TestEvidenceNeedsCommonMoment(t *testing.T) {
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
		t.Error("permitted although the members were not seen at one moment")
	}
	answer("a", 300*time.Millisecond)
	if permitted() {
		t.Error("permitted although b was seen only before a was seen again")
	}
	answer("b", 400*time.Millisecond)
	if !permitted() {
		t.Error("not permitted although both served from 201 to 300 ms")
	}
}
