package steward

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// stepGroup advances one group toward serving or toward its dissolution.
func (co *Core) stepGroup(gr *group, now time.Time) []Call {
	if gr.spare() {
		return co.stepSpare(gr, now)
	}
	if gr.dissolving {
		if co.finishing(gr, now) {
			return nil
		}
		return co.dissolve(gr)
	}
	if gr.model == "" || gr.contested {
		// The members are still loading: none has reported a model yet, so the size of the
		// group is not known. Or it is not known which VM is the member.
		return nil
	}
	if why := co.broken(gr, now); why != "" {
		co.startDissolving(gr, why)
		return co.dissolve(gr)
	}
	if lost := co.silentMember(gr, now); lost != nil || gr.suspension != nil {
		return append(co.stepSilent(gr, lost, now), co.connects(gr, now)...)
	}
	if co.complete(gr) && now.Sub(gr.stallReportedAt) < stallReportTTL {
		if calls := co.connects(gr, now); len(calls) > 0 {
			return calls
		}
	}
	if co.complete(gr) {
		return co.stepComplete(gr, now)
	}
	if gr.planned.IsZero() {
		return nil
	}
	return co.sendJoins(gr)
}

// startDissolving marks a group for dissolution. Its members leave it before they are used
// again.
func (co *Core) startDissolving(gr *group, why string) {
	gr.dissolving, gr.suspension = true, nil
	co.recordEvent(Event{Kind: "group-broken", Group: gr.name, Model: gr.model, Members: gr.members, Reason: why})
}

// broken returns why the group can certainly no longer serve, or "" if it may.
func (co *Core) broken(gr *group, now time.Time) string {
	for rank, id := range gr.members {
		vm := co.vms[id]
		switch {
		case id == "" && co.mayRegister(gr, now):
			continue
		case vm == nil:
			return "member gone"
		case co.isMember(vm, gr):
			if vm.ep.Member.State == catalog.Broken {
				return "stalled"
			}
			if vm.ep.Member.Rank != rank {
				return "member " + id + " reports a different rank"
			}
		case gr.planned.IsZero():
			return "member " + id + " left"
		case vm.ep.Leaving || !vm.registered:
			return "member " + id + " is leaving"
		case now.Sub(gr.planned) > joinTimeout:
			return "member " + id + " did not join"
		}
	}
	return ""
}

// mayRegister reports whether a member that has not been seen may still register: after a
// store outage, endpoints take some time to restore their entries.
func (co *Core) mayRegister(gr *group, now time.Time) bool {
	return !gr.stallReported && now.Sub(gr.discoveredAt) < registrationTimeout
}

// complete reports whether every member reports that it belongs to the group.
func (co *Core) complete(gr *group) bool {
	for _, id := range gr.members {
		if vm := co.vms[id]; vm == nil || !co.isMember(vm, gr) {
			return false
		}
	}
	return true
}

// sendJoins sends or repeats the orders to join that members have not accepted yet. An order
// that was already accepted has no further effect.
func (co *Core) sendJoins(gr *group) []Call {
	var calls []Call
	for _, id := range gr.members {
		vm := co.vms[id]
		if co.isMember(vm, gr) || !vm.orderable() {
			continue
		}
		if mb := vm.ep.Member; mb != nil && (!isSpare(mb.Group) || vm.hasNewerGroup(gr)) {
			co.startDissolving(gr, "member "+id+" belongs to "+mb.Group)
			return nil
		}
		if !co.mayLoad(vm, gr) {
			continue
		}
		calls = append(calls, co.command(vm, catalog.Join{Group: gr.name, Epoch: gr.epoch, Model: gr.model, Members: gr.members}))
	}
	return calls
}

// mayLoad reports whether the VM may be ordered to join the group now. Loads that were planned
// without a rate limit are rate-limited once the limit applies.
func (co *Core) mayLoad(vm *vm, gr *group) bool {
	return co.InitialLoads || !gr.initialLoads || vm.hasWeights(gr.model) || co.loads.take(1)
}

func isSpare(name string) bool { return (&group{name: name}).spare() }

// command returns an order for the VM and marks it as pending. The VM refuses the order if it has
// accepted another one in the meantime.
func (co *Core) command(vm *vm, order catalog.Order) Command {
	vm.orderPending = true
	return Command{ID: vm.ep.ID, Address: vm.ep.Address, Incarnation: vm.ep.Incarnation, Order: order, IfOrders: vm.ep.Orders, initialLoads: co.InitialLoads}
}

