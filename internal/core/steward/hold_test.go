package steward

import (
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// At the first start nothing is loaded anywhere. The VMs are dealt out so that
// the models' groups stand in the proportion of their work, and as few VMs as
// the sizes allow serve nobody.
func TestFirstGroups(t *testing.T) {
	wo := newWorld(t, 1, 6, 9)
	wo.settle(5 * time.Second)
	large, small := wo.serving()
	if large < 7 || small < 4 || large*4+small*3 < 48 {
		t.Errorf("serving %d large and %d small groups of 54 VMs", large, small)
	}
}

// A member of a serving group dies. Its streams stand still, daemons tell the
// steward, the members are asked, and a spare that holds the weights takes the
// place. Nothing is fetched from the weight store.
func TestRepairWithSpare(t *testing.T) {
	wo := newWorld(t, 2, 1, 9)
	wo.settle(5 * time.Second)
	before := len(wo.core.Groups())
	loads := len(wo.fleet.Loads())
	wo.kill(wo.groupWithSpare().Members[1].ID)
	begin := wo.now
	wo.run(50 * time.Millisecond)
	for len(wo.core.Groups()) == before {
		wo.notice()
		wo.step()
	}
	for len(wo.core.Groups()) < before {
		wo.notice()
		wo.step()
		if wo.now.Sub(begin) > 2*time.Second {
			t.Fatal("the group does not serve again 2 s after the loss")
		}
	}
	if got := len(wo.fleet.Loads()) - loads; got != 0 {
		t.Errorf("%d loads from the weight store in a repair", got)
	}
}

// No VM belongs to two groups and no group runs a request with a member that
// was never ready in it, whatever is lost, late, cut off or replaced. After
// the last fault the groups that the VMs suffice for serve again.
func TestHoldOneGroupPerVM(t *testing.T) {
	faults := []struct {
		name string
		run  func(wo *world)
	}{
		{"kill", func(wo *world) {
			for range 6 {
				wo.killOne()
				wo.runNoticing(time.Second)
			}
		}},
		{"kill twice at once", func(wo *world) {
			for range 4 {
				wo.killOne()
				wo.killOne()
				wo.runNoticing(2 * time.Second)
			}
		}},
		{"cut head", func(wo *world) {
			gr := wo.core.Groups()[0]
			wo.cut(gr.Head().ID, true)
			wo.runNoticing(3 * time.Second)
			wo.cut(gr.Head().ID, false)
		}},
		{"cut member", func(wo *world) {
			gr := wo.core.Groups()[0]
			wo.cut(gr.Members[2].ID, true)
			wo.runNoticing(8 * time.Second)
			wo.cut(gr.Members[2].ID, false)
		}},
		{"lost answers", func(wo *world) {
			wo.lostAnswers = 0.3
			for range 4 {
				wo.killOne()
				wo.runNoticing(2 * time.Second)
			}
			wo.lostAnswers = 0
		}},
		{"late orders", func(wo *world) {
			wo.lateOrders = 0.3
			for range 4 {
				wo.killOne()
				wo.runNoticing(3 * time.Second)
			}
			wo.lateOrders = 0
		}},
		{"steward replaced during a repair", func(wo *world) {
			for range 5 {
				wo.killOne()
				wo.runNoticing(200 * time.Millisecond)
				wo.takeOver()
				wo.runNoticing(time.Second)
			}
		}},
		{"late orders of a former steward", func(wo *world) {
			wo.lateOrders = 0.5
			for range 4 {
				wo.killOne()
				wo.runNoticing(400 * time.Millisecond)
				wo.takeOver()
				wo.runNoticing(4 * time.Second)
			}
			wo.lateOrders = 0
		}},
		{"domain dark", func(wo *world) {
			for _, id := range wo.fleet.IDs() {
				if ep, _ := wo.fleet.Entry(id, wo.now); ep.Domain == "domain-0" {
					wo.cut(id, true)
				}
			}
			wo.runNoticing(8 * time.Second)
			for _, id := range wo.fleet.IDs() {
				wo.cut(id, false)
			}
		}},
		{"store away", func(wo *world) {
			wo.storeAway = true
			for range 3 {
				wo.killOne()
				wo.runNoticing(time.Second)
			}
			wo.storeAway = false
		}},
		{"planned leave", func(wo *world) {
			gr := wo.core.Groups()[0]
			wo.fleet.Update(gr.Members[1].ID, func(vm *emulator.VM) { vm.Leaving = true })
			wo.runNoticing(3 * time.Second)
		}},
	}
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6) {
				// Where models weigh more or less, domains are split otherwise.
				models := [][]catalog.Model{worldModels, samePaceModels}[seed/3]
				wo := newWorldOf(t, seed%3, 3, 9, models)
				wo.settle(5 * time.Second)
				tc.run(wo)
				wo.runNoticing(20 * time.Second)
				wo.checkUsed()
			}
		})
	}
}

