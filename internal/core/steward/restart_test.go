package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// A server process starts again under its ID: it holds nothing of its group any
// more, and counts its orders from 0. Callers would wait at a head that stands
// still. Whenever that happens, the group's other members soon serve in another
// one, the VM is used again, and no VM is in two groups.
func TestMemberStartsAgain(t *testing.T) {
	tests := []struct {
		name string
		run  func(wo *world, id string)
	}{
		{"in an open group", func(wo *world, id string) { wo.restart(id) }},
		{"twice within a heartbeat", func(wo *world, id string) {
			wo.storeAway = true
			wo.restart(id)
			wo.run(2 * worldStep)
			wo.restart(id)
			wo.run(2 * worldStep)
			wo.storeAway = false
		}},
		{"while the store is away", func(wo *world, id string) {
			wo.storeAway = true
			wo.restart(id)
			wo.runNoticing(2 * time.Second)
			wo.checkFormedWithout(id)
			wo.storeAway = false
		}},
		{"while an order is under way", func(wo *world, id string) {
			wo.kill(wo.groupOf(id).Members[0].ID)
			wo.notice()
			for !wo.core.vms[id].busy {
				wo.step()
				wo.notice()
			}
			wo.restart(id)
		}},
		{"and an order comes late", func(wo *world, id string) {
			gr := wo.groupOf(id)
			wo.restart(id)
			// An order to the first life, decided before it had accepted any.
			join := catalog.Join{Group: "group-1-1", Epoch: 1, Model: gr.Model, Members: []string{id}}
			wo.fleet.Order(id, join, 0, wo.now)
		}},
		{"with the steward", func(wo *world, id string) {
			gr := wo.groupOf(id)
			lost := gr.Members[gr.index(id)]
			wo.restart(id)
			wo.register()
			wo.takeOver()
			wo.core.RestoreMember(gr.Group, lost, wo.now)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			wo := newWorld(t, 9, 3, 9)
			wo.settle(5 * time.Second)
			before := len(wo.core.Groups())
			id := wo.groupWithSpare().Members[1].ID
			tc.run(wo, id)
			wo.runNoticing(2 * time.Second)
			wo.checkFormedWithout(id)
			wo.runNoticing(4 * time.Second)
			if now := len(wo.core.Groups()); now < before-1 {
				t.Errorf("%d groups serve, %d before", now, before)
			}
			wo.checkUsed()
		})
	}
}

// The report of a VM's earlier life arrives after its entry has told of the new
// one. It must not bring the old group back: the VM would be counted on as a member
// and the group's callers would wait.
func TestReportOfEarlierLife(t *testing.T) {
	wo := newWorld(t, 9, 1, 9)
	wo.settle(5 * time.Second)
	id := wo.core.Groups()[0].Members[1].ID
	asked := wo.now
	old, _ := wo.fleet.Report(id, wo.now)
	wo.restart(id)
	wo.step()
	wo.core.HandleReport(id, old, asked, wo.now)
	if vm := wo.core.vms[id]; vm.ep.Member != nil || vm.ep.Incarnation == old.Incarnation {
		t.Errorf("the VM counts as a member of %v in the life %d", vm.ep.Member, vm.ep.Incarnation)
	}
}

// The answer to an order of the earlier life arrives after the VM has started
// again. The order counts for nothing: the new life has accepted none.
func TestAnswerToEarlierLife(t *testing.T) {
	wo := newWorld(t, 9, 1, 9)
	wo.settle(5 * time.Second)
	vm := wo.core.vms[wo.core.Groups()[0].Members[1].ID]
	cd := wo.core.command(vm, catalog.Stage{Model: "small"})
	wo.restart(cd.ID)
	wo.register()
	wo.core.HandleOutcome(cd, Accepted, wo.now)
	if vm.ep.Orders != 0 {
		t.Errorf("the new life counts %d orders", vm.ep.Orders)
	}
}

