package control_test

import (
	"context"
	"encoding/json"
	"fmt"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/platform"
)

// recordCompleteGroups records which groups are complete according to the
// engines.
func (w *simulation) recordCompleteGroups() {
	for _, name := range w.names {
		no := w.daemons[name]
		if no.core == nil {
			continue
		}
		for _, dom := range no.core.Domains() {
			for _, gr := range dom.Groups {
				if _, ok := gr.ServingRing(w.actualReport); ok {
					w.lastComplete[groupKey(gr)] = w.clock.Now()
				}
			}
		}
	}
}

// groupKey identifies a group at a fencing token.
func groupKey(gr fleet.Group) string { return fmt.Sprintf("%s/%d", gr.ID, gr.Fence) }

// check verifies the invariants on the state of one daemon and on the stored
// assignments: every valid permit is for a group that was complete within the
// permit lifetime, no two permits share a VM, and the configuration revision
// never decreases.
func (w *simulation) check(no *node) {
	w.t.Helper()
	w.recordCompleteGroups()
	now := w.clock.Now()
	owner := make(map[string]string)
	for _, ta := range no.core.View().Groups {
		if !ta.Permit.Valid(now) {
			continue
		}
		age := now.Sub(w.lastComplete[groupKey(ta.Group)])
		if age > no.set.Timing.Permit {
			w.t.Fatalf("%s holds a permit for %s, which was last complete %v ago", no.name, ta.Group.ID, age)
		}
		for _, me := range ta.Group.Members {
			if other, ok := owner[me.VM]; ok {
				w.t.Fatalf("%s holds permits for %s and %s, which share VM %s", no.name, other, ta.Group.ID, me.VM)
			}
			owner[me.VM] = ta.Group.ID
		}
	}
	cfg, _ := no.core.Config()
	if cfg.Revision < no.revision {
		w.t.Fatalf("%s: configuration revision decreased from %d to %d", no.name, no.revision, cfg.Revision)
	}
	no.revision = cfg.Revision
	w.checkStored()
}

// checkStored verifies the stored assignments: each is valid, its sequence
// number never decreases, and no VM is in two groups.
func (w *simulation) checkStored() {
	entries, err := w.listDomains()
	if err != nil {
		return
	}
	owner := make(map[string]string)
	for _, en := range entries {
		var dom fleet.Domain
		if err := json.Unmarshal(en.Value, &dom); err != nil {
			w.t.Fatal(err)
		}
		if err := dom.Check(); err != nil {
			w.t.Fatalf("stored assignment is invalid: %v", err)
		}
		if dom.Sequence < w.maxSequence[en.Key] {
			w.t.Fatalf("stored assignment %s: sequence decreased from %d to %d", en.Key, w.maxSequence[en.Key], dom.Sequence)
		}
		w.maxSequence[en.Key] = dom.Sequence
		for _, gr := range dom.Groups {
			for _, me := range gr.Members {
				if other, ok := owner[me.VM]; ok {
					w.t.Fatalf("stored assignments: VM %s is in groups %s and %s", me.VM, other, gr.ID)
				}
				owner[me.VM] = gr.ID
			}
		}
	}
}

// listDomains reads the stored assignments. It fails only while the platform is
// down, regardless of other injected faults.
func (w *simulation) listDomains() ([]platform.Entry, error) {
	if w.faults.Down {
		return nil, platform.ErrUnavailable
	}
	return w.store.List(context.Background(), "domains/")
}

// dump returns the state of all daemons and engines for failure messages.
func (w *simulation) dump() string {
	text := ""
	for _, name := range w.names {
		no := w.daemons[name]
		text += fmt.Sprintf("%s suspended=%v running=%v", name, no.suspended, no.core != nil)
		if no.core != nil {
			cfg, _ := no.core.Config()
			text += fmt.Sprintf(" serving=%d revision=%d steward=%+v domains=%+v", no.serving(w.clock.Now()), cfg.Revision, no.core.Steward(), no.core.Domains())
		}
		text += "\n"
	}
	for _, vm := range w.vms {
		text += fmt.Sprintf("%+v\n", *w.engines[vm.Name])
	}
	return text
}
