package steward

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// coldStartWait is how long a steward that finds no group waits after a VM's arrival for
	// further VMs before it assigns them to groups.
	coldStartWait = 600 * time.Millisecond
)

// domain is a fabric domain with the VMs that are available for new groups.
type domain struct {
	service string
	name    string
	free    []*vm
	// loading counts VMs that load a model as spares.
	loading int
}

// formGroups assigns available VMs to new groups.
func (co *Core) formGroups(now time.Time) []Call {
	var calls []Call
	for _, service := range slices.Sorted(maps.Keys(co.services)) {
		en := co.services[service]
		doms := co.domains(service)
		if co.withoutWeights(service) {
			calls = append(calls, co.formInitial(service, en, doms, now)...)
			continue
		}
		co.dropInfeasibleTargets(service, en)
		calls = append(calls, co.formWarm(service, en, doms, now)...)
		calls = append(calls, co.startLoads(service, en, doms, now)...)
		if en.StagesModels() {
			calls = append(calls, co.stageModels(service, en, now)...)
			calls = append(calls, co.followDemand(service, en, doms, now)...)
			continue
		}
		co.rebalance(service, en, doms, now)
	}
	return calls
}

// withoutWeights reports whether the service has no group and no weights in memory or staged on any VM.
func (co *Core) withoutWeights(service string) bool {
	for _, vm := range co.vms {
		if vm.ep.Service == service && (vm.lastModel != "" || vm.ep.Member != nil || len(vm.ep.Staged) > 0) {
			return false
		}
	}
	for _, gr := range co.groups {
		if gr.service == service {
			return false
		}
	}
	return true
}

// domains returns the service's domains with their available VMs, sorted by name.
func (co *Core) domains(service string) []*domain {
	reserved := co.reserved()
	byName := make(map[string]*domain)
	for _, id := range co.ids() {
		vm := co.vms[id]
		if vm.ep.Service != service {
			continue
		}
		do := byName[vm.ep.Domain]
		if do == nil {
			do = &domain{service: service, name: vm.ep.Domain}
			byName[vm.ep.Domain] = do
		}
		if reserved[id] || !co.available(vm) {
			continue
		}
		if mb := vm.ep.Member; mb != nil && mb.State == catalog.Joining {
			do.loading++
			continue
		}
		do.free = append(do.free, vm)
	}
	return slices.SortedFunc(maps.Values(byName), func(one, other *domain) int { return cmp.Compare(one.name, other.name) })
}

// available reports whether a VM may be assigned to a new group: it belongs to no group, or is
// a spare that holds a model in memory for this purpose.
func (co *Core) available(vm *vm) bool {
	if !vm.usable() || vm.orderPending || vm.failures > 0 || co.evacuated(vm) {
		return false
	}
	mb := vm.ep.Member
	return mb == nil || isSpare(mb.Group)
}

// reserved returns the VMs of planned groups that have not joined them yet.
func (co *Core) reserved() map[string]bool {
	reserved := make(map[string]bool)
	for _, gr := range co.groups {
		if gr.dissolving || gr.planned.IsZero() {
			continue
		}
		for _, id := range gr.members {
			if vm := co.vms[id]; vm != nil && !co.isMember(vm, gr) {
				reserved[id] = true
			}
		}
	}
	return reserved
}

// formInitial assigns all VMs to groups when no weights are loaded anywhere.
func (co *Core) formInitial(service string, en *catalog.Engine, doms []*domain, now time.Time) []Call {
	for _, vm := range co.vms {
		if vm.ep.Service == service && !vm.reported && !vm.down {
			return nil
		}
	}
	sizes := make([]int, len(doms))
	for i, do := range doms {
		sizes[i] = len(do.free)
		for _, vm := range do.free {
			if now.Sub(vm.idleSince) < coldStartWait {
				return nil
			}
		}
	}
	var calls []Call
	plan := planSplits(sizes, co.weightedSizes(en))
	if co.SpreadDataCenters {
		plan = spreadSplits(plan, sizes, co.dataCentersOf(doms), co.weightedSizes(en))
	}
	for i, sp := range plan {
		for mi, num := range sp {
			for range num / en.Models[mi].Size {
				calls = append(calls, co.formGroup(service, en.Models[mi], doms[i], now)...)
			}
		}
		for mi, num := range sp {
			for range min(num%en.Models[mi].Size, len(doms[i].free)) {
				calls = append(calls, co.assignSpare(service, en.Models[mi].Name, doms[i].free[0], now)...)
				doms[i].free = doms[i].free[1:]
			}
		}
	}
	return calls
}

