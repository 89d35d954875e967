package steward

import (
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// At the first start no weights are loaded. Checks that the VMs are assigned so that the models'
// groups are in proportion to their work, and that as few VMs as the group sizes allow remain
// without a group.
func TestInitialGroups(t *testing.T) {
	si := newSimulation(t, 1, 6, 9)
	si.runInitialLoads(5 * time.Second)
	large, small := si.serving()
	if large < 7 || small < 4 || large*4+small*3 < 48 {
		t.Errorf("serving %d large and %d small groups of 54 VMs, want at least 7 and 4 on 48 VMs", large, small)
	}
}

// A member of a serving group dies. After daemons report the stall, the members are polled and
// a spare that holds the weights replaces the lost one, without a load from the weight store.
func TestRepairWithSpare(t *testing.T) {
	si := newSimulation(t, 2, 1, 9)
	si.runInitialLoads(5 * time.Second)
	before := len(si.core.Groups())
	loads := len(si.fleet.Loads())
	si.kill(si.groupWithSpare().Members[1].ID)
	begin := si.now
	si.run(50 * time.Millisecond)
	for len(si.core.Groups()) == before {
		si.reportStalls()
		si.step()
	}
	for len(si.core.Groups()) < before {
		si.reportStalls()
		si.step()
		if si.now.Sub(begin) > 2*time.Second {
			t.Fatal("the group was not replaced within 2 s of the loss")
		}
	}
	if got := len(si.fleet.Loads()) - loads; got != 0 {
		t.Errorf("%d loads from the weight store during the repair, want 0", got)
	}
}

// Checks that no VM belongs to two groups, and that no group runs a request with a member that was
// never ready in it, whichever VMs are lost, slow, partitioned or replaced. Also checks that, after
// the last fault, no domain has enough idle VMs that hold a model to form another group of it.
func TestHoldOneGroupPerVM(t *testing.T) {
	faults := []struct {
		name string
		run  func(si *simulation)
	}{
		{"kill", func(si *simulation) {
			for range 6 {
				si.killOne()
				si.runWithStallReports(time.Second)
			}
		}},
		{"kill twice at once", func(si *simulation) {
			for range 4 {
				si.killOne()
				si.killOne()
				si.runWithStallReports(2 * time.Second)
			}
		}},
		{"cut head", func(si *simulation) {
			gr := si.core.Groups()[0]
			si.setUnreachable(gr.Leader().ID, true)
			si.runWithStallReports(3 * time.Second)
			si.setUnreachable(gr.Leader().ID, false)
		}},
		{"cut member", func(si *simulation) {
			gr := si.core.Groups()[0]
			si.setUnreachable(gr.Members[2].ID, true)
			si.runWithStallReports(8 * time.Second)
			si.setUnreachable(gr.Members[2].ID, false)
		}},
		{"lost answers", func(si *simulation) {
			si.lostOrderResponses = 0.3
			for range 4 {
				si.killOne()
				si.runWithStallReports(2 * time.Second)
			}
			si.lostOrderResponses = 0
		}},
		{"late orders", func(si *simulation) {
			si.lateOrders = 0.3
			for range 4 {
				si.killOne()
				si.runWithStallReports(3 * time.Second)
			}
			si.lateOrders = 0
		}},
		{"steward replaced during a repair", func(si *simulation) {
			for range 5 {
				si.killOne()
				si.runWithStallReports(200 * time.Millisecond)
				si.takeOver()
				si.runWithStallReports(time.Second)
			}
		}},
		{"late orders of a former steward", func(si *simulation) {
			si.lateOrders = 0.5
			for range 4 {
				si.killOne()
				si.runWithStallReports(400 * time.Millisecond)
				si.takeOver()
				si.runWithStallReports(4 * time.Second)
			}
			si.lateOrders = 0
		}},
		{"domain dark", func(si *simulation) {
			for _, id := range si.fleet.IDs() {
				if ep, _ := si.fleet.Entry(id, si.now); ep.Domain == "domain-0" {
					si.setUnreachable(id, true)
				}
			}
			si.runWithStallReports(8 * time.Second)
			for _, id := range si.fleet.IDs() {
				si.setUnreachable(id, false)
			}
		}},
		{"store away", func(si *simulation) {
			si.storeDown = true
			for range 3 {
				si.killOne()
				si.runWithStallReports(time.Second)
			}
			si.storeDown = false
		}},
		{"planned leave", func(si *simulation) {
			gr := si.core.Groups()[0]
			si.fleet.Update(gr.Members[1].ID, func(vm *emulator.VM) { vm.Leaving = true })
			si.runWithStallReports(3 * time.Second)
		}},
	}
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6) {
				// Different model weights lead to different splits of the domains.
				models := [][]catalog.Model{simModels, samePaceModels}[seed/3]
				si := newSimulationWith(t, seed%3, 3, 9, models)
				si.runInitialLoads(5 * time.Second)
				tc.run(si)
				si.runWithStallReports(20 * time.Second)
				si.checkNoFormableGroup()
			}
		})
	}
}

