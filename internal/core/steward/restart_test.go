package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// A server process restarts under its ID: it has lost its group membership and counts its
// orders from 0 again, and requests to its group's leader would stall. Whenever this happens,
// the other members must soon serve in another group, the VM must be used again, and no VM may
// be in two groups.
func TestMemberRestarts(t *testing.T) {
	tests := []struct {
		name string
		run  func(si *simulation, id string)
	}{
		{"in an open group", func(si *simulation, id string) { si.restart(id) }},
		{"twice within a heartbeat", func(si *simulation, id string) {
			si.storeDown = true
			si.restart(id)
			si.run(2 * simStep)
			si.restart(id)
			si.run(2 * simStep)
			si.storeDown = false
		}},
		{"while the store is away", func(si *simulation, id string) {
			si.storeDown = true
			si.restart(id)
			si.runWithStallReports(2 * time.Second)
			si.checkCurrentIncarnation(id)
			si.storeDown = false
		}},
		{"while an order is under way", func(si *simulation, id string) {
			si.kill(si.groupOf(id).Members[0].ID)
			si.reportStalls()
			for !si.core.vms[id].orderPending {
				si.step()
				si.reportStalls()
			}
			si.restart(id)
		}},
		{"and an order comes late", func(si *simulation, id string) {
			gr := si.groupOf(id)
			si.restart(id)
			// An order to the first incarnation, from before it had accepted any.
			join := catalog.Join{Group: "group-1-1", Epoch: 1, Model: gr.Model, Members: []string{id}}
			si.fleet.Order(id, join, 0, si.now)
		}},
		{"with the steward", func(si *simulation, id string) {
			gr := si.groupOf(id)
			lost := gr.Members[gr.index(id)]
			si.restart(id)
			si.register()
			si.takeOver()
			si.core.RestoreMember(gr.Group, lost, si.now)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			si := newSimulation(t, 9, 3, 9)
			si.runInitialLoads(5 * time.Second)
			before := len(si.core.Groups())
			id := si.groupWithSpare().Members[1].ID
			tc.run(si, id)
			si.runWithStallReports(2 * time.Second)
			si.checkCurrentIncarnation(id)
			si.runWithStallReports(4 * time.Second)
			if after := len(si.core.Groups()); after < before-1 {
				t.Errorf("serving %d groups, %d before the restart; want at most one fewer", after, before)
			}
			si.checkNoFormableGroup()
		})
	}
}

// A report of a VM's earlier incarnation arrives after the entry of the new one. It must not
// restore the old membership: the group would count on the VM, and its callers would wait.
func TestReportOfPreviousIncarnation(t *testing.T) {
	si := newSimulation(t, 9, 1, 9)
	si.runInitialLoads(5 * time.Second)
	id := si.core.Groups()[0].Members[1].ID
	sentAt := si.now
	old, _ := si.fleet.Report(id, si.now)
	si.restart(id)
	si.step()
	si.core.HandleReport(id, old, sentAt, si.now)
	if vm := si.core.vms[id]; vm.ep.Member != nil || vm.ep.Incarnation == old.Incarnation {
		t.Errorf("the VM is recorded with membership %v in incarnation %d, want none in the new incarnation", vm.ep.Member, vm.ep.Incarnation)
	}
}

// The response to an order to the earlier incarnation arrives after the VM has restarted. It
// must not count, since the new incarnation has accepted no order.
func TestOrderResponseOfPreviousIncarnation(t *testing.T) {
	si := newSimulation(t, 9, 1, 9)
	si.runInitialLoads(5 * time.Second)
	vm := si.core.vms[si.core.Groups()[0].Members[1].ID]
	cd := si.core.command(vm, catalog.Stage{Model: "small"})
	si.restart(cd.ID)
	si.register()
	si.core.HandleOutcome(cd, Accepted, si.now)
	if vm.ep.Orders != 0 {
		t.Errorf("the new incarnation counts %d orders, want 0", vm.ep.Orders)
	}
}

