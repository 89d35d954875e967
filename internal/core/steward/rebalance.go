package steward

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// rebalanceGain is how many times more a group must be worth to the model
	// that gets it than the groups given up for it are to theirs. A load takes 12 to 16 s, in
	// which the group serves nobody, so small differences don't pay.
	rebalanceGain = 2.5
	// rebalancePause is the time between two changes, so that the effect of one
	// is seen before the next.
	rebalancePause = 8 * time.Second
)

// rebalance gives groups of one model up for another that lacks them far more,
// above all one that has lost its last group.
func (co *Core) rebalance(service string, en *catalog.Engine, doms []*domain, now time.Time) {
	if now.Sub(co.rebalanced) < rebalancePause {
		return
	}
	to, from, ratio := co.neediest(service, en)
	if to < 0 || from < 0 {
		return
	}
	do, groups := co.cheapest(service, doms, en.Models[to], en.Models[from].Name)
	if do == nil || ratio < rebalanceGain*float64(len(groups)) {
		return
	}
	co.rebalanced = now
	for _, vm := range do.free {
		vm.wanted = en.Models[to].Name
	}
	for _, gr := range groups {
		gr.unwanted = true
		co.note(Event{What: "group-rebalanced", Group: gr.name, Model: gr.model, Members: gr.members, Reason: "for " + en.Models[to].Name})
		for _, id := range gr.members {
			co.vms[id].wanted = en.Models[to].Name
		}
	}
}

// dropVainPlans frees VMs that were set aside for a model of which their domain can't
// have another group any more: one of them died, or serves already. They would else
// stand idle for good.
func (co *Core) dropVainPlans(service string, en *catalog.Engine) {
	wanted, held := make(map[holding]int), co.heldOrLoading(service)
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.wanted != "" && !vm.down {
			wanted[holding{vm.ep.Domain, vm.wanted}]++
		}
	}
	for _, vm := range co.vms {
		ho := holding{vm.ep.Domain, vm.wanted}
		if mo, ok := en.Model(vm.wanted); ok && wanted[ho]+held[ho] < mo.Size {
			vm.wanted = ""
		}
	}
}

// neediest returns the model that gains most by a group, the one that loses
// least by giving one up, and the ratio of the gain to the loss; -1 where there
// is none.
func (co *Core) neediest(service string, en *catalog.Engine) (to, from int, ratio float64) {
	weights, counts := co.weights(en), co.counts(service, en)
	to, from = -1, -1
	gain := func(mi int) float64 {
		if counts[mi] == 0 {
			// Its requests are not served at all.
			return weights[mi] / emptyGroups
		}
		return weights[mi] / float64(counts[mi]+1)
	}
	loss := func(mi int) float64 { return weights[mi] / float64(counts[mi]) }
	for mi, mo := range en.Models {
		if co.loadingFor(service, mo.Name) {
			// Help is on its way already.
			continue
		}
		if to < 0 || gain(mi) > gain(to) {
			to = mi
		}
	}
	for mi := range en.Models {
		if mi != to && counts[mi] > 1 && (from < 0 || loss(mi) < loss(from)) {
			from = mi
		}
	}
	if to < 0 || from < 0 {
		return -1, -1, 0
	}
	return to, from, gain(to) / loss(from)
}

// loadingFor tells whether VMs are loading the model or are meant for it.
func (co *Core) loadingFor(service, model string) bool {
	for _, vm := range co.vms {
		if vm.ep.Service != service || vm.down {
			continue
		}
		mb := vm.ep.Member
		if vm.wanted == model || mb != nil && mb.State == catalog.Joining && vm.last == model {
			return true
		}
	}
	return false
}

// cheapest returns the domain in which the fewest groups have to be given up
// for one of the model, and these groups.
func (co *Core) cheapest(service string, doms []*domain, mo catalog.Model, from string) (*domain, []*group) {
	var bestDom *domain
	var best []*group
	byDomain := co.wholeGroups(service, from)
	for _, do := range doms {
		num := len(do.free)
		var groups []*group
		for _, gr := range byDomain[do.name] {
			if num >= mo.Size {
				break
			}
			groups = append(groups, gr)
			num += len(gr.members)
		}
		if num >= mo.Size && (bestDom == nil || len(groups) < len(best)) {
			bestDom, best = do, groups
		}
	}
	return bestDom, best
}

// wholeGroups returns the whole groups of a model by their domain.
func (co *Core) wholeGroups(service, model string) map[string][]*group {
	groups := make(map[string][]*group)
	for _, ke := range co.keys() {
		gr := co.groups[ke]
		if gr.service == service && gr.model == model && !gr.spare() && !gr.doomed && co.complete(gr) {
			domain := co.vms[gr.members[0]].ep.Domain
			groups[domain] = append(groups[domain], gr)
		}
	}
	return groups
}