// assignSpare makes an available VM hold a model in memory as a spare.
func (co *Core) assignSpare(service, model string, vm *vm, now time.Time) []Call {
	return co.stepSpare(co.plan(sparePrefix, service, model, []string{vm.ep.ID}, now), now)
}

// formGroup plans a group of the model from the best available VMs of a domain. It returns nil
// if there are too few VMs or if the load limit does not allow the loads.
func (co *Core) formGroup(service string, mo catalog.Model, do *domain, now time.Time) []Call {
	if len(do.free) < mo.Size {
		return nil
	}
	slices.SortStableFunc(do.free, func(one, other *vm) int {
		return cmp.Or(byTargetModel(one, other, mo.Name), cmp.Compare(co.joinTime(one, mo.Name), co.joinTime(other, mo.Name)), byID(one, other))
	})
	slices.SortStableFunc(do.free[:mo.Size], coldLast)
	members := make([]string, mo.Size)
	loads := 0
	for i, vm := range do.free[:mo.Size] {
		members[i] = vm.ep.ID
		if !vm.hasWeights(mo.Name) {
			loads++
		}
	}
	if !co.InitialLoads && !co.loads.take(loads) {
		return nil
	}
	for _, vm := range do.free[:mo.Size] {
		vm.targetModel = ""
	}
	do.free = do.free[mo.Size:]
	gr := co.plan(groupPrefix, service, mo.Name, members, now)
	co.recordEvent(Event{Kind: "group-formed", Group: gr.name, Model: mo.Name, Members: members})
	return co.sendJoins(gr)
}

// coldLast compares two VMs so that a cold one does not lead a group: the leader alone receives
// requests.
func coldLast(one, other *vm) int {
	switch {
	case one.ep.Cold == other.ep.Cold:
		return 0
	case one.ep.Cold:
		return 1
	}
	return -1
}

// plan adds a new group to the table of groups, with the next epoch and a name derived from it.
func (co *Core) plan(prefix, service, model string, members []string, now time.Time) *group {
	epoch := co.nextEpoch()
	gr := &group{name: fmt.Sprintf("%s%d-%d", prefix, co.Term, co.epochCounter), epoch: epoch, service: service,
		model: model, members: members, planned: now, initialLoads: co.InitialLoads}
	co.groups[groupKey{gr.name, epoch}] = gr
	return gr
}

// formWarm forms groups from VMs that hold the model, starting with the model that gains most
// from another group.
func (co *Core) formWarm(service string, en *catalog.Engine, doms []*domain, now time.Time) []Call {
	var calls []Call
	for {
		mi, do := co.bestGain(service, en, doms)
		if do == nil {
			return calls
		}
		formed := co.formGroup(service, en.Models[mi], do, now)
		if formed == nil {
			return calls
		}
		calls = append(calls, formed...)
	}
}

// bestGain returns the model index and the domain of the most useful group that can be formed
// without a load. The domain is nil if there is none.
func (co *Core) bestGain(service string, en *catalog.Engine, doms []*domain) (int, *domain) {
	weights, counts := co.weights(en), co.counts(service, en)
	best, bestGain, bestDom := -1, 0.0, (*domain)(nil)
	for mi, mo := range en.Models {
		gain := weights[mi] / float64(counts[mi]+1)
		if gain <= bestGain {
			continue
		}
		for _, do := range doms {
			if countWarm(do.free, mo.Name) >= mo.Size {
				best, bestGain, bestDom = mi, gain, do
				break
			}
		}
	}
	return best, bestDom
}

