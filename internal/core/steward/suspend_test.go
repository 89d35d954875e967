package steward

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// setRequests sets the number of requests in progress at each of the groups.
func (si *simulation) setRequests(groups []catalog.Group, num int) {
	for _, gr := range groups {
		si.requests[gr.Name] = num
	}
}

// isCut reports whether a member has left the group, which ends the requests in progress there.
func (si *simulation) isCut(gr catalog.Group) bool {
	for _, me := range gr.Members {
		ep, ok := si.fleet.Entry(me.ID, si.now)
		if !ok || ep.Member == nil || ep.Member.Group != gr.Name || ep.Member.Epoch != gr.Epoch {
			return true
		}
	}
	return false
}

// runUncut advances the simulation while daemons report stalls, and fails if a group is cut.
func (si *simulation) runUncut(dur time.Duration, groups []catalog.Group) {
	si.t.Helper()
	begin, reportAt := si.now, si.now.Add(stallDetectTime)
	for si.now.Sub(begin) < dur {
		si.step()
		if !si.now.Before(reportAt) {
			reportAt = si.now.Add(stallDetectTime)
			si.reportStalls()
		}
		for _, gr := range groups {
			if si.isCut(gr) {
				si.t.Fatalf("%s was cut after %v with %d requests there", gr.Name, si.now.Sub(begin), si.requests[gr.Name])
			}
		}
	}
}

// untilCut advances the simulation while daemons report stalls until a member other than the given
// one has been ordered to leave the group, and returns the time that took.
func (si *simulation) untilCut(gr catalog.Group, except string) time.Duration {
	si.t.Helper()
	remaining := gr
	remaining.Members = nil
	for _, me := range gr.Members {
		if me.ID != except {
			remaining.Members = append(remaining.Members, me)
		}
	}
	begin, reportAt := si.now, si.now.Add(stallDetectTime)
	for si.now.Sub(begin) < 20*time.Second {
		si.step()
		if !si.now.Before(reportAt) {
			reportAt = si.now.Add(stallDetectTime)
			si.reportStalls()
		}
		if si.isCut(remaining) {
			return si.now.Sub(begin)
		}
	}
	si.t.Fatalf("%s was not dissolved within 20 s", gr.Name)
	return 0
}

// silences are the sets of VMs that fall silent, given a serving group.
var silences = []struct {
	name string
	ids  func(si *simulation, gr catalog.Group) []string
}{
	{"member", func(_ *simulation, gr catalog.Group) []string { return []string{gr.Members[1].ID} }},
	{"leader", func(_ *simulation, gr catalog.Group) []string { return []string{gr.Leader().ID} }},
	{"two members", func(_ *simulation, gr catalog.Group) []string { return []string{gr.Members[1].ID, gr.Members[2].ID} }},
	{"group", func(_ *simulation, gr catalog.Group) []string {
		var ids []string
		for _, me := range gr.Members {
			ids = append(ids, me.ID)
		}
		return ids
	}},
	{"domain", func(si *simulation, gr catalog.Group) []string {
		var ids []string
		for _, id := range si.fleet.IDs() {
			if si.core.vms[id].ep.Domain == si.core.vms[gr.Leader().ID].ep.Domain {
				ids = append(ids, id)
			}
		}
		return ids
	}},
	{"leaders of all groups", func(si *simulation, _ catalog.Group) []string {
		var ids []string
		for _, other := range si.core.Groups() {
			ids = append(ids, other.Leader().ID)
		}
		return ids
	}},
}

