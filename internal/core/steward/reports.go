package steward

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// HandleReport handles an endpoint's report in response to a poll sent at sentAt. An order
// whose response arrived since then may have changed the endpoint's state.
func (co *Core) HandleReport(id string, re catalog.Report, sentAt, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.polling = false
	co.recordAnswer(sentAt, now)
	co.pollRTT.Add(now.Sub(sentAt))
	if sentAt.Before(vm.lastAnsweredPoll) {
		// The response to a later poll arrived first and is more recent.
		return
	}
	if re.Incarnation.Differs(vm.ep.Incarnation) {
		if re.Incarnation < vm.ep.Incarnation && !sentAt.After(vm.incarnationSeenAt) {
			// The report is from an earlier incarnation and was in flight when the VM
			// restarted.
			vm.pollBy(now)
			return
		}
		co.handleRestart(vm, catalog.Endpoint{ID: id, Incarnation: re.Incarnation, Service: vm.ep.Service, Address: vm.ep.Address,
			DataCenter: vm.ep.DataCenter, Domain: vm.ep.Domain, Slots: vm.ep.Slots, Revision: vm.ep.Revision, Era: vm.ep.Era}, now)
	}
	if vm.orderRefused && sentAt.Sub(vm.lastOrderAt) < co.lag(vm) && re.Orders == vm.ep.Orders && sameMember(re.Member, vm.ep.Member) {
		// The refused order was based on this same state, so the report predates the refusal.
		// If the report were accepted, the order would be sent and refused again after each
		// report.
		vm.pollBy(now.Add(pollInterval))
		return
	}
	if vm.orderPending || sentAt.Before(vm.lastOrderAt) || re.Orders < vm.ep.Orders && sentAt.Sub(vm.lastOrderAt) < co.lag(vm) {
		// The report predates the last order.
		vm.failures = 0
		vm.pollBy(now.Add(pollInterval))
		return
	}
	if vm.down {
		co.recordEvent(Event{Kind: "vm-answers", VM: id})
	}
	vm.ep = re.Apply(vm.ep)
	vm.reported, vm.down, vm.failures, vm.urgent, vm.uncertain, vm.orderRefused = true, false, 0, false, false, false
	vm.lastAnsweredPoll, vm.inconclusive = sentAt, 0
	vm.setLoadedModel(vm.ep.Loaded)
	if vm.ep.Loaded != "" {
		vm.memoryModel = vm.ep.Loaded
	}
	if vm.ep.Loaded == "" && vm.ep.Member == nil && !vm.ep.HasStaged(vm.lastModel) && !co.inMemory(vm) {
		// The load was aborted before the weights were in memory.
		vm.lastModel = ""
	}
	vm.running = re.Running + re.Waiting
	vm.pollAt = time.Time{}
	if !vm.registered {
		vm.pollBy(now.Add(downPollInterval))
	}
	if mb := vm.ep.Member; mb != nil && mb.State == catalog.Joining {
		vm.pollBy(now.Add(loadPollInterval))
	}
}

func sameMember(one, other *catalog.Membership) bool {
	if one == nil || other == nil {
		return one == other
	}
	return *one == *other
}

// HandlePollFailure records that a poll sent at sentAt timed out or failed. The report may
// still arrive.
func (co *Core) HandlePollFailure(id, reason string, sentAt, now time.Time) {
	vm := co.timedOutVM(id, sentAt)
	if vm == nil {
		return
	}
	if vm.failures == 0 {
		co.startWitnessing(vm, sentAt)
	}
	vm.failures++
	if !vm.witnessedAt.IsZero() && !sentAt.Before(vm.witnessedAt) {
		vm.witnessedFailures++
	}
	if vm.failures < maxFailures {
		vm.pollBy(now)
		return
	}
	if !vm.down {
		co.recordEvent(Event{Kind: "vm-silent", VM: id, Reason: reason})
		co.unresponsiveAt[vm.ep.Domain] = now
	}
	vm.down, vm.urgent = true, false
	if !vm.witnessedAt.IsZero() && !vm.witnessed() {
		vm.pollBy(now)
		return
	}
	if co.lossUnconfirmed(vm, now) {
		vm.pollAt = now.Add(co.unconfirmedPollInterval(vm))
		return
	}
	if !vm.registered {
		co.removeVM(vm, reason)
		return
	}
	vm.pollAt = now.Add(min(maxDownPollInterval, downPollInterval<<min(vm.failures-maxFailures, maxDoublings)))
}

// timedOutVM returns the VM whose poll sent at sentAt was not answered. It returns nil if the
// failure is irrelevant: the VM is not known, or it has answered a later poll.
func (co *Core) timedOutVM(id string, sentAt time.Time) *vm {
	vm := co.vms[id]
	if vm == nil {
		return nil
	}
	vm.polling = false
	if sentAt.Before(vm.lastAnsweredPoll) {
		return nil
	}
	return vm
}

// maxDoublings keeps the time between polls from overflowing.
const maxDoublings = 4

// lossUnconfirmed reports whether an unresponsive VM is a member of a group that keeps serving
// until the loss is confirmed.
func (co *Core) lossUnconfirmed(vm *vm, now time.Time) bool {
	mb := vm.ep.Member
	if mb == nil {
		return false
	}
	gr := co.groups[groupKey{mb.Group, mb.Epoch}]
	return gr != nil && !gr.outOfUse() && !gr.spare() && !co.lossConfirmed(gr, vm, now)
}

// removeVM drops a VM that is neither registered nor responsive.
func (co *Core) removeVM(vm *vm, reason string) {
	co.recordEvent(Event{Kind: "vm-gone", VM: vm.ep.ID, Reason: reason})
	delete(co.vms, vm.ep.ID)
	co.idsChanged = true
	co.incompleteGroups[vm.restoredGroup] = true
	if gr := co.groups[vm.restoredGroup]; gr != nil {
		gr.stallReported = true
	}
}

// HandleInconclusivePoll records that a poll sent at sentAt timed out while this machine itself
// was stalled: the response may have arrived unread. A slow machine that counted such polls as
// failures marked up to 50 healthy VMs as down at once and dissolved their groups.
func (co *Core) HandleInconclusivePoll(id string, sentAt, now time.Time) {
	vm := co.timedOutVM(id, sentAt)
	if vm == nil {
		return
	}
	vm.inconclusive++
	if vm.inconclusive > maxInconclusive {
		co.HandlePollFailure(id, "no response; this machine was also delayed", sentAt, now)
		return
	}
	vm.pollBy(now.Add(pollInterval))
}

// pollBy schedules a poll at the given time unless one is already scheduled earlier.
func (vm *vm) pollBy(at time.Time) {
	if vm.pollAt.IsZero() || at.Before(vm.pollAt) {
		vm.pollAt = at
	}
}
