package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// registerIncarnation handles an entry whose incarnation differs from the known one.
func (co *Core) registerIncarnation(vm *vm, ep catalog.Endpoint, now time.Time) {
	if ep.Incarnation > vm.ep.Incarnation {
		co.handleRestart(vm, ep, now)
		return
	}
	// The VM's report has already announced the restart, and its entry is not updated yet: the
	// store is unavailable, or the VM has not sent its next heartbeat.
	vm.registered = true
	vm.pollBy(now)
}

// handleRestart resets the state of a VM whose server process restarted under its ID, which
// shows as a different incarnation in its entry or in a report. Groups that relied on the
// earlier incarnation are dissolved: their leaders are unaware of the restart, and their streams
// stall. Orders to the earlier incarnation don't count for this one, and the VM is used only
// after it has reported.
func (co *Core) handleRestart(one *vm, ep catalog.Endpoint, now time.Time) {
	co.recordEvent(Event{Kind: "vm-restarted", VM: ep.ID})
	for _, ke := range co.keys() {
		if gr := co.groups[ke]; !gr.dissolving && slices.Contains(gr.members, ep.ID) {
			co.startDissolving(gr, "member "+ep.ID+" restarted")
		}
	}
	if one.restoredGroup != (groupKey{}) {
		co.incompleteGroups[one.restoredGroup] = true
	}
	*one = *co.newVM(ep, now)
}
