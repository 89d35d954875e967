package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// rebalanceHorizon is how long a split is expected to serve. What a change costs while
	// VMs load is weighed against what it gains in the rest of that time.
	rebalanceHorizon = 30 * time.Second
	// rebalanceGain is the least part of the strain that a change takes away, so that
	// the split settles.
	rebalanceGain = 0.15
	// rebalanceBusy is the utilization from which a model's groups need help. Those that give
	// up groups must stay below it with one group less.
	rebalanceBusy = 0.75
	// rebalancePause is the time between two changes, so that the effect of one
	// is seen before the next. rebalanceCheck is the time between looks.
	rebalancePause = 2 * time.Second
	rebalanceCheck = 400 * time.Millisecond
	// maxUse bounds a model's utilization, so that one without any group compares.
	maxUse = 4
)

// exchange is a change of the split in one domain: groups of one model are given up
// for others of another model.
type exchange struct {
	do    *domain
	to    catalog.Model
	given []*group
	// taken are free VMs that the new groups need besides.
	taken []*vm
	gain  float64
}

// rebalance gives groups of one model up for another whose groups are far busier, above
// all one that has lost its last group.
func (co *Core) rebalance(service string, en *catalog.Engine, doms []*domain, now time.Time) {
	if now.Before(co.rebalanceAt) {
		return
	}
	co.rebalanceAt = now.Add(rebalanceCheck)
	co.followWork(en, now)
	ex := co.bestExchange(service, en, doms)
	if ex == nil {
		return
	}
	co.rebalanceAt = now.Add(rebalancePause)
	for _, vm := range ex.taken {
		vm.wanted = ex.to.Name
	}
	for _, gr := range ex.given {
		gr.unwanted = true
		co.note(Event{Kind: "group-rebalanced", Group: gr.name, Model: gr.model, Members: gr.members, Reason: "for " + ex.to.Name})
		for _, id := range gr.members {
			co.vms[id].wanted = ex.to.Name
		}
	}
}

// followWork decides whether the models' parts are those that were measured: from when the
// stated ones were seen to be wrong, and for some time after that.
func (co *Core) followWork(en *catalog.Engine, now time.Time) {
	if co.measured(en) && mismatch(measuredWeights(en, co.busy(en)), statedWeights(en)) >= wrongTimes {
		co.work.followUntil = now.Add(followSpan)
	}
	co.work.follow = now.Before(co.work.followUntil)
}

const (
	// followSpan is how long the measured parts hold once they were needed.
	followSpan = time.Minute
	// wrongTimes is by how many times a model's measured part must differ from the stated
	// one: a change costs loads, and losses unbalance the groups by more than a small error.
	wrongTimes = 1.8
)

// mismatch is by how many times two splits differ, for the model for which they differ most.
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

// bestExchange returns the exchange that gains most; nil if none gains enough.
func (co *Core) bestExchange(service string, en *catalog.Engine, doms []*domain) *exchange {
	lo := co.loadOf(service, en)
	before := lo.strain(nil)
	var best *exchange
	for to, mo := range en.Models {
		wanted := lo.groups[to] == 0 || co.work.follow && lo.use(to, lo.groups[to]) >= rebalanceBusy
		if !wanted || co.exchanging(service, mo.Name) {
			continue
		}
		for from := range en.Models {
			if from == to || lo.groups[from] < 2 {
				continue
			}
			byDomain := co.wholeGroups(service, en.Models[from].Name)
			for _, do := range doms {
				ex := co.bestIn(en, lo, do, to, from, byDomain[do.name])
				if ex != nil && ex.gain > rebalanceGain*before && (best == nil || ex.gain > best.gain) {
					best = ex
				}
			}
		}
	}
	return best
}

// bestIn returns the exchange of groups of one model for another that gains most in a
// domain; nil if none is possible.
func (co *Core) bestIn(en *catalog.Engine, lo modelLoad, do *domain, to, from int, groups []*group) *exchange {
	size := en.Models[to].Size
	free := usableFor(do, en.Models[to].Name)
	room := en.LoadsAtOnce - co.loadsUnderWay(do.service) - co.loadsDue(do.service)
	most := min(len(groups), (size+en.Models[from].Size-1)/en.Models[from].Size, int(lo.groups[from])-1)
	var best *exchange
	for num := 1; num <= most; num++ {
		given := num * en.Models[from].Size
		formed := (given + len(free)) / size
		if formed == 0 {
			continue
		}
		ex := &exchange{do: do, to: en.Models[to], given: groups[:num], taken: free[:max(0, formed*size-given)]}
		spared := lo.groups[to] == 0 || lo.use(from, lo.groups[from]-float64(num+1)) < rebalanceBusy
		if !spared || co.loadsOf(ex) > room {
			continue
		}
		during, after := make([]float64, len(en.Models)), make([]float64, len(en.Models))
		during[from], after[from], after[to] = float64(-num), float64(-num), float64(formed)
		part := min(1, co.exchangeTime(en, ex).Seconds()/rebalanceHorizon.Seconds())
		ex.gain = lo.strain(nil) - part*lo.strain(during) - (1-part)*lo.strain(after)
		if best == nil || ex.gain > best.gain {
			best = ex
		}
	}
	return best
}

