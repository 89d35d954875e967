package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Register handles a new or updated entry of an endpoint. Entries of services without an
// engine are ignored.
func (co *Core) Register(ep catalog.Endpoint, now time.Time) {
	if co.services[ep.Service] == nil {
		return
	}
	vm, ok := co.vms[ep.ID]
	if !ok {
		co.vms[ep.ID] = co.newVM(ep, now)
		co.idsChanged = true
		return
	}
	if ep.Incarnation.Differs(vm.ep.Incarnation) {
		co.registerIncarnation(vm, ep, now)
		return
	}
	if vm.ep.Incarnation == 0 {
		vm.ep.Incarnation = ep.Incarnation
	}
	co.applyEntry(vm, ep, now)
	vm.registered = true
	vm.ep.Leaving = ep.Leaving
	vm.ep.Cold = ep.Cold
	vm.ep.Address = ep.Address
	vm.ep.Revision, vm.ep.Era = ep.Revision, ep.Era
	if vm.down {
		vm.pollBy(now)
	}
}

// SetCold records whether an endpoint is cold, which changes without a change of its entry.
func (co *Core) SetCold(id string, cold bool) {
	if vm := co.vms[id]; vm != nil {
		vm.ep.Cold = cold
	}
}

// newVM returns the state of a VM that has just been seen and is due to be polled.
func (co *Core) newVM(ep catalog.Endpoint, now time.Time) *vm {
	return &vm{ep: ep, incarnationSeenAt: now, registered: true, pollAt: now, idleSince: now}
}

// RestoreMember handles a member in an earlier steward's view that has no entry, or whose entry
// is of another incarnation. A member without an entry is polled; if it does not respond, its
// group does not wait for it. A member that has restarted is lost to its group.
func (co *Core) RestoreMember(gr catalog.Group, me catalog.Member, now time.Time) {
	if co.services[gr.Service] == nil {
		return
	}
	if known := co.vms[me.ID]; known != nil {
		if known.ep.Incarnation.Differs(me.Incarnation) {
			co.incompleteGroups[groupKey{gr.Name, gr.Epoch}] = true
		}
		return
	}
	vm := co.newVM(catalog.Endpoint{ID: me.ID, Incarnation: me.Incarnation, Service: gr.Service, Address: me.Address, DataCenter: gr.DataCenter}, now)
	vm.registered, vm.restoredGroup = false, groupKey{gr.Name, gr.Epoch}
	co.vms[me.ID] = vm
	co.idsChanged = true
}

// applyEntry applies the membership in an entry. An entry follows each change at once, while
// reports lag by a few hundred milliseconds, but an entry may be older than the last order. It
// therefore only advances the state of a group that the VM is known to be in. If the entry
// says something else, the VM is polled.
func (co *Core) applyEntry(vm *vm, ep catalog.Endpoint, now time.Time) {
	known, inEntry := vm.ep.Member, ep.Member
	switch {
	case inEntry == nil && known == nil:
	case inEntry != nil && known != nil && inEntry.Group == known.Group && inEntry.Epoch == known.Epoch:
		if stateOrder(inEntry.State) > stateOrder(known.State) {
			advanced := *known
			advanced.State = inEntry.State
			vm.ep.Member, vm.ep.Staged = &advanced, ep.Staged
			vm.setLoadedModel(ep.Loaded)
			if !vm.urgent && !vm.uncertain && vm.registered {
				vm.pollAt = time.Time{}
			}
		}
	case now.Sub(vm.lastOrderAt) > co.lag(vm):
		vm.pollBy(now)
	}
}

// setLoadedModel records that a model's weights are in memory. An empty name changes nothing.
func (vm *vm) setLoadedModel(model string) {
	if model != "" {
		vm.ep.Loaded, vm.lastModel = model, model
	}
}

// stateOrder returns the position of a state in a group's lifecycle.
func stateOrder(st catalog.GroupState) int {
	return slices.Index([]catalog.GroupState{catalog.Joining, catalog.Ready, catalog.Open, catalog.Closing, catalog.Broken}, st)
}

// lag returns how old the state in a VM's report may be.
func (co *Core) lag(vm *vm) time.Duration {
	if en := co.services[vm.ep.Service]; en != nil {
		return en.ReportLag + lagMargin
	}
	return lagMargin
}

// lagMargin is added to the configured report lag to cover network latency and machines that
// are briefly slow.
const lagMargin = 150 * time.Millisecond

// Unregister records that an endpoint's entry is gone. The VM may keep serving as a member,
// but not as a leader, and it is not assigned to a new group.
func (co *Core) Unregister(id string, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.registered = false
	vm.urgent = true
	vm.pollBy(now)
}