// groupWithSpare returns a serving group whose domain has an available VM that holds the
// group's model.
func (si *simulation) groupWithSpare() catalog.Group {
	si.t.Helper()
	for _, gr := range si.core.Groups() {
		if si.core.replaceable(si.core.vms[gr.Leader().ID], gr.Model) {
			return gr
		}
	}
	si.t.Fatal("no group has a spare")
	return catalog.Group{}
}

// killOne kills a random member of a random serving group.
func (si *simulation) killOne() {
	groups := si.core.Groups()
	if len(groups) == 0 {
		return
	}
	gr := groups[si.rnd.IntN(len(groups))]
	si.kill(gr.Members[si.rnd.IntN(len(gr.Members))].ID)
}

// setUnreachable disconnects a VM from the network or reconnects it.
func (si *simulation) setUnreachable(id string, unreachable bool) {
	si.fleet.Update(id, func(vm *emulator.VM) { vm.Unreachable = unreachable })
}

// stallDetectTime is how long daemons take to detect stalled streams.
const stallDetectTime = 260 * time.Millisecond

// runWithStallReports advances the simulation while daemons report stalled groups.
func (si *simulation) runWithStallReports(dur time.Duration) {
	for end := si.now.Add(dur); si.now.Before(end); {
		si.run(stallDetectTime)
		si.reportStalls()
	}
}

// checkNoFormableGroup checks that no domain has enough idle VMs with a staged model to form a
// group of it.
func (si *simulation) checkNoFormableGroup() {
	si.t.Helper()
	busy := make(map[string]bool)
	for _, gr := range si.core.Groups() {
		for _, me := range gr.Members {
			busy[me.ID] = true
		}
	}
	idle := make(map[string]int)
	for _, id := range si.fleet.IDs() {
		ep, _ := si.fleet.Entry(id, si.now)
		if mb := ep.Member; mb != nil && mb.State == catalog.Joining {
			// It is loading the weights of the other model.
			continue
		}
		if !busy[id] && !ep.Leaving && len(ep.Staged) > 0 {
			idle[ep.Domain+"/"+ep.Staged[0]]++
		}
	}
	for _, mo := range simModels {
		for _, do := range []string{"domain-0", "domain-1", "domain-2"} {
			if num := idle[do+"/"+mo.Name]; num >= mo.Size {
				si.t.Errorf("%d idle VMs with %s in %s could serve", num, mo.Name, do)
			}
		}
	}
}

// A steward that takes over while all groups serve must learn about them from their members
// and must not dissolve any.
func TestTakeOverKeepsGroups(t *testing.T) {
	si := newSimulation(t, 4, 3, 9)
	si.runInitialLoads(5 * time.Second)
	large, small := si.serving()
	si.takeOver()
	si.run(5 * time.Second)
	if la, sm := si.serving(); la != large || sm != small {
		t.Errorf("serving %d large and %d small groups after the takeover, want %d and %d as before", la, sm, large, small)
	}
}

// After a store outage, some entries are restored later than others. A steward that starts in
// between sees incomplete groups and must wait for the missing members instead of dissolving
// the groups.
func TestTakeOverBeforeAllRegistered(t *testing.T) {
	si := newSimulation(t, 5, 3, 9)
	si.runInitialLoads(5 * time.Second)
	large, small := si.serving()
	late := make(map[string]catalog.Endpoint)
	for i, id := range si.fleet.IDs() {
		if i%4 == 0 {
			late[id] = si.entries[id]
			delete(si.entries, id)
		}
	}
	si.storeDown = true
	si.takeOver()
	si.run(1500 * time.Millisecond)
	si.storeDown = false
	for id, ep := range late {
		si.entries[id] = ep
		si.core.Register(ep, si.now)
	}
	si.run(5 * time.Second)
	if la, sm := si.serving(); la != large || sm != small {
		t.Errorf("serving %d large and %d small groups after the takeover, want %d and %d as before", la, sm, large, small)
	}
}

