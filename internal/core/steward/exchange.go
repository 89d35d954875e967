package steward

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

const (
	// exchangeUtilization is the utilization from which a model gets more groups. From about 0.6
	// on, latency objectives suffer.
	exchangeUtilization = 0.55
	// fullUtilization is the utilization from which short waves fill all slots of a group.
	fullUtilization = 0.85
	// exchangeInterval is the time between checks, exchangeConfirmTime how long an exchange must
	// have been worth its cost before it begins. While a group is reported as stalled it is
	// stalledConfirmTime: most such groups have only paused, and polls show it within that time.
	exchangeInterval    = 100 * time.Millisecond
	exchangeConfirmTime = 200 * time.Millisecond
	stalledConfirmTime  = time.Second
	// An exchange that reverses another within reversalTime must remove reversalGain of the
	// congestion, so that the split does not follow waves with periods of some 20 s.
	reversalTime = 40 * time.Second
	reversalGain = 0.5
	// releasedShare is the largest share of a model's serving groups that one decision releases.
	releasedShare = 0.5
)

// exchangeState is what the decisions on exchanges for one service depend on beside the groups.
type exchangeState struct {
	// stageAt and checkAt are when to check next what to stage before the first request and what to
	// exchange.
	stageAt, checkAt time.Time
	// to is the model that has been short of groups since wantedSince; negative if there is none.
	to          int
	wantedSince time.Time
	// lastTo is the model that last received groups, at lastAt.
	lastTo string
	lastAt time.Time
	// stagedTo is the model that was last staged during traffic, at stagedAt.
	stagedTo string
	stagedAt time.Time
}

func (co *Core) exchangeStateOf(service string) *exchangeState {
	if co.exchanges[service] == nil {
		co.exchanges[service] = &exchangeState{to: -1}
	}
	return co.exchanges[service]
}

// reverses reports whether an exchange for the model would soon reverse the last one. It is limited
// to one block then.
func (es *exchangeState) reverses(model string, now time.Time) bool {
	return es.lastTo != "" && es.lastTo != model && now.Sub(es.lastAt) < reversalTime
}

// exchangePlan is a set of blocks that change to one model together.
type exchangePlan struct {
	from, to int
	blocks   []*stageBlock
	released float64
	formed   float64
	// gain is the reduction of the congestion, averaged over rebalanceHorizon, relative to the
	// congestion without the exchange.
	gain float64
}

// followDemand exchanges groups whose VMs have another model on their hosts for groups of that
// model, if it is busier. Where a model is short of groups and no such group is left, it stages the
// model first. A model without any group is loaded at once.
func (co *Core) followDemand(service string, en *catalog.Engine, doms []*domain, now time.Time) []Call {
	st := co.exchangeStateOf(service)
	if now.Before(st.checkAt) {
		return nil
	}
	st.checkAt = now.Add(exchangeInterval)
	if st.lastTo != "" {
		// The split follows the measured demand, and so must the repairs.
		co.demand.useMeasuredUntil = now.Add(measuredHoldTime)
	}
	co.updateWeightSource(en, now)
	if !co.hasMeasuredDemand(en) {
		co.loadMissingModel(service, en, doms, now)
		return nil
	}
	su, serving := co.demandOn(service, en, now), co.servingGroups(service, en, now)
	plan := co.bestPlan(service, en, doms, su, serving, now)
	if plan == nil {
		st.to = -1
		co.loadMissingModel(service, en, doms, now)
		return co.stageForDemand(service, en, su, serving, now)
	}
	if st.to != plan.to {
		st.to, st.wantedSince = plan.to, now
	}
	if now.Sub(st.wantedSince) < co.confirmTime(service, now) {
		return nil
	}
	co.exchange(en, plan, su, now)
	st.to, st.lastTo, st.lastAt = -1, en.Models[plan.to].Name, now
	st.checkAt = now.Add(rebalanceCooldown)
	return nil
}

// loadMissingModel makes VMs load a model that has no group at all. Staging it first would only
// delay its requests.
func (co *Core) loadMissingModel(service string, en *catalog.Engine, doms []*domain, now time.Time) {
	if !now.Before(co.rebalanceAt) {
		co.rebalanceAt = now.Add(rebalanceInterval)
		co.exchangeLoading(service, en, doms, now)
	}
}

// confirmTime returns how long an exchange must have been worth its cost.
func (co *Core) confirmTime(service string, now time.Time) time.Duration {
	for _, gr := range co.groups {
		if gr.service == service && !gr.dissolving && co.stalled(gr, now) {
			return stalledConfirmTime
		}
	}
	return exchangeConfirmTime
}

// stalled reports whether the group is reported as stalled and not all members have answered since.
func (co *Core) stalled(gr *group, now time.Time) bool {
	return now.Sub(gr.stallReportedAt) < stallReportTTL && !gr.confirmedHealthy
}

