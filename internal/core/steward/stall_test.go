package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// countPolls returns the number of polls among calls.
func countPolls(calls []Call) int {
	num := 0
	for _, ca := range calls {
		if _, ok := ca.(Poll); ok {
			num++
		}
	}
	return num
}

// Under load a group's streams pause, and 68 daemons report the stall repeatedly at different
// times. The members must be polled once for all reports: polls for each would keep a small
// machine so busy that responses arrive late and healthy members count as lost.
func TestStallReportsAreDeduplicated(t *testing.T) {
	si := newSimulation(t, 5, 1, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.core.Groups()[0]
	polls := 0
	for daemon := range 68 {
		si.core.HandleStallReport(gr.Name, gr.Epoch, false, si.now)
		if daemon%10 == 0 {
			calls := si.core.Step(si.now)
			polls += countPolls(calls)
			si.execute(calls)
			si.run(simStep)
		}
	}
	if most := 2 * len(gr.Members); polls > most {
		t.Errorf("%d polls within 70 ms, want at most %d", polls, most)
	}
}

// If all members of a group reported as stalled answer, an event lets daemons resume sending
// requests without polling each member themselves. If a member does not answer, there is no
// such event.
func TestStallReportIsCleared(t *testing.T) {
	for _, lost := range []bool{false, true} {
		si := newSimulation(t, 6, 1, 9)
		si.runInitialLoads(5 * time.Second)
		gr := si.core.Groups()[0]
		if lost {
			si.kill(gr.Members[1].ID)
		}
		si.core.Events()
		si.core.HandleStallReport(gr.Name, gr.Epoch, false, si.now)
		si.run(400 * time.Millisecond)
		events := 0
		for _, ev := range si.core.Events() {
			if ev.Kind == GroupHealthy && ev.Group == gr.Name && ev.Epoch == gr.Epoch {
				events++
			}
		}
		if want := map[bool]int{false: 1, true: 0}[lost]; events != want {
			t.Errorf("lost member %v: %d events that the group is healthy, want %d", lost, events, want)
		}
	}
}

// The steward's own machine stalls for a moment, and polls time out although the responses
// have arrived. The members must be polled again, and no group may be dissolved.
func TestLocalDelayIsNotMemberLoss(t *testing.T) {
	si := newSimulation(t, 7, 1, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.core.Groups()[0]
	si.core.HandleStallReport(gr.Name, gr.Epoch, false, si.now)
	for range 2 * maxFailures {
		for _, ca := range si.core.Step(si.now) {
			if po, ok := ca.(Poll); ok {
				si.core.HandleInconclusivePoll(po.ID, si.now, si.now)
			}
		}
		si.now = si.now.Add(pollInterval)
	}
	if !hasGroup(si.core.Groups(), gr) {
		t.Error("the group was dissolved because of inconclusive polls")
	}
	si.run(300 * time.Millisecond)
	if !hasGroup(si.core.Groups(), gr) {
		t.Error("the group does not serve although all members respond")
	}
}

// hasGroup reports whether groups contains a group with the name and epoch of want.
func hasGroup(groups []catalog.Group, want catalog.Group) bool {
	for _, gr := range groups {
		if gr.Name == want.Name && gr.Epoch == want.Epoch {
			return true
		}
	}
	return false
}
