package steward

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// stepGroup moves one group on: towards serving, or towards its end.
func (co *Core) stepGroup(gr *group, now time.Time) []Call {
	if gr.spare() {
		return co.stepSpare(gr, now)
	}
	if gr.doomed {
		return co.dissolve(gr)
	}
	if gr.model == "" {
		// Its members load still, so it is not known how many there are to be.
		return nil
	}
	if why := co.broken(gr, now); why != "" {
		co.doom(gr, why)
		return co.dissolve(gr)
	}
	if co.complete(gr) {
		return co.stepWhole(gr, now)
	}
	if gr.planned.IsZero() {
		return nil
	}
	return co.rejoin(gr)
}

// doom ends a group. Its members leave before they are used again.
func (co *Core) doom(gr *group, why string) {
	gr.doomed = true
	co.note(Event{Kind: "group-broken", Group: gr.name, Model: gr.model, Members: gr.members, Reason: why})
}

// broken returns why the group can't serve any more, or "".
func (co *Core) broken(gr *group, now time.Time) string {
	for rank, id := range gr.members {
		vm := co.vms[id]
		switch {
		case id == "" && co.mayAppear(gr, now):
			continue
		case vm == nil:
			return "member gone"
		case vm.down && co.proved(gr, vm, now):
			return "member " + id + " lost"
		case co.belongs(vm, gr):
			if vm.ep.Member.State == catalog.Broken {
				return "stalled"
			}
			if vm.ep.Member.Rank != rank {
				return "member " + id + " has another rank"
			}
		case gr.planned.IsZero():
			return "member " + id + " left"
		case vm.ep.Leaving || !vm.registered:
			return "member " + id + " leaves"
		case now.Sub(gr.planned) > joinPatience:
			return "member " + id + " did not join"
		}
	}
	return ""
}

// mayAppear tells whether a member that has not been seen may register still:
// after an outage of the store, endpoints take some time to be back in it.
func (co *Core) mayAppear(gr *group, now time.Time) bool {
	return !gr.suspect && now.Sub(gr.found) < appearPatience
}

// complete tells whether every member says that it belongs to the group.
func (co *Core) complete(gr *group) bool {
	for _, id := range gr.members {
		if vm := co.vms[id]; vm == nil || !co.belongs(vm, gr) {
			return false
		}
	}
	return true
}

// rejoin repeats the orders that members have not accepted yet. The same order
// changes nothing where it was accepted.
func (co *Core) rejoin(gr *group) []Call {
	var calls []Call
	for _, id := range gr.members {
		vm := co.vms[id]
		if co.belongs(vm, gr) || !vm.ready() {
			continue
		}
		if mb := vm.ep.Member; mb != nil && (!isSpare(mb.Group) || vm.passed(gr)) {
			co.doom(gr, "member "+id+" belongs to "+mb.Group)
			return nil
		}
		if !co.mayLoad(vm, gr) {
			continue
		}
		calls = append(calls, co.command(vm, catalog.Join{Group: gr.name, Epoch: gr.epoch, Model: gr.model, Members: gr.members}))
	}
	return calls
}

// mayLoad tells whether the VM may be told to join the group now. Loads that were decided on
// while they were free are rationed like others once they are not.
func (co *Core) mayLoad(vm *vm, gr *group) bool {
	return co.InitialLoads || !gr.free || vm.has(gr.model) || co.loads.take(1)
}

func isSpare(name string) bool { return (&group{name: name}).spare() }

func (co *Core) command(vm *vm, order catalog.Order) Command {
	vm.busy = true
	return Command{ID: vm.ep.ID, Address: vm.ep.Address, Incarnation: vm.ep.Incarnation, Order: order, IfOrders: vm.ep.Orders, free: co.InitialLoads}
}

// stepWhole opens a group whose members are all ready, and retires one that
// is about to lose a member.
func (co *Core) stepWhole(gr *group, now time.Time) []Call {
	head := co.vms[gr.members[0]]
	if co.mustRetire(gr) {
		return co.retire(gr, head, now)
	}
	if head.ep.Member.State != catalog.Ready || !head.ready() || now.Sub(gr.opening) < co.services[gr.service].FormTime+co.lag(head) {
		return nil
	}
	// A head opens whatever its members' state, so each must have said itself
	// that it is ready under this name and epoch.
	for _, id := range gr.members {
		if st := co.vms[id].ep.Member.State; st != catalog.Ready && st != catalog.Open {
			return nil
		}
	}
	return []Call{co.command(head, catalog.OpenGroup{Group: gr.name, Epoch: gr.epoch})}
}

// mustRetire tells whether a member leaves or is slow, or whether the head
// may not be sent requests any more.
func (co *Core) mustRetire(gr *group) bool {
	if gr.unwanted || !co.vms[gr.members[0]].registered {
		return true
	}
	for _, id := range gr.members {
		if vm := co.vms[id]; vm.ep.Leaving || vm.ep.Slow() && co.replaceable(vm, gr.model) {
			return true
		}
	}
	return false
}

// retire waits until the group has finished its requests; the view tells the
// daemons to send it no more. Then the group is dissolved.
func (co *Core) retire(gr *group, head *vm, now time.Time) []Call {
	if gr.retiring.IsZero() {
		gr.retiring = now
		head.askAt = now.Add(retireAsk)
		co.note(Event{Kind: "group-retires", Group: gr.name, Model: gr.model, Members: gr.members})
		return nil
	}
	idle := head.running == 0 && head.askAt.IsZero() && now.Sub(gr.retiring) > retireAsk
	if idle || head.ep.Member.State != catalog.Open || now.Sub(gr.retiring) > retirePatience {
		co.doom(gr, "retired")
		return co.dissolve(gr)
	}
	head.askBy(now.Add(retireAsk))
	return nil
}

// dissolve makes every member that can be reached leave the group. Each
// acknowledges that by itself, so it matters not what a head that can't be
// reached believes: without its members it serves nothing.
func (co *Core) dissolve(gr *group) []Call {
	var calls []Call
	for _, id := range gr.members {
		vm := co.vms[id]
		if vm == nil || !vm.ready() || !co.belongs(vm, gr) {
			continue
		}
		calls = append(calls, co.command(vm, catalog.Leave{Group: gr.name, Epoch: gr.epoch}))
	}
	return calls
}

// passed tells whether the VM belongs to a group that was decided on after this one.
// It refuses orders to join the older one, which would be sent for as long as that
// one may take to form.
func (vm *vm) passed(gr *group) bool {
	mb := vm.ep.Member
	return mb != nil && mb.Epoch > gr.epoch
}

// stepSpare sends the order that makes a VM hold a model in memory.
func (co *Core) stepSpare(gr *group, now time.Time) []Call {
	if gr.planned.IsZero() {
		return nil
	}
	vm := co.vms[gr.members[0]]
	if vm == nil || vm.down || vm.ep.Leaving || vm.passed(gr) || !co.belongs(vm, gr) && now.Sub(gr.planned) > joinPatience {
		gr.doomed = true
		return nil
	}
	if co.belongs(vm, gr) || !vm.ready() || vm.ep.Member != nil && !isSpare(vm.ep.Member.Group) || !co.mayLoad(vm, gr) {
		return nil
	}
	return []Call{co.command(vm, catalog.Join{Group: gr.name, Epoch: gr.epoch, Model: gr.model, Members: gr.members})}
}
