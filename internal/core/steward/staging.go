package steward

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// stagedShare is the share of the VMs whose hosts may hold another model than the one that
	// they serve. After a restart such a VM loads the staged model and not that of its group, so
	// most VMs keep the latter.
	stagedShare = 1.0 / 3
	// stagingLoadShare is the share of LoadsAtOnce that staging may use. The rest is left to
	// repairs.
	stagingLoadShare = 0.6
	// stagingInterval is the time between checks of what to stage.
	stagingInterval = 200 * time.Millisecond
	// stagePollInterval is the time between polls of a VM whose model should be staged by now.
	stagePollInterval = 250 * time.Millisecond
	// stageMargin is added to one and a half times the expected duration of a stage order before
	// the order counts as failed: it may be carried out late, and loads beyond LoadsAtOnce are slow.
	stageMargin = 2 * time.Second
	// maxStageFailures is how many orders to stage a model a VM is sent in vain. stageRetryWait is
	// the wait after the first failure, which doubles with each further one.
	maxStageFailures = 3
	stageRetryWait   = time.Second
)

// stageOrder is an order to stage a model that is under way. It may not have been accepted.
type stageOrder struct {
	model string
	// takes is the expected duration. initial is set if the order does not count as a load.
	takes   time.Duration
	initial bool
	// dueAt is when the model is expected on the host, failsAt when the order counts as failed.
	dueAt, failsAt time.Time
}

// startBy sets the times of an order that is carried out from now on.
func (so *stageOrder) startBy(now time.Time) {
	so.dueAt = now.Add(so.takes + lagMargin)
	so.failsAt = now.Add(so.takes*3/2 + stageMargin)
}

// failStage records that the stage order under way had no effect.
func (vm *vm) failStage(now time.Time) {
	if vm.stage == nil {
		return
	}
	vm.stage = nil
	vm.stageRetryAt = now.Add(stageRetryWait << min(vm.stageFailures, maxDoublings))
	vm.stageFailures++
}

// inMemory reports whether the VM has reported its last model as loaded, although its host holds
// another one by now. It applies only where models are staged.
func (co *Core) inMemory(vm *vm) bool {
	en := co.services[vm.ep.Service]
	return en != nil && en.StagesModels() && vm.lastModel != "" && vm.memoryModel == vm.lastModel
}

// hasOtherStaged reports whether the VM serves one model and its host holds another.
func (vm *vm) hasOtherStaged() bool {
	mb := vm.ep.Member
	return mb != nil && !isSpare(mb.Group) && slices.ContainsFunc(vm.ep.Staged, func(model string) bool { return model != vm.lastModel })
}

// stageLoads counts the stage orders under way that use the weight store.
func (co *Core) stageLoads(service string) int {
	num := 0
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.stage != nil && !vm.stage.initial && !vm.down {
			num++
		}
	}
	return num
}

// settleStages ends the stage orders whose model a VM reports as staged and those that failed.
func (co *Core) settleStages(service string, now time.Time) {
	for _, id := range co.ids() {
		vm := co.vms[id]
		so := vm.stage
		if so == nil || vm.ep.Service != service || vm.orderPending {
			continue
		}
		switch {
		case vm.reported && vm.ep.HasStaged(so.model):
			vm.stage, vm.stageFailures = nil, 0
			co.recordEvent(Event{Kind: "vm-staged", VM: id, Model: so.model})
		case now.After(so.failsAt):
			vm.failStage(now)
			co.recordEvent(Event{Kind: "stage-failed", VM: id, Model: so.model, Reason: fmt.Sprintf("not reported as staged, attempt %d", vm.stageFailures)})
		case !now.Before(so.dueAt):
			if vm.pollAt.IsZero() && !vm.polling {
				vm.pollBy(now.Add(stagePollInterval))
			}
		}
	}
}

// stageBlock is a number of whole groups of one model in one domain whose VMs suffice for whole
// groups of another model.
type stageBlock struct {
	domain   string
	from, to int
	groups   []*group
	// vms are the members, have is how many of them have the other model on their host or are
	// staging it. held counts available VMs of the domain that hold the other model and complete a
	// group of it; only blocks without groups use them.
	vms        []*vm
	have, held int
}

// staged reports whether all VMs of the block report the other model as staged.
func (bl *stageBlock) staged(model string) bool {
	return !slices.ContainsFunc(bl.vms, func(vm *vm) bool { return vm.stage != nil || !vm.ep.HasStaged(model) })
}

// blockGroups returns how many groups of one size make up for a group of another.
func blockGroups(from, to int) int { return (to + from - 1) / max(1, from) }

