package steward

import (
	"maps"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// observe brings the table of groups up to what the members say.
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
		// Where a VM that has not answered this steward yet belongs, its entry tells.
		// Groups that serve are used from the first moment on.
		if mb := vm.ep.Member; mb != nil {
			co.observeMember(id, vm, mb, now)
		}
	}
	maps.DeleteFunc(co.groups, func(_ groupKey, gr *group) bool { return co.empty(gr) })
}

func (co *Core) observeMember(id string, vm *vm, mb *catalog.Membership, now time.Time) {
	gr := co.groups[groupKey{mb.Group, mb.Epoch}]
	if gr == nil {
		gr = &group{name: mb.Group, epoch: mb.Epoch, service: vm.ep.Service, found: now}
		gr.suspect = co.lost[groupKey{mb.Group, mb.Epoch}]
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

func (gr *group) spare() bool {
	return len(gr.name) > len(sparePrefix) && gr.name[:len(sparePrefix)] == sparePrefix
}

// empty tells whether nobody belongs to the group any more.
func (co *Core) empty(gr *group) bool {
	for _, id := range gr.members {
		vm := co.vms[id]
		if vm == nil {
			continue
		}
		if vm.busy || co.belongs(vm, gr) {
			return false
		}
	}
	return gr.planned.IsZero() || gr.doomed
}

func (co *Core) belongs(vm *vm, gr *group) bool {
	mb := vm.ep.Member
	return mb != nil && mb.Group == gr.name && mb.Epoch == gr.epoch
}