// A member is known by an earlier steward's view, which did not tell its start. Its
// entry tells it later, and another one after a restart. The restart must be seen, and
// an order that is answered in between must not leave the VM waiting for its answer.
func TestStartIsLearntLate(t *testing.T) {
	wo := newWorld(t, 9, 1, 9)
	wo.settle(5 * time.Second)
	vm := wo.core.vms[wo.core.Groups()[0].Members[1].ID]
	told := vm.ep
	vm.ep.Incarnation = 0
	cd := wo.core.command(vm, catalog.Stage{Model: "small"})
	wo.core.Register(told, wo.now)
	wo.core.HandleOutcome(cd, Refused, wo.now)
	if vm.busy {
		t.Error("the VM waits for an answer that has come")
	}
	later := told
	later.Incarnation++
	later.Member = nil
	wo.core.Register(later, wo.now)
	if vm.ep.Member != nil || vm.known {
		t.Error("the restart was not seen")
	}
}

// A VM refuses an order that is older than the group it belongs to. Reports lag, so
// the next one says what was known before. The order must not go out with each of
// them: some hundred refused orders in a second were seen.
func TestRefusedOrderPauses(t *testing.T) {
	wo := newWorld(t, 9, 1, 9)
	wo.settle(5 * time.Second)
	vm := wo.core.vms[wo.core.Groups()[0].Members[1].ID]
	cd := wo.core.command(vm, catalog.Leave{Group: "none", Epoch: 1})
	wo.core.HandleOutcome(cd, Refused, wo.now)
	re, _ := wo.fleet.Report(cd.ID, wo.now)
	wo.core.HandleReport(cd.ID, re, wo.now, wo.now)
	if vm.ready() {
		t.Error("the VM may be sent orders on what was known before the refusal")
	}
	wo.run(emulator.ReportLag + lagMargin + askInterval + callTime)
	if !vm.ready() {
		t.Error("the VM may not be sent orders after its reports have caught up")
	}
}

// Two plans make the same VM hold a model. Once it belongs to the later one, the
// earlier one is given up, instead of being ordered and refused again and again.
func TestSpareIsPlannedOnce(t *testing.T) {
	wo := newWorld(t, 9, 1, 9)
	wo.settle(5 * time.Second)
	id := wo.add("domain-0")
	wo.run(50 * time.Millisecond)
	early := wo.core.plan(sparePrefix, "engine", "small", []string{id}, wo.now)
	late := wo.core.plan(sparePrefix, "engine", "large", []string{id}, wo.now)
	vm := wo.core.vms[id]
	vm.ep.Member = &catalog.Membership{Group: late.name, Epoch: late.epoch, State: catalog.Joining}
	if calls := wo.core.stepSpare(early, wo.now); len(calls) > 0 || !early.doomed {
		t.Errorf("the earlier plan makes calls %v, given up: %v", calls, early.doomed)
	}
}

// restart lets a VM's server process start again. Its entry tells at once.
func (wo *world) restart(id string) { wo.fleet.Restart(id, wo.now) }

// placed is a group with the rank of a member that the test looks at.
type placed struct{ catalog.Group }

func (pl placed) index(id string) int {
	for rank, me := range pl.Members {
		if me.ID == id {
			return rank
		}
	}
	return -1
}

// groupOf returns the serving group of a VM.
func (wo *world) groupOf(id string) placed {
	wo.t.Helper()
	for _, gr := range wo.core.Groups() {
		if pl := (placed{gr}); pl.index(id) >= 0 {
			return pl
		}
	}
	wo.t.Fatalf("%s serves in no group", id)
	return placed{}
}

// checkFormedWithout checks that no group that the steward tells to use counts on
// an earlier life of the VM.
func (wo *world) checkFormedWithout(id string) {
	wo.t.Helper()
	re, ok := wo.fleet.Report(id, wo.now)
	for _, gr := range wo.core.Groups() {
		for _, me := range gr.Members {
			if ok && me.ID == id && me.Incarnation != re.Incarnation {
				wo.t.Errorf("%s serves with the earlier life of %s", gr.Name, id)
			}
		}
	}
}
