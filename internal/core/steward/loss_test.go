package steward

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// wideModels have groups of 32 and 8, in domains of 73 VMs.
var wideModels = []catalog.Model{
	{Name: "large", Size: 32, Pace: 1, Share: 0.5, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
	{Name: "small", Size: 8, Pace: 0.6, Share: 0.5, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
}

// ownCallTime is what a question costs the processor of a steward's machine: a
// connection, the request and the answer take 0.25 ms of 0.8 of a core. The tests have a
// third of the VMs of a large fleet, and as much less processor.
const ownCallTime = 750 * time.Microsecond

// Under load the streams of most groups pause at the same time, and daemons tell the
// steward so. It asks all members, and answers wait for each other at its own processor.
// Callers would lose sound groups if it took its own queue for the members' death, and the
// orders that follow would keep the queue long.
func TestOwnQueueIsNoLoss(t *testing.T) {
	wo := newWorldOf(t, 1, 5, 73, wideModels)
	wo.settle(4 * time.Second)
	before := wo.core.Groups()
	wo.perCall = ownCallTime
	for range 15 {
		for _, gr := range before {
			wo.core.HandleStallReport(gr.Name, gr.Epoch, false, wo.now)
		}
		wo.run(suspectPause)
		wo.checkKept(before)
	}
}

// Entries of each eighth VM lapse at once, since these are cut off from the store. All of
// them answer still, though some packets are lost, and their groups serve. They must go on serving but for those
// whose head may not be sent requests without an entry.
func TestLapsedEntriesAreNoLoss(t *testing.T) {
	wo := newWorldOf(t, 2, 5, 73, wideModels)
	wo.settle(4 * time.Second)
	wo.perCall = ownCallTime
	heads := make(map[string]bool)
	for _, gr := range wo.core.Groups() {
		heads[gr.Head().ID] = true
	}
	before := wo.core.Groups()
	wo.storeAway = true
	wo.lostCalls = 0.2
	for i, id := range wo.fleet.IDs() {
		if i%8 == 0 && !heads[id] {
			delete(wo.entries, id)
			wo.core.Unregister(id, wo.now)
		}
	}
	wo.run(5 * time.Second)
	wo.checkKept(before)
}

// maxLost is the largest part of answers that a schedule loses: ten times as many as
// links do that lose packets. Answers take up to askMost besides the own queue. A VM that
// never answers, or not while a question to a member may be waited for, can't be told
// from a dead one.
const maxLost = 0.25

// No VM is lost, but answers are lost, come late, or wait for the steward's own
// processor, and daemons suspect groups whose streams pause for a moment and then go
// on. Whatever the schedule, no group that serves is given up.
func TestNoGroupIsGivenUpWithoutLoss(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			wo := newWorldOf(t, seed, 3, 73, wideModels)
			wo.settle(4 * time.Second)
			before := wo.core.Groups()
			wo.perCall = time.Duration(wo.rnd.Int64N(int64(2 * ownCallTime)))
			wo.lostCalls = maxLost * wo.rnd.Float64()
			wo.slowCalls = wo.rnd.Float64()
			wo.slowest = askMost
			for range 40 {
				gr := before[wo.rnd.IntN(len(before))]
				wo.core.HandleStallReport(gr.Name, gr.Epoch, false, wo.now)
				wo.run(time.Duration(50+wo.rnd.IntN(150)) * time.Millisecond)
				wo.core.HandleProgressReport(gr.Name, gr.Epoch, wo.now)
				if wo.rnd.IntN(20) == 0 {
					wo.takeOver()
					wo.step()
				}
				wo.checkKept(before)
			}
		})
	}
}

// checkKept checks that all these groups serve still.
func (wo *world) checkKept(want []catalog.Group) {
	wo.t.Helper()
	have := wo.core.Groups()
	for _, gr := range want {
		if !hasGroup(have, gr) {
			for _, ev := range wo.core.Events() {
				if ev.Group == gr.Name || ev.Kind == "vm-silent" {
					wo.t.Log(ev.Kind, ev.Group, ev.VM, ev.Reason)
				}
			}
			wo.t.Fatalf("%s of %s does not serve any more, though no VM was lost; %d of %d groups do", gr.Name, gr.Model, len(have), len(want))
		}
	}
}

// A steward begins with what the entries say. As its VMs report, they also say that they
// are as fast as usual. Nothing has changed for the daemons, which would each be sent a
// view for each report.
func TestReportsAreNoNews(t *testing.T) {
	wo := newWorldOf(t, 3, 2, 73, wideModels)
	wo.settle(4 * time.Second)
	for _, id := range wo.fleet.IDs() {
		wo.fleet.Update(id, func(vm *emulator.VM) { vm.Slowness = 1 })
	}
	wo.run(2 * emulator.ReportLag)
	wo.takeOver()
	wo.step()
	before := wo.core.Groups()
	for range 100 {
		wo.step()
		if diff := cmp.Diff(before, wo.core.Groups()); diff != "" {
			t.Fatalf("the view has changed (-before +now):\n%s", diff)
		}
	}
}

// The answer to a question comes so late that a later question was answered before. What
// it says is old: a VM that has left its group meanwhile must not count as its member.
func TestOvertakenAnswer(t *testing.T) {
	wo := newWorldOf(t, 5, 1, 73, wideModels)
	wo.settle(4 * time.Second)
	id := wo.core.Groups()[0].Members[1].ID
	early := wo.now
	old, _ := wo.fleet.Report(id, wo.now)
	wo.step()
	now := old
	now.Member, now.Orders = nil, old.Orders+1
	wo.core.HandleReport(id, now, wo.now, wo.now)
	wo.core.HandleReport(id, old, early, wo.now)
	if vm := wo.core.vms[id]; vm.ep.Member != nil || vm.ep.Orders != now.Orders {
		t.Errorf("the VM counts as a member of %v after %d orders", vm.ep.Member, vm.ep.Orders)
	}
}
