package control_test

import (
	"context"
	"encoding/json"
	"fmt"

	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/platform"
)

// noteWhole remembers which groups are whole in truth.
func (w *world) noteWhole() {
	for _, name := range w.names {
		no := w.daemons[name]
		if no.core == nil {
			continue
		}
		for _, dom := range no.core.Domains() {
			for _, gr := range dom.Groups {
				if _, ok := gr.ServingRing(w.truth); ok {
					w.whole[wholeKey(gr)] = w.clock.Now()
				}
			}
		}
	}
}

func wholeKey(gr fleet.Group) string { return fmt.Sprintf("%s/%d", gr.ID, gr.Fence) }

// check verifies what must always hold, from the view of one daemon.
func (w *world) check(no *node) {
	w.t.Helper()
	w.noteWhole()
	now := w.clock.Now()
	owner := make(map[string]string)
	for _, ta := range no.core.View().Groups {
		if !ta.Permit.Valid(now) {
			continue
		}
		age := now.Sub(w.whole[wholeKey(ta.Group)])
		if age > no.set.Timing.Permit {
			w.t.Fatalf("%s may send to %s, which was last whole %v ago", no.name, ta.Group.ID, age)
		}
		for _, me := range ta.Group.Members {
			if other, ok := owner[me.VM]; ok {
				w.t.Fatalf("%s may send to %s and %s, which share %s", no.name, other, ta.Group.ID, me.VM)
			}
			owner[me.VM] = ta.Group.ID
		}
	}
	cfg, _ := no.core.Config()
	if cfg.Revision < no.revision {
		w.t.Fatalf("%s went back from revision %d to %d", no.name, no.revision, cfg.Revision)
	}
	no.revision = cfg.Revision
	w.checkStored()
}

// checkStored verifies the written assignments.
func (w *world) checkStored() {
	entries, err := w.peek()
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
			w.t.Fatalf("written: %v", err)
		}
		if dom.Sequence < w.stored[en.Key] {
			w.t.Fatalf("written: %s went back from sequence %d to %d", en.Key, w.stored[en.Key], dom.Sequence)
		}
		w.stored[en.Key] = dom.Sequence
		for _, gr := range dom.Groups {
			for _, me := range gr.Members {
				if other, ok := owner[me.VM]; ok {
					w.t.Fatalf("written: %s is in %s and %s", me.VM, other, gr.ID)
				}
				owner[me.VM] = gr.ID
			}
		}
	}
}

// peek reads the assignments whatever the platform's faults are.
func (w *world) peek() ([]platform.Entry, error) {
	if w.faults.Down {
		return nil, platform.ErrUnavailable
	}
	return w.store.List(context.Background(), "domains/")
}

// dump describes the world for a failure's message.
func (w *world) dump() string {
	text := ""
	for _, name := range w.names {
		no := w.daemons[name]
		text += fmt.Sprintf("%s frozen=%v running=%v", name, no.frozen, no.core != nil)
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
