package entry

import (
	"testing"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// Guards against a daemon that ends because another one sends a view with a group without members.
func TestGroupWithoutMembersIsIgnored(t *testing.T) {
	ct, _ := newTestControl(800)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	whole := catalog.Group{Name: "whole", Members: []catalog.Member{{ID: "vm-1"}}}
	ct.applyView(&catalog.View{Term: 7, Sequence: 1, Groups: []catalog.Group{whole}})
	ct.applyView(&catalog.View{Term: 7, Sequence: 2, Groups: []catalog.Group{whole, {Name: "empty"}}})
	ct.applyViewUpdate(mesh.Heartbeat{Change: &catalog.Change{Term: 7, From: 1, Sequence: 3, Groups: []catalog.Group{{Name: "empty"}}}})
	if got := ct.stewardView.Sequence; got != 1 {
		t.Errorf("the view in force is number %d, want 1", got)
	}
	if got := ct.da.view.Load().Instances(); len(got) != 1 {
		t.Errorf("requests are sent to %v, want one endpoint", got)
	}
}