// A steward takes over after a member has died and its entry has expired, while the last view
// still names it. Its group must be replaced at once, without waiting for entries that may be
// restored.
func TestTakeOverRestoresMembers(t *testing.T) {
	si := newSimulation(t, 8, 3, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.groupWithSpare()
	lost := gr.Members[1]
	si.fleet.Update(lost.ID, func(vm *emulator.VM) { vm.Dead = true })
	delete(si.entries, lost.ID)
	si.takeOver()
	si.core.RestoreMember(gr, lost, si.now)
	si.run(registrationTimeout - time.Second)
	if !si.leaderRegrouped(gr) {
		t.Error("the leader of the broken group serves in no other group")
	}
}

// leaderRegrouped reports whether the leader of a group serves in another one.
func (si *simulation) leaderRegrouped(gr catalog.Group) bool {
	return slices.ContainsFunc(si.core.Groups(), func(other catalog.Group) bool {
		return other.Name != gr.Name && slices.ContainsFunc(other.Members, func(me catalog.Member) bool { return me.ID == gr.Leader().ID })
	})
}

// A member and the steward die together. The member's entry remains for some seconds, so the
// next steward sees the membership but gets no response. It must replace the group at once
// instead of waiting registrationTimeout, because callers wait as well.
func TestTakeOverFindsDeadMember(t *testing.T) {
	si := newSimulation(t, 8, 3, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.groupWithSpare()
	si.kill(gr.Members[1].ID)
	si.takeOver()
	si.run(registrationTimeout - time.Second)
	if !si.leaderRegrouped(gr) {
		t.Error("the leader of the broken group serves in no other group")
	}
}

// Loads from the weight store are rate-limited: those that begin within any 5 s stay within
// the store's rate, even when many empty VMs join at once.
func TestLoadsAreRateLimited(t *testing.T) {
	si := newSimulation(t, 6, 3, 9)
	si.runInitialLoads(5 * time.Second)
	for range 12 {
		si.add("domain-1")
	}
	si.runWithStallReports(20 * time.Second)
	si.checkLoadRate()
	if loads := si.fleet.Loads(); len(loads) < 12 {
		t.Errorf("%d loads for 12 empty VMs, want at least 12", len(loads))
	}
}

// checkLoadRate checks that the loads that begin within any 5 s stay within the rate of the
// weight store.
func (si *simulation) checkLoadRate() {
	si.t.Helper()
	si.checkLoadRateOf(4.5)
}

// checkLoadRateOf is checkLoadRate for a weight store with the given rate, in loads a second.
func (si *simulation) checkLoadRateOf(perSecond float64) {
	si.t.Helper()
	const window = 5 * time.Second
	most := perSecond*5*1.1 + 3
	loads := si.fleet.Loads()
	for i, from := range loads {
		num := 0
		for _, at := range loads[i:] {
			if at.Sub(from) < window {
				num++
			}
		}
		if float64(num) > most {
			si.t.Fatalf("%d loads began within %v, more than the rate of the weight store allows", num, window)
		}
	}
}

// All groups of a model are lost together with their VMs. VMs that hold the other model must
// load it, so that its requests are served again.
func TestModelWithoutGroups(t *testing.T) {
	for _, models := range [][]catalog.Model{simModels, samePaceModels} {
		si := newSimulationWith(t, 7, 3, 9, models)
		si.runInitialLoads(5 * time.Second)
		for _, gr := range si.core.Groups() {
			if gr.Model == "large" {
				for _, me := range gr.Members {
					si.kill(me.ID)
				}
			}
		}
		si.runWithStallReports(60 * time.Second)
		large, small := si.serving()
		if large == 0 || small == 0 {
			t.Errorf("serving %d large and %d small groups, want at least one of each", large, small)
		}
	}
}
