package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// questions counts the questions among calls.
func questions(calls []Call) int {
	num := 0
	for _, ca := range calls {
		if _, ok := ca.(Poll); ok {
			num++
		}
	}
	return num
}

// Under load a group's streams pause, and each of 68 daemons tells the steward
// so at a moment of its own, again and again. The members are asked once for
// all of them: questions for each would keep a small machine so busy that
// answers come late, and sound members would be taken as lost.
func TestManyDaemonsSuspectOneGroup(t *testing.T) {
	wo := newWorld(t, 5, 1, 9)
	wo.settle(5 * time.Second)
	gr := wo.core.Groups()[0]
	asked := 0
	for daemon := range 68 {
		wo.core.HandleStallReport(gr.Name, gr.Epoch, false, wo.now)
		if daemon%10 == 0 {
			calls := wo.core.Step(wo.now)
			asked += questions(calls)
			wo.execute(calls)
			wo.run(worldStep)
		}
	}
	if most := 2 * len(gr.Members); asked > most {
		t.Errorf("%d questions within 70 ms, want %d at most", asked, most)
	}
}

// All members of a suspected group answer. The daemons are told, so that they
// send requests there again without asking every member themselves. If one of
// them does not answer, they are told nothing.
func TestSuspectedGroupIsSound(t *testing.T) {
	for _, lost := range []bool{false, true} {
		wo := newWorld(t, 6, 1, 9)
		wo.settle(5 * time.Second)
		gr := wo.core.Groups()[0]
		if lost {
			wo.kill(gr.Members[1].ID)
		}
		wo.core.Events()
		wo.core.HandleStallReport(gr.Name, gr.Epoch, false, wo.now)
		wo.run(400 * time.Millisecond)
		sound := 0
		for _, ev := range wo.core.Events() {
			if ev.Kind == GroupHealthy && ev.Group == gr.Name && ev.Epoch == gr.Epoch {
				sound++
			}
		}
		if want := map[bool]int{false: 1, true: 0}[lost]; sound != want {
			t.Errorf("lost member %v: told %d times that the group is sound, want %d", lost, sound, want)
		}
	}
}

// The steward's own machine stands still for a moment, and questions run out of
// time on it although the answers are there. Nothing follows from that: the
// members are asked again, and no group is broken.
func TestOwnDelayIsNoLoss(t *testing.T) {
	wo := newWorld(t, 7, 1, 9)
	wo.settle(5 * time.Second)
	gr := wo.core.Groups()[0]
	wo.core.HandleStallReport(gr.Name, gr.Epoch, false, wo.now)
	for range 2 * maxFailures {
		for _, ca := range wo.core.Step(wo.now) {
			if as, ok := ca.(Poll); ok {
				wo.core.HandleInconclusivePoll(as.ID, wo.now, wo.now)
			}
		}
		wo.now = wo.now.Add(askInterval)
	}
	if !hasGroup(wo.core.Groups(), gr) {
		t.Error("a group was broken up on questions that prove nothing")
	}
	wo.run(300 * time.Millisecond)
	if !hasGroup(wo.core.Groups(), gr) {
		t.Error("the group does not serve although all members answer")
	}
}

func hasGroup(groups []catalog.Group, want catalog.Group) bool {
	for _, gr := range groups {
		if gr.Name == want.Name && gr.Epoch == want.Epoch {
			return true
		}
	}
	return false
}
