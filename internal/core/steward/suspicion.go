package steward

import (
	"slices"
	"time"
)

// Suspect asks all members of a group at once, since a daemon finds its streams
// standing still; own tells that it is the steward's own. Many daemons find so at the
// same time; they are answered together.
func (co *Core) HandleStallReport(name string, epoch int64, own bool, now time.Time) {
	gr := co.groups[groupKey{name, epoch}]
	if gr == nil {
		return
	}
	if now.Sub(gr.suspected) < suspectPause {
		gr.ownWord = gr.ownWord && own
		return
	}
	first := now.Sub(gr.suspected) >= suspicionSpan
	if first {
		gr.suspectedFirst = now
	}
	gr.suspect, gr.suspected, gr.ownWord, gr.sound = true, now, own, false
	for _, id := range gr.members {
		vm := co.vms[id]
		switch {
		case vm == nil:
		case vm.down:
			vm.askBy(now)
		default:
			if first {
				// What was not answered before this word proves nothing.
				vm.failures = 0
			}
			vm.urgent = true
			vm.askBy(now)
		}
	}
}

// clearSuspicions tells of groups that were suspected and whose members have
// all answered since. Daemons keep requests from a group until then.
func (co *Core) clearSuspicions() {
	for _, ke := range co.keys() {
		gr := co.groups[ke]
		if gr.suspected.IsZero() || gr.sound || gr.doomed || !co.complete(gr) {
			continue
		}
		late := func(id string) bool { return co.vms[id].heard.Before(gr.suspected) }
		if !slices.ContainsFunc(gr.members, late) {
			gr.sound = true
			co.note(Event{Kind: GroupHealthy, Group: gr.name, Epoch: gr.epoch, Model: gr.model})
		}
	}
}

// Advances tells that a group's streams go on that a daemon had found standing still.
// A replica stands still with any of its members, so all of them are alive.
func (co *Core) HandleProgressReport(name string, epoch int64, now time.Time) {
	gr := co.groups[groupKey{name, epoch}]
	if gr == nil || gr.doomed {
		return
	}
	gr.suspected, gr.sound = time.Time{}, false
	for _, id := range gr.members {
		if vm := co.vms[id]; vm != nil && co.belongs(vm, gr) {
			vm.failures, vm.down, vm.urgent = 0, false, false
			vm.askBy(now.Add(heldInterval))
		}
	}
}
