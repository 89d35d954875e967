package steward

import (
	"maps"
	"time"
)

// observe updates the table of groups from the members' reports and entries.
func (co *Core) observe(now time.Time) {
	for _, gr := range co.groups {
		gr.contested, gr.claims = false, 0
		if gr.planned.IsZero() {
			clear(gr.members)
		}
	}
	// For a VM that has not reported to this steward yet, the membership comes from its entry, so
	// serving groups are used without delay.
	co.claims = co.claims[:0]
	for _, id := range co.ids() {
		if vm := co.vms[id]; vm.ep.Member != nil {
			gr := co.observeGroup(vm, now)
			gr.claims++
			co.claims = append(co.claims, claim{id, vm, gr})
		}
	}
	for _, cl := range co.claims {
		co.observeMember(cl)
	}
	maps.DeleteFunc(co.groups, func(_ groupKey, gr *group) bool { return co.abandoned(gr) })
}

// claimed returns the key of the group that the VM says it belongs to.
func (vm *vm) claimed() groupKey { return groupKey{vm.ep.Member.Group, vm.ep.Member.Epoch} }

// claim is what a VM says: that it belongs to a group.
type claim struct {
	id string
	vm *vm
	gr *group
}

// observeGroup enters the group of a VM's membership in the table of groups, and returns it.
func (co *Core) observeGroup(vm *vm, now time.Time) *group {
	ke := vm.claimed()
	co.observeEpoch(vm, ke.epoch)
	gr := co.groups[ke]
	if gr == nil {
		gr = &group{name: ke.name, epoch: ke.epoch, service: vm.ep.Service, discoveredAt: now, stallReported: co.incompleteGroups[ke]}
		co.groups[ke] = gr
	}
	if gr.planned.IsZero() {
		gr.observeModel(vm)
	}
	return gr
}

// observeModel takes the group's model from a VM. What a VM has itself reported counts more than what
// an entry says.
func (gr *group) observeModel(vm *vm) {
	if vm.ep.Loaded == "" || gr.model != "" && (gr.modelReported || !vm.reported) {
		return
	}
	if gr.model != "" && gr.model != vm.ep.Loaded || gr.service != vm.ep.Service {
		gr.members = nil // They had another size.
	}
	gr.service, gr.model, gr.modelReported = vm.ep.Service, vm.ep.Loaded, vm.reported
}

// observeMember enters a VM in its group at the rank that it says it has.
func (co *Core) observeMember(cl claim) {
	gr, rank := cl.gr, cl.vm.ep.Member.Rank
	if !gr.planned.IsZero() {
		return
	}
	if mo, ok := co.services[gr.service].Model(gr.model); ok && !gr.spare() {
		gr.grow(mo.Size)
	} else {
		// The size is not known. A rank beyond any size and the number of claims leaves a gap in
		// any case, and its VM counts as one that reports a different rank.
		rank = min(rank, max(gr.claims, co.services[gr.service].LargestSize()))
		gr.grow(rank + 1)
	}
	if rank < 0 || rank >= len(gr.members) {
		return
	}
	gr.contested = gr.contested || co.contested(gr.members[rank], cl.vm)
	if co.yields(gr.members[rank], cl.vm) {
		gr.members[rank] = cl.id
	}
}

// contested reports whether it is open which of two VMs has the same rank of a group, because both
// are known from their entries only and may still report.
func (co *Core) contested(held string, other *vm) bool {
	vm := co.vms[held]
	return vm != nil && !vm.reported && !other.reported && !vm.down && !other.down
}

// grow extends the group's members to a number of ranks.
func (gr *group) grow(size int) {
	if missing := size - len(gr.members); missing > 0 {
		gr.members = append(gr.members, make([]string, missing)...)
	}
}

// yields reports whether the VM seen at a rank gives way to another one that says that it has the
// rank. A VM that has itself reported the rank does not give way to one known from its entry only.
func (co *Core) yields(held string, other *vm) bool {
	vm := co.vms[held]
	return vm == nil || !vm.reported || other.reported
}

// spare reports whether the group is a single VM that only holds a model in memory.
func (gr *group) spare() bool {
	return len(gr.name) > len(sparePrefix) && gr.name[:len(sparePrefix)] == sparePrefix
}

// abandoned reports whether the group has no members left and no plan to gain any.
func (co *Core) abandoned(gr *group) bool {
	for _, id := range gr.members {
		vm := co.vms[id]
		if vm == nil {
			continue
		}
		if vm.orderPending || co.isMember(vm, gr) {
			return false
		}
	}
	return gr.planned.IsZero() || gr.dissolving
}

func (co *Core) isMember(vm *vm, gr *group) bool {
	mb := vm.ep.Member
	return mb != nil && mb.Group == gr.name && mb.Epoch == gr.epoch
}
