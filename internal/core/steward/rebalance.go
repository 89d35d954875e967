package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// rebalanceHorizon is how long a split is expected to remain in use. The cost of a change
	// while VMs load is weighed against its gain in the rest of that time.
	rebalanceHorizon = 30 * time.Second
	// minRebalanceGain is the smallest fraction of the congestion that a change must remove,
	// so that the split converges.
	minRebalanceGain = 0.15
	// highUtilization is the utilization from which a model needs more groups. A model that
	// releases groups must stay below it with one group fewer than it keeps.
	highUtilization = 0.75
	// rebalanceCooldown is the minimum time between two changes, so that the effect of one is
	// measured before the next. rebalanceInterval is the time between checks.
	rebalanceCooldown = 2 * time.Second
	rebalanceInterval = 400 * time.Millisecond
	// maxUtilization caps a model's utilization, so that the value is finite for a model
	// without any group.
	maxUtilization = 4
)

// exchange is a change of the split in one domain: groups of one model are released and their
// VMs form groups of another model.
type exchange struct {
	do       *domain
	to       catalog.Model
	released []*group
	// added are available VMs that the new groups need in addition.
	added []*vm
	// gain is the expected reduction of the congestion, averaged over rebalanceHorizon.
	gain float64
}

// rebalance exchanges groups of one model for groups of another whose groups are far busier,
// above all for a model that has lost its last group.
func (co *Core) rebalance(service string, en *catalog.Engine, doms []*domain, now time.Time) {
	if now.Before(co.rebalanceAt) {
		return
	}
	co.rebalanceAt = now.Add(rebalanceInterval)
	co.updateWeightSource(en, now)
	co.exchangeLoading(service, en, doms, now)
}

// exchangeLoading makes the exchange with the largest gain, whose VMs load the other model while
// they do not serve.
func (co *Core) exchangeLoading(service string, en *catalog.Engine, doms []*domain, now time.Time) {
	ex := co.bestExchange(service, en, doms)
	if ex == nil {
		return
	}
	co.rebalanceAt = now.Add(rebalanceCooldown)
	for _, vm := range ex.added {
		vm.targetModel = ex.to.Name
	}
	for _, gr := range ex.released {
		gr.reassigned = true
		co.recordEvent(Event{Kind: "group-rebalanced", Group: gr.name, Model: gr.model, Members: gr.members, Reason: "for " + ex.to.Name})
		for _, id := range gr.members {
			co.vms[id].targetModel = ex.to.Name
		}
	}
}

// updateWeightSource decides whether model weights follow the measured demand instead of the
// configured shares. They do once the configured shares prove wrong, and for measuredHoldTime
// afterwards.
func (co *Core) updateWeightSource(en *catalog.Engine, now time.Time) {
	if co.hasMeasuredDemand(en) && mismatch(measuredWeights(en, co.busy(en)), configuredWeights(en)) >= mismatchThreshold {
		co.demand.useMeasuredUntil = now.Add(measuredHoldTime)
	}
	co.demand.useMeasured = now.Before(co.demand.useMeasuredUntil)
}

const (
	// measuredHoldTime is how long the measured weights stay in use after they were last
	// needed.
	measuredHoldTime = time.Minute
	// mismatchThreshold is the factor by which a model's measured weight must differ from the
	// configured one. A change costs loads, and losses unbalance the groups by more than a
	// small error in the weights does.
	mismatchThreshold = 1.8
)

// mismatch returns the largest factor by which a model's fraction of the total differs between
// two sets of weights.
func mismatch(one, other []float64) float64 {
	sumOne, sumOther, most := 0.0, 0.0, 1.0
	for mi := range one {
		sumOne += one[mi]
		sumOther += other[mi]
	}
	for mi := range one {
		ratio := one[mi] / sumOne / (other[mi] / sumOther)
		most = max(most, ratio, 1/ratio)
	}
	return most
}

