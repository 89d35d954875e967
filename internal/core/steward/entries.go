package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Register takes an endpoint's entry in.
func (co *Core) Register(ep catalog.Endpoint, now time.Time) {
	if co.services[ep.Service] == nil {
		return
	}
	vm, ok := co.vms[ep.ID]
	if !ok {
		co.vms[ep.ID] = co.newVM(ep, now)
		co.resort = true
		return
	}
	if ep.Incarnation.Differs(vm.ep.Incarnation) {
		co.registerOther(vm, ep, now)
		return
	}
	if vm.ep.Incarnation == 0 {
		vm.ep.Incarnation = ep.Incarnation
	}
	co.hear(vm, ep, now)
	vm.registered = true
	vm.ep.Leaving = ep.Leaving
	vm.ep.Address = ep.Address
	vm.ep.Revision = ep.Revision
	if vm.down {
		vm.askBy(now)
	}
}

func (co *Core) newVM(ep catalog.Endpoint, now time.Time) *vm {
	return &vm{ep: ep, since: now, registered: true, askAt: now, idleSince: now}
}

// Recall tells of a member that an earlier steward knew and that has no entry, or
// one of another life. A member without an entry is asked; if it does not answer,
// its group does not wait for it. One that started again is lost to its group.
func (co *Core) RestoreMember(gr catalog.Group, me catalog.Member, now time.Time) {
	if co.services[gr.Service] == nil {
		return
	}
	if known := co.vms[me.ID]; known != nil {
		if known.ep.Incarnation.Differs(me.Incarnation) {
			co.lost[groupKey{gr.Name, gr.Epoch}] = true
		}
		return
	}
	vm := co.newVM(catalog.Endpoint{ID: me.ID, Incarnation: me.Incarnation, Service: gr.Service, Address: me.Address, DataCenter: gr.DataCenter}, now)
	vm.registered, vm.recalled = false, groupKey{gr.Name, gr.Epoch}
	co.vms[me.ID] = vm
	co.resort = true
}

// hear takes in what an entry says of the VM's group. An entry follows each
// change at once, where a report lags by some hundred milliseconds, but it may
// be older than the last order. So it moves a group that is known on, and
// makes the VM be asked where it says something else.
func (co *Core) hear(vm *vm, ep catalog.Endpoint, now time.Time) {
	known, said := vm.ep.Member, ep.Member
	switch {
	case said == nil && known == nil:
	case said != nil && known != nil && said.Group == known.Group && said.Epoch == known.Epoch:
		if progress(said.State) > progress(known.State) {
			moved := *known
			moved.State = said.State
			vm.ep.Member, vm.ep.Staged = &moved, ep.Staged
			vm.holds(ep.Loaded)
			if !vm.urgent && !vm.unsure && vm.registered {
				vm.askAt = time.Time{}
			}
		}
	case now.Sub(vm.ordered) > co.lag(vm):
		vm.askBy(now)
	}
}

// holds notes that the weights of a model are in memory.
func (vm *vm) holds(model string) {
	if model != "" {
		vm.ep.Loaded, vm.last = model, model
	}
}

// progress orders the states that a group goes through.
func progress(st catalog.GroupState) int {
	return slices.Index([]catalog.GroupState{catalog.Joining, catalog.Ready, catalog.Open, catalog.Closing, catalog.Broken}, st)
}

// lag is how old what a VM reports may be.
func (co *Core) lag(vm *vm) time.Duration {
	if en := co.services[vm.ep.Service]; en != nil {
		return en.ReportLag + lagMargin
	}
	return lagMargin
}

// lagMargin is added to the stated lag of reports, for the ways and for
// machines that are slow for a moment.
const lagMargin = 150 * time.Millisecond

// Unregister tells that an endpoint's entry is gone. The VM may still serve as
// a member, but not as a head, and it is given to no new group.
func (co *Core) Unregister(id string, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.registered = false
	vm.urgent = true
	vm.askBy(now)
}