// exchange releases the groups of a plan and reserves their VMs for the other model.
func (co *Core) exchange(en *catalog.Engine, plan *exchangePlan, su serviceUtilization, now time.Time) {
	to, why := en.Models[plan.to].Name, plan.describe(en, su)+co.demand.describe(now)
	for _, bl := range plan.blocks {
		for _, gr := range bl.groups {
			gr.reassigned = true
			co.recordEvent(Event{Kind: "group-rebalanced", Group: gr.name, Model: gr.model, Members: gr.members, Reason: "for " + to + ": " + why})
		}
		for _, vm := range bl.vms {
			vm.targetModel = to
		}
	}
}

// describe returns the figures that decided on a plan, for logs.
func (ep *exchangePlan) describe(en *catalog.Engine, su serviceUtilization) string {
	text := fmt.Sprintf("%.0f groups for %.0f, gain %.2f;", ep.released, ep.formed, ep.gain)
	return text + strings.TrimSuffix(su.describe(en), ";")
}

// describe returns the demand on and the groups of each model, for logs.
func (su serviceUtilization) describe(en *catalog.Engine) string {
	text := ""
	for mi, mo := range en.Models {
		text += fmt.Sprintf(" %s has demand %.2f, groups %.0f, utilization %.2f;", mo.Name, su.busy[mi], su.groups[mi], su.utilization(mi, su.groups[mi]))
	}
	return text
}

// serves reports whether a group accepts requests: it is complete and open, does not drain, and its
// members are neither unresponsive nor reported as stalled.
func (co *Core) serves(gr *group, now time.Time) bool {
	if gr.spare() || gr.dissolving || gr.reassigned || !gr.drainingSince.IsZero() || co.groupEvacuated(gr) || !co.complete(gr) {
		return false
	}
	if co.vms[gr.members[0]].ep.Member.State != catalog.Open || co.stalled(gr, now) {
		return false
	}
	return !slices.ContainsFunc(gr.members, func(id string) bool { return co.vms[id].down || !co.vms[id].registered })
}

// servingGroups returns the number of groups of each model that serve.
func (co *Core) servingGroups(service string, en *catalog.Engine, now time.Time) []float64 {
	serving := make([]float64, len(en.Models))
	for _, gr := range co.groups {
		if gr.service != service || !co.serves(gr, now) {
			continue
		}
		for mi, mo := range en.Models {
			if mo.Name == gr.model {
				serving[mi]++
			}
		}
	}
	return serving
}

// demandOn returns the demand on each model and the number of groups that serve or will: those
// being formed, and those that VMs reserved or loading for the model suffice for. Groups that are
// stalled or incomplete do not count; after their loss is confirmed, their VMs do.
func (co *Core) demandOn(service string, en *catalog.Engine, now time.Time) serviceUtilization {
	su := serviceUtilization{busy: co.busy(en), groups: co.servingGroups(service, en, now)}
	planned := make(map[string]bool)
	for _, gr := range co.groups {
		if gr.service != service || gr.planned.IsZero() || gr.dissolving || gr.spare() {
			continue
		}
		forming := !co.complete(gr) || co.vms[gr.members[0]].ep.Member.State != catalog.Open
		for _, id := range gr.members {
			planned[id] = true
		}
		for mi, mo := range en.Models {
			if forming && mo.Name == gr.model && !gr.reassigned && !co.groupEvacuated(gr) {
				su.groups[mi]++
			}
		}
	}
	for dm, num := range co.idleVMs(service, planned) {
		for mi, mo := range en.Models {
			if mo.Name == dm.model {
				su.groups[mi] += float64(num / mo.Size)
			}
		}
	}
	return su
}

// idleVMs counts, by domain and model, the VMs that belong to no group and hold or load the model,
// and those that are reserved for it.
func (co *Core) idleVMs(service string, planned map[string]bool) map[domainModel]int {
	idle := make(map[domainModel]int)
	for id, vm := range co.vms {
		if vm.ep.Service != service || vm.down || vm.ep.Leaving || co.evacuated(vm) {
			continue
		}
		mb := vm.ep.Member
		switch {
		case vm.targetModel != "":
			idle[domainModel{vm.ep.Domain, vm.targetModel}]++
		case !planned[id] && (mb == nil || isSpare(mb.Group)):
			idle[domainModel{vm.ep.Domain, vm.lastModel}]++
		}
	}
	return idle
}

// bestPlan returns the plan with the largest gain, or nil if none gains enough.
func (co *Core) bestPlan(service string, en *catalog.Engine, doms []*domain, su serviceUtilization, serving []float64, now time.Time) *exchangePlan {
	var best *exchangePlan
	for to, mo := range en.Models {
		if su.utilization(to, su.groups[to]) < exchangeUtilization {
			continue
		}
		for from := range en.Models {
			if from == to {
				continue
			}
			blocks := slices.DeleteFunc(co.stageBlocks(service, en, from, to, now), func(bl *stageBlock) bool { return !bl.staged(mo.Name) })
			if co.exchangeStateOf(service).reverses(mo.Name, now) {
				blocks = blocks[:min(1, len(blocks))]
			}
			blocks = append(idleBlocks(en, doms, from, to, now), blocks...)
			plan := co.planFor(en, su, serving, from, to, blocks)
			if plan != nil && co.worthwhile(service, en, su, plan, now) && (best == nil || plan.gain > best.gain) {
				best = plan
			}
		}
	}
	return best
}

