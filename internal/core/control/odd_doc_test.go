package control_test

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
)

// Guards against a daemon that ends because of an assignment from another one: the steward checks what it
// reads from the store, and a group without members or of a negative size has no leader.
func TestOddAssignments(t *testing.T) {
	odd := []string{`{"Name":"x","Groups":[{"ID":"g","Size":0}]}`, `{"Name":"x","Groups":[{"ID":"g","Size":-1,"Members":[{"VM":"a"}]}]}`,
		`{"Name":"x","Groups":[{"ID":"g","Size":1000000000,"Members":[{"VM":"a"}]}]}`,
		`{"Name":"x","Sequence":1,"Groups":[{"ID":"g","Size":1,"Fence":18446744073709551615,"Members":[{"VM":"a"}]}]}`}
	for i, value := range odd {
		begin := time.Unix(1000, 0)
		co := control.New(control.Settings{Name: "d", DataCenter: "gent", Timing: control.DefaultTiming}, begin)
		co.Step(begin, control.DocsArrived{Docs: []gossip.Doc{{Name: control.DomainKey("gent", "x"), Revision: 1, Value: []byte(value)}}})
		co.Step(begin, control.Probed{VM: "a", SentAt: begin, Report: &fleet.Report{VM: "a", Group: "g"}})
		if doms := co.Domains(); len(doms) > 0 {
			t.Errorf("assignment %d is used: %+v", i, doms)
		}
	}
}
