package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// groupIDs returns the groups that a daemon knows.
func (no *node) groupIDs() []string {
	var ids []string
	for _, dom := range no.core.Domains() {
		for _, gr := range dom.Groups {
			ids = append(ids, gr.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against groups that end since the copy holds no assignment of their domain at all.
func TestMissingAssignmentAfterRestore(t *testing.T) {
	w := newSimulation(t, 4)
	w.addVMs("gent", "a", 6)
	for _, name := range []string{"d1", "d2", "d3"} {
		w.addDaemon(name, "gent")
	}
	w.advance(2 * time.Second)
	if _, err := w.apply(w.daemons["d1"], "model", model); err != nil {
		t.Fatal(err)
	}
	w.advance(2 * time.Second)
	w.store.Copy()
	if _, err := w.apply(w.daemons["d1"], "group", spec); err != nil {
		t.Fatal(err)
	}
	w.waitFor("two groups serve", 20*time.Second, w.allServe(2))
	before := w.daemons["d1"].groupIDs()
	w.store.Restore()
	clear(w.maxSequence)
	for end := w.clock.Now().Add(15 * time.Second); w.clock.Now().Before(end); w.advance(step) {
		if !w.allServe(2)() {
			t.Fatal("a group has ended after the restore")
		}
	}
	if after := w.daemons["d1"].groupIDs(); !slices.Equal(after, before) {
		t.Errorf("groups after the restore = %v, want %v", after, before)
	}
	if entries, err := w.listDomains(); err != nil || len(entries) != 1 {
		t.Errorf("%d stored assignments, %v; want 1", len(entries), err)
	}
}

// Guards against an assignment that the steward can never write again, since the store was restored from a
// copy with an older one, and against groups that end since the copy doesn't hold them.
func TestAssignmentAfterRestore(t *testing.T) {
	for _, stewardEnds := range []bool{false, true} {
		t.Run(fmt.Sprint("steward ends ", stewardEnds), func(t *testing.T) {
			w := newServingSimulation(t, 4)
			w.store.Copy()
			more := spec
			more.Replicas = 3
			if _, err := w.apply(w.daemons["d1"], "more", more); err != nil {
				t.Fatal(err)
			}
			w.waitFor("three groups serve", 20*time.Second, w.allServe(3))
			operator := w.daemons["d1"]
			before := operator.groupIDs()
			if steward := w.steward("gent"); stewardEnds {
				steward.kill()
				if operator == steward {
					operator = w.daemons["d2"]
				}
			}
			w.store.Restore()
			clear(w.maxSequence)
			w.advance(15 * time.Second)
			w.waitFor("three groups serve after the restore", 20*time.Second, w.allServe(3))
			if after := operator.groupIDs(); !slices.Equal(after, before) {
				t.Errorf("groups after the restore = %v, want %v", after, before)
			}
			less := spec
			less.Replicas = 1
			if _, err := w.apply(operator, "less", less); err != nil {
				t.Fatal(err)
			}
			w.waitFor("one group serves", 20*time.Second, w.allServe(1))
		})
	}
}
