package steward

import (
	"slices"
	"time"
)

// HandleStallReport handles a daemon's report that a group's streams are stalled, and polls all
// members of the group at once. The flag own marks a report by the steward's own daemon. Many
// daemons detect the same stall at the same time; their reports within stallReportInterval
// share one round of polls.
func (co *Core) HandleStallReport(name string, epoch int64, own bool, now time.Time) {
	gr := co.groups[groupKey{name, epoch}]
	if gr == nil {
		return
	}
	if now.Sub(gr.stallReportedAt) < stallReportInterval {
		gr.ownReportOnly = gr.ownReportOnly && own
		return
	}
	first := now.Sub(gr.stallReportedAt) >= stallReportTTL
	if first {
		gr.firstStallReportAt = now
	}
	gr.stallReported, gr.stallReportedAt, gr.ownReportOnly, gr.confirmedHealthy = true, now, own, false
	for _, id := range gr.members {
		vm := co.vms[id]
		switch {
		case vm == nil:
		case vm.down:
			vm.pollBy(now)
		default:
			if first {
				// Polls that failed before this report prove nothing.
				vm.failures = 0
			}
			vm.urgent = true
			vm.pollBy(now)
		}
	}
}

// confirmHealthyGroups emits an event for each group that was reported as stalled and whose
// members have all answered since. Daemons withhold requests from a group until then.
func (co *Core) confirmHealthyGroups() {
	for _, ke := range co.keys() {
		gr := co.groups[ke]
		if gr.stallReportedAt.IsZero() || gr.confirmedHealthy || gr.outOfUse() || !co.complete(gr) {
			continue
		}
		late := func(id string) bool { return co.vms[id].lastAnsweredPoll.Before(gr.stallReportedAt) }
		if !slices.ContainsFunc(gr.members, late) {
			gr.confirmedHealthy = true
			co.recordEvent(Event{Kind: GroupHealthy, Group: gr.name, Epoch: gr.epoch, Model: gr.model})
		}
	}
}

// HandleProgressReport handles a daemon's report that the streams of a group it had reported as
// stalled make progress again. A replica stalls if any of its members does, so all of them are
// alive.
func (co *Core) HandleProgressReport(name string, epoch int64, now time.Time) {
	gr := co.groups[groupKey{name, epoch}]
	if gr == nil || gr.dissolving {
		return
	}
	gr.stallReportedAt, gr.confirmedHealthy = time.Time{}, false
	for _, id := range gr.members {
		if vm := co.vms[id]; vm != nil && co.isMember(vm, gr) {
			vm.failures, vm.down, vm.urgent = 0, false, false
			vm.pollBy(now.Add(unconfirmedPollInterval))
		}
	}
}
