package steward

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// watchedGroup is a group that has served, with the time since which it has lacked a member, the time
// since which it lacks none again, and the time since which a member has been dead; zero if it does not
// apply.
type watchedGroup struct {
	catalog.Group
	lackingSince, completeSince, deadSince time.Time
}

// Guards, for random silences, deaths and lost packets, against cutting a group with requests that
// has not lacked a member for maxHold, and against keeping one that has lost a member for longer than
// stated. That no VM belongs to two groups and that no incomplete group runs is checked at each step.
func TestSuspensionInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		si := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 4).Draw(rt, "domains"), 9)
		si.runInitialLoads(5 * time.Second)
		si.lostPollResponses = rapid.Float64Range(0, 0.05).Draw(rt, "lost")
		watched, silentUntil := make(map[string]*watchedGroup), make(map[string]time.Time)
		reportAt := si.now
		for end := si.now.Add(20 * time.Second); si.now.Before(end); {
			if si.rnd.IntN(60) == 0 {
				si.fallSilent(silentUntil)
			}
			if si.rnd.IntN(600) == 0 {
				si.killOne()
			}
			si.endSilences(silentUntil)
			si.watchGroups(watched)
			si.step()
			if !si.now.Before(reportAt) {
				reportAt = si.now.Add(stallDetectTime)
				si.reportStalls()
			}
			for _, wg := range watched {
				if si.checkSuspension(rt, wg) {
					delete(watched, wg.Name)
				}
			}
		}
	})
}

// fallSilent makes a random VM silent for up to 3 s.
func (si *simulation) fallSilent(until map[string]time.Time) {
	ids := si.fleet.IDs()
	id := ids[si.rnd.IntN(len(ids))]
	si.setUnreachable(id, true)
	until[id] = si.now.Add(time.Duration(100+si.rnd.IntN(2900)) * time.Millisecond)
}

// endSilences ends the silences that are due.
func (si *simulation) endSilences(until map[string]time.Time) {
	for id, at := range until {
		if !si.now.Before(at) {
			si.setUnreachable(id, false)
			delete(until, id)
		}
	}
}

// watchGroups adds the groups that serve, with up to two requests each, and drops those that drain:
// a drained group is dissolved with whatever is left there after its drain timeout.
func (si *simulation) watchGroups(watched map[string]*watchedGroup) {
	for _, gr := range si.core.Groups() {
		if gr.Draining {
			delete(watched, gr.Name)
			continue
		}
		if watched[gr.Name] == nil {
			watched[gr.Name] = &watchedGroup{Group: gr}
			si.requests[gr.Name] = si.rnd.IntN(3)
			si.fleet.Update(gr.Leader().ID, func(vm *emulator.VM) { vm.Running = si.requests[gr.Name] })
		}
	}
}

// checkSuspension checks a group and reports whether it has been dissolved.
func (si *simulation) checkSuspension(rt *rapid.T, wg *watchedGroup) bool {
	// The steward polls a silent member every 0.4 s, and loses some responses.
	const noticeTime = 1200 * time.Millisecond
	cut, dead := si.isCut(wg.Group), si.hasDeadMember(wg.Group)
	switch {
	case cut || dead || !si.allReachable(wg.Group):
		wg.completeSince = time.Time{}
		if wg.lackingSince.IsZero() {
			wg.lackingSince = si.now
		}
	case wg.completeSince.IsZero():
		wg.completeSince = si.now
	case si.now.Sub(wg.completeSince) >= noticeTime:
		wg.lackingSince = time.Time{}
	}
	if dead && wg.deadSince.IsZero() {
		wg.deadSince = si.now
	}
	if wg.lackingSince.IsZero() {
		return false
	}
	lacking := si.now.Sub(wg.lackingSince)
	switch {
	case dead && si.keptByResponsive(wg.Group):
		if held := si.now.Sub(wg.deadSince); held > unresponsiveTimeout+maxHold+noticeTime {
			rt.Fatalf("members of %s are held there %v after the loss of one", wg.Name, held)
		}
		return false
	case cut && !dead && si.requests[wg.Name] > 0 && lacking < maxHold && !si.finishTimeOver(wg.Group):
		rt.Fatalf("%s was cut with %d requests, %v after it had lost touch with a member", wg.Name, si.requests[wg.Name], lacking)
	}
	return cut || dead
}

// finishTimeOver reports whether the group has had its drain timeout to finish its requests, like one that
// is drained.
func (si *simulation) finishTimeOver(cg catalog.Group) bool {
	gr := si.core.groups[groupKey{cg.Name, cg.Epoch}]
	return gr != nil && gr.suspension != nil && !gr.suspension.finishingSince.IsZero() &&
		si.now.Sub(gr.suspension.finishingSince) >= si.core.drainTimeout(gr)
}

// allReachable reports whether all members of the group respond.
func (si *simulation) allReachable(gr catalog.Group) bool {
	for _, me := range gr.Members {
		if _, ok := si.fleet.Report(me.ID, si.now); !ok {
			return false
		}
	}
	return true
}

// hasDeadMember reports whether a member of the group has died.
func (si *simulation) hasDeadMember(gr catalog.Group) bool {
	for _, me := range gr.Members {
		if _, ok := si.fleet.Entry(me.ID, si.now); !ok {
			return true
		}
	}
	return false
}

// keptByResponsive reports whether a member that responds to the steward still belongs to the group.
// One that has recovered unnoticed is polled at long intervals until its entry is written.
func (si *simulation) keptByResponsive(gr catalog.Group) bool {
	for _, me := range gr.Members {
		re, ok := si.fleet.Report(me.ID, si.now)
		vm := si.core.vms[me.ID]
		if ok && vm != nil && !vm.down && re.Member != nil && re.Member.Group == gr.Name && re.Member.Epoch == gr.Epoch {
			return true
		}
	}
	return false
}
