package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Done tells what came of a command.
func (co *Core) HandleOutcome(cd Command, out Outcome, now time.Time) {
	co.orders.underWay = max(0, co.orders.underWay-1)
	vm, ok := co.vms[cd.ID]
	if !ok || cd.Incarnation.Differs(vm.ep.Incarnation) {
		// What an earlier life did with the order says nothing of this one.
		return
	}
	vm.busy = false
	vm.ordered = now
	switch out {
	case Accepted:
		vm.failures = 0
		co.apply(vm, cd.Order, now)
	case Refused:
		vm.unsure, vm.refused = true, true
		vm.askBy(now)
	case Unanswered:
		vm.unsure = true
		vm.urgent = true
		vm.askBy(now)
	}
}

// apply updates a VM by an order that it has accepted.
func (co *Core) apply(vm *vm, order catalog.Order, now time.Time) {
	vm.ep.Orders++
	switch od := order.(type) {
	case catalog.Join:
		wait := co.joinTime(vm, od.Model)
		vm.loading = !vm.has(od.Model)
		vm.ep.Member = &catalog.Membership{Group: od.Group, Epoch: od.Epoch,
			Rank: slices.Index(od.Members, vm.ep.ID), State: catalog.Joining}
		vm.ep.Loaded, vm.last = od.Model, od.Model
		vm.askBy(now.Add(wait + co.lag(vm)))
	case catalog.OpenGroup:
		if gr := co.groups[groupKey{od.Group, od.Epoch}]; gr != nil {
			gr.opening = now
		}
		wait := askInterval
		if en := co.services[vm.ep.Service]; en != nil {
			wait = en.FormTime
		}
		vm.askBy(now.Add(wait + co.lag(vm)))
	case catalog.CloseGroup:
		vm.askBy(now.Add(rejoinTime + co.lag(vm)))
	case catalog.Leave:
		vm.ep.Member = nil
		vm.idleSince = now
	case catalog.Stage:
		vm.askBy(now.Add(askLoadInterval))
	}
}

// joinTime is how long the VM takes to be ready for the model.
func (co *Core) joinTime(vm *vm, model string) time.Duration {
	en := co.services[vm.ep.Service]
	mo, ok := en.Model(model)
	switch {
	case vm.last == model:
		return rejoinTime
	case !ok:
		return askInterval
	case vm.ep.HasStaged(model):
		return mo.Warm
	case co.InitialLoads:
		return mo.Load / initialSpeedup
	}
	return mo.Load
}

// initialSpeedup is how much faster loads are before the first request.
const initialSpeedup = 10