// groupWithSpare returns a serving group whose domain has a free VM that holds
// the group's model.
func (wo *world) groupWithSpare() catalog.Group {
	wo.t.Helper()
	for _, gr := range wo.core.Groups() {
		if wo.core.replaceable(wo.core.vms[gr.Head().ID], gr.Model) {
			return gr
		}
	}
	wo.t.Fatal("no group has a spare")
	return catalog.Group{}
}

// killOne kills a member of a serving group.
func (wo *world) killOne() {
	groups := wo.core.Groups()
	if len(groups) == 0 {
		return
	}
	gr := groups[wo.rnd.IntN(len(groups))]
	wo.kill(gr.Members[wo.rnd.IntN(len(gr.Members))].ID)
}

func (wo *world) cut(id string, cut bool) {
	wo.fleet.Update(id, func(vm *emulator.VM) { vm.Unreachable = cut })
}

// noticeAfter is when daemons notice that streams stand still.
const noticeAfter = 260 * time.Millisecond

// runNoticing lets time pass while daemons tell of groups that stand still.
func (wo *world) runNoticing(dur time.Duration) {
	for end := wo.now.Add(dur); wo.now.Before(end); {
		wo.run(noticeAfter)
		wo.notice()
	}
}

// checkUsed checks that in no domain a group could be formed from VMs that
// have the model at hand and serve in none.
func (wo *world) checkUsed() {
	wo.t.Helper()
	busy := make(map[string]bool)
	for _, gr := range wo.core.Groups() {
		for _, me := range gr.Members {
			busy[me.ID] = true
		}
	}
	idle := make(map[string]int)
	for _, id := range wo.fleet.IDs() {
		ep, _ := wo.fleet.Entry(id, wo.now)
		if mb := ep.Member; mb != nil && mb.State == catalog.Joining {
			// It loads the weights of the other model.
			continue
		}
		if !busy[id] && !ep.Leaving && len(ep.Staged) > 0 {
			idle[ep.Domain+"/"+ep.Staged[0]]++
		}
	}
	for _, mo := range worldModels {
		for _, do := range []string{"domain-0", "domain-1", "domain-2"} {
			if num := idle[do+"/"+mo.Name]; num >= mo.Size {
				wo.t.Errorf("%d idle VMs with %s in %s could serve", num, mo.Name, do)
			}
		}
	}
}

// A steward takes over while all groups serve. It must not take any apart: it
// first learns from the members what there is.
func TestTakeOverKeepsGroups(t *testing.T) {
	wo := newWorld(t, 4, 3, 9)
	wo.settle(5 * time.Second)
	large, small := wo.serving()
	wo.takeOver()
	wo.run(5 * time.Second)
	if la, sm := wo.serving(); la != large || sm != small {
		t.Errorf("serving %d and %d groups after the change, %d and %d before", la, sm, large, small)
	}
}

