package steward

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Reported takes in what an endpoint said of itself when it was asked at that
// time. An order that was answered since may have changed what it said.
func (co *Core) HandleReport(id string, re catalog.Report, asked, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.asking = false
	co.answers.Add(now.Sub(asked))
	if asked.Before(vm.heard) {
		// It was overtaken by the answer to a later question, which says what is so now.
		return
	}
	if re.Incarnation.Differs(vm.ep.Incarnation) {
		if re.Incarnation < vm.ep.Incarnation && !asked.After(vm.since) {
			// The answer of an earlier life, on its way when the VM started again.
			vm.askBy(now)
			return
		}
		co.restarted(vm, catalog.Endpoint{ID: id, Incarnation: re.Incarnation, Service: vm.ep.Service, Address: vm.ep.Address,
			DataCenter: vm.ep.DataCenter, Domain: vm.ep.Domain, Slots: vm.ep.Slots, Revision: vm.ep.Revision}, now)
	}
	if vm.refused && asked.Sub(vm.ordered) < co.lag(vm) && re.Orders == vm.ep.Orders && sameMember(re.Member, vm.ep.Member) {
		// What was refused was decided on just this, so the report is older than
		// the refusal. The order would be sent, and refused, with each report.
		vm.askBy(now.Add(askInterval))
		return
	}
	if vm.busy || asked.Before(vm.ordered) || re.Orders < vm.ep.Orders && asked.Sub(vm.ordered) < co.lag(vm) {
		// The report is from before the last order.
		vm.failures = 0
		vm.askBy(now.Add(askInterval))
		return
	}
	if vm.down {
		co.note(Event{Kind: "vm-answers", VM: id})
	}
	vm.ep = re.Apply(vm.ep)
	vm.known, vm.down, vm.failures, vm.urgent, vm.unsure, vm.refused = true, false, 0, false, false, false
	vm.heard, vm.unproven = asked, 0
	vm.holds(vm.ep.Loaded)
	if vm.ep.Loaded == "" && vm.ep.Member == nil && !vm.ep.HasStaged(vm.last) {
		// The load was broken off before the weights were there.
		vm.last = ""
	}
	vm.running = re.Running + re.Waiting
	vm.askAt = time.Time{}
	if !vm.registered {
		vm.askBy(now.Add(askDownInterval))
	}
	if mb := vm.ep.Member; mb != nil && mb.State == catalog.Joining {
		vm.askBy(now.Add(askLoadInterval))
	}
}

func sameMember(one, other *catalog.Membership) bool {
	if one == nil || other == nil {
		return one == other
	}
	return *one == *other
}

// Failed tells that an endpoint did not answer a question in time that was put at
// that time. The answer may come still.
func (co *Core) HandlePollFailure(id, reason string, asked, now time.Time) {
	vm := co.unanswered(id, asked)
	if vm == nil {
		return
	}
	if vm.failures == 0 {
		vm.silentSince = asked
	}
	vm.failures++
	if vm.failures < maxFailures {
		vm.askBy(now)
		return
	}
	if !vm.down {
		co.note(Event{Kind: "vm-silent", VM: id, Reason: reason})
		co.silences[vm.ep.Domain] = now
	}
	vm.down, vm.urgent = true, false
	if co.holdsUp(vm, now) {
		vm.askAt = now.Add(co.heldInterval(vm))
		return
	}
	if !vm.registered {
		co.forget(vm, reason)
		return
	}
	vm.askAt = now.Add(min(askDownMost, askDownInterval<<min(vm.failures-maxFailures, maxDoublings)))
}

// unanswered returns the VM that left a question unanswered which was put at that time,
// or nil if that says nothing: the VM is not known, or has answered a later question.
func (co *Core) unanswered(id string, asked time.Time) *vm {
	vm := co.vms[id]
	if vm == nil {
		return nil
	}
	vm.asking = false
	if asked.Before(vm.heard) {
		return nil
	}
	return vm
}

// maxDoublings keeps the time between questions from overflowing.
const maxDoublings = 4

// holdsUp tells whether a silent VM is a member of a group that serves as long as its
// loss is not proved.
func (co *Core) holdsUp(vm *vm, now time.Time) bool {
	mb := vm.ep.Member
	if mb == nil {
		return false
	}
	gr := co.groups[groupKey{mb.Group, mb.Epoch}]
	return gr != nil && !gr.doomed && !gr.spare() && !co.proved(gr, vm, now)
}

// forget drops a VM that is neither registered nor answers.
func (co *Core) forget(vm *vm, reason string) {
	co.note(Event{Kind: "vm-gone", VM: vm.ep.ID, Reason: reason})
	delete(co.vms, vm.ep.ID)
	co.resort = true
	co.lost[vm.recalled] = true
	if gr := co.groups[vm.recalled]; gr != nil {
		gr.suspect = true
	}
}

// Inconclusive tells that a question ran out of time while this machine itself
// stood still: the answer may have been there. A slow machine that counted such
// questions took up to 50 sound VMs as down at once, and broke their groups up.
func (co *Core) HandleInconclusivePoll(id string, asked, now time.Time) {
	vm := co.unanswered(id, asked)
	if vm == nil {
		return
	}
	vm.unproven++
	if vm.unproven > maxUnproven {
		co.HandlePollFailure(id, "no answer, though this machine was late itself", asked, now)
		return
	}
	vm.askBy(now.Add(askInterval))
}

func (vm *vm) askBy(at time.Time) {
	if vm.askAt.IsZero() || at.Before(vm.askAt) {
		vm.askAt = at
	}
}