// bestExchange returns the exchange with the largest gain, or nil if none gains enough.
func (co *Core) bestExchange(service string, en *catalog.Engine, doms []*domain) *exchange {
	su := co.utilizationOf(service, en)
	before := su.congestion(nil)
	var best *exchange
	for to, mo := range en.Models {
		needed := su.groups[to] == 0 || !en.StagesModels() && co.demand.useMeasured && su.utilization(to, su.groups[to]) >= highUtilization
		if !needed || co.exchangeInProgress(service, mo.Name) {
			continue
		}
		for from := range en.Models {
			if from == to || su.groups[from] < 2 {
				continue
			}
			byDomain := co.completeGroups(service, en.Models[from].Name)
			for _, do := range doms {
				ex := co.bestExchangeIn(en, su, do, to, from, byDomain[do.name])
				if ex != nil && ex.gain > minRebalanceGain*before && (best == nil || ex.gain > best.gain) {
					best = ex
				}
			}
		}
	}
	return best
}

// bestExchangeIn returns the exchange of groups of one model for another that gains most in a
// domain, or nil if none is possible.
func (co *Core) bestExchangeIn(en *catalog.Engine, su serviceUtilization, do *domain, to, from int, groups []*group) *exchange {
	size := en.Models[to].Size
	free := usableFor(do, en.Models[to].Name)
	room := en.LoadsAtOnce - co.loadsInFlight(do.service) - co.pendingLoads(do.service)
	most := min(len(groups), (size+en.Models[from].Size-1)/en.Models[from].Size, int(su.groups[from])-1)
	var best *exchange
	for num := 1; num <= most; num++ {
		releasedVMs := num * en.Models[from].Size
		formed := (releasedVMs + len(free)) / size
		if formed == 0 {
			continue
		}
		ex := &exchange{do: do, to: en.Models[to], released: groups[:num], added: free[:max(0, formed*size-releasedVMs)]}
		affordable := su.groups[to] == 0 || su.utilization(from, su.groups[from]-float64(num+1)) < highUtilization
		if !affordable || co.loadsOf(ex) > room {
			continue
		}
		during, after := make([]float64, len(en.Models)), make([]float64, len(en.Models))
		during[from], after[from], after[to] = float64(-num), float64(-num), float64(formed)
		part := min(1, co.exchangeTime(en, ex).Seconds()/rebalanceHorizon.Seconds())
		ex.gain = su.congestion(nil) - part*su.congestion(during) - (1-part)*su.congestion(after)
		if best == nil || ex.gain > best.gain {
			best = ex
		}
	}
	return best
}

// usableFor returns the domain's available VMs that may join a new group of the model, sorted
// so that VMs that hold it come first.
func usableFor(do *domain, model string) []*vm {
	var free []*vm
	for _, vm := range do.free {
		if vm.targetModel == "" || vm.targetModel == model {
			free = append(free, vm)
		}
	}
	slices.SortStableFunc(free, func(one, other *vm) int {
		switch {
		case one.holdsModel(model) == other.holdsModel(model):
			return byID(one, other)
		case one.holdsModel(model):
			return -1
		}
		return 1
	})
	return free
}

// vmsOf returns all VMs that an exchange involves.
func (co *Core) vmsOf(ex *exchange) []*vm {
	vms := slices.Clone(ex.added)
	for _, gr := range ex.released {
		for _, id := range gr.members {
			vms = append(vms, co.vms[id])
		}
	}
	return vms
}

// loadsOf returns the number of an exchange's VMs that have to fetch weights.
func (co *Core) loadsOf(ex *exchange) int {
	loads := 0
	for _, vm := range co.vmsOf(ex) {
		if !vm.hasWeights(ex.to.Name) {
			loads++
		}
	}
	return loads
}

// pendingLoads counts the VMs that are reserved for another model and have not fetched its weights
// yet.
func (co *Core) pendingLoads(service string) int {
	num := 0
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.targetModel != "" && !vm.down && !vm.hasWeights(vm.targetModel) {
			num++
		}
	}
	return num
}

