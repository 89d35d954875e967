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
	// gatherTime is how long a new steward that finds no group waits for more
	// endpoints before it deals them out.
	gatherTime = 600 * time.Millisecond
)

// domain is a fabric domain with the VMs that may be given to new groups.
type domain struct {
	service string
	name    string
	free    []*vm
	// loading counts VMs that load a model for later use.
	loading int
}

// formGroups deals free VMs out to new groups.
func (co *Core) formGroups(now time.Time) []Call {
	var calls []Call
	for _, service := range slices.Sorted(maps.Keys(co.services)) {
		en := co.services[service]
		doms := co.domains(service)
		if co.cold(service) {
			calls = append(calls, co.formFirst(service, en, doms, now)...)
			continue
		}
		co.dropVainPlans(service, en)
		calls = append(calls, co.formWarm(service, en, doms, now)...)
		calls = append(calls, co.startLoads(service, en, doms, now)...)
		co.rebalance(service, en, doms, now)
	}
	return calls
}

// cold tells whether the service has no group at all and nothing in memory.
func (co *Core) cold(service string) bool {
	for _, vm := range co.vms {
		if vm.ep.Service == service && (vm.last != "" || vm.ep.Member != nil || len(vm.ep.Staged) > 0) {
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

// domains returns the service's domains with their free VMs, by name.
func (co *Core) domains(service string) []*domain {
	promised := co.promised()
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
		if promised[id] || !co.free(vm) {
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

// free tells whether a VM may be given to a new group: it belongs to none, or
// only holds a model in memory for this very purpose.
func (co *Core) free(vm *vm) bool {
	if !vm.usable() || vm.busy || vm.failures > 0 {
		return false
	}
	mb := vm.ep.Member
	return mb == nil || isSpare(mb.Group)
}

// promised returns the VMs that planned groups count on and that have not
// joined them yet.
func (co *Core) promised() map[string]bool {
	promised := make(map[string]bool)
	for _, gr := range co.groups {
		if gr.doomed || gr.planned.IsZero() {
			continue
		}
		for _, id := range gr.members {
			if vm := co.vms[id]; vm != nil && !co.belongs(vm, gr) {
				promised[id] = true
			}
		}
	}
	return promised
}

// formFirst deals all VMs out when nothing is loaded anywhere.
func (co *Core) formFirst(service string, en *catalog.Engine, doms []*domain, now time.Time) []Call {
	for _, vm := range co.vms {
		if vm.ep.Service == service && !vm.known && !vm.down {
			return nil
		}
	}
	sizes := make([]int, len(doms))
	for i, do := range doms {
		sizes[i] = len(do.free)
		for _, vm := range do.free {
			if now.Sub(vm.idleSince) < gatherTime {
				return nil
			}
		}
	}
	var calls []Call
	for i, sp := range compose(sizes, co.weightedSizes(en)) {
		for mi, num := range sp {
			for range num / en.Models[mi].Size {
				calls = append(calls, co.form(service, en.Models[mi], doms[i], now)...)
			}
		}
		for mi, num := range sp {
			for range min(num%en.Models[mi].Size, len(doms[i].free)) {
				calls = append(calls, co.hold(service, en.Models[mi].Name, doms[i].free[0], now)...)
				doms[i].free = doms[i].free[1:]
			}
		}
	}
	return calls
}

// hold makes a free VM hold a model in memory.
func (co *Core) hold(service, model string, vm *vm, now time.Time) []Call {
	return co.stepSpare(co.plan(sparePrefix, service, model, []string{vm.ep.ID}, now), now)
}

// form takes the best VMs of a domain for a group of the model.
func (co *Core) form(service string, mo catalog.Model, do *domain, now time.Time) []Call {
	if len(do.free) < mo.Size {
		return nil
	}
	slices.SortStableFunc(do.free, func(one, other *vm) int {
		return cmp.Or(byWanted(one, other, mo.Name), cmp.Compare(co.joinTime(one, mo.Name), co.joinTime(other, mo.Name)), byID(one, other))
	})
	members := make([]string, mo.Size)
	loads := 0
	for i, vm := range do.free[:mo.Size] {
		members[i] = vm.ep.ID
		if !vm.has(mo.Name) {
			loads++
		}
	}
	if !co.InitialLoads && !co.loads.take(loads) {
		return nil
	}
	for _, vm := range do.free[:mo.Size] {
		vm.wanted = ""
	}
	do.free = do.free[mo.Size:]
	gr := co.plan(groupPrefix, service, mo.Name, members, now)
	co.note(Event{Kind: "group-formed", Group: gr.name, Model: mo.Name, Members: members})
	return co.rejoin(gr)
}

func (co *Core) plan(prefix, service, model string, members []string, now time.Time) *group {
	epoch := co.epoch()
	gr := &group{name: fmt.Sprintf("%s%d-%d", prefix, co.Term, co.made), epoch: epoch, service: service,
		model: model, members: members, planned: now, free: co.InitialLoads}
	co.groups[groupKey{gr.name, epoch}] = gr
	return gr
}

// formWarm forms groups from VMs that have the model at hand, the model that
// gains most first.
func (co *Core) formWarm(service string, en *catalog.Engine, doms []*domain, now time.Time) []Call {
	var calls []Call
	for {
		mi, do := co.bestGain(service, en, doms)
		if do == nil {
			return calls
		}
		formed := co.form(service, en.Models[mi], do, now)
		if formed == nil {
			return calls
		}
		calls = append(calls, formed...)
	}
}

// bestGain returns the model and domain of the most useful group that can be
// formed without a load.
func (co *Core) bestGain(service string, en *catalog.Engine, doms []*domain) (int, *domain) {
	weights, counts := co.weights(en), co.counts(service, en)
	best, bestGain, bestDom := -1, 0.0, (*domain)(nil)
	for mi, mo := range en.Models {
		gain := weights[mi] / float64(counts[mi]+1)
		if gain <= bestGain {
			continue
		}
		for _, do := range doms {
			if warm(do.free, mo.Name) >= mo.Size {
				best, bestGain, bestDom = mi, gain, do
				break
			}
		}
	}
	return best, bestDom
}

func warm(vms []*vm, model string) int {
	num := 0
	for _, vm := range vms {
		if vm.wanted == "" && vm.holding(model) || vm.wanted == model && vm.has(model) {
			num++
		}
	}
	return num
}

// byWanted puts VMs last that are meant for another model.
func byWanted(one, other *vm, model string) int {
	rank := func(vm *vm) int {
		if vm.wanted == "" || vm.wanted == model {
			return 0
		}
		return 1
	}
	return cmp.Compare(rank(one), rank(other))
}

// counts returns how many groups of each model serve or are about to.
func (co *Core) counts(service string, en *catalog.Engine) []int {
	counts := make([]int, len(en.Models))
	for _, gr := range co.groups {
		if gr.service != service || gr.spare() || gr.doomed || gr.unwanted {
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

// replaceable tells whether a free VM of the domain could take a member's
// place without a load.
func (co *Core) replaceable(member *vm, model string) bool {
	promised := co.promised()
	for _, id := range co.ids() {
		vm := co.vms[id]
		if vm.ep.Service == member.ep.Service && vm.ep.Domain == member.ep.Domain && !promised[id] && co.free(vm) &&
			vm.holding(model) {
			return true
		}
	}
	return false
}

// spareModel chooses the model that a free VM holds: one that is on its host,
// or the one that adds most to the balance, now and after losses.
func (co *Core) spareModel(service string, en *catalog.Engine, do *domain, vm *vm) string {
	if len(vm.ep.Staged) > 0 {
		return vm.ep.Staged[0]
	}
	plan := co.splits(service, en)
	ba, now := newBalance(slices.Collect(maps.Values(plan)), co.weightedSizes(en)), plan[do.name]
	best, bestValue := "", 0.0
	for mi, mo := range en.Models {
		then := slices.Clone(now)
		then[mi]++
		if va := ba.valueWith(now, then); best == "" || va > bestValue {
			best, bestValue = mo.Name, va
		}
	}
	return best
}

// splits returns what the VMs of each domain hold, by its name.
func (co *Core) splits(service string, en *catalog.Engine) map[string]split {
	plan := make(map[string]split)
	planned := co.plannedModels()
	for _, id := range co.ids() {
		vm := co.vms[id]
		if vm.ep.Service != service || vm.down {
			continue
		}
		sp, ok := plan[vm.ep.Domain]
		if !ok {
			sp = make(split, len(en.Models))
			plan[vm.ep.Domain] = sp
		}
		model, ok := planned[id]
		if !ok {
			model = vm.last
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