// After an outage of the store some entries come back later than others. A
// steward that starts then sees parts of groups only, and must wait for the
// rest instead of taking them apart.
func TestTakeOverBeforeAllRegistered(t *testing.T) {
	wo := newWorld(t, 5, 3, 9)
	wo.settle(5 * time.Second)
	large, small := wo.serving()
	late := make(map[string]catalog.Endpoint)
	for i, id := range wo.fleet.IDs() {
		if i%4 == 0 {
			late[id] = wo.entries[id]
			delete(wo.entries, id)
		}
	}
	wo.storeAway = true
	wo.takeOver()
	wo.run(1500 * time.Millisecond)
	wo.storeAway = false
	for id, ep := range late {
		wo.entries[id] = ep
		wo.core.Register(ep, wo.now)
	}
	wo.run(5 * time.Second)
	if la, sm := wo.serving(); la != large || sm != small {
		t.Errorf("serving %d and %d groups, %d and %d before", la, sm, large, small)
	}
}

// A steward takes over after members have died and their entries are gone. The
// last view still names them. Their groups are formed anew at once, without the
// wait for entries that may come back.
func TestTakeOverRecallsMembers(t *testing.T) {
	wo := newWorld(t, 8, 3, 9)
	wo.settle(5 * time.Second)
	gr := wo.groupWithSpare()
	lost := gr.Members[1]
	wo.fleet.Update(lost.ID, func(vm *emulator.VM) { vm.Dead = true })
	delete(wo.entries, lost.ID)
	wo.takeOver()
	wo.core.RestoreMember(gr, lost, wo.now)
	wo.run(appearPatience - time.Second)
	if !wo.formedAnew(gr) {
		t.Error("the group's members serve in no other group")
	}
}

// formedAnew tells whether the head of a group serves in another one.
func (wo *world) formedAnew(gr catalog.Group) bool {
	return slices.ContainsFunc(wo.core.Groups(), func(now catalog.Group) bool {
		return now.Name != gr.Name && slices.ContainsFunc(now.Members, func(me catalog.Member) bool { return me.ID == gr.Head().ID })
	})
}

// A member and the steward die together. The member's entry stays for some
// seconds, so the next steward sees where it belongs and that it does not answer.
// Its group is formed anew at once: callers would else wait for as long as entries
// take to be back after an outage.
func TestTakeOverFindsDeadMember(t *testing.T) {
	wo := newWorld(t, 8, 3, 9)
	wo.settle(5 * time.Second)
	gr := wo.groupWithSpare()
	wo.kill(gr.Members[1].ID)
	wo.takeOver()
	wo.run(appearPatience - time.Second)
	if !wo.formedAnew(gr) {
		t.Error("the group's members serve in no other group")
	}
}

// Loads from the weight store are rationed: those that begin in any 5 s stay
// within the rate of the store, also when a whole domain comes back empty.
func TestLoadsAreRationed(t *testing.T) {
	wo := newWorld(t, 6, 3, 9)
	wo.settle(5 * time.Second)
	for range 12 {
		wo.add("domain-1")
	}
	wo.runNoticing(20 * time.Second)
	wo.checkLoadRate()
	if loads := wo.fleet.Loads(); len(loads) < 12 {
		t.Errorf("%d loads for 12 empty VMs", len(loads))
	}
}

// checkLoadRate checks that the loads that began within any 5 s stay within the rate of the
// weight store.
func (wo *world) checkLoadRate() {
	wo.t.Helper()
	const window, most = 5 * time.Second, 4.5*5*1.1 + 3
	loads := wo.fleet.Loads()
	for i, from := range loads {
		num := 0
		for _, at := range loads[i:] {
			if at.Sub(from) < window {
				num++
			}
		}
		if float64(num) > most {
			wo.t.Fatalf("%d loads within %v", num, window)
		}
	}
}

// All groups of a model are lost, and their VMs with them. VMs that hold the
// other model load this one, so that its requests are served again.
func TestModelWithoutGroups(t *testing.T) {
	for _, models := range [][]catalog.Model{worldModels, samePaceModels} {
		wo := newWorldOf(t, 7, 3, 9, models)
		wo.settle(5 * time.Second)
		for _, gr := range wo.core.Groups() {
			if gr.Model == "large" {
				for _, me := range gr.Members {
					wo.kill(me.ID)
				}
			}
		}
		wo.runNoticing(60 * time.Second)
		large, small := wo.serving()
		if large == 0 || small == 0 {
			t.Errorf("serving %d large and %d small groups", large, small)
		}
	}
}