// exchangeTime returns how long the VMs of an exchange do not serve.
func (co *Core) exchangeTime(en *catalog.Engine, ex *exchange) time.Duration {
	longest := time.Duration(0)
	for _, vm := range co.vmsOf(ex) {
		longest = max(longest, co.joinTime(vm, ex.to.Name))
	}
	return longest + en.FormTime + typicalDrainTime
}

// typicalDrainTime is how long a group usually takes to finish its requests.
const typicalDrainTime = 1500 * time.Millisecond

// serviceUtilization is the demand on and the number of groups of each model of a service.
type serviceUtilization struct {
	// busy is the demand in groups, groups the number of groups, both by model index.
	busy, groups []float64
}

// utilizationOf returns the utilization of a service's groups. Groups that VMs are loading for
// count as existing.
func (co *Core) utilizationOf(service string, en *catalog.Engine) serviceUtilization {
	su := serviceUtilization{busy: co.busy(en)}
	for _, num := range co.counts(service, en) {
		su.groups = append(su.groups, float64(num))
	}
	held := co.heldOrLoading(service)
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.targetModel != "" && vm.usable() && !co.evacuated(vm) {
			held[domainModel{vm.ep.Domain, vm.targetModel}]++
		}
	}
	for dm, num := range held {
		for mi, mo := range en.Models {
			if mo.Name == dm.model {
				su.groups[mi] += float64(num / mo.Size)
			}
		}
	}
	return su
}

// utilization returns the utilization of a model's groups if there were the given number of
// them, capped at maxUtilization.
func (su serviceUtilization) utilization(mi int, groups float64) float64 {
	if su.busy[mi] >= maxUtilization*groups {
		return maxUtilization
	}
	return su.busy[mi] / groups
}

// congestion returns the cost of busy groups to requests, if the numbers of groups changed by
// the given amounts. It is the demand times the fourth power of the utilization, which rises
// steeply as slots run out.
func (su serviceUtilization) congestion(change []float64) float64 {
	sum := 0.0
	for mi := range su.busy {
		groups := su.groups[mi]
		if change != nil {
			groups += change[mi]
		}
		utilization := su.utilization(mi, groups)
		sum += su.busy[mi] * utilization * utilization * utilization * utilization
	}
	return sum
}

// dropInfeasibleTargets releases VMs that are reserved for a model when their domain can no
// longer form another group of it, because one of them died, leaves, is slow or already serves. They
// would otherwise stay idle forever.
func (co *Core) dropInfeasibleTargets(service string, en *catalog.Engine) {
	needed, held := make(map[domainModel]int), co.heldOrLoading(service)
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.targetModel != "" && !vm.down && !vm.ep.Leaving && !vm.ep.Slow() {
			needed[domainModel{vm.ep.Domain, vm.targetModel}]++
		}
	}
	for _, vm := range co.vms {
		dm := domainModel{vm.ep.Domain, vm.targetModel}
		if mo, ok := en.Model(vm.targetModel); ok && needed[dm]+held[dm] < mo.Size {
			vm.targetModel = ""
		}
	}
}

// exchangeInProgress reports whether groups are being drained to make room for the model.
func (co *Core) exchangeInProgress(service, model string) bool {
	for _, gr := range co.groups {
		if gr.service == service && gr.reassigned && !gr.dissolving && co.vms[gr.members[0]] != nil && co.vms[gr.members[0]].targetModel == model {
			return true
		}
	}
	return false
}

// completeGroups returns the complete groups of a model, by domain name.
func (co *Core) completeGroups(service, model string) map[string][]*group {
	groups := make(map[string][]*group)
	for _, ke := range co.keys() {
		gr := co.groups[ke]
		if gr.service == service && gr.model == model && !gr.spare() && !gr.outOfUse() && !gr.reassigned && !co.groupEvacuated(gr) && co.complete(gr) {
			domain := co.vms[gr.members[0]].ep.Domain
			groups[domain] = append(groups[domain], gr)
		}
	}
	return groups
}
