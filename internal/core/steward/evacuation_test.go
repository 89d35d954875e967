package steward

import (
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/evacuation"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// placeDomains puts the simulation's domains into data centres of two domains each: "hall-0"
// holds the first two.
func (si *simulation) placeDomains() {
	for _, id := range si.fleet.IDs() {
		si.fleet.Update(id, func(vm *emulator.VM) {
			num := int(strings.TrimPrefix(vm.Domain, "domain-")[0] - '0')
			vm.DataCenter = "hall-" + string(rune('0'+num/2))
		})
	}
}

// groupsIn returns the serving groups of a data centre.
func (si *simulation) groupsIn(dataCenter string) []catalog.Group {
	var groups []catalog.Group
	for _, gr := range si.core.Groups() {
		if gr.DataCenter == dataCenter {
			groups = append(groups, gr)
		}
	}
	return groups
}

// newEvacuationSimulation returns a simulation of three data centres whose groups serve.
func newEvacuationSimulation(t *testing.T, seed uint64) *simulation {
	si := newSimulation(t, seed, 6, 9)
	si.placeDomains()
	si.runInitialLoads(5 * time.Second)
	return si
}

// Guards against groups that a steward, also a new one, forms in an evacuated data centre after a
// loss there, and against a data centre that does not serve again once the evacuation has ended.
func TestEvacuatedDataCenterFormsNoGroup(t *testing.T) {
	si := newEvacuationSimulation(t, 1)
	before := len(si.groupsIn("hall-1"))
	order := evacuation.Order{Revision: 1, DataCenters: []string{"hall-1"}}
	si.core.SetEvacuation(order)
	for _, gr := range si.groupsIn("hall-1") {
		si.kill(gr.Members[1].ID)
	}
	si.runWithStallReports(3 * time.Second)
	si.takeOver()
	si.core.SetEvacuation(order)
	loads := len(si.fleet.Loads())
	si.runWithStallReports(10 * time.Second)
	if got := len(si.groupsIn("hall-1")); got != 0 {
		t.Errorf("%d groups formed in an evacuated data centre", got)
	}
	if got := len(si.fleet.Loads()) - loads; got != 0 {
		t.Errorf("%d loads for VMs of an evacuated data centre", got)
	}
	if got := len(si.groupsIn("hall-0")); got == 0 {
		t.Error("the other data centres lost their groups")
	}
	si.core.SetEvacuation(evacuation.Order{Revision: 2})
	si.runWithStallReports(5 * time.Second)
	if got := len(si.groupsIn("hall-1")); got < before-2 {
		t.Errorf("%d groups serve after the evacuation, want at least %d of %d", got, before-2, before)
	}
}

// Guards against loads and joins for an evacuation that no loss accompanies: the groups stay, so
// that they serve as soon as it ends.
func TestEvacuationKeepsGroups(t *testing.T) {
	si := newEvacuationSimulation(t, 2)
	before, loads := len(si.groupsIn("hall-2")), len(si.fleet.Loads())
	for revision := range int64(4) {
		or := evacuation.Order{Revision: revision}
		if revision%2 == 1 {
			or.DataCenters = []string{"hall-2"}
		}
		si.core.SetEvacuation(or)
		si.run(2 * time.Second)
	}
	if got := len(si.groupsIn("hall-2")); got != before || len(si.fleet.Loads()) != loads {
		t.Errorf("%d groups and %d loads after the evacuations, want %d groups and %d loads", got, len(si.fleet.Loads()), before, loads)
	}
}

// Guards against a model that has no group left outside the evacuated data centres because the
// steward still counts the groups there.
func TestEvacuationOfAModelsOnlyGroups(t *testing.T) {
	si := newEvacuationSimulation(t, 3)
	si.core.SetEvacuation(evacuation.Order{Revision: 1, DataCenters: []string{"hall-0", "hall-1"}})
	for _, gr := range si.groupsIn("hall-2") {
		if gr.Model == "small" {
			si.kill(gr.Members[0].ID)
		}
	}
	si.runWithStallReports(40 * time.Second)
	models := make(map[string]int)
	for _, gr := range si.groupsIn("hall-2") {
		models[gr.Model]++
	}
	if models["large"] == 0 || models["small"] == 0 {
		t.Errorf("groups by model outside the evacuated data centres: %v, want some of each", models)
	}
}

// Guards against a group whose leader is cold although another member is not: the leader alone
// receives requests, and a cold one tolerates only a few.
func TestColdVMDoesNotLead(t *testing.T) {
	si := newSimulation(t, 4, 1, 9)
	si.run(simStep)
	cold := make(map[string]bool)
	for num, id := range si.fleet.IDs() {
		ep := si.entries[id]
		ep.Cold = num%2 == 0
		cold[id] = ep.Cold
		si.core.Register(ep, si.now)
	}
	si.runInitialLoads(5 * time.Second)
	if len(si.core.Groups()) == 0 {
		t.Fatal("no group serves")
	}
	for _, gr := range si.core.Groups() {
		if cold[gr.Leader().ID] {
			t.Errorf("group %s is led by a cold VM: %v", gr.Name, gr.Members)
		}
	}
}