// VMs fall silent and go on, while requests that no other group can take run at their groups.
// Guards against orders to leave that end these requests.
func TestSilenceDoesNotCutRequests(t *testing.T) {
	for _, sc := range silences {
		for _, dur := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(sc.name, " ", dur), func(t *testing.T) {
				t.Parallel()
				si := newSimulation(t, 3, 3, 9)
				si.runInitialLoads(5 * time.Second)
				before := si.core.Groups()
				si.setRequests(before, 4)
				ids := sc.ids(si, si.groupWithSpare())
				for _, id := range ids {
					si.setUnreachable(id, true)
				}
				si.runUncut(dur, before)
				for _, id := range ids {
					si.setUnreachable(id, false)
				}
				si.runUncut(time.Second, before)
				si.checkStillServing(before)
				si.runUncut(4*time.Second, before)
			})
		}
	}
}

// confirmTime is how long the steward takes to confirm the loss of a member of a stalled group.
const confirmTime = 510 * time.Millisecond

// A member dies. Guards against a repair that is later than necessary: without requests at the group
// there is nothing to wait for, and with some the wait is bounded.
func TestDeadMemberDissolvesGroup(t *testing.T) {
	tests := []struct {
		name string
		// left is the number of requests at the group, until movedAfter if that is set.
		left        int
		movedAfter  time.Duration
		refused     bool
		least, most time.Duration
	}{
		{"no requests left", 0, 0, false, 0, confirmTime},
		{"requests move elsewhere before the loss is confirmed", 4, 400 * time.Millisecond, false, 0, confirmTime},
		{"requests move elsewhere later", 4, 800 * time.Millisecond, false, 0, confirmTime + connectTime},
		{"requests have nowhere to go", 4, 0, false, 0, confirmTime + connectTime},
		{"process has ended", 4, 0, true, 0, confirmTime},
	}
	for _, tc := range tests {
		for seed := range uint64(3) {
			si := newSimulation(t, seed, 3, 9)
			si.runInitialLoads(5 * time.Second)
			gr := si.groupWithSpare()
			si.requests[gr.Name] = tc.left
			if tc.movedAfter > 0 {
				si.after(tc.movedAfter, func() { delete(si.requests, gr.Name) })
			}
			id := gr.Members[1].ID
			si.kill(id)
			si.refusing[id] = tc.refused
			took := si.untilCut(gr, id)
			if took < tc.least || took > tc.most {
				t.Errorf("%s, seed %d: dissolved after %v, want %v to %v", tc.name, seed, took, tc.least, tc.most)
			}
		}
	}
}