// usableFor returns the domain's free VMs that may become members of a new group of the
// model, those first that hold it.
func usableFor(do *domain, model string) []*vm {
	var free []*vm
	for _, vm := range do.free {
		if vm.wanted == "" || vm.wanted == model {
			free = append(free, vm)
		}
	}
	slices.SortStableFunc(free, func(one, other *vm) int {
		switch {
		case one.holding(model) == other.holding(model):
			return byID(one, other)
		case one.holding(model):
			return -1
		}
		return 1
	})
	return free
}

// vmsOf returns the VMs of an exchange.
func (co *Core) vmsOf(ex *exchange) []*vm {
	vms := slices.Clone(ex.taken)
	for _, gr := range ex.given {
		for _, id := range gr.members {
			vms = append(vms, co.vms[id])
		}
	}
	return vms
}

// loadsOf is how many of an exchange's VMs have to fetch weights.
func (co *Core) loadsOf(ex *exchange) int {
	loads := 0
	for _, vm := range co.vmsOf(ex) {
		if !vm.has(ex.to.Name) {
			loads++
		}
	}
	return loads
}

// loadsDue counts the VMs that were given up for another model and have still to fetch it.
func (co *Core) loadsDue(service string) int {
	num := 0
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.wanted != "" && !vm.down && !vm.has(vm.wanted) {
			num++
		}
	}
	return num
}

// exchangeTime is how long the VMs of an exchange serve nobody.
func (co *Core) exchangeTime(en *catalog.Engine, ex *exchange) time.Duration {
	longest := time.Duration(0)
	for _, vm := range co.vmsOf(ex) {
		longest = max(longest, co.joinTime(vm, ex.to.Name))
	}
	return longest + en.FormTime + exchangeRetire
}

// exchangeRetire is how long a group usually takes to finish its requests.
const exchangeRetire = 1500 * time.Millisecond

// modelLoad is how busy the models' groups are.
type modelLoad struct {
	// busy is the work in groups, groups how many there are, by model.
	busy, groups []float64
}

// loadOf returns how busy a service's groups are, with those that VMs load for now.
func (co *Core) loadOf(service string, en *catalog.Engine) modelLoad {
	lo := modelLoad{busy: co.busy(en)}
	for _, num := range co.counts(service, en) {
		lo.groups = append(lo.groups, float64(num))
	}
	held := co.heldOrLoading(service)
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.wanted != "" && vm.usable() {
			held[holding{vm.ep.Domain, vm.wanted}]++
		}
	}
	for ho, num := range held {
		for mi, mo := range en.Models {
			if mo.Name == ho.model {
				lo.groups[mi] += float64(num / mo.Size)
			}
		}
	}
	return lo
}

// use is the utilization of a model's groups if there were that many.
func (lo modelLoad) use(mi int, groups float64) float64 {
	if lo.busy[mi] >= maxUse*groups {
		return maxUse
	}
	return lo.busy[mi] / groups
}

// strain is how much the models' requests suffer from busy groups, if the numbers of
// groups were changed by so many. It grows steeply where slots run out.
func (lo modelLoad) strain(change []float64) float64 {
	sum := 0.0
	for mi := range lo.busy {
		groups := lo.groups[mi]
		if change != nil {
			groups += change[mi]
		}
		use := lo.use(mi, groups)
		sum += lo.busy[mi] * use * use * use * use
	}
	return sum
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

// exchanging tells whether groups are finishing their work for the model.
func (co *Core) exchanging(service, model string) bool {
	for _, gr := range co.groups {
		if gr.service == service && gr.unwanted && !gr.doomed && co.vms[gr.members[0]] != nil && co.vms[gr.members[0]].wanted == model {
			return true
		}
	}
	return false
}

// wholeGroups returns the whole groups of a model by their domain.
func (co *Core) wholeGroups(service, model string) map[string][]*group {
	groups := make(map[string][]*group)
	for _, ke := range co.keys() {
		gr := co.groups[ke]
		if gr.service == service && gr.model == model && !gr.spare() && !gr.doomed && !gr.unwanted && co.complete(gr) {
			domain := co.vms[gr.members[0]].ep.Domain
			groups[domain] = append(groups[domain], gr)
		}
	}
	return groups
}
