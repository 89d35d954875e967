package steward

import (
	"fmt"
	"math"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/evacuation"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// runWave advances the simulation under demands that swing around the given means with a period of
// 17 s, opposite to each other, and returns the models that received groups, in order.
func (si *simulation) runWave(large, small, swing float64, dur time.Duration) []string {
	en := si.cfg.Services["engine"].Engine
	var received []string
	for begin := si.now; si.now.Sub(begin) < dur; {
		phase := swing * math.Sin(2*math.Pi*si.now.Sub(begin).Seconds()/17)
		si.core.SetDemand(map[string]catalog.Demand{"large": demandFor(en, "large", large*(1-phase)), "small": demandFor(en, "small", small*(1+phase))}, si.now)
		si.step()
		for _, ev := range si.core.Events() {
			if ev.Kind == "group-rebalanced" {
				si.t.Logf("%.1f s: %s", si.now.Sub(begin).Seconds(), ev.Reason)
				received = append(received, map[string]string{"large": "small", "small": "large"}[ev.Model])
			}
		}
	}
	return received
}

// reversals counts the changes of direction in a list of models that received groups.
func reversals(received []string) int {
	num := 0
	for i := range received {
		if i > 0 && received[i] != received[i-1] {
			num++
		}
	}
	return num
}

// Guards against a split that follows each wave of the demand: each exchange interrupts groups, and
// the model that is released is short of groups half a period later. The first exchange follows the
// first quarter of a wave and may be corrected once.
func TestExchangesIgnoreWaves(t *testing.T) {
	t.Parallel()
	const wave = 17 * time.Second
	for _, swing := range []float64{0.15, 0.3, 0.45} {
		t.Run(fmt.Sprint(swing), func(t *testing.T) {
			t.Parallel()
			si := newStagingSimulation(t, 1, 6, 27, stagingModels(12, 6))
			received := si.runWave(2.8, 6.5, swing, 3*wave)
			late := si.runWave(2.8, 6.5, swing, 3*wave)
			large, small := si.serving()
			t.Logf("%d large and %d small groups after %v and %v, %d loads", large, small, received, late, len(si.fleet.Loads()))
			if num := reversals(received); num > 1 || len(received) > 4 || len(late) > 0 {
				t.Errorf("%d groups released with %d reversals in three waves and %d in three more, want at most 4, 1 and 0", len(received), num, len(late))
			}
		})
	}
}

// Guards against exchanges caused by bursts of 3 to 5 s of one model's demand.
func TestExchangesIgnoreBursts(t *testing.T) {
	t.Parallel()
	si := newStagingSimulation(t, 2, 6, 27, stagingModels(12, 6))
	num := si.runWithDemand(2.6, 5.6, 8*time.Second)
	for i := range 3 {
		num += si.runWithDemand(2.6, 8, time.Duration(3+i)*time.Second)
		num += si.runWithDemand(2.6, 5.6, 9*time.Second)
	}
	large, small := si.serving()
	t.Logf("%d large and %d small groups after %d releases, %d loads", large, small, num, len(si.fleet.Loads()))
	if num > 2 {
		t.Errorf("%d groups released, want at most 2", num)
	}
}

// Guards against exchanges based on stage orders that a host has not carried out. A VM that joins
// without the copy loads for 12 s during traffic.
func TestExchangeNeedsReportedCopies(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(si *simulation)
	}{
		{"answered and not done", func(si *simulation) { si.ignoredStages = 1 }},
		{"some answered and not done", func(si *simulation) { si.ignoredStages = 0.3 }},
		{"responses lost", func(si *simulation) { si.lostOrderResponses = 0.3 }},
		{"late", func(si *simulation) { si.lateOrders = 0.3 }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			si := newStagingStart(t, 3, 6, 27, stagingModels(12, 6))
			si.run(2500 * time.Millisecond)
			tc.fault(si)
			si.runInitialLoads(6 * time.Second)
			si.lostOrderResponses, si.lateOrders = 0, 0
			copies := si.copies("large")
			released := si.runCheckingCopies(2.5, 8.9, 4*time.Second)
			large, small := si.serving()
			t.Logf("%d copies, %d released, serving %d large and %d small groups, %d loads", copies, released, large, small, len(si.fleet.Loads()))
			if large+small < 6+12-2 {
				t.Errorf("serving %d large and %d small groups: groups were lost", large, small)
			}
		})
	}
}

