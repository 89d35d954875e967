package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// HandleOutcome records the outcome of a command.
func (co *Core) HandleOutcome(cd Command, out Outcome, now time.Time) {
	co.orders.inFlight = max(0, co.orders.inFlight-1)
	vm, ok := co.vms[cd.ID]
	if !ok || cd.Incarnation.Differs(vm.ep.Incarnation) {
		// The outcome concerns an earlier incarnation and does not apply to this one.
		return
	}
	vm.orderPending = false
	vm.lastOrderAt = now
	if _, ok := cd.Order.(catalog.Stage); ok && out == Refused {
		vm.failStage(now)
	}
	switch out {
	case Accepted:
		vm.failures = 0
		co.apply(vm, cd.Order, now)
	case Refused:
		vm.uncertain, vm.orderRefused = true, true
		vm.pollBy(now)
	case Unanswered:
		vm.uncertain = true
		vm.urgent = true
		vm.pollBy(now)
	}
}

// apply updates a VM's state after it has accepted an order.
func (co *Core) apply(vm *vm, order catalog.Order, now time.Time) {
	vm.ep.Orders++
	switch od := order.(type) {
	case catalog.Join:
		wait := co.joinTime(vm, od.Model)
		vm.loading = !vm.hasWeights(od.Model)
		vm.ep.Member = &catalog.Membership{Group: od.Group, Epoch: od.Epoch,
			Rank: slices.Index(od.Members, vm.ep.ID), State: catalog.Joining}
		vm.ep.Loaded, vm.lastModel = od.Model, od.Model
		vm.pollBy(now.Add(wait + co.lag(vm)))
	case catalog.OpenGroup:
		if gr := co.groups[groupKey{od.Group, od.Epoch}]; gr != nil {
			gr.openOrderedAt = now
		}
		wait := pollInterval
		if en := co.services[vm.ep.Service]; en != nil {
			wait = en.FormTime
		}
		vm.pollBy(now.Add(wait + co.lag(vm)))
	case catalog.CloseGroup:
		vm.pollBy(now.Add(rejoinTime + co.lag(vm)))
	case catalog.Leave:
		vm.ep.Member = nil
		vm.idleSince = now
	case catalog.Stage:
		if so := vm.stage; so != nil {
			so.startBy(now)
			vm.pollBy(so.dueAt)
		}
	}
}

// joinTime returns the expected time until the VM is ready to serve the model.
func (co *Core) joinTime(vm *vm, model string) time.Duration {
	en := co.services[vm.ep.Service]
	mo, ok := en.Model(model)
	switch {
	case vm.lastModel == model:
		return rejoinTime
	case !ok:
		return pollInterval
	case vm.ep.HasStaged(model):
		return mo.WarmLoadTime
	case co.InitialLoads:
		return mo.LoadTime / initialSpeedup
	}
	return mo.LoadTime
}

// initialSpeedup is how much faster loads are before the first request.
const initialSpeedup = 10
