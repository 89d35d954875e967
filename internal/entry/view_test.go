package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
)

// Guards against groups that serve nothing after the loss of the steward that drained them for an
// exchange. A group that drains because a member leaves must not be used again.
func TestReassignedGroupServesWithoutSteward(t *testing.T) {
	ct, cl := newTestControl(800)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	cl.Advance(time.Minute)
	ct.lastStewardHeartbeat = cl.Now()
	group := func(name string, draining, reassigned bool) catalog.Group {
		return catalog.Group{Name: name, Draining: draining, Reassigned: reassigned, Members: []catalog.Member{{ID: name}}}
	}
	ct.applyView(&catalog.View{Term: 7, Sequence: 1, Groups: []catalog.Group{group("exchanged", true, true), group("leaving", true, false), group("open", false, false)}})
	check := func(when string, want ...bool) {
		t.Helper()
		for gi, gr := range ct.da.view.Load().Groups {
			if gr.Draining != want[gi] {
				t.Errorf("%s: group %s drains: got %v, want %v", when, gr.Name, gr.Draining, want[gi])
			}
		}
	}
	check("steward heard", true, true, false)
	cl.Advance(staleAfter)
	ct.stepReassignments(cl.Now())
	check("steward late", true, true, false)
	cl.Advance(time.Millisecond)
	ct.stepReassignments(cl.Now())
	check("steward lost", false, true, false)
	ct.lastStewardHeartbeat = cl.Now()
	ct.stepReassignments(cl.Now())
	check("steward heard again", true, true, false)
	ct.steward.Term = 8
	ct.stepReassignments(cl.Now())
	check("successor heard before its first view", false, true, false)
}
