package steward

import (
	"maps"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// observe updates the table of groups from the members' reports and entries.
func (co *Core) observe(now time.Time) {
	for _, gr := range co.groups {
		if gr.planned.IsZero() {
			for rank := range gr.members {
				gr.members[rank] = ""
			}
		}
	}
	for _, id := range co.ids() {
		vm := co.vms[id]
		// For a VM that has not reported to this steward yet, the membership comes from its
		// entry, so serving groups are used without delay.
		if mb := vm.ep.Member; mb != nil {
			co.observeMember(id, vm, mb, now)
		}
	}
	maps.DeleteFunc(co.groups, func(_ groupKey, gr *group) bool { return co.abandoned(gr) })
}

// observeMember enters one VM's membership in the table of groups.
func (co *Core) observeMember(id string, vm *vm, mb *catalog.Membership, now time.Time) {
	co.maxEpoch = max(co.maxEpoch, mb.Epoch)
	gr := co.groups[groupKey{mb.Group, mb.Epoch}]
	if gr == nil {
		gr = &group{name: mb.Group, epoch: mb.Epoch, service: vm.ep.Service, discoveredAt: now}
		gr.stallReported = co.incompleteGroups[groupKey{mb.Group, mb.Epoch}]
		co.groups[groupKey{mb.Group, mb.Epoch}] = gr
	}
	if !gr.planned.IsZero() {
		return
	}
	if gr.model == "" && vm.ep.Loaded != "" {
		gr.model = vm.ep.Loaded
	}
	size := mb.Rank + 1
	if mo, ok := co.services[gr.service].Model(gr.model); ok && !gr.spare() {
		size = mo.Size
	}
	for len(gr.members) < size {
		gr.members = append(gr.members, "")
	}
	if mb.Rank >= 0 && mb.Rank < len(gr.members) {
		gr.members[mb.Rank] = id
	}
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