// countWarm returns the number of VMs that can join a group of the model without a load and
// are not reserved for another one.
func countWarm(vms []*vm, model string) int {
	num := 0
	for _, vm := range vms {
		if vm.targetModel == "" && vm.holdsModel(model) || vm.targetModel == model && vm.hasWeights(model) {
			num++
		}
	}
	return num
}

// byTargetModel compares two VMs: those that are reserved for another model sort last.
func byTargetModel(one, other *vm, model string) int {
	rank := func(vm *vm) int {
		if vm.targetModel == "" || vm.targetModel == model {
			return 0
		}
		return 1
	}
	return cmp.Compare(rank(one), rank(other))
}

// counts returns the number of groups of each model that serve or are being formed.
func (co *Core) counts(service string, en *catalog.Engine) []int {
	counts := make([]int, len(en.Models))
	for _, gr := range co.groups {
		if gr.service != service || gr.spare() || gr.outOfUse() || gr.reassigned || co.groupEvacuated(gr) {
			continue
		}
		for mi, mo := range en.Models {
			if mo.Name == gr.model {
				counts[mi]++
			}
		}
	}
	return counts
}

// groupEvacuated reports whether the group is in an evacuated data centre.
func (co *Core) groupEvacuated(gr *group) bool {
	if len(co.evacuation.DataCenters) == 0 {
		return false
	}
	return slices.ContainsFunc(gr.members, func(id string) bool { return co.vms[id] != nil && co.evacuated(co.vms[id]) })
}

// replaceable reports whether an available VM of the same domain could replace the member
// without a load.
func (co *Core) replaceable(member *vm, model string) bool {
	reserved := co.reserved()
	for _, id := range co.ids() {
		vm := co.vms[id]
		if vm.ep.Service == member.ep.Service && vm.ep.Domain == member.ep.Domain && !reserved[id] && co.available(vm) &&
			vm.holdsModel(model) {
			return true
		}
	}
	return false
}

// spareModel returns the model that an available VM should hold as a spare: one that is staged
// on its host, or else the one that most improves the balance, now and after losses.
func (co *Core) spareModel(service string, en *catalog.Engine, do *domain, vm *vm) string {
	if len(vm.ep.Staged) > 0 {
		return vm.ep.Staged[0]
	}
	plan := co.currentSplits(service, en)
	ba, before := newBalance(slices.Collect(maps.Values(plan)), co.weightedSizes(en)), plan[do.name]
	best, bestValue := "", 0.0
	for mi, mo := range en.Models {
		after := slices.Clone(before)
		after[mi]++
		if va := ba.valueWith(before, after); best == "" || va > bestValue {
			best, bestValue = mo.Name, va
		}
	}
	return best
}

// currentSplits returns the current split of each domain, by domain name. Planned groups count
// as held; VMs that are down do not.
func (co *Core) currentSplits(service string, en *catalog.Engine) map[string]split {
	plan := make(map[string]split)
	planned := co.plannedModels()
	for _, id := range co.ids() {
		vm := co.vms[id]
		if vm.ep.Service != service || vm.down || co.evacuated(vm) {
			continue
		}
		sp, ok := plan[vm.ep.Domain]
		if !ok {
			sp = make(split, len(en.Models))
			plan[vm.ep.Domain] = sp
		}
		model, ok := planned[id]
		if !ok {
			model = vm.lastModel
		}
		for mi, mo := range en.Models {
			if model == mo.Name {
				sp[mi]++
			}
		}
	}
	return plan
}

func (co *Core) weightedSizes(en *catalog.Engine) []weightedSize {
	models := make([]weightedSize, len(en.Models))
	for mi, weight := range co.weights(en) {
		models[mi] = weightedSize{size: en.Models[mi].Size, weight: weight}
	}
	return models
}