// runCheckingCopies is runWithDemand that also checks that each released group's hosts hold the
// other model.
func (si *simulation) runCheckingCopies(large, small float64, dur time.Duration) int {
	en := si.cfg.Services["engine"].Engine
	demand := map[string]catalog.Demand{"large": demandFor(en, "large", large), "small": demandFor(en, "small", small)}
	num := 0
	for end := si.now.Add(dur); si.now.Before(end); {
		si.core.SetDemand(demand, si.now)
		si.step()
		for _, ev := range si.core.Events() {
			if ev.Kind != "group-rebalanced" {
				continue
			}
			num++
			for _, id := range ev.Members {
				if staged := si.fleet.Staged(id); len(staged) == 0 || staged[0] == ev.Model {
					si.t.Errorf("%s released although %s has %v on its host", ev.Group, id, staged)
				}
			}
		}
	}
	return num
}

// Guards against a plan that starts over, or a released group that stays idle, when another steward
// takes over.
func TestTakeOverDuringStaging(t *testing.T) {
	t.Parallel()
	for _, at := range []time.Duration{2600 * time.Millisecond, 4200 * time.Millisecond, 10 * time.Second, 10500 * time.Millisecond, 11 * time.Second} {
		si := newStagingStart(t, 4, 6, 27, stagingModels(12, 6))
		if at < 8500*time.Millisecond {
			si.run(at)
			si.takeOver()
			si.runInitialLoads(8500*time.Millisecond - at)
			if num := si.copies("large") + si.copies("small"); num < 36 || num > 54 {
				t.Errorf("steward replaced at %v: %d VMs staged, want 36 to 54", at, num)
			}
			si.runWithDemand(2.5, 8.9, 4*time.Second)
		} else {
			si.runInitialLoads(8500 * time.Millisecond)
			si.runWithDemand(2.5, 8.9, at-8500*time.Millisecond)
			si.takeOver()
			si.runWithDemand(2.5, 8.9, 6*time.Second)
		}
		large, small := si.serving()
		t.Logf("steward replaced at %v: serving %d large and %d small groups, %d loads", at, large, small, len(si.fleet.Loads()))
		if small < 14 || large < 4 {
			t.Errorf("steward replaced at %v: serving %d large and %d small groups, want at least 4 and 14", at, large, small)
		}
	}
}

// Guards against exchanges to or from a domain that is dark, and against groups that are stalled
// counting as capacity.
func TestExchangeWithDarkDomain(t *testing.T) {
	t.Parallel()
	si := newStagingSimulation(t, 5, 6, 27, stagingModels(12, 6))
	for _, id := range si.fleet.IDs() {
		si.fleet.Update(id, func(vm *emulator.VM) { vm.Unreachable = vm.Domain == "domain-1" })
	}
	for end := si.now.Add(9 * time.Second); si.now.Before(end); {
		si.reportStalls()
		si.runWithDemand(2, 7.5, 10*simStep)
	}
	large, small := si.serving()
	t.Logf("serving %d large and %d small groups, %d loads", large, small, len(si.fleet.Loads()))
	if small < 12 || large < 3 {
		t.Errorf("serving %d large and %d small groups, want at least 3 and 12", large, small)
	}
}

// Guards against exchanges in an evacuated data centre and against its groups counting as capacity.
func TestExchangeWithEvacuatedDataCenter(t *testing.T) {
	t.Parallel()
	si := newStagingStart(t, 6, 6, 27, stagingModels(12, 6))
	si.placeDomains()
	si.runInitialLoads(8500 * time.Millisecond)
	before := len(si.groupsIn("hall-1"))
	si.core.SetEvacuation(evacuation.Order{Revision: 1, DataCenters: []string{"hall-1"}})
	si.runWithDemand(1.7, 6.5, 5*time.Second)
	num := map[string]int{}
	for _, gr := range append(si.groupsIn("hall-0"), si.groupsIn("hall-2")...) {
		num[gr.Model]++
	}
	t.Logf("serving %v elsewhere, %d in the evacuated data centre", num, len(si.groupsIn("hall-1")))
	if num["small"] < 10 || num["large"] < 2 {
		t.Errorf("serving %v outside the evacuated data centre, want at least 10 small and 2 large", num)
	}
	if after := len(si.groupsIn("hall-1")); after != before {
		t.Errorf("%d groups in the evacuated data centre, %d before", after, before)
	}
}

