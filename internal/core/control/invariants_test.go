package control_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/standin"
)

// revocationLimit is the time after direct evidence of a loss within which no
// daemon holds a permit for the group any longer.
const revocationLimit = time.Second

// repairLimit is far above the duration of a repair with the engines' load time
// of one second. The tests wait for outcomes and not for fixed times.
const repairLimit = 60 * time.Second

// takeoverLimit is the time within which another daemon becomes steward and
// repairs a group after the steward loses access to the platform.
const takeoverLimit = 25 * time.Second

// servingMember returns the engine of the first member of a serving group, and
// the group.
func (w *simulation) servingMember(daemon string) (*engine, fleet.Group) {
	gr := w.daemons[daemon].group()
	return w.engines[gr.Members[0].VM], gr
}

// anyPermitFor reports whether any daemon, including suspended ones, holds a
// permit for a group that the VM is a member of.
func (w *simulation) anyPermitFor(vm string) bool {
	for _, name := range w.names {
		no := w.daemons[name]
		if no.core != nil && no.holdsPermitFor(w, vm) {
			return true
		}
	}
	return false
}

func (no *node) holdsPermitFor(w *simulation, vm string) bool {
	for _, ta := range no.core.View().Groups {
		if _, ok := ta.Group.Member(vm); ok && ta.Permit.Valid(w.clock.Now()) {
			return true
		}
	}
	return false
}

// replaced returns a condition that holds once no stored assignment contains
// the VM at the given incarnation.
func (w *simulation) replaced(vm, incarnation string) func() bool {
	return func() bool {
		entries, err := w.listDomains()
		if err != nil {
			return false
		}
		for _, en := range entries {
			var dom fleet.Domain
			if err := json.Unmarshal(en.Value, &dom); err != nil {
				w.t.Fatal(err)
			}
			for _, gr := range dom.Groups {
				if me, ok := gr.Member(vm); ok && me.Incarnation == incarnation {
					return false
				}
			}
		}
		return true
	}
}