// stageBlocks divides the serving groups of a model into blocks for another model. Groups whose
// VMs have that model already come first in each domain.
func (co *Core) stageBlocks(service string, en *catalog.Engine, from, to int, now time.Time) []*stageBlock {
	model := en.Models[to].Name
	have := func(gr *group) int {
		num := 0
		for _, id := range gr.members {
			if vm := co.vms[id]; vm.ep.HasStaged(model) || vm.stage != nil && vm.stage.model == model {
				num++
			}
		}
		return num
	}
	byDomain := make(map[string][]*group)
	for name, groups := range co.completeGroups(service, en.Models[from].Name) {
		byDomain[name] = slices.DeleteFunc(groups, func(gr *group) bool { return !co.serves(gr, now) })
	}
	var blocks []*stageBlock
	num := blockGroups(en.Models[from].Size, en.Models[to].Size)
	for name, groups := range byDomain {
		slices.SortStableFunc(groups, func(one, other *group) int { return cmp.Compare(have(other), have(one)) })
		for ; len(groups) >= num; groups = groups[num:] {
			bl := &stageBlock{domain: name, from: from, to: to, groups: groups[:num]}
			for _, gr := range bl.groups {
				bl.have += have(gr)
				for _, id := range gr.members {
					bl.vms = append(bl.vms, co.vms[id])
				}
			}
			blocks = append(blocks, bl)
		}
	}
	slices.SortFunc(blocks, func(one, other *stageBlock) int {
		return cmp.Or(cmp.Compare(other.have, one.have), cmp.Compare(one.domain, other.domain), cmp.Compare(one.groups[0].name, other.groups[0].name))
	})
	return blocks
}

// stageModels settles the stage orders under way and, before the first request, orders the plan of
// the start. The plan follows from what VMs report, so a new steward continues it.
func (co *Core) stageModels(service string, en *catalog.Engine, now time.Time) []Call {
	co.settleStages(service, now)
	st := co.exchangeStateOf(service)
	if !co.InitialLoads || now.Before(st.stageAt) || !co.allServing(service) {
		return nil
	}
	st.stageAt = now.Add(stagingInterval)
	var calls []Call
	for _, bl := range co.initialPlan(service, en, now) {
		calls = append(calls, co.orderStages(bl, en, len(bl.vms), "before the first request", now)...)
	}
	return calls
}

// allServing reports whether the service's groups have been formed and all of them serve.
func (co *Core) allServing(service string) bool {
	num := 0
	for _, gr := range co.groups {
		if gr.service != service || gr.spare() || co.groupEvacuated(gr) {
			continue
		}
		if gr.outOfUse() || !co.complete(gr) || co.vms[gr.members[0]].ep.Member.State != catalog.Open {
			return false
		}
		num++
	}
	return num > 0
}

// initialPlan chooses the blocks whose VMs stage another model before the first request. It takes
// them in turn for each pair of models, in domains with as few staged VMs as possible, so that
// exchanges are possible in each direction.
func (co *Core) initialPlan(service string, en *catalog.Engine, now time.Time) []*stageBlock {
	budget := 0
	for _, vm := range co.vms {
		if vm.ep.Service == service && !vm.down && !co.evacuated(vm) {
			budget++
		}
	}
	budget = int(float64(budget) * stagedShare)
	var byPair [][]*stageBlock
	for from := range en.Models {
		for to := range en.Models {
			if from != to {
				byPair = append(byPair, stageable(co.stageBlocks(service, en, from, to, now)))
			}
		}
	}
	var plan []*stageBlock
	inDomain, taken := make(map[string]int), make(map[*group]bool)
	for added := true; added; {
		added = false
		for pi, blocks := range byPair {
			bl := nextBlock(blocks, inDomain, taken)
			if bl == nil || len(bl.vms) > budget {
				byPair[pi] = nil
				continue
			}
			added = true
			budget -= len(bl.vms)
			inDomain[bl.domain] += len(bl.vms)
			for _, gr := range bl.groups {
				taken[gr] = true
			}
			plan = append(plan, bl)
		}
	}
	return plan
}

// stageable removes the blocks with a VM that leaves, is slow or has failed to stage a model too often.
func stageable(blocks []*stageBlock) []*stageBlock {
	return slices.DeleteFunc(blocks, func(bl *stageBlock) bool {
		return slices.ContainsFunc(bl.vms, func(vm *vm) bool { return vm.stageFailures >= maxStageFailures || vm.ep.Leaving || vm.ep.Slow() })
	})
}

