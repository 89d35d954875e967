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

// directLimit is how soon after direct evidence of a loss no daemon may send
// to the group any more.
const directLimit = time.Second

// healLimit is far above what a repair takes with the engines' load time of a
// second; tests wait for outcomes and never for a time.
const healLimit = 60 * time.Second

// takeoverLimit is within how long another daemon has become steward and has
// repaired a group, when the steward can't reach the platform any more.
const takeoverLimit = 25 * time.Second

// victim returns a member of a group that serves, and the group.
func (w *world) victim(daemon string) (*engine, fleet.Group) {
	gr := w.daemons[daemon].group()
	return w.engines[gr.Members[0].VM], gr
}

// mayReach tells whether any daemon, frozen ones included, holds a permit for
// a group that the VM is a member of.
func (w *world) mayReach(vm string) bool {
	for _, name := range w.names {
		no := w.daemons[name]
		if no.core != nil && no.mayReach(w, vm) {
			return true
		}
	}
	return false
}

func (no *node) mayReach(w *world, vm string) bool {
	for _, ta := range no.core.View().Groups {
		if _, ok := ta.Group.Member(vm); ok && ta.Permit.Valid(w.clock.Now()) {
			return true
		}
	}
	return false
}

// replaced tells whether no written assignment names the VM at the
// incarnation that it had.
func (w *world) replaced(vm, incarnation string) func() bool {
	return func() bool {
		entries, err := w.peek()
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

func TestHoldWholeGroup(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, w *world)
	}{
		// A member's engine dies. Its address refuses connections, which the
		// next probe of either prober sees; all daemons are told at once and
		// none sends to the group a second later. Then a free VM takes over.
		{"kill", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			en.down = true
			w.run(w.daemons["d1"].set.Timing.Probe + directLimit)
			if w.mayReach(en.vm.Name) {
				t.Error("a daemon may send to a group a second after its loss was seen")
			}
			w.until("replaced", healLimit, w.replaced(en.vm.Name, en.incarnation))
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// One daemon is cut off from everything while a member dies. It hears
		// of nothing, and its permit ends by time alone; the check after each
		// event fails if it lasts longer than the evidence's lifetime.
		{"cut", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			w.cut = func(a, b string) bool { return a == "d3" || b == "d3" }
			w.run(100 * time.Millisecond)
			en.down = true
			w.run(w.daemons["d3"].set.Timing.Permit)
			if w.daemons["d3"].mayReach(w, en.vm.Name) {
				t.Error("the daemon that is cut off may still send")
			}
			w.cut = func(string, string) bool { return false }
			w.until("healed", healLimit, w.allServe(2))
		}},
		// A daemon is frozen (SIGSTOP) while a member dies and wakes up much
		// later with its old view. The permit in that view has run out.
		{"freeze", func(t *testing.T, w *world) {
			en, gr := w.victim("d1")
			no := w.daemons["d3"]
			old := no.core.View()
			no.frozen = true
			en.down = true
			w.run(10 * time.Second)
			if ta, ok := old.Find(gr.ID); ok && ta.Permit.Valid(w.clock.Now()) {
				t.Error("the view from before the freeze still permits")
			}
			w.thaw(no)
			w.until("healed", healLimit, w.allServe(2))
		}},
		// A member's VM hangs: connections are accepted and nothing is ever
		// answered. There is no refusal to see, so the permit ends by time.
		{"silent", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			en.silent = true
			w.run(w.daemons["d1"].set.Timing.Permit + step)
			if w.mayReach(en.vm.Name) {
				t.Error("a daemon may send to a group with a silent member")
			}
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// A member restarts and answers again at once, as if nothing had
		// happened, but with empty memory: its incarnation gives it away.
		{"restart", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			former := en.incarnation
			en.boot()
			w.run(w.daemons["d1"].set.Timing.Probe + directLimit)
			if w.mayReach(en.vm.Name) && !w.replaced(en.vm.Name, former)() {
				t.Error("a daemon may send to a group whose member has restarted")
			}
			w.until("replaced", healLimit, w.replaced(en.vm.Name, former))
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// The platform is down when a member dies. Permits need no platform:
		// the group stops at once, the other goes on, and the repair waits.
		{"platform-outage", func(t *testing.T, w *world) {
			w.setFaults(standin.StoreFaults{Down: true})
			w.run(20 * time.Second)
			if !w.allServe(2)() {
				t.Fatal("groups stopped serving because the platform is down")
			}
			en, _ := w.victim("d1")
			en.down = true
			w.run(w.daemons["d1"].set.Timing.Probe + directLimit)
			if w.mayReach(en.vm.Name) {
				t.Error("a daemon may send to a broken group")
			}
			w.run(time.Minute)
			if !w.allServe(1)() {
				t.Error("the whole group does not serve through the outage")
			}
			w.setFaults(standin.StoreFaults{})
			w.until("repaired after the outage", healLimit, w.allServe(2))
		}},
		// The steward is frozen past its lease in the middle of a repair. The
		// next one finishes it; what the first does when it wakes is refused.
		{"lapsed-lease", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			st := w.steward("gent")
			en.down = true
			w.run(fleet.LossGrace)
			st.frozen = true
			w.until("another steward repaired it", healLimit, w.allServe(2))
			w.thaw(st)
			w.run(10 * time.Second)
			if !w.allServe(2)() {
				t.Error("the former steward broke a group")
			}
		}},
		// A group is being formed. One member is ready and hangs just before
		// the other becomes ready: each was seen ready, but never both at one
		// moment, and nobody may send to the group.
		{"never-whole", func(t *testing.T, w *world) {
			en, gr := w.victim("d1")
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
			w.until("one member is ready", healLimit, func() bool {
				return en.report.Version == "2" && en.report.Ready && !other.report.Ready && other.generation == en.generation
			})
			w.run(1900 * time.Millisecond)
			en.silent = true
			w.run(10 * time.Second)
			en.silent = false
			w.until("rolled", 5*time.Minute, func() bool { return w.versions("2") == 2 && w.allServe(2)() })
		}},
		// One prober is cut off from all VMs. What it sees is its own trouble:
		// the other prober's word counts, and no place is given away.
		{"cut-prober", func(t *testing.T, w *world) {
			before := w.daemons["d1"].core.Domains()
			w.cut = func(a, b string) bool { return a == "d2" && w.engines[b] != nil }
			w.run(30 * time.Second)
			if diff := cmp.Diff(before, w.daemons["d1"].core.Domains()); diff != "" {
				t.Errorf("groups were changed (-before +after):\n%s", diff)
			}
			if !w.allServe(2)() {
				t.Error("a group stopped serving")
			}
		}},
		// A prober dies together with a member of its group. The other prober
		// sees the loss alone.
		{"twice", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			en.down = true
			w.daemons["d3"].kill()
			w.run(w.daemons["d1"].set.Timing.Permit + step)
			if w.mayReach(en.vm.Name) {
				t.Error("a daemon may send to a broken group")
			}
			w.until("repaired", healLimit, w.allServe(2))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, gent(t, 1)) })
	}
}

