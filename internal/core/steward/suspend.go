package steward

import (
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Silence may end, and an order to leave a group ends the requests that are still there. A serving
// group that has lost a member by its silence alone is therefore suspended before it is dissolved: it
// leaves the view, so that it gets no new requests and daemons try other groups for those in progress.
// It is dissolved once none of them is left, and resumed if all members respond before.

const (
	// maxHold bounds how long the members that respond are held in a suspended group whose requests
	// have stalled. They are not held for a silent member that accepts no connections: its machine is
	// probably down. While no member responds, there is nothing to gain from dissolving the group.
	maxHold = 2 * time.Second
	// connectInterval is the time between attempts to connect to the silent members, connectTime the
	// time after which one that accepts no connection counts as unreachable.
	connectInterval = 200 * time.Millisecond
	connectTime     = 200 * time.Millisecond
)

// reviveTime is how long a group without requests is held after all of its members were silent and one
// of them has responded: the others are polled meanwhile.
const reviveTime = 500 * time.Millisecond

// suspension is the state of a suspended group.
type suspension struct {
	// lost is the member whose silence stopped the group, silentSince the start of that silence.
	lost        string
	silentSince time.Time
	// limit bounds held, the time for which members that respond have been held, up to checkedAt.
	limit, held time.Duration
	checkedAt   time.Time
	// confirmedFrom is since when no member has been known to be silent; zero while one is.
	confirmedFrom time.Time
	// allSilent is set once no member has responded since the group was suspended, or since the orders
	// to dissolve it. finishingSince is when one has responded to the steward after those orders.
	allSilent      bool
	finishingSince time.Time
}

// outOfUse reports whether the group has left the view for good or until it is resumed.
func (gr *group) outOfUse() bool { return gr.dissolving || gr.suspension != nil }

// silentMember returns a member whose loss is confirmed by its silence, or nil.
func (co *Core) silentMember(gr *group, now time.Time) *vm {
	for _, id := range gr.members {
		if vm := co.vms[id]; vm != nil && vm.down && co.lossConfirmed(gr, vm, now) {
			return vm
		}
	}
	return nil
}

// stepSilent decides whether a group that has lost a member by its silence is suspended, resumed or
// dissolved. The member lost is nil if the group is suspended and no loss is confirmed any more.
func (co *Core) stepSilent(gr *group, lost *vm, now time.Time) []Call {
	su := gr.suspension
	switch {
	case su == nil:
		su = &suspension{lost: lost.ep.ID, silentSince: lost.unresponsiveSince, limit: co.holdLimit(gr, lost, now), checkedAt: now}
	case !co.hasUnresponsive(gr):
		co.stepResuming(gr, now)
		return nil
	}
	su.confirmedFrom = time.Time{}
	responds := co.anyResponds(gr)
	if responds {
		su.held += now.Sub(su.checkedAt)
	}
	su.allSilent = su.allSilent || !responds
	su.checkedAt = now
	if why := co.endOfHold(gr, su, responds, now); why != "" {
		gr.dissolving, gr.suspension, su.allSilent = true, su, false
		co.recordSilence("group-broken", gr, su, "member "+su.lost+" lost: "+why, now)
		return co.dissolve(gr)
	}
	if gr.suspension == nil {
		gr.suspension = su
		co.recordSilence("group-suspended", gr, su, "member "+su.lost+" is silent", now)
	}
	co.pollSuspended(gr, responds, now)
	return nil
}

// connects returns the calls that show whether the silent members of a group accept connections.
func (co *Core) connects(gr *group, now time.Time) []Call {
	if now.Before(gr.connectAt) {
		return nil
	}
	var calls []Call
	for _, id := range gr.members {
		vm := co.vms[id]
		if vm == nil || vm.failures == 0 || vm.accepts() {
			continue
		}
		if vm.connectingSince.Before(vm.unresponsiveSince) {
			vm.connectingSince = now
		}
		gr.connectAt = now.Add(connectInterval)
		calls = append(calls, Connect{ID: id, Address: vm.ep.Address})
	}
	return calls
}

// HandleConnected records that a VM has accepted a connection.
func (co *Core) HandleConnected(id string, now time.Time) {
	if vm := co.vms[id]; vm != nil {
		vm.connectedAt = now
	}
}

// accepts reports whether the VM has accepted a connection since it became unresponsive.
func (vm *vm) accepts() bool { return vm.connectedAt.After(vm.unresponsiveSince) }

// unreachable reports whether the VM has accepted no connection for connectTime.
func (vm *vm) unreachable(now time.Time) bool {
	return vm.down && !vm.accepts() && !vm.connectingSince.Before(vm.unresponsiveSince) && now.Sub(vm.connectingSince) >= connectTime
}

// stepResuming resumes a suspended group once each member has answered a poll sent since none was
// known to be silent. Others may have fallen silent after they last answered.
func (co *Core) stepResuming(gr *group, now time.Time) {
	su := gr.suspension
	if su.confirmedFrom.IsZero() {
		su.confirmedFrom = now
		for _, id := range gr.members {
			co.vms[id].urgent = true
			co.vms[id].pollBy(now)
		}
	}
	if !slices.ContainsFunc(gr.members, func(id string) bool { return co.vms[id].lastAnsweredPoll.Before(su.confirmedFrom) }) {
		gr.suspension = nil
		co.recordSilence("group-resumed", gr, su, "all members respond", now)
	}
}

// finishing reports whether a group that is being dissolved because of a member's silence still
// finishes its requests: the others were silent, too, when they were ordered to leave, and members
// respond again before any has left. The orders may still be carried out, so it is not resumed.
func (co *Core) finishing(gr *group, now time.Time) bool {
	su := gr.suspension
	if su == nil || co.requestsAt(gr) == 0 || !co.complete(gr) || co.vms[gr.members[0]].ep.Member.State != catalog.Open {
		return false
	}
	responds, limit := co.anyResponds(gr), co.drainTimeout(gr)
	su.allSilent = su.allSilent || !responds
	if co.hasUnresponsive(gr) {
		if !su.allSilent {
			return false
		}
		limit = maxHold
	}
	co.pollSuspended(gr, responds, now)
	if responds && su.finishingSince.IsZero() {
		su.finishingSince = now
		co.recordSilence("group-finishing", gr, su, "members respond before any has left", now)
	}
	return !responds || now.Sub(su.finishingSince) < limit
}

// holdLimit returns how long the members of a group may be held. If no daemon reports a stall, the
// requests make progress, and the limit is that of other groups that finish their requests.
func (co *Core) holdLimit(gr *group, lost *vm, now time.Time) time.Duration {
	if now.Sub(gr.stallReportedAt) >= stallReportTTL && now.Sub(lost.unresponsiveSince) > unresponsiveTimeout {
		return co.drainTimeout(gr)
	}
	return maxHold
}

// endOfHold returns why a group that has lost a member by its silence is dissolved now, or "" if it is
// not.
func (co *Core) endOfHold(gr *group, su *suspension, responds bool, now time.Time) string {
	left := co.requestsAt(gr)
	switch {
	case !co.complete(gr) || left == 0 && co.vms[gr.members[0]].ep.Member.State != catalog.Open:
		return "the group does not serve"
	case slices.ContainsFunc(gr.members, func(id string) bool { return co.vms[id].ended() }):
		return "its process has ended"
	case !responds:
		return ""
	case left == 0 && (!su.allSilent || su.held >= reviveTime):
		return "no requests left"
	case su.held >= su.limit:
		return "silent for too long"
	case su.limit == maxHold && slices.ContainsFunc(gr.members, func(id string) bool { return co.vms[id].unreachable(now) }):
		return "silent and unreachable"
	}
	return ""
}

// requestsAt returns the number of requests in progress at the group.
func (co *Core) requestsAt(gr *group) int {
	if co.RequestsAt == nil {
		return 0
	}
	return co.RequestsAt(gr.name)
}

// hasUnresponsive reports whether a member of the group is unresponsive or not known.
func (co *Core) hasUnresponsive(gr *group) bool {
	return slices.ContainsFunc(gr.members, func(id string) bool { return co.vms[id] == nil || co.vms[id].down })
}

// anyResponds reports whether a member of the group responds and could be used elsewhere.
func (co *Core) anyResponds(gr *group) bool {
	return slices.ContainsFunc(gr.members, func(id string) bool {
		vm := co.vms[id]
		return vm != nil && vm.reported && !vm.down && vm.failures == 0
	})
}

// pollSuspended polls the unresponsive members of a suspended group at short intervals: only the
// leader while no member responds, since whole domains may be silent.
func (co *Core) pollSuspended(gr *group, responds bool, now time.Time) {
	for rank, id := range gr.members {
		if vm := co.vms[id]; vm.down && (rank == 0 || responds) {
			vm.pollBy(now.Add(unconfirmedPollInterval))
		}
	}
}

// recordSilence emits an event about a group that has lost a member by its silence.
func (co *Core) recordSilence(kind string, gr *group, su *suspension, why string, now time.Time) {
	co.recordEvent(Event{Kind: kind, Group: gr.name, Epoch: gr.epoch, Model: gr.model, VM: su.lost, Members: gr.members, Reason: why,
		Silence: now.Sub(su.silentSince), Held: su.held, Requests: co.requestsAt(gr)})
}

// HandleRefusedPoll records that the connection for a poll sent at sentAt was refused, which shows
// that the VM's process has ended.
func (co *Core) HandleRefusedPoll(id, reason string, sentAt, now time.Time) {
	if vm := co.vms[id]; vm != nil {
		vm.refusedAt = sentAt
	}
	co.HandlePollFailure(id, reason, sentAt, now)
}

// ended reports whether the VM is unresponsive and has refused a connection since it became so.
func (vm *vm) ended() bool {
	return vm.down && !vm.refusedAt.IsZero() && !vm.refusedAt.Before(vm.unresponsiveSince)
}
