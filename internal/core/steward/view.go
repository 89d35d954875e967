package steward

import (
	"maps"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Groups returns the groups that serve: complete, with an open leader.
func (co *Core) Groups() []catalog.Group {
	var groups []catalog.Group
	for _, ke := range co.keys() {
		gr := co.groups[ke]
		if gr.spare() || gr.outOfUse() || !co.complete(gr) || co.vms[gr.members[0]].ep.Member.State != catalog.Open {
			continue
		}
		groups = append(groups, co.describe(gr))
	}
	return groups
}

// describe returns a complete group as the view publishes it, with the slowness of its slowest
// member.
func (co *Core) describe(gr *group) catalog.Group {
	cg := catalog.Group{Name: gr.name, Epoch: gr.epoch, Service: gr.service, Model: gr.model,
		DataCenter: co.vms[gr.members[0]].ep.DataCenter, Draining: !gr.drainingSince.IsZero(),
		Reassigned: gr.reassigned && !gr.drainingSince.IsZero() && !co.unfit(gr), Cold: co.vms[gr.members[0]].ep.Cold}
	for _, id := range gr.members {
		vm := co.vms[id]
		cg.Members = append(cg.Members, catalog.Member{ID: id, Address: vm.ep.Address, Incarnation: vm.ep.Incarnation})
		cg.Slowness = max(cg.Slowness, vm.ep.Slowness)
	}
	if cg.Slowness < minReportedSlowness {
		cg.Slowness = 0
	}
	return cg
}

// minReportedSlowness is the smallest slowness that the view publishes. Below it the slowness
// changes a prediction by less than the prediction's own error, which does not justify a new
// view for each member that reports.
const minReportedSlowness = 1.1

// Stats counts groups and VMs by state, for metrics and logs.
type Stats struct {
	// Serving, Forming and Broken count groups, Spares, Down and Stranded count VMs. Broken
	// groups are suspended or being dissolved. Stranded VMs are up but belong to no group.
	Serving, Forming, Broken, Spares, Down, Stranded int
	// Staged counts the VMs of groups whose host has another model than the group's. Staging
	// counts the VMs with an order to stage a model under way.
	Staged, Staging int
	// ByModel is the number of serving groups of each model.
	ByModel map[string]int
	// Busy is the measured demand on each model, in groups; nil until requests have been
	// measured.
	Busy map[string]float64
}

// Stats returns the current counts.
func (co *Core) Stats() Stats {
	st := Stats{ByModel: make(map[string]int), Busy: maps.Clone(co.demand.busy)}
	for _, gr := range co.groups {
		switch {
		case gr.spare():
		case gr.outOfUse():
			st.Broken++
		case co.complete(gr) && co.vms[gr.members[0]].ep.Member.State == catalog.Open:
			st.Serving++
			st.ByModel[gr.model]++
		default:
			st.Forming++
		}
	}
	for _, vm := range co.vms {
		if vm.stage != nil {
			st.Staging++
		}
		if vm.hasOtherStaged() {
			st.Staged++
		}
		switch {
		case vm.down:
			st.Down++
		case vm.ep.Member != nil && isSpare(vm.ep.Member.Group):
			st.Spares++
		case vm.ep.Member == nil:
			st.Stranded++
		}
	}
	return st
}