// A member is known from an earlier steward's view, which does not include its incarnation.
// Its entry adds the incarnation later, and another one after a restart. The restart must be
// detected, and an order answered in between must not leave the VM waiting for a response.
func TestIncarnationIsLearnedLate(t *testing.T) {
	si := newSimulation(t, 9, 1, 9)
	si.runInitialLoads(5 * time.Second)
	vm := si.core.vms[si.core.Groups()[0].Members[1].ID]
	entry := vm.ep
	vm.ep.Incarnation = 0
	cd := si.core.command(vm, catalog.Stage{Model: "small"})
	si.core.Register(entry, si.now)
	si.core.HandleOutcome(cd, Refused, si.now)
	if vm.orderPending {
		t.Error("the VM still waits for a response that has arrived")
	}
	later := entry
	later.Incarnation++
	later.Member = nil
	si.core.Register(later, si.now)
	if vm.ep.Member != nil || vm.reported {
		t.Error("the restart was not detected")
	}
}

// A VM refuses an order that is older than its group. Reports lag, so the next one still shows
// the earlier state. The order must not be repeated after each report: this caused about a
// hundred refused orders per second.
func TestRefusedOrderBacksOff(t *testing.T) {
	si := newSimulation(t, 9, 1, 9)
	si.runInitialLoads(5 * time.Second)
	vm := si.core.vms[si.core.Groups()[0].Members[1].ID]
	cd := si.core.command(vm, catalog.Leave{Group: "none", Epoch: 1})
	si.core.HandleOutcome(cd, Refused, si.now)
	re, _ := si.fleet.Report(cd.ID, si.now)
	si.core.HandleReport(cd.ID, re, si.now, si.now)
	if vm.orderable() {
		t.Error("the VM may be sent orders based on its state from before the refusal")
	}
	si.run(emulator.ReportLag + lagMargin + pollInterval + callTime)
	if !vm.orderable() {
		t.Error("the VM may not be sent orders although its reports are up to date")
	}
}

// Two plans make the same VM hold a model. Once the VM belongs to the later one, the earlier
// one must be dropped instead of being ordered and refused repeatedly.
func TestOlderSparePlanIsDropped(t *testing.T) {
	si := newSimulation(t, 9, 1, 9)
	si.runInitialLoads(5 * time.Second)
	id := si.add("domain-0")
	si.run(50 * time.Millisecond)
	early := si.core.plan(sparePrefix, "engine", "small", []string{id}, si.now)
	late := si.core.plan(sparePrefix, "engine", "large", []string{id}, si.now)
	vm := si.core.vms[id]
	vm.ep.Member = &catalog.Membership{Group: late.name, Epoch: late.epoch, State: catalog.Joining}
	if calls := si.core.stepSpare(early, si.now); len(calls) > 0 || !early.dissolving {
		t.Errorf("the earlier plan makes calls %v, dissolving: %v; want none and true", calls, early.dissolving)
	}
}

// restart restarts a VM's server process. Its entry changes at once.
func (si *simulation) restart(id string) { si.fleet.Restart(id, si.now) }

// rankedGroup is a group with a lookup of members' ranks.
type rankedGroup struct{ catalog.Group }

func (rg rankedGroup) index(id string) int {
	for rank, me := range rg.Members {
		if me.ID == id {
			return rank
		}
	}
	return -1
}

// groupOf returns the serving group that contains the VM.
func (si *simulation) groupOf(id string) rankedGroup {
	si.t.Helper()
	for _, gr := range si.core.Groups() {
		if rg := (rankedGroup{gr}); rg.index(id) >= 0 {
			return rg
		}
	}
	si.t.Fatalf("VM %s serves in no group", id)
	return rankedGroup{}
}

// checkCurrentIncarnation checks that no group the steward reports as serving relies on an
// earlier incarnation of the VM.
func (si *simulation) checkCurrentIncarnation(id string) {
	si.t.Helper()
	re, ok := si.fleet.Report(id, si.now)
	for _, gr := range si.core.Groups() {
		for _, me := range gr.Members {
			if ok && me.ID == id && me.Incarnation != re.Incarnation {
				si.t.Errorf("group %s serves with an earlier incarnation of %s", gr.Name, id)
			}
		}
	}
}