// Guards against a restarted VM that stays idle: its host has lost the copy of its group's model.
func TestStagedVMRestarts(t *testing.T) {
	t.Parallel()
	si := newStagingSimulation(t, 7, 6, 27, stagingModels(12, 6))
	for _, gr := range si.core.Groups() {
		if gr.Model != "large" || si.fleet.Staged(gr.Members[1].ID)[0] != "small" {
			continue
		}
		id := gr.Members[1].ID
		si.restart(id)
		si.runWithDemand(2.5, 8.9, 8*time.Second)
		mb := si.core.vms[id].ep.Member
		large, small := si.serving()
		t.Logf("serving %d large and %d small groups, %d loads", large, small, len(si.fleet.Loads()))
		if mb == nil || si.core.vms[id].lastModel != "small" {
			t.Errorf("the restarted VM belongs to %v with model %q, want a group of the staged model", mb, si.core.vms[id].lastModel)
		}
		return
	}
	t.Fatal("no large group is staged")
}

// Guards against a group that is not repaired from a spare because its members' hosts hold another
// model: the members would join that model's groups, or load their own again.
func TestStagedGroupIsRepaired(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		si := newStagingSimulation(t, seed, 6, 27, stagingModels(12, 6))
		for _, gr := range si.core.Groups() {
			if staged := si.fleet.Staged(gr.Leader().ID)[0]; staged == gr.Model || !si.core.replaceable(si.core.vms[gr.Leader().ID], gr.Model) {
				continue
			}
			si.lostOrderResponses = 0.6
			si.kill(gr.Members[1].ID)
			si.runWithStallReports(6 * time.Second)
			large, small := si.serving()
			if large != 6 || small != 12 || len(si.fleet.Loads()) > 0 {
				t.Errorf("seed %d: serving %d large and %d small groups after %d loads, want 6, 12 and 0", seed, large, small, len(si.fleet.Loads()))
			}
			break
		}
	}
}

// Guards against a staged group that has lost a member without a replacement and leaves its others
// idle for the time of a load.
func TestStagedGroupWithoutSpare(t *testing.T) {
	t.Parallel()
	si := newStagingSimulation(t, 9, 6, 27, stagingModels(12, 6))
	for _, gr := range si.core.Groups() {
		if gr.Model != "large" || si.fleet.Staged(gr.Leader().ID)[0] != "small" {
			continue
		}
		for _, id := range si.fleet.IDs() {
			if vm := si.core.vms[id]; vm.ep.Domain == si.core.vms[gr.Leader().ID].ep.Domain && isSpare(vm.ep.Member.Group) {
				si.kill(id)
			}
		}
		si.kill(gr.Members[1].ID)
		for end := si.now.Add(5 * time.Second); si.now.Before(end); {
			si.reportStalls()
			si.runWithDemand(1.2, 9.5, stallDetectTime)
		}
		idle := 0
		for _, me := range gr.Members {
			if vm := si.core.vms[me.ID]; vm != nil && vm.ep.Member == nil && !vm.down {
				idle++
			}
		}
		large, small := si.serving()
		t.Logf("serving %d large and %d small groups, %d idle, %d loads", large, small, idle, len(si.fleet.Loads()))
		if idle > 5 {
			t.Errorf("%d members are idle, want at most 5", idle)
		}
		return
	}
	t.Fatal("no large group is staged")
}