// nextBlock returns the best block that shares no group with those taken: one that has staged VMs
// already, or else one in the domain with the fewest staged VMs. It returns nil once half of the
// blocks are taken: the other groups keep the copy that a restart needs.
func nextBlock(blocks []*stageBlock, inDomain map[string]int, taken map[*group]bool) *stageBlock {
	num := 0
	for _, bl := range blocks {
		if taken[bl.groups[0]] {
			num++
		}
	}
	if num >= len(blocks)/2 {
		return nil
	}
	var best *stageBlock
	for _, bl := range blocks {
		if slices.ContainsFunc(bl.groups, func(gr *group) bool { return taken[gr] }) {
			continue
		}
		if best == nil || bl.have == best.have && inDomain[bl.domain] < inDomain[best.domain] || bl.have > best.have {
			best = bl
		}
	}
	return best
}

// stageForDemand stages a model that is short of groups on the VMs of a block of another model,
// which keeps serving meanwhile.
func (co *Core) stageForDemand(service string, en *catalog.Engine, su serviceUtilization, serving []float64, now time.Time) []Call {
	if co.InitialLoads {
		return nil
	}
	st := co.exchangeStateOf(service)
	room := min(stagingRoom(en)-co.stageLoads(service), en.LoadsAtOnce-co.loadsInFlight(service)-co.pendingLoads(service)-co.stageLoads(service))
	if room <= 0 || co.exchangeUnderWay(service) {
		return nil
	}
	bl, plan := co.bestBlockToStage(service, en, su, serving, now)
	if bl == nil {
		return nil
	}
	model := en.Models[bl.to].Name
	if st.stagedTo != "" && st.stagedTo != model && now.Sub(st.stagedAt) < reversalTime {
		return nil
	}
	calls := co.orderStages(bl, en, room, plan.describe(en, su)+co.demand.describe(now), now)
	if len(calls) > 0 {
		st.stagedTo, st.stagedAt = model, now
	}
	return calls
}

// stagingRoom returns the number of loads that staging may have in progress.
func stagingRoom(en *catalog.Engine) int { return int(stagingLoadShare * float64(en.LoadsAtOnce)) }

// bestBlockToStage returns the block whose exchange gains most although its VMs have to load the
// other model first. Blocks with staged VMs come first, so one block is completed before the next.
func (co *Core) bestBlockToStage(service string, en *catalog.Engine, su serviceUtilization, serving []float64, now time.Time) (*stageBlock, *exchangePlan) {
	var best *stageBlock
	var bestPlan *exchangePlan
	for to, mo := range en.Models {
		if su.utilization(to, su.groups[to]) < exchangeUtilization {
			continue
		}
		for from := range en.Models {
			if from == to || serving[from] < 2 {
				continue
			}
			blocks := slices.DeleteFunc(stageable(co.stageBlocks(service, en, from, to, now)), func(bl *stageBlock) bool { return bl.staged(mo.Name) })
			if len(blocks) == 0 {
				continue
			}
			plan := co.planFor(en, su, serving, from, to, blocks[:1])
			if plan == nil {
				continue
			}
			// The gain begins only after the loads, of which stagingRoom run at once.
			rounds := math.Ceil(float64(len(blocks[0].vms)-blocks[0].have) / float64(max(1, stagingRoom(en))))
			plan.gain *= 1 - min(1, max(1, rounds)*mo.LoadTime.Seconds()/rebalanceHorizon.Seconds())
			if co.worthwhile(service, en, su, plan, now) && (bestPlan == nil || plan.gain > bestPlan.gain) {
				best, bestPlan = blocks[0], plan
			}
		}
	}
	return best, bestPlan
}

// orderStages orders up to room VMs of a block to stage its other model.
func (co *Core) orderStages(bl *stageBlock, en *catalog.Engine, room int, why string, now time.Time) []Call {
	mo := en.Models[bl.to]
	var calls []Call
	var ids []string
	for _, vm := range bl.vms {
		if len(calls) >= room {
			break
		}
		if vm.stage != nil || vm.ep.HasStaged(mo.Name) || !vm.usable() || !vm.orderable() || vm.stageFailures >= maxStageFailures || now.Before(vm.stageRetryAt) {
			continue
		}
		if !co.InitialLoads && !co.loads.takeSpare() {
			break
		}
		takes := mo.LoadTime
		if co.InitialLoads {
			takes /= initialSpeedup
		}
		vm.stage = &stageOrder{model: mo.Name, takes: takes, initial: co.InitialLoads}
		vm.stage.startBy(now)
		calls = append(calls, co.command(vm, catalog.Stage{Model: mo.Name}))
		ids = append(ids, vm.ep.ID)
	}
	if len(ids) > 0 {
		co.recordEvent(Event{Kind: "stage-ordered", Model: mo.Name, Members: ids, Reason: why})
	}
	return calls
}

// takeSpare consumes a token if the bucket is full, so that staging leaves the others to repairs,
// and returns whether it did.
func (ll *loadLimiter) takeSpare() bool {
	if ll.tokens < maxLoadBurst {
		return false
	}
	ll.tokens--
	return true
}