// idleBlocks returns the available VMs of each domain that have the other model on their hosts. A
// staged group that has lost a member without a replacement leaves them behind.
func idleBlocks(en *catalog.Engine, doms []*domain, from, to int, now time.Time) []*stageBlock {
	var blocks []*stageBlock
	size := en.Models[to].Size
	for _, do := range doms {
		bl := &stageBlock{domain: do.name, from: from, to: to}
		for _, vm := range do.free {
			switch {
			case vm.targetModel != "":
			case vm.holdsModel(en.Models[to].Name):
				bl.held++
			case vm.lastModel == en.Models[from].Name && vm.ep.HasStaged(en.Models[to].Name) && vm.stage == nil && now.Sub(vm.idleSince) > minIdleTime:
				bl.vms = append(bl.vms, vm)
			}
		}
		bl.held %= size
		if num := (len(bl.vms) + bl.held) / size * size; num > 0 {
			bl.vms = bl.vms[:num-bl.held]
			blocks = append(blocks, bl)
		}
	}
	return blocks
}

// minIdleTime is how long VMs must have been idle before they join a group of the model on their
// hosts. By then a replacement for the member that their own group lacks may have joined it.
const minIdleTime = time.Second

// worthwhile reports whether a plan gains enough, also with the demand smoothed over a longer time.
// Only a model whose groups are nearly full does not wait for the latter, unless the plan reverses
// the last exchange.
func (co *Core) worthwhile(service string, en *catalog.Engine, su serviceUtilization, plan *exchangePlan, now time.Time) bool {
	reversal := co.exchangeStateOf(service).reverses(en.Models[plan.to].Name, now)
	if plan.gain < minRebalanceGain || reversal && plan.gain < reversalGain {
		return false
	}
	if !reversal && su.utilization(plan.to, su.groups[plan.to]) >= fullUtilization {
		return true
	}
	long := serviceUtilization{groups: su.groups}
	for _, mo := range en.Models {
		long.busy = append(long.busy, co.demand.longBusy[mo.Name])
	}
	return long.gain(*plan, exchangePart(en, plan.to)) >= minRebalanceGain
}

// exchangePart returns the part of rebalanceHorizon in which the VMs of an exchange do not serve.
func exchangePart(en *catalog.Engine, to int) float64 {
	return min(1, (en.Models[to].WarmLoadTime+en.FormTime+typicalDrainTime).Seconds()/rebalanceHorizon.Seconds())
}

// planFor returns the number of blocks of one model whose exchange for another gains most, or nil
// if none gains. It adds blocks one by one as long as each gains by itself.
func (co *Core) planFor(en *catalog.Engine, su serviceUtilization, serving []float64, from, to int, blocks []*stageBlock) *exchangePlan {
	var best *exchangePlan
	part := exchangePart(en, to)
	most := max(1, math.Floor(releasedShare*serving[from]))
	plan := exchangePlan{from: from, to: to}
	for i, bl := range blocks {
		plan.blocks = blocks[:i+1]
		plan.released += float64(len(bl.groups))
		plan.formed += float64((len(bl.vms) + bl.held) / en.Models[to].Size)
		if plan.released > 0 && (plan.released > max(most, float64(len(bl.groups))) || serving[from] < plan.released+1) {
			break
		}
		gain, step := su.gain(plan, part), minRebalanceGain/2
		if best != nil && gain < best.gain+step*(1-best.gain) || best == nil && gain <= 0 {
			break
		}
		found := plan
		found.gain = gain
		best = &found
	}
	return best
}

// gain returns the fraction of the congestion that a plan removes. For the given part of the
// horizon the released groups are missing and the new ones do not serve yet.
func (su serviceUtilization) gain(plan exchangePlan, part float64) float64 {
	before := su.congestion(nil)
	during, after := make([]float64, len(su.busy)), make([]float64, len(su.busy))
	during[plan.from], after[plan.from], after[plan.to] = -plan.released, -plan.released, plan.formed
	if before <= 0 {
		return 0
	}
	return 1 - (part*su.congestion(during)+(1-part)*su.congestion(after))/before
}

// exchangeUnderWay reports whether a group drains to make room for another model or VMs that are
// reserved for one have not joined it yet.
func (co *Core) exchangeUnderWay(service string) bool {
	for _, vm := range co.vms {
		if vm.ep.Service == service && vm.targetModel != "" && !vm.down && !co.evacuated(vm) {
			return true
		}
	}
	return false
}
