package dispatch

import (
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/occupancy"
)

// LoadError is the difference between the number of requests that a group's leader states and this
// daemon's estimate at the same moment, without and with the correction by earlier readings.
type LoadError struct{ Uncorrected, Corrected float64 }

// ApplyReading corrects the estimate of a group's load by the reading in a response of its leader
// that was received at now. refused is set if the response refuses the request, which the reading
// then does not count. It returns false if the instance does not lead a group in the view.
func (ta *Table) ApplyReading(li catalog.Instance, re occupancy.Reading, refused bool, now time.Time) (LoadError, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	gr := ta.ledBy(li)
	if gr == nil {
		return LoadError{}, false
	}
	ta.readings = true
	ta.estimatePeers(gr.Model, now)
	lb := ta.levelBase(gr, now)
	diff := float64(re.Requests()) - lb.own - lb.reported - gr.unreported
	if refused {
		diff++
	}
	err := LoadError{diff, diff - lb.correction}
	gr.account.Add(occupancy.Known{Requests: re.Requests(), AsOf: now, LearnedAt: now, Own: true}, ta.loadState(gr), now)
	return err, true
}

// ledBy returns the group in the view that the instance leads, or nil.
func (ta *Table) ledBy(li catalog.Instance) *Group {
	for _, gr := range ta.byName {
		if leader := gr.leader(); gr.inView && leader.ID == li.ID && !leader.Incarnation.Differs(li.Incarnation) {
			return gr
		}
	}
	return nil
}

// loadState returns what this daemon knows about a group's load.
func (ta *Table) loadState(gr *Group) occupancy.State {
	return occupancy.State{Known: occupancy.Parts{Own: float64(gr.ownLoad.Requests), Reported: float64(gr.peerLoad.Requests)},
		Delay: ta.reportDelay, Slots: gr.engine.Slots, Answer: gr.answerTime(), Blind: len(ta.peers) == 0}
}

// applyPeerReadings applies the readings that another daemon has sent.
func (ta *Table) applyPeerReadings(peer string, readings map[string]occupancy.Shared, now time.Time) {
	for name, sh := range readings {
		gr := ta.groups[name]
		asOf, valid := sh.AsOf(now)
		if gr == nil || !gr.inView || !valid {
			continue
		}
		ta.readings = true
		gr.account.Add(occupancy.Known{Requests: sh.Requests, AsOf: asOf, LearnedAt: now, From: peer}, ta.loadState(gr), now)
	}
}

// recordEstimates adds the present estimates to the histories, with which the readings of other
// daemons are compared. It does nothing until a server has stated its load.
func (ta *Table) recordEstimates(now time.Time) {
	if !ta.readings {
		return
	}
	for _, gr := range ta.byName {
		if gr.inView {
			gr.account.Update(ta.loadState(gr), now)
		}
	}
}

// withdrawReport adapts the corrections when the report of a daemon expires.
func (ta *Table) withdrawReport(wo Work, now time.Time) {
	for name, lo := range wo.Loads {
		if gr := ta.groups[name]; gr != nil {
			gr.account.Withdraw(float64(lo.Requests), gr.answerTime(), now)
		}
	}
}

// resetAccounts drops all corrections, which are differences from an estimate with other reports.
func (ta *Table) resetAccounts() {
	for _, gr := range ta.groups {
		gr.account.Reset()
	}
}

// sharedDelays is for how many report delays a reading is sent again. A daemon or the steward sends
// at least two heartbeats in that time, so that one may be lost.
const sharedDelays = 4

// sharedReadings returns the newest reading of each group that this daemon has learned recently and
// that did not come from the daemon except. If ownOnly is set, these are only the ones that this
// daemon took itself.
func (ta *Table) sharedReadings(except string, ownOnly bool, now time.Time) map[string]occupancy.Shared {
	var shared map[string]occupancy.Shared
	for name, gr := range ta.groups {
		re, fresh := gr.account.Newest(now)
		switch {
		case !fresh || !gr.inView || now.Sub(re.LearnedAt) > sharedDelays*ta.reportDelay:
		case !re.Own && (ownOnly || re.From == except):
		default:
			if shared == nil {
				shared = make(map[string]occupancy.Shared)
			}
			shared[name] = occupancy.Share(re.Requests, re.AsOf, now)
		}
	}
	return shared
}

// readingAge returns the age of the newest reading of the group, and 0 if there is none.
func (gr *Group) readingAge(now time.Time) time.Duration {
	if re, fresh := gr.account.Newest(now); fresh {
		return now.Sub(re.AsOf)
	}
	return 0
}
