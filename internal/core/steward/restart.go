package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// registerOther takes an entry in that speaks of another life of a VM than the one
// that is known.
func (co *Core) registerOther(vm *vm, ep catalog.Endpoint, now time.Time) {
	if ep.Incarnation > vm.ep.Incarnation {
		co.restarted(vm, ep, now)
		return
	}
	// The VM itself told of its restart, and its entry is not written yet: the store
	// is away, or the VM's heartbeat is due.
	vm.registered = true
	vm.askBy(now)
}

// restarted forgets all that is known of a VM whose server started again under its
// ID. It shows as another incarnation in the entry or in a report. The groups that
// counted on the earlier life end: their heads go on as if nothing had happened, and
// stand still. Orders decided for the earlier life are not counted for this one, and
// the VM is used only after it has reported.
func (co *Core) restarted(one *vm, ep catalog.Endpoint, now time.Time) {
	co.note(Event{Kind: "vm-restarted", VM: ep.ID})
	for _, ke := range co.keys() {
		if gr := co.groups[ke]; !gr.doomed && slices.Contains(gr.members, ep.ID) {
			co.doom(gr, "member "+ep.ID+" started again")
		}
	}
	if one.recalled != (groupKey{}) {
		co.lost[one.recalled] = true
	}
	*one = *co.newVM(ep, now)
}