// Guards against requests to an incomplete group. However a group loses a member,
// each daemon must lose its permit for the group at once, or when the permit
// expires if no revocation reaches the daemon, and the group must be repaired.
func TestHoldWholeGroup(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, w *simulation)
	}{
		// A member's engine dies and its address refuses connections. The next
		// probe of either prober detects it and all daemons are notified, so
		// that none sends to the group one second later. Then a free VM
		// replaces the member.
		{"kill", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			en.down = true
			w.advance(w.daemons["d1"].set.Timing.Probe + revocationLimit)
			if w.anyPermitFor(en.vm.Name) {
				t.Error("a daemon holds a permit for a group one second after the loss of a member was detected")
			}
			w.waitFor("member is replaced", repairLimit, w.replaced(en.vm.Name, en.incarnation))
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// One daemon is partitioned from everything while a member dies. It
		// receives no revocation, so its permit must expire. The check after
		// each event fails if the permit outlasts the lifetime of its evidence.
		{"cut", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			w.partitioned = func(a, b string) bool { return a == "d3" || b == "d3" }
			w.advance(100 * time.Millisecond)
			en.down = true
			w.advance(w.daemons["d3"].set.Timing.Permit)
			if w.daemons["d3"].holdsPermitFor(w, en.vm.Name) {
				t.Error("the partitioned daemon still holds a permit")
			}
			w.partitioned = func(string, string) bool { return false }
			w.waitFor("all groups serve again", repairLimit, w.allServe(2))
		}},
		// A daemon is suspended (SIGSTOP) while a member dies, and resumes much
		// later with its old view. The permit in that view has expired.
		{"freeze", func(t *testing.T, w *simulation) {
			en, gr := w.servingMember("d1")
			no := w.daemons["d3"]
			old := no.core.View()
			no.suspended = true
			en.down = true
			w.advance(10 * time.Second)
			if ta, ok := old.Find(gr.ID); ok && ta.Permit.Valid(w.clock.Now()) {
				t.Error("the view from before the suspension still holds a valid permit")
			}
			w.resume(no)
			w.waitFor("all groups serve again", repairLimit, w.allServe(2))
		}},
		// A member's VM hangs: it accepts connections and never answers. No
		// connection is refused, so the permit must expire.
		{"silent", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			en.unresponsive = true
			w.advance(w.daemons["d1"].set.Timing.Permit + step)
			if w.anyPermitFor(en.vm.Name) {
				t.Error("a daemon holds a permit for a group with an unresponsive member")
			}
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// A member restarts and answers at once, but with empty memory. Its new
		// incarnation shows the restart.
		{"restart", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			former := en.incarnation
			en.boot()
			w.advance(w.daemons["d1"].set.Timing.Probe + revocationLimit)
			if w.anyPermitFor(en.vm.Name) && !w.replaced(en.vm.Name, former)() {
				t.Error("a daemon holds a permit for a group whose member has restarted")
			}
			w.waitFor("member is replaced", repairLimit, w.replaced(en.vm.Name, former))
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// A member dies while the platform is down. Permits do not depend on
		// the platform: the broken group stops at once and the other one
		// continues. The repair waits for the platform.
		{"platform-outage", func(t *testing.T, w *simulation) {
			w.setFaults(standin.StoreFaults{Down: true})
			w.advance(20 * time.Second)
			if !w.allServe(2)() {
				t.Fatal("groups stopped serving when the platform went down")
			}
			en, _ := w.servingMember("d1")
			en.down = true
			w.advance(w.daemons["d1"].set.Timing.Probe + revocationLimit)
			if w.anyPermitFor(en.vm.Name) {
				t.Error("a daemon holds a permit for a broken group")
			}
			w.advance(time.Minute)
			if !w.allServe(1)() {
				t.Error("the complete group stopped serving during the outage")
			}
			w.setFaults(standin.StoreFaults{})
			w.waitFor("group is repaired after the outage", repairLimit, w.allServe(2))
		}},
		// The steward is suspended in the middle of a repair until its lease
		// has expired. The next steward finishes the repair, and what the first
		// one writes when it resumes is rejected.
		{"lapsed-lease", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			st := w.steward("gent")
			en.down = true
			w.advance(fleet.LossGrace)
			st.suspended = true
			w.waitFor("group is repaired by another steward", repairLimit, w.allServe(2))
			w.resume(st)
			w.advance(10 * time.Second)
			if !w.allServe(2)() {
				t.Error("the former steward disrupted a group")
			}
		}},
		// A group is being formed. One member is ready and hangs just before
		// the other becomes ready. Each was observed ready, but at no common
		// time, so no daemon may send to the group.
		{"never-whole", func(t *testing.T, w *simulation) {
			en, gr := w.servingMember("d1")
			other := w.engines[gr.Members[1].VM]
			mo := model
			mo.Version = "2"
			for _, vm := range w.vms {
				w.engines[vm.Name].loadTime = time.Second
			}
			other.loadTime, en.loadTime = 3*time.Second, time.Second
			if _, err := w.apply(w.daemons["d1"], "version", mo); err != nil {
				t.Fatal(err)
			}
			w.waitFor("one member is ready", repairLimit, func() bool {
				return en.report.Version == "2" && en.report.Ready && !other.report.Ready && other.loadSeq == en.loadSeq
			})
			w.advance(1900 * time.Millisecond)
			en.unresponsive = true
			w.advance(10 * time.Second)
			en.unresponsive = false
			w.waitFor("both groups serve version 2", 5*time.Minute, func() bool { return w.groupsAtVersion("2") == 2 && w.allServe(2)() })
		}},
		// One prober is partitioned from all VMs. The other prober still
		// reaches them, so no member is replaced.
		{"cut-prober", func(t *testing.T, w *simulation) {
			before := w.daemons["d1"].core.Domains()
			w.partitioned = func(a, b string) bool { return a == "d2" && w.engines[b] != nil }
			w.advance(30 * time.Second)
			if diff := cmp.Diff(before, w.daemons["d1"].core.Domains()); diff != "" {
				t.Errorf("assignments changed (-before +after):\n%s", diff)
			}
			if !w.allServe(2)() {
				t.Error("a group stopped serving")
			}
		}},
		// A prober dies together with a member of its group. The remaining
		// prober detects the loss alone.
		{"twice", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			en.down = true
			w.daemons["d3"].kill()
			w.advance(w.daemons["d1"].set.Timing.Permit + step)
			if w.anyPermitFor(en.vm.Name) {
				t.Error("a daemon holds a permit for a broken group")
			}
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, newServingSimulation(t, 1)) })
	}
}