// A VM of a suspended group starts again. Guards against waiting for a member that has certainly left.
func TestRestartDissolvesSuspendedGroup(t *testing.T) {
	si := newSimulation(t, 3, 3, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.groupWithSpare()
	si.requests[gr.Name] = 4
	id := gr.Members[1].ID
	si.setUnreachable(id, true)
	si.runUncut(time.Second, []catalog.Group{gr})
	si.setUnreachable(id, false)
	si.fleet.Restart(id, si.now)
	if took := si.untilCut(gr, id); took > 400*time.Millisecond {
		t.Errorf("dissolved %v after a member started again, want at most 400 ms", took)
	}
}

// A member of a suspended group dies while another one is silent. Guards against announcing the group
// as healthy when the silent one responds, since the dead one had answered before.
func TestSuspendedGroupResumesOnlyComplete(t *testing.T) {
	si := newSimulation(t, 3, 3, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.groupWithSpare()
	si.requests[gr.Name] = 4
	silent := gr.Members[1].ID
	si.setUnreachable(silent, true)
	si.runUncut(time.Second, []catalog.Group{gr})
	si.kill(gr.Members[2].ID)
	si.setUnreachable(silent, false)
	si.core.Events()
	for range 300 {
		si.step()
		if hasGroup(si.core.Groups(), gr) {
			t.Fatalf("%s is in the view without one of its members", gr.Name)
		}
	}
	for _, ev := range si.core.Events() {
		if ev.Group == gr.Name && (ev.Kind == GroupHealthy || ev.Kind == "group-resumed") {
			t.Errorf("event %s without one of the members", ev.Kind)
		}
	}
}

// A member is silent for too long, and the others are silent when they are ordered to leave. Guards
// against cutting the requests of a group that goes on before any member has left it.
func TestSilentGroupFinishesRequests(t *testing.T) {
	si := newSimulation(t, 3, 3, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.groupWithSpare()
	si.requests[gr.Name] = 4
	si.setUnreachable(gr.Members[1].ID, true)
	si.runUncut(confirmTime+maxHold-50*time.Millisecond, []catalog.Group{gr})
	for _, me := range gr.Members {
		si.setUnreachable(me.ID, true)
	}
	si.runUncut(600*time.Millisecond, []catalog.Group{gr})
	for _, me := range gr.Members {
		si.setUnreachable(me.ID, false)
	}
	si.runUncut(minDrainTimeout, []catalog.Group{gr})
	delete(si.requests, gr.Name)
	if took := si.untilCut(gr, ""); took > 100*time.Millisecond {
		t.Errorf("dissolved %v after the last request, want at most 100 ms", took)
	}
}

// All members of groups without requests are silent and go on. Guards against dissolving a group whose
// members all come back when the first one responds.
func TestSilentGroupIsResumedWithoutRequests(t *testing.T) {
	for _, sc := range silences[3:5] {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			si := newSimulation(t, 3, 3, 9)
			si.runInitialLoads(5 * time.Second)
			before := si.core.Groups()
			ids := sc.ids(si, si.groupWithSpare())
			for _, id := range ids {
				si.setUnreachable(id, true)
			}
			si.runUncut(1200*time.Millisecond, before)
			for _, id := range ids {
				si.setUnreachable(id, false)
			}
			si.runUncut(time.Second, before)
			si.checkStillServing(before)
		})
	}
}

// A group is reassigned just after it has opened, and a report from before says that it has not. Guards
// against dissolving it at once, with the requests that it has got meanwhile.
func TestOldReportDoesNotEndDrain(t *testing.T) {
	si := newSimulation(t, 3, 3, 9)
	si.runInitialLoads(5 * time.Second)
	gr := si.core.Groups()[0]
	si.setRequests([]catalog.Group{gr}, 4)
	si.fleet.Update(gr.Leader().ID, func(vm *emulator.VM) { vm.Running = 4 })
	old, _ := si.fleet.Report(gr.Leader().ID, si.now)
	member := *old.Member
	member.State = catalog.Ready
	old.Member = &member
	si.core.groups[groupKey{gr.Name, gr.Epoch}].reassigned = true
	si.core.HandleReport(gr.Leader().ID, old, si.now, si.now)
	si.runUncut(minDrainTimeout-time.Second, []catalog.Group{gr})
}

// A route is moved to another service, or gets a shorter timeout, while a group of its service drains.
// Guards against cutting requests that were accepted before, within the timeout that they were accepted
// with.
func TestNewConfigurationDoesNotShortenDrain(t *testing.T) {
	const accepted = 8 * time.Second
	for name, ro := range map[string]catalog.Route{
		"moved":   {Timeout: accepted, Backends: []catalog.Backend{{Service: "other", Weight: 1}}},
		"shorter": {Timeout: time.Second, Backends: []catalog.Backend{{Service: "engine", Weight: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			si := newSimulation(t, 3, 3, 9)
			si.cfg.Routes = []catalog.Route{{Timeout: accepted, Backends: []catalog.Backend{{Service: "engine", Weight: 1}}}}
			si.core.SetServices(si.cfg)
			si.runInitialLoads(5 * time.Second)
			gr := si.core.Groups()[0]
			si.setRequests([]catalog.Group{gr}, 4)
			si.fleet.Update(gr.Leader().ID, func(vm *emulator.VM) { vm.Running = 4 })
			si.core.groups[groupKey{gr.Name, gr.Epoch}].reassigned = true
			si.run(time.Second)
			si.cfg.Routes = []catalog.Route{ro}
			si.core.SetServices(si.cfg)
			si.runUncut(accepted-time.Second-100*time.Millisecond, []catalog.Group{gr})
		})
	}
}
