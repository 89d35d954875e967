package control_test

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/intent"
)

// inForceLimit is the time within which a change must be in force at all daemons.
const inForceLimit = 9 * time.Second

// workspacesInForce returns a condition that holds once all running daemons have the workspaces, at
// the same revision.
func (w *simulation) workspacesInForce(names ...string) func() bool {
	return func() bool {
		revisions := make(map[uint64]bool)
		for _, name := range w.names {
			no := w.daemons[name]
			if no.core == nil {
				continue
			}
			cfg, _ := no.core.Config()
			revisions[cfg.Revision] = true
			for _, want := range names {
				if _, ok := cfg.Workspaces[want]; !ok {
					return false
				}
			}
		}
		return len(revisions) == 1
	}
}

// mustApply applies a workspace of that name through a daemon.
func (w *simulation) mustApply(t *testing.T, daemon, name string, share float64) {
	t.Helper()
	if _, err := w.apply(w.daemons[daemon], name, workspace(name, share)); err != nil {
		t.Fatalf("apply %s through %s: %v", name, daemon, err)
	}
}

// Guards against acknowledged changes that go out of force, and against daemons that keep different
// configurations for good, after restores of the store in any order with applies and restarts.
func TestChangesOverRestores(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, w *simulation)
		want []string
	}{
		// The daemon that applies has not received the lost change.
		{"other daemon, at once", func(t *testing.T, w *simulation) {
			w.mustApply(t, "d1", "lost", 1)
			w.store.Restore()
			w.mustApply(t, "d2", "next", 1)
			w.mustApply(t, "d2", "last", 1)
		}, []string{"lost", "next", "last"}},
		{"same daemon, at once", func(t *testing.T, w *simulation) {
			w.mustApply(t, "d1", "lost", 1)
			w.store.Restore()
			w.mustApply(t, "d1", "next", 1)
		}, []string{"lost", "next"}},
		{"other daemon, just started", func(t *testing.T, w *simulation) {
			w.mustApply(t, "d1", "lost", 1)
			w.waitFor("the change is in force", inForceLimit, w.workspacesInForce("lost"))
			w.daemons["d3"].kill()
			w.store.Restore()
			w.start(w.daemons["d3"])
			w.advance(5 * time.Millisecond)
			w.mustApply(t, "d3", "next", 1)
		}, []string{"lost", "next"}},
		{"several lost", func(t *testing.T, w *simulation) {
			for i := range 5 {
				w.mustApply(t, "d1", fmt.Sprint("lost", i), 1)
			}
			w.store.Restore()
			w.mustApply(t, "d2", "next", 1)
		}, []string{"lost0", "lost4", "next"}},
		// No operator writes again: the store itself must get the change back.
		{"no further apply", func(t *testing.T, w *simulation) {
			w.mustApply(t, "d1", "lost", 1)
			w.waitFor("the change is in force", inForceLimit, w.workspacesInForce("lost"))
			w.store.Restore()
			w.advance(inForceLimit)
			for _, name := range w.names {
				w.daemons[name].kill()
			}
			w.advance(5 * time.Second)
			w.start(w.daemons["d2"])
		}, []string{"lost"}},
		{"restored twice", func(t *testing.T, w *simulation) {
			w.mustApply(t, "d1", "lost", 1)
			w.store.Restore()
			w.mustApply(t, "d2", "next", 1)
			w.advance(2 * time.Second)
			w.store.Restore()
			w.mustApply(t, "d3", "last", 1)
		}, []string{"lost", "next", "last"}},
		{"store down after the restore", func(t *testing.T, w *simulation) {
			w.mustApply(t, "d1", "lost", 1)
			w.store.Restore()
			w.mustApply(t, "d2", "next", 1)
			faults := w.faults
			faults.Down = true
			w.setFaults(faults)
			w.advance(3 * time.Second)
			faults.Down = false
			w.setFaults(faults)
		}, []string{"lost", "next"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newServingSimulation(t, 4)
			w.store.Copy()
			tc.run(t, w)
			w.waitFor("all changes are in force at one revision", inForceLimit, w.workspacesInForce(tc.want...))
		})
	}
}

// Guards against a change that stays lost since the attempt to write the store's head again, which another
// daemon's change has overtaken, counts as the attempt to apply the change again.
func TestResultOfOtherReapply(t *testing.T) {
	w := newServingSimulation(t, 4)
	w.mustApply(t, "d1", "lost", 1)
	no := w.daemons["d1"]
	cfg, _ := no.core.Config()
	behind := control.ConfigArrived{Source: control.SourcePlatformConfig, Known: true, StoredRevision: cfg.Revision - 1}
	rewrite, ok := reapplyOf(no.core.Step(w.clock.Now(), behind))
	if !ok {
		t.Fatal("the head is not written again")
	}
	other := cfg.With(intent.Change{Deletes: []string{workspace("lost", 1).ID()}}, cfg.Revision-1).InEra(1 << 40)
	no.core.Step(w.clock.Now(), control.ConfigArrived{Source: control.SourcePeerConfig, Snapshot: other})
	again, ok := reapplyOf(no.core.Step(w.clock.Now(), control.Reapplied{Base: rewrite.Base}))
	if !ok || again.Base != other.Base || len(again.Entries) != 1 {
		t.Errorf("after the rewrite was refused: %+v, want the change to be applied again", again)
	}
}

// reapplyOf returns the Reapply among actions.
func reapplyOf(actions []control.Action) (control.Reapply, bool) {
	for _, ac := range actions {
		if re, ok := ac.(control.Reapply); ok {
			return re, true
		}
	}
	return control.Reapply{}, false
}

// Guards against a lost change that is applied again over a later one of the same object.
func TestLaterChangeTakesPrecedence(t *testing.T) {
	w := newServingSimulation(t, 4)
	w.store.Copy()
	if _, err := w.apply(w.daemons["d1"], "lost", workspace("one", 1)); err != nil {
		t.Fatal(err)
	}
	w.store.Restore()
	if _, err := w.apply(w.daemons["d2"], "next", workspace("one", 2)); err != nil {
		t.Fatal(err)
	}
	w.advance(inForceLimit)
	for _, name := range w.names {
		cfg, _ := w.daemons[name].core.Config()
		if got := cfg.Workspaces["one"].Share; got != 2 {
			t.Errorf("%s: share = %v, want 2, that of the later change", name, got)
		}
	}
}

// Guards against a daemon that takes a change back, for the moments in which the new era lacks it.
func TestChangeStaysInForceOverRestore(t *testing.T) {
	w := newServingSimulation(t, 4)
	w.store.Copy()
	w.mustApply(t, "d1", "lost", 1)
	w.store.Restore()
	w.mustApply(t, "d2", "next", 1)
	for end := w.clock.Now().Add(inForceLimit); w.clock.Now().Before(end); w.advance(step) {
		if cfg, _ := w.daemons["d1"].core.Config(); len(cfg.Workspaces["lost"].Name) == 0 {
			t.Fatalf("d1 at revision %d has taken the change back", cfg.Revision)
		}
	}
}

// Guards against a read of the store that counts as behind although only the event is incomplete.
func TestConfigOfOperatorIsNotBehind(t *testing.T) {
	w := newServingSimulation(t, 4)
	w.mustApply(t, "d1", "one", 1)
	no := w.daemons["d1"]
	if _, ok := reapplyOf(no.core.Step(w.clock.Now(), control.ConfigArrived{Known: true})); ok {
		t.Error("an apply's own event makes the daemon write the store again")
	}
}
