package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Register takes an endpoint's entry in.
func (co *Core) Register(ep catalog.Endpoint, now time.Time) {
	if co.services[ep.Service] == nil {
		return
	}
	vm, ok := co.vms[ep.ID]
	if !ok {
		co.vms[ep.ID] = co.newVM(ep, now)
		co.resort = true
		return
	}
	if ep.Incarnation.Differs(vm.ep.Incarnation) {
		co.registerOther(vm, ep, now)
		return
	}
	if vm.ep.Incarnation == 0 {
		vm.ep.Incarnation = ep.Incarnation
	}
	co.hear(vm, ep, now)
	vm.registered = true
	vm.ep.Leaving = ep.Leaving
	vm.ep.Address = ep.Address
	vm.ep.Revision = ep.Revision
	if vm.down {
		vm.askBy(now)
	}
}

func (co *Core) newVM(ep catalog.Endpoint, now time.Time) *vm {
	return &vm{ep: ep, since: now, registered: true, askAt: now, idleSince: now}
}

// Recall tells of a member that an earlier steward knew and that has no entry, or
// one of another life. A member without an entry is asked; if it does not answer,
// its group does not wait for it. One that started again is lost to its group.
func (co *Core) Recall(gr catalog.Group, me catalog.Member, now time.Time) {
	if co.services[gr.Service] == nil {
		return
	}
	if known := co.vms[me.ID]; known != nil {
		if known.ep.Incarnation.Differs(me.Incarnation) {
			co.lost[groupKey{gr.Name, gr.Epoch}] = true
		}
		return
	}
	vm := co.newVM(catalog.Endpoint{ID: me.ID, Incarnation: me.Incarnation, Service: gr.Service, Address: me.Address, DataCenter: gr.DataCenter}, now)
	vm.registered, vm.recalled = false, groupKey{gr.Name, gr.Epoch}
	co.vms[me.ID] = vm
	co.resort = true
}

// hear takes in what an entry says of the VM's group. An entry follows each
// change at once, where a report lags by some hundred milliseconds, but it may
// be older than the last order. So it moves a group that is known on, and
// makes the VM be asked where it says something else.
func (co *Core) hear(vm *vm, ep catalog.Endpoint, now time.Time) {
	known, said := vm.ep.Member, ep.Member
	switch {
	case said == nil && known == nil:
	case said != nil && known != nil && said.Group == known.Group && said.Epoch == known.Epoch:
		if progress(said.State) > progress(known.State) {
			moved := *known
			moved.State = said.State
			vm.ep.Member, vm.ep.Staged = &moved, ep.Staged
			vm.holds(ep.Loaded)
			if !vm.urgent && !vm.unsure && vm.registered {
				vm.askAt = time.Time{}
			}
		}
	case now.Sub(vm.ordered) > co.lag(vm):
		vm.askBy(now)
	}
}

// holds notes that the weights of a model are in memory.
func (vm *vm) holds(model string) {
	if model != "" {
		vm.ep.Loaded, vm.last = model, model
	}
}

// progress orders the states that a group goes through.
func progress(st catalog.GroupState) int {
	return slices.Index([]catalog.GroupState{catalog.Joining, catalog.Ready, catalog.Open, catalog.Closing, catalog.Broken}, st)
}

// lag is how old what a VM reports may be.
func (co *Core) lag(vm *vm) time.Duration {
	if en := co.services[vm.ep.Service]; en != nil {
		return en.ReportLag + lagMargin
	}
	return lagMargin
}

// lagMargin is added to the stated lag of reports, for the ways and for
// machines that are slow for a moment.
const lagMargin = 150 * time.Millisecond

// Unregister tells that an endpoint's entry is gone. The VM may still serve as
// a member, but not as a head, and it is given to no new group.
func (co *Core) Unregister(id string, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.registered = false
	vm.urgent = true
	vm.askBy(now)
}

// Reported takes in what an endpoint said of itself when it was asked at that
// time. An order that was answered since may have changed what it said.
func (co *Core) Reported(id string, re catalog.Report, asked, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.asking = false
	co.answers.Add(now.Sub(asked))
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
		co.note(Event{What: "vm-answers", VM: id})
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

// Failed tells that an endpoint did not answer a question in time that was put at
// that time. The answer may come still.
func (co *Core) Failed(id, reason string, asked, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.asking = false
	if asked.Before(vm.heard) {
		// It has answered a later question meanwhile.
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
		co.note(Event{What: "vm-silent", VM: id, Reason: reason})
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
	co.note(Event{What: "vm-gone", VM: vm.ep.ID, Reason: reason})
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
func (co *Core) Inconclusive(id string, asked, now time.Time) {
	vm, ok := co.vms[id]
	if !ok {
		return
	}
	vm.asking = false
	if asked.Before(vm.heard) {
		return
	}
	vm.unproven++
	if vm.unproven > maxUnproven {
		co.Failed(id, "no answer, though this machine was late itself", asked, now)
		return
	}
	vm.askBy(now.Add(askInterval))
}

// Suspect asks all members of a group at once, since a daemon finds its streams
// standing still; own tells that it is the steward's own. Many daemons find so at the
// same time; they are answered together.
func (co *Core) Suspect(name string, epoch int64, own bool, now time.Time) {
	gr := co.groups[groupKey{name, epoch}]
	if gr == nil {
		return
	}
	if now.Sub(gr.suspected) < suspectPause {
		gr.ownWord = gr.ownWord && own
		return
	}
	first := now.Sub(gr.suspected) >= suspicionSpan
	if first {
		gr.suspectedFirst = now
	}
	gr.suspect, gr.suspected, gr.ownWord, gr.sound = true, now, own, false
	for _, id := range gr.members {
		vm := co.vms[id]
		switch {
		case vm == nil:
		case vm.down:
			vm.askBy(now)
		default:
			if first {
				// What was not answered before this word proves nothing.
				vm.failures = 0
			}
			vm.urgent = true
			vm.askBy(now)
		}
	}
}

// clearSuspicions tells of groups that were suspected and whose members have
// all answered since. Daemons keep requests from a group until then.
func (co *Core) clearSuspicions() {
	for _, ke := range co.keys() {
		gr := co.groups[ke]
		if gr.suspected.IsZero() || gr.sound || gr.doomed || !co.complete(gr) {
			continue
		}
		late := func(id string) bool { return co.vms[id].heard.Before(gr.suspected) }
		if !slices.ContainsFunc(gr.members, late) {
			gr.sound = true
			co.note(Event{What: GroupSound, Group: gr.name, Epoch: gr.epoch, Model: gr.model})
		}
	}
}

// Done tells what came of a command.
func (co *Core) Done(cd Command, out Outcome, now time.Time) {
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
			wait = en.Form
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

func sameMember(one, other *catalog.Membership) bool {
	if one == nil || other == nil {
		return one == other
	}
	return *one == *other
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
	case co.Initial:
		return mo.Load / initialSpeedup
	}
	return mo.Load
}

// initialSpeedup is how much faster loads are before the first request.
const initialSpeedup = 10

func (vm *vm) askBy(at time.Time) {
	if vm.askAt.IsZero() || at.Before(vm.askAt) {
		vm.askAt = at
	}
}
