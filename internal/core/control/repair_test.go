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

// A daemon is frozen while a member dies and is replaced. It wakes up, finds
// the replaced member's address refusing, and tells all that the group is not
// whole. The group is whole again by then, and must not stop for that word.
func TestStaleRevocation(t *testing.T) {
	w := gent(t, 7)
	en, gr := w.victim("d1")
	en.down = true
	w.until("replaced", healLimit, w.replaced(en.vm.Name, en.incarnation))
	w.until("repaired", healLimit, w.allServe(2))
	no := w.daemons["d1"]
	w.deliver(no, no.life, control.Revoked{Group: gr.ID, Fence: gr.Fence})
	if no.serving(w.clock.Now()) != 2 {
		t.Error("the word of a daemon that knew the group of old stopped the repaired one")
	}
}

// Loading takes far longer than the pause between orders. An engine that
// starts a load anew with each order would never be ready: it is ordered once.
func TestSlowLoadIsNotRepeated(t *testing.T) {
	w := newWorld(t, 6)
	w.addVMs("gent", "a", 4)
	for _, en := range w.engines {
		en.loadTime = 30 * time.Second
	}
	w.addDaemon("d1", "gent")
	w.run(2 * time.Second)
	mo := model
	mo.LoadTime = intent.Duration(30 * time.Second)
	if _, err := w.apply(w.daemons["d1"], "first", mo, spec); err != nil {
		t.Fatal(err)
	}
	w.until("two groups serve", 2*time.Minute, w.allServe(2))
	for _, vm := range w.vms {
		if en := w.engines[vm.Name]; en.orders != 1 {
			t.Errorf("%s got %d orders, want 1", vm.Name, en.orders)
		}
	}
}

// An operator raises a model's version. Each replica is replaced by a new one
// first where there is room, so that the declared number serves throughout;
// the world checks every step, and this test that at most one is ever away.
func TestRollKeepsCapacity(t *testing.T) {
	w := gent(t, 5)
	mo := model
	mo.Version = "2"
	if _, err := w.apply(w.daemons["d1"], "roll", mo); err != nil {
		t.Fatal(err)
	}
	least := 2
	w.until("all at the new version", 5*time.Minute, func() bool {
		least = min(least, w.daemons["d2"].serving(w.clock.Now()))
		return w.allServe(2)() && w.versions("2") == 2
	})
	if least < 2 {
		t.Errorf("only %d groups served at some moment, want 2", least)
	}
}

func (w *world) versions(version string) int {
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
