package steward

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// memberSlots returns the number of ranks in all groups.
func (co *Core) memberSlots() int {
	num := 0
	for _, gr := range co.groups {
		num += len(gr.members)
	}
	return num
}

// Guards against a steward that takes all memory: entries name a rank beyond any group's size, with
// no model or one that the configuration doesn't know.
func TestHugeRanksInEntries(t *testing.T) {
	si := newSimulation(t, 1, 2, 9)
	si.runInitialLoads(8 * time.Second)
	large, small := si.serving()
	for i, rank := range []int{1 << 21, 1 << 21, 1 << 20, -1 << 40, -1} {
		for _, loaded := range []string{"", "unknown", "large"} {
			id := fmt.Sprint("odd-", i, loaded)
			si.core.Register(catalog.Endpoint{ID: id, Service: "engine", Address: id, Domain: "domain-0", Loaded: loaded, Slots: 1,
				Member: &catalog.Membership{Group: "odd-" + loaded, Epoch: 7, Rank: rank, State: catalog.Open}}, si.now)
		}
	}
	for range 500 {
		si.step()
		if num, most := si.core.memberSlots(), 8*len(si.core.vms); num > most {
			t.Fatalf("%d ranks in %d groups of %d VMs, want at most %d", num, len(si.core.groups), len(si.core.vms), most)
		}
	}
	if la, sm := si.serving(); la < large || sm < small {
		t.Errorf("serving %d large and %d small groups, want at least the %d and %d before", la, sm, large, small)
	}
}

// Guards against sound groups that are dissolved: a copy of each member's entry under another ID claims
// the same rank, and no server answers to that ID.
func TestCopiedEntries(t *testing.T) {
	for _, prefix := range []string{"copy-", "z-copy-"} {
		si := newSimulation(t, 1, 2, 9)
		si.runInitialLoads(8 * time.Second)
		before := si.core.Groups()
		for _, id := range si.fleet.IDs() {
			ep := si.entries[id]
			ep.ID = prefix + id
			si.entries[ep.ID] = ep
			si.core.Register(ep, si.now)
		}
		si.run(3 * time.Second)
		si.takeOver()
		si.run(3 * time.Second)
		left := make(map[string]bool)
		for _, gr := range si.core.Groups() {
			left[gr.Name] = true
		}
		for _, gr := range before {
			if !left[gr.Name] {
				t.Errorf("%s: group %s no longer serves", prefix, gr.Name)
			}
		}
	}
}