// stepComplete opens a group whose members are all ready, and drains one that is about to lose
// a member.
func (co *Core) stepComplete(gr *group, now time.Time) []Call {
	leader := co.vms[gr.members[0]]
	if co.mustDrain(gr) {
		return co.drain(gr, leader, now)
	}
	if leader.ep.Member.State != catalog.Ready || !leader.orderable() || now.Sub(gr.openOrderedAt) < co.services[gr.service].FormTime+co.lag(leader) {
		return nil
	}
	// A leader opens whatever state its members are in, so each member must have reported that
	// it is ready under this name and epoch.
	for _, id := range gr.members {
		if st := co.vms[id].ep.Member.State; st != catalog.Ready && st != catalog.Open {
			return nil
		}
	}
	return []Call{co.command(leader, catalog.OpenGroup{Group: gr.name, Epoch: gr.epoch})}
}

// mustDrain reports whether the group is to be drained: its VMs are reassigned to another
// model, a member leaves or is slow and replaceable, or the leader is not registered and can't be
// sent requests.
func (co *Core) mustDrain(gr *group) bool {
	return gr.reassigned || co.unfit(gr)
}

// unfit reports whether the group's own state calls for draining it, as opposed to a decision to
// exchange it.
func (co *Core) unfit(gr *group) bool {
	if !co.vms[gr.members[0]].registered {
		return true
	}
	for _, id := range gr.members {
		if vm := co.vms[id]; vm.ep.Leaving || vm.ep.Slow() && co.replaceable(vm, gr.model) {
			return true
		}
	}
	return false
}

// drainNoticeTime is how long daemons may send requests to a group after it began to drain.
const drainNoticeTime = 100 * time.Millisecond

// drain waits until the group has finished its requests and then dissolves it. Meanwhile the
// published view marks the group as draining, so that daemons send it no new requests.
func (co *Core) drain(gr *group, leader *vm, now time.Time) []Call {
	if gr.drainingSince.IsZero() {
		gr.drainingSince = now
		leader.pollAt = now.Add(drainPollInterval)
		co.recordEvent(Event{Kind: "group-retires", Group: gr.name, Model: gr.model, Members: gr.members})
		return nil
	}
	// A report shows the state of some time before.
	current := leader.lastAnsweredPoll.Sub(gr.drainingSince) >= drainNoticeTime+co.services[gr.service].ReportLag
	idle := current && leader.running == 0 && leader.pollAt.IsZero()
	closed := leader.ep.Member.State != catalog.Open && co.requestsAt(gr) == 0
	if idle || closed || now.Sub(gr.drainingSince) > co.drainTimeout(gr) {
		co.startDissolving(gr, "retired")
		return co.dissolve(gr)
	}
	leader.pollBy(now.Add(drainPollInterval))
	return nil
}

// dissolve orders every reachable member to leave the group. Each member acknowledges this
// itself. An unreachable leader may still consider the group intact, but it can't serve anything
// without its members.
func (co *Core) dissolve(gr *group) []Call {
	var calls []Call
	for _, id := range gr.members {
		vm := co.vms[id]
		if vm == nil || !vm.orderable() || !co.isMember(vm, gr) {
			continue
		}
		calls = append(calls, co.command(vm, catalog.Leave{Group: gr.name, Epoch: gr.epoch}))
	}
	return calls
}

// hasNewerGroup reports whether the VM belongs to a group that was planned after this one. The
// VM refuses orders to join the older group, and they would be repeated until joinTimeout.
func (vm *vm) hasNewerGroup(gr *group) bool {
	mb := vm.ep.Member
	return mb != nil && mb.Epoch > gr.epoch
}

// stepSpare sends the order that makes a VM hold a model in memory as a spare.
func (co *Core) stepSpare(gr *group, now time.Time) []Call {
	if gr.planned.IsZero() {
		return nil
	}
	vm := co.vms[gr.members[0]]
	if vm == nil || vm.down || vm.ep.Leaving || vm.hasNewerGroup(gr) || !co.isMember(vm, gr) && now.Sub(gr.planned) > joinTimeout {
		gr.dissolving = true
		return nil
	}
	if co.isMember(vm, gr) || !vm.orderable() || vm.ep.Member != nil && !isSpare(vm.ep.Member.Group) || !co.mayLoad(vm, gr) {
		return nil
	}
	return []Call{co.command(vm, catalog.Join{Group: gr.name, Epoch: gr.epoch, Model: gr.model, Members: gr.members})}
}
