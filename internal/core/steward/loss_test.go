package steward

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// wideModels have groups of 32 and 8 VMs. The tests use them in domains of 73 VMs.
var wideModels = []catalog.Model{
	{Name: "large", Size: 32, Pace: 1, Share: 0.5, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
	{Name: "small", Size: 8, Pace: 0.6, Share: 0.5, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
}

// callCPUTime is the CPU time that a call costs the steward's machine. A connection, the
// request and the response take 0.25 ms of 0.8 of a core. The tests have a third of the VMs of
// a large fleet, and a third of the CPU.
const callCPUTime = 750 * time.Microsecond

// Under load the streams of most groups pause at the same time, and daemons report stalls. The
// steward polls all members, and the responses queue for its own CPU. Guards against mistaking
// this queueing for lost members: callers would lose healthy groups, and the orders that
// follow would keep the queue long.
func TestLocalQueueingIsNotMemberLoss(t *testing.T) {
	si := newSimulationWith(t, 1, 5, 73, wideModels)
	si.runInitialLoads(4 * time.Second)
	before := si.core.Groups()
	si.cpuPerCall = callCPUTime
	for range 15 {
		for _, gr := range before {
			si.core.HandleStallReport(gr.Name, gr.Epoch, false, si.now)
		}
		si.run(stallReportInterval)
		si.checkStillServing(before)
	}
}

// The entries of every eighth VM expire at once because these VMs can't reach the store. The
// VMs still respond to polls, with some packet loss, and their groups must keep serving. Leaders
// keep their entries, because a leader without one may not be sent requests.
func TestExpiredEntriesAreNotMemberLoss(t *testing.T) {
	si := newSimulationWith(t, 2, 5, 73, wideModels)
	si.runInitialLoads(4 * time.Second)
	si.cpuPerCall = callCPUTime
	leaders := make(map[string]bool)
	for _, gr := range si.core.Groups() {
		leaders[gr.Leader().ID] = true
	}
	before := si.core.Groups()
	si.storeDown = true
	si.lostPollResponses = 0.2
	for i, id := range si.fleet.IDs() {
		if i%8 == 0 && !leaders[id] {
			delete(si.entries, id)
			si.core.Unregister(id, si.now)
		}
	}
	si.run(5 * time.Second)
	si.checkStillServing(before)
}

// maxLostShare is the largest share of poll responses that a schedule loses, ten times that of
// links that lose packets. Responses take up to maxPollTimeout plus the queueing delay at the
// steward. A VM that never responds, or never within the poll timeout, can't be distinguished
// from a dead one.
const maxLostShare = 0.25

// No VM is lost, but poll responses are lost, late, or queue for the steward's CPU, and
// daemons report stalls of groups whose streams pause briefly. No serving group may be
// dissolved, whatever the schedule.
func TestNoGroupIsDissolvedWithoutMemberLoss(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			si := newSimulationWith(t, seed, 3, 73, wideModels)
			si.runInitialLoads(4 * time.Second)
			before := si.core.Groups()
			si.cpuPerCall = time.Duration(si.rnd.Int64N(int64(2 * callCPUTime)))
			si.lostPollResponses = maxLostShare * si.rnd.Float64()
			si.slowCalls = si.rnd.Float64()
			si.maxDelay = maxPollTimeout
			for range 40 {
				gr := before[si.rnd.IntN(len(before))]
				si.core.HandleStallReport(gr.Name, gr.Epoch, false, si.now)
				si.run(time.Duration(50+si.rnd.IntN(150)) * time.Millisecond)
				si.core.HandleProgressReport(gr.Name, gr.Epoch, si.now)
				if si.rnd.IntN(20) == 0 {
					si.takeOver()
					si.step()
				}
				si.checkStillServing(before)
			}
		})
	}
}

// The steward's path to all VMs is cut for longer than any timeout, and other daemons that are cut
// off too report stalls. Guards against dissolving groups that serve the daemons that still reach
// them.
func TestCutOffStewardDissolvesNoGroup(t *testing.T) {
	si := newSimulationWith(t, 4, 3, 9, simModels)
	si.runInitialLoads(4 * time.Second)
	before := si.core.Groups()
	si.lostPollResponses, si.lostOrderResponses = 1, 1
	for range 12 {
		for _, gr := range before {
			si.core.HandleStallReport(gr.Name, gr.Epoch, false, si.now)
		}
		si.run(time.Second)
		si.checkStillServing(before)
	}
	si.lostPollResponses, si.lostOrderResponses = 0, 0
	si.run(time.Second)
	si.checkStillServing(before)
}

// Only the lost member itself is polled, and the other VMs have no reason to be. Guards against a
// steward that waits for ever for another VM's answer and confirms no loss.
func TestSingleLossIsConfirmed(t *testing.T) {
	si := newSimulationWith(t, 6, 3, 9, simModels)
	si.runInitialLoads(4 * time.Second)
	lost := si.core.Groups()[0]
	id := lost.Members[1].ID
	si.fleet.Update(id, func(vm *emulator.VM) { vm.Dead = true })
	si.core.vms[id].pollBy(si.now)
	si.run(unresponsiveTimeout + time.Second)
	if hasGroup(si.core.Groups(), lost) {
		t.Errorf("%s still serves %v after the loss of a member", lost.Name, unresponsiveTimeout+time.Second)
	}
}

// checkStillServing checks that all of the given groups still serve.
func (si *simulation) checkStillServing(want []catalog.Group) {
	si.t.Helper()
	have := si.core.Groups()
	for _, gr := range want {
		if !hasGroup(have, gr) {
			for _, ev := range si.core.Events() {
				if ev.Group == gr.Name || ev.Kind == "vm-silent" {
					si.t.Log(ev.Kind, ev.Group, ev.VM, ev.Reason)
				}
			}
			si.t.Fatalf("%s of %s no longer serves although no VM was lost; serving %d of %d groups", gr.Name, gr.Model, len(have), len(want))
		}
	}
}

// A new steward starts from the entries. The VMs' later reports add that they run at their
// usual speed, which must not change the view: daemons would be sent a new view for each
// report.
func TestReportsDoNotChangeView(t *testing.T) {
	si := newSimulationWith(t, 3, 2, 73, wideModels)
	si.runInitialLoads(4 * time.Second)
	for _, id := range si.fleet.IDs() {
		si.fleet.Update(id, func(vm *emulator.VM) { vm.Slowness = 1 })
	}
	si.run(2 * emulator.ReportLag)
	si.takeOver()
	si.step()
	before := si.core.Groups()
	for range 100 {
		si.step()
		if diff := cmp.Diff(before, si.core.Groups()); diff != "" {
			t.Fatalf("the view changed (-before +now):\n%s", diff)
		}
	}
}

// The response to a poll arrives after the response to a later poll. Its state is out of date:
// a VM that has left its group meanwhile must not count as a member.
func TestOutOfOrderReport(t *testing.T) {
	si := newSimulationWith(t, 5, 1, 73, wideModels)
	si.runInitialLoads(4 * time.Second)
	id := si.core.Groups()[0].Members[1].ID
	early := si.now
	old, _ := si.fleet.Report(id, si.now)
	si.step()
	latest := old
	latest.Member, latest.Orders = nil, old.Orders+1
	si.core.HandleReport(id, latest, si.now, si.now)
	si.core.HandleReport(id, old, early, si.now)
	if vm := si.core.vms[id]; vm.ep.Member != nil || vm.ep.Orders != latest.Orders {
		t.Errorf("the VM is recorded with membership %v after %d orders, want the state of the later report", vm.ep.Member, vm.ep.Orders)
	}
}