func TestHoldOneGroupPerVM(t *testing.T) {
	// Each of these lets two parties believe that they decide, or lets one
	// act on old knowledge. After every event the world checks that no VM
	// stands in two written groups, and that no daemon may send to two groups
	// that share one.
	tests := []struct {
		name string
		run  func(t *testing.T, w *world)
	}{
		// A VM dies, its place is given away, and it comes back with its old
		// state as if nothing had happened. It is cleaned before it is free.
		{"kill", func(t *testing.T, w *world) {
			en, gr := w.victim("d1")
			former := en.report
			en.silent = true
			w.until("replaced", healLimit, w.replaced(en.vm.Name, en.incarnation))
			w.until("repaired", healLimit, w.allServe(2))
			en.silent = false
			if en.report.Group != former.Group {
				t.Fatal("the engine lost its state by itself")
			}
			w.until("cleaned", healLimit, func() bool { return en.report.Group != gr.ID })
			w.run(10 * time.Second)
		}},
		// The steward is cut off from the platform but not from the engines.
		// A second one takes over while the first still believes.
		{"cut", func(t *testing.T, w *world) {
			st := w.steward("gent")
			w.cut = func(a, b string) bool { return a == st.name && b == platformID }
			en, _ := w.victim("d1")
			en.down = true
			w.run(30 * time.Second)
			w.cut = func(string, string) bool { return false }
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// The steward is frozen right after it planned a repair, another
		// repairs, and the first wakes up with its answers still to come.
		{"freeze", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			en.down = true
			w.run(fleet.LossGrace + 300*time.Millisecond)
			st := w.steward("gent")
			st.frozen = true
			w.run(30 * time.Second)
			w.thaw(st)
			w.run(20 * time.Second)
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// A write of the steward hangs somewhere on its way. The lease lapses,
		// another steward writes, and then the first write arrives after all.
		{"slow", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			st := w.steward("gent")
			w.delay = func(from, to string) time.Duration {
				if from == st.name && to == platformID {
					return 30 * time.Second
				}
				return 0
			}
			en.down = true
			w.until("another steward repaired it", takeoverLimit, w.replaced(en.vm.Name, en.incarnation))
			w.run(time.Minute)
			w.delay = func(string, string) time.Duration { return 0 }
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// The steward's process dies and is started again at once, as the
		// others see it: they still name it as steward and wait for it.
		{"restart", func(t *testing.T, w *world) {
			st := w.steward("gent")
			st.kill()
			w.start(st)
			en, _ := w.victim("d1")
			en.down = true
			w.until("replaced", healLimit, w.replaced(en.vm.Name, en.incarnation))
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// Engines that don't check fencing take a late order of a frozen
		// steward. The next steward's view of the reports puts them right.
		{"unchecked", func(t *testing.T, w *world) {
			for _, en := range w.engines {
				en.unchecked = true
			}
			mo := model
			mo.ChecksFencing = false
			if _, err := w.apply(w.daemons["d1"], "unchecked", mo); err != nil {
				t.Fatal(err)
			}
			old := w.daemons["d1"].group()
			en, _ := w.victim("d1")
			en.down = true
			w.until("repaired", healLimit, func() bool {
				gr := w.daemons["d1"].group()
				return gr.Fence != old.Fence && w.allServe(2)()
			})
			en.boot()
			w.run(5 * time.Second)
			late := w.engines[old.Members[1].VM]
			w.obey(late, fleet.Join{VM: late.vm, Incarnation: late.incarnation, Group: old, Ring: old.Members, Generation: 1})
			w.until("put right", healLimit, func() bool { return late.report.Fence != old.Fence && w.allServe(2)() })
		}},
		// Writes of assignments take effect but their answers are lost.
		{"lost-answer", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			w.setFaults(standin.StoreFaults{LoseAnswers: 3})
			en.down = true
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// The platform goes down in the middle of a repair.
		{"platform-outage", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			en.down = true
			w.run(fleet.LossGrace + 200*time.Millisecond)
			w.setFaults(standin.StoreFaults{Down: true})
			w.run(2 * time.Minute)
			en.boot()
			w.run(10 * time.Second)
			w.setFaults(standin.StoreFaults{})
			w.until("repaired", healLimit, w.allServe(2))
		}},
		// Operators turn replicas up and down faster than groups can follow.
		{"operator-race", func(t *testing.T, w *world) {
			for i := range 8 {
				sp := spec
				sp.Replicas = 1 + i%3
				no := w.daemons[w.names[i%3]]
				if _, err := w.apply(no, fmt.Sprint("race", i), sp); err != nil {
					t.Fatal(err)
				}
				w.run(700 * time.Millisecond)
			}
			w.until("the last word is in force", healLimit, w.allServe(2))
		}},
		// The lease lapses during a repair, and the write that was on its way
		// takes effect without an answer.
		{"twice", func(t *testing.T, w *world) {
			en, _ := w.victim("d1")
			en.down = true
			w.run(fleet.LossGrace)
			w.setFaults(standin.StoreFaults{LoseAnswers: 1})
			w.run(300 * time.Millisecond)
			st := w.steward("gent")
			st.kill()
			w.until("repaired", healLimit, w.allServe(2))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, gent(t, 2)) })
	}
}

func TestHoldLeaving(t *testing.T) {
	// leaveLimit is the users' "few seconds".
	const leaveLimit = 3 * time.Second
	tests := []struct {
		name string
		run  func(t *testing.T, w *world, en *engine)
	}{
		// A VM says itself that it is leaving. The prober that hears it tells
		// all, so that nobody waits for the permit to run out.
		{"report", func(t *testing.T, w *world, en *engine) {
			en.leaving = true
			w.run(w.daemons["d1"].set.Timing.Probe + directLimit)
			if w.mayReach(en.vm.Name) {
				t.Error("the group may be sent to a second after its VM said that it leaves")
			}
		}},
		// The same, while one daemon is frozen: it holds nothing when it wakes.
		{"freeze", func(_ *testing.T, w *world, en *engine) {
			w.daemons["d3"].frozen = true
			en.leaving = true
		}},
		// The same, while one daemon hears nothing of it.
		{"cut", func(_ *testing.T, w *world, en *engine) {
			w.cut = func(a, b string) bool { return a == "d2" || b == "d2" }
			en.leaving = true
		}},
		// The same, while the platform is down.
		{"platform-outage", func(_ *testing.T, w *world, en *engine) {
			w.setFaults(standin.StoreFaults{Down: true})
			w.run(10 * time.Second)
			en.leaving = true
		}},
		// The same, and one prober dies at that moment.
		{"kill", func(_ *testing.T, w *world, en *engine) {
			en.leaving = true
			w.daemons["d2"].kill()
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := gent(t, 3)
			en, _ := w.victim("d1")
			tc.run(t, w, en)
			w.run(leaveLimit)
			if w.mayReach(en.vm.Name) {
				t.Error("the group of a leaving VM may still be sent to")
			}
			w.cut = func(string, string) bool { return false }
			w.setFaults(standin.StoreFaults{})
			if w.daemons["d3"].frozen {
				w.thaw(w.daemons["d3"])
			}
			w.until("replaced", healLimit, w.replaced(en.vm.Name, en.incarnation))
			w.until("repaired", healLimit, w.allServe(2))
		})
	}
}