// Guards against loads of staging that exceed the weight store's limits, and against a shortage
// that lasts because no copies are left.
func TestStagingDuringTraffic(t *testing.T) {
	t.Parallel()
	si := newStagingSimulation(t, 8, 6, 27, stagingModels(12, 6))
	si.runWithDemand(1, 12, 6*time.Second)
	large, small := si.serving()
	t.Logf("6 s after the first request: %d large and %d small groups, %d loads", large, small, len(si.fleet.Loads()))
	most := 0
	for end := si.now.Add(34 * time.Second); si.now.Before(end); {
		si.runWithDemand(1, 12, 10*simStep)
		most = max(most, si.fleet.LoadsInProgress(si.now))
	}
	la, sm := si.serving()
	t.Logf("34 s later: %d large and %d small groups, %d loads, at most %d at once", la, sm, len(si.fleet.Loads()), most)
	if la >= large || sm <= small || la < 2 {
		t.Errorf("%d large and %d small groups, and %d and %d without further staging", la, sm, large, small)
	}
	if most > 20 {
		t.Errorf("%d loads at once, want at most 20", most)
	}
	si.checkLoadRate()
}

// Guards against groups that stay without requests because an earlier steward drained them for an
// exchange. Its successor knows no reservations, so the groups must count and serve at once, also
// those that have left their groups already.
func TestTakeOverDuringExchange(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		si := newStagingSimulation(t, 1, 6, 27, stagingModels(12, 6))
		for end := si.now.Add(5 * time.Second); si.runWithDemand(2.5, 8.9, simStep) == 0; {
			if si.now.After(end) {
				t.Fatal("no exchange")
			}
		}
		var leaders []string
		for _, gr := range si.core.groups {
			if gr.reassigned {
				leaders = append(leaders, gr.members[0])
			}
		}
		si.setRunning(leaders, 3)
		si.runWithDemand(2.5, 8.9, min(after, 2*time.Second))
		si.setRunning(leaders, 0)
		si.runWithDemand(2.5, 8.9, max(0, after-2*time.Second))
		si.register()
		si.takeOver()
		begin, idle := si.now, 0
		for si.now.Sub(begin) < time.Second {
			si.runWithDemand(2.5, 8.9, simStep)
			serving := 0
			for _, gr := range si.core.Groups() {
				if !gr.Draining && si.core.serves(si.core.groups[groupKey{gr.Name, gr.Epoch}], si.now) {
					serving += len(gr.Members)
				}
			}
			idle += 144 - serving
		}
		seconds := float64(idle) * simStep.Seconds()
		t.Logf("steward replaced %v after the release: %d VMs drained, %.1f VM seconds without a group", after, 12*len(leaders), seconds)
		if most := 24.0; seconds > most || after < 2*time.Second && seconds > 1 {
			t.Errorf("steward replaced %v after the release: %.1f VM seconds without a group in the first second, want at most %.0f", after, seconds, most)
		}
	}
}

// setRunning sets the number of requests that the VMs report as running.
func (si *simulation) setRunning(ids []string, num int) {
	for _, id := range ids {
		si.fleet.Update(id, func(vm *emulator.VM) { vm.Running = num })
	}
}

// Guards against VMs that stay reserved and idle after an exchange because another reserved VM of
// their domain has become slow or leaves, so that no group can be formed with it.
func TestReservedVMBecomesUnusable(t *testing.T) {
	t.Parallel()
	tests := map[string]func(*emulator.VM){
		"slow":    func(vm *emulator.VM) { vm.Slowness = 9 },
		"leaving": func(vm *emulator.VM) { vm.Leaving = true },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			si := newStagingSimulation(t, 1, 6, 24, stagingModels(12, 6))
			for end := si.now.Add(5 * time.Second); si.runWithDemand(8, 3, simStep) == 0; {
				if si.now.After(end) {
					t.Fatal("no exchange")
				}
			}
			changed := ""
			for _, id := range si.fleet.IDs() {
				if changed == "" && si.core.vms[id].targetModel == "large" {
					changed = id
					si.fleet.Update(id, change)
				}
			}
			si.runWithDemand(8, 3, 8*time.Second)
			reserved := 0
			for id, vm := range si.core.vms {
				if id != changed && vm.targetModel != "" {
					reserved++
				}
			}
			if reserved > 0 {
				t.Errorf("%d VMs are still reserved, want 0", reserved)
			}
		})
	}
}