// Guards against a VM that is assigned to two groups at once.
func TestHoldOneGroupPerVM(t *testing.T) {
	// In each of these cases two daemons act as steward at the same time, or
	// one acts on an outdated state. After every event the simulation checks
	// that no VM is in two stored groups and that no daemon holds permits for
	// two groups that share a VM.
	tests := []struct {
		name string
		run  func(t *testing.T, w *simulation)
	}{
		// A VM hangs, is replaced, and returns with its old state. It must be
		// released from its former group before it is used again.
		{"kill", func(t *testing.T, w *simulation) {
			en, gr := w.servingMember("d1")
			former := en.report
			en.unresponsive = true
			w.waitFor("member is replaced", repairLimit, w.replaced(en.vm.Name, en.incarnation))
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
			en.unresponsive = false
			if en.report.Group != former.Group {
				t.Fatal("the engine lost its state while it was unresponsive")
			}
			w.waitFor("VM is released from its former group", repairLimit, func() bool { return en.report.Group != gr.ID })
			w.advance(10 * time.Second)
		}},
		// The steward is partitioned from the platform but not from the
		// engines. A second steward takes over while the first still considers
		// itself steward.
		{"cut", func(t *testing.T, w *simulation) {
			st := w.steward("gent")
			w.partitioned = func(a, b string) bool { return a == st.name && b == platformID }
			en, _ := w.servingMember("d1")
			en.down = true
			w.advance(30 * time.Second)
			w.partitioned = func(string, string) bool { return false }
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// The steward is suspended right after it planned a repair. Another
		// steward makes the repair, and the first resumes with responses
		// outstanding.
		{"freeze", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			en.down = true
			w.advance(fleet.LossGrace + 300*time.Millisecond)
			st := w.steward("gent")
			st.suspended = true
			w.advance(30 * time.Second)
			w.resume(st)
			w.advance(20 * time.Second)
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// A write of the steward is delayed in the network. The lease expires,
		// another steward writes, and then the first write arrives.
		{"slow", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			st := w.steward("gent")
			w.delay = func(from, to string) time.Duration {
				if from == st.name && to == platformID {
					return 30 * time.Second
				}
				return 0
			}
			en.down = true
			w.waitFor("group is repaired by another steward", takeoverLimit, w.replaced(en.vm.Name, en.incarnation))
			w.advance(time.Minute)
			w.delay = func(string, string) time.Duration { return 0 }
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// The steward's process dies and restarts before the others notice:
		// they still consider it the steward and wait for it.
		{"restart", func(t *testing.T, w *simulation) {
			st := w.steward("gent")
			st.kill()
			w.start(st)
			en, _ := w.servingMember("d1")
			en.down = true
			w.waitFor("member is replaced", repairLimit, w.replaced(en.vm.Name, en.incarnation))
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// An engine that does not check fencing follows a late order of a
		// former steward. The present steward detects this in the engine's
		// report and corrects it.
		{"unchecked", func(t *testing.T, w *simulation) {
			for _, en := range w.engines {
				en.ignoresFencing = true
			}
			mo := model
			mo.ChecksFencing = false
			if _, err := w.apply(w.daemons["d1"], "unchecked", mo); err != nil {
				t.Fatal(err)
			}
			former := w.daemons["d1"].group()
			en, _ := w.servingMember("d1")
			en.down = true
			w.waitFor("group is repaired", repairLimit, func() bool {
				gr := w.daemons["d1"].group()
				return gr.Fence != former.Fence && w.allServe(2)()
			})
			en.boot()
			w.advance(5 * time.Second)
			late := w.engines[former.Members[1].VM]
			w.applyOrder(late, fleet.Join{VM: late.vm, Incarnation: late.incarnation, Group: former, Ring: former.Members, Generation: 1})
			w.waitFor("engine follows the present assignment", repairLimit, func() bool { return late.report.Fence != former.Fence && w.allServe(2)() })
		}},
		// Writes of assignments take effect but their responses are lost.
		{"lost-answer", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			w.setFaults(standin.StoreFaults{DropResponses: 3})
			en.down = true
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// The platform goes down in the middle of a repair.
		{"platform-outage", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			en.down = true
			w.advance(fleet.LossGrace + 200*time.Millisecond)
			w.setFaults(standin.StoreFaults{Down: true})
			w.advance(2 * time.Minute)
			en.boot()
			w.advance(10 * time.Second)
			w.setFaults(standin.StoreFaults{})
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
		// Operators change the number of replicas faster than groups can be
		// formed.
		{"operator-race", func(t *testing.T, w *simulation) {
			for i := range 8 {
				sp := spec
				sp.Replicas = 1 + i%3
				no := w.daemons[w.names[i%3]]
				if _, err := w.apply(no, fmt.Sprint("race", i), sp); err != nil {
					t.Fatal(err)
				}
				w.advance(700 * time.Millisecond)
			}
			w.waitFor("last applied number of replicas serves", repairLimit, w.allServe(2))
		}},
		// The steward dies during a repair, and its write in transit takes
		// effect without a response.
		{"twice", func(t *testing.T, w *simulation) {
			en, _ := w.servingMember("d1")
			en.down = true
			w.advance(fleet.LossGrace)
			w.setFaults(standin.StoreFaults{DropResponses: 1})
			w.advance(300 * time.Millisecond)
			st := w.steward("gent")
			st.kill()
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, newServingSimulation(t, 2)) })
	}
}

// Guards against requests to the group of a VM that has announced its shutdown.
func TestHoldLeaving(t *testing.T) {
	// leaveLimit is the time within which no daemon may send to the group of a
	// leaving VM; callers are promised "a few seconds".
	const leaveLimit = 3 * time.Second
	tests := []struct {
		name string
		run  func(t *testing.T, w *simulation, en *engine)
	}{
		// A VM reports that it is leaving. The prober that receives the report
		// notifies all daemons, so that none waits for its permit to expire.
		{"report", func(t *testing.T, w *simulation, en *engine) {
			en.leaving = true
			w.advance(w.daemons["d1"].set.Timing.Probe + revocationLimit)
			if w.anyPermitFor(en.vm.Name) {
				t.Error("a daemon holds a permit for the group one second after its VM reported that it is leaving")
			}
		}},
		// The same while one daemon is suspended: its permit has expired when
		// it resumes.
		{"freeze", func(_ *testing.T, w *simulation, en *engine) {
			w.daemons["d3"].suspended = true
			en.leaving = true
		}},
		// The same while one daemon is partitioned and receives no revocation.
		{"cut", func(_ *testing.T, w *simulation, en *engine) {
			w.partitioned = func(a, b string) bool { return a == "d2" || b == "d2" }
			en.leaving = true
		}},
		// The same while the platform is down.
		{"platform-outage", func(_ *testing.T, w *simulation, en *engine) {
			w.setFaults(standin.StoreFaults{Down: true})
			w.advance(10 * time.Second)
			en.leaving = true
		}},
		// The same while a prober dies at the same moment.
		{"kill", func(_ *testing.T, w *simulation, en *engine) {
			en.leaving = true
			w.daemons["d2"].kill()
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newServingSimulation(t, 3)
			en, _ := w.servingMember("d1")
			tc.run(t, w, en)
			w.advance(leaveLimit)
			if w.anyPermitFor(en.vm.Name) {
				t.Error("a daemon still holds a permit for the group of a leaving VM")
			}
			w.partitioned = func(string, string) bool { return false }
			w.setFaults(standin.StoreFaults{})
			if w.daemons["d3"].suspended {
				w.resume(w.daemons["d3"])
			}
			w.waitFor("member is replaced", repairLimit, w.replaced(en.vm.Name, en.incarnation))
			w.waitFor("group is repaired", repairLimit, w.allServe(2))
		})
	}
}
