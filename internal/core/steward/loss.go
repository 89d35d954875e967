package steward

import "time"

// A VM that does not respond to polls is unresponsive but not necessarily lost: its machine,
// the network, or the steward's machine may be slow. How much evidence confirms a loss depends
// on the cost of a mistake. A serving group is dissolved only if other daemons report its
// streams as stalled too, or if the VM stays unresponsive for long.

const (
	// unresponsiveTimeout is how long a member that has reported to this steward must be
	// unresponsive before its group is dissolved without a stall report. Such a group runs no
	// requests, or its streams still make progress.
	unresponsiveTimeout = 4 * time.Second
	// stallReportTTL is how long a stall report remains valid. Daemons repeat it every 0.7 s.
	stallReportTTL = 2 * time.Second
	// stallConfirmTime is how long after the first stall report a member's loss is confirmed
	// at the earliest. Streams that only pause have resumed by then.
	stallConfirmTime = 200 * time.Millisecond
	// unseenTimeout replaces unresponsiveTimeout for a member that has never reported to this
	// steward: it may have died before the steward took over.
	unseenTimeout = 600 * time.Millisecond
	// unconfirmedPollInterval is the time between polls of an unresponsive member whose loss
	// is not confirmed.
	unconfirmedPollInterval = 250 * time.Millisecond
	// localFaultWindow and localFaultDomains define when the steward suspects its own network
	// path: VMs in at least that many fabric domains became unresponsive within that time.
	// Real losses hit single VMs, one domain, or a whole data centre, and in the last case
	// other daemons also see the streams of its groups stall.
	localFaultWindow  = 600 * time.Millisecond
	localFaultDomains = 3
)

// lossConfirmed reports whether an unresponsive member of a group counts as lost. A steward that no
// VM answers may be cut off itself.
func (co *Core) lossConfirmed(gr *group, vm *vm, now time.Time) bool {
	switch {
	case !vm.witnessed():
		return false
	case co.vms[gr.members[0]] == nil || !co.complete(gr):
		// The group does not serve, so its other members are better used elsewhere.
		return true
	case now.Sub(vm.unresponsiveSince) > unresponsiveTimeout:
		return true
	case now.Sub(gr.stallReportedAt) < stallReportTTL:
		return now.Sub(gr.firstStallReportAt) >= stallConfirmTime && (!gr.ownReportOnly || !co.localFaultLikely(now))
	}
	return !vm.reported && now.Sub(vm.unresponsiveSince) > unseenTimeout && !co.localFaultLikely(now)
}

// unconfirmedPollInterval returns the time between polls of an unresponsive member whose loss
// is not confirmed. It is zero for a member that has never reported, whose loss is about to be
// decided.
func (co *Core) unconfirmedPollInterval(vm *vm) time.Duration {
	if !vm.reported {
		return 0
	}
	return unconfirmedPollInterval
}

// localFaultLikely reports whether VMs in so many domains have become unresponsive at once
// that this machine or its link is the likely cause.
func (co *Core) localFaultLikely(now time.Time) bool {
	num := 0
	for _, at := range co.unresponsiveAt {
		if now.Sub(at) < localFaultWindow {
			num++
		}
	}
	return num >= localFaultDomains
}

// startWitnessing begins the evidence against a VM whose poll sent at sentAt has failed and that
// answered the one before.
func (co *Core) startWitnessing(vm *vm, sentAt time.Time) {
	vm.unresponsiveSince, vm.witnessedAt, vm.witnessedFailures = sentAt, time.Time{}, 0
	if !co.lastAnsweredPoll.Before(sentAt) {
		vm.witnessedAt = sentAt
		return
	}
	co.unwitnessed[vm.ep.ID] = true
}

// recordAnswer records that a VM has answered a poll sent at sentAt: the steward reaches VMs. Those
// that became unresponsive before are polled again, since only polls that fail from then on count.
func (co *Core) recordAnswer(sentAt, now time.Time) {
	if !sentAt.After(co.lastAnsweredPoll) {
		return
	}
	co.lastAnsweredPoll = sentAt
	for id := range co.unwitnessed {
		vm := co.vms[id]
		switch {
		case vm == nil || vm.failures == 0:
			delete(co.unwitnessed, id)
		case !sentAt.Before(vm.unresponsiveSince):
			delete(co.unwitnessed, id)
			vm.witnessedAt = sentAt
			vm.pollBy(now)
		}
	}
}

// witnessed reports whether enough polls of an unresponsive VM have failed since another VM has
// answered.
func (vm *vm) witnessed() bool { return vm.witnessedFailures >= maxFailures }

// witnessInterval is the time between polls of VMs that are to show whether the steward reaches any.
const witnessInterval = 100 * time.Millisecond

// pollWitnesses polls one VM in each domain while a VM is unresponsive and none has answered since.
func (co *Core) pollWitnesses(now time.Time) {
	if now.Sub(co.witnessesPolledAt) < witnessInterval || !co.needsWitness() {
		return
	}
	co.witnessesPolledAt = now
	polled := make(map[string]bool)
	for _, id := range co.ids() {
		vm := co.vms[id]
		if !polled[vm.ep.Domain] && !vm.down && vm.failures == 0 {
			polled[vm.ep.Domain] = true
			vm.pollBy(now)
		}
	}
}

// needsWitness reports whether a VM is unresponsive and none has answered since.
func (co *Core) needsWitness() bool {
	for id := range co.unwitnessed {
		if vm := co.vms[id]; vm != nil && vm.down {
			return true
		}
	}
	return false
}
