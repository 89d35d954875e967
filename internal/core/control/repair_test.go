package control_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// A daemon is suspended while a member dies and is replaced. It resumes, finds
// that the replaced member refuses connections, and revokes the permits for the
// group at its old fencing token. The repaired group must continue to serve.
func TestStaleRevocation(t *testing.T) {
	w := newServingSimulation(t, 7)
	en, gr := w.servingMember("d1")
	en.down = true
	w.waitFor("member is replaced", repairLimit, w.replaced(en.vm.Name, en.incarnation))
	w.waitFor("group is repaired", repairLimit, w.allServe(2))
	no := w.daemons["d1"]
	w.deliver(no, no.incarnation, control.Revoked{Group: gr.ID, Fence: gr.Fence})
	if no.serving(w.clock.Now()) != 2 {
		t.Error("a revocation at an old fencing token stopped the repaired group")
	}
}

// Loading takes far longer than the interval between orders. An engine that
// restarted the load with each order would never become ready, so it must
// receive only one.
func TestSlowLoadIsNotRepeated(t *testing.T) {
	w := newSimulation(t, 6)
	w.addVMs("gent", "a", 4)
	for _, en := range w.engines {
		en.loadTime = 30 * time.Second
	}
	w.addDaemon("d1", "gent")
	w.advance(2 * time.Second)
	mo := model
	mo.LoadTime = intent.Duration(30 * time.Second)
	if _, err := w.apply(w.daemons["d1"], "first", mo, spec); err != nil {
		t.Fatal(err)
	}
	w.waitFor("two groups serve", 2*time.Minute, w.allServe(2))
	for _, vm := range w.vms {
		if en := w.engines[vm.Name]; en.orderCount != 1 {
			t.Errorf("%s received %d orders, want 1", vm.Name, en.orderCount)
		}
	}
}

// An operator raises a model's version. Where there is room, each replica is
// replaced by forming the new one first, so the declared number of groups must
// serve throughout the rollout.
func TestRolloutKeepsCapacity(t *testing.T) {
	w := newServingSimulation(t, 5)
	mo := model
	mo.Version = "2"
	if _, err := w.apply(w.daemons["d1"], "roll", mo); err != nil {
		t.Fatal(err)
	}
	least := 2
	w.waitFor("all groups serve the new version", 5*time.Minute, func() bool {
		least = min(least, w.daemons["d2"].serving(w.clock.Now()))
		return w.allServe(2)() && w.groupsAtVersion("2") == 2
	})
	if least < 2 {
		t.Errorf("only %d groups served at some time during the rollout, want 2", least)
	}
}

// groupsAtVersion returns the number of stored groups at the given model
// version.
func (w *simulation) groupsAtVersion(version string) int {
	entries, err := w.store.List(context.Background(), "domains/")
	if err != nil {
		w.t.Fatal(err)
	}
	num := 0
	for _, en := range entries {
		var dom fleet.Domain
		if err := json.Unmarshal(en.Value, &dom); err != nil {
			w.t.Fatal(err)
		}
		for _, gr := range dom.Groups {
			if gr.Version == version {
				num++
			}
		}
	}
	return num
}
