package control_test

import (
	"testing"
	"time"
)

// Guards against a change that operators apply after the store was restored from a copy, and that
// daemons skip or apply to another configuration since they hold revisions that the copy lacks.
func TestChainAfterRestore(t *testing.T) {
	w := newServingSimulation(t, 4)
	w.store.Copy()
	revision, err := w.apply(w.daemons["d1"], "lost", workspace("lost", 1))
	if err != nil {
		t.Fatal(err)
	}
	w.waitFor("the change is in force", 9*time.Second, w.revisionInForce(revision))
	w.store.Restore()
	for _, name := range []string{"next", "last"} {
		if _, err := w.apply(w.daemons["d2"], name, workspace(name, 1)); err != nil {
			t.Fatalf("apply %s after the restore: %v", name, err)
		}
	}
	w.advance(9 * time.Second)
	for _, name := range w.names {
		cfg, _ := w.daemons[name].core.Config()
		for _, want := range []string{"next", "last"} {
			if _, ok := cfg.Workspaces[want]; !ok {
				t.Errorf("%s at revision %d lacks workspace %s, 9 s after it was applied", name, cfg.Revision, want)
			}
		}
	}
}
