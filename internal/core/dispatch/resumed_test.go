package dispatch

import (
	"testing"
	"time"
)

// Guards against excluding a group for good that was silent, left the view and is in the view again:
// with no request left there, nothing is emitted and nobody checks the group again.
func TestStalledGroupIsUsedAgainInView(t *testing.T) {
	gr := group("g", "here")
	ta := table(gr)
	_, ti := ta.Pick(testRequest(), ignore, begin)
	ta.StalledGroups(begin.Add(time.Minute))
	ta.MarkBroken("g", begin.Add(time.Minute))
	update(ta, begin.Add(time.Minute))
	ti.End()
	update(ta, begin.Add(time.Minute), gr)
	if ch, _ := ta.Pick(testRequest(), ignore, begin.Add(time.Minute)); ch.Group == nil {
		t.Error("the group got no request, want one")
	}
}
