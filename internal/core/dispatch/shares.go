package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderhub.dev/corianderhub/internal/core/admit"
)

// Shares is what daemons tell each other about the work of workspaces, by model and workspace.
type Shares struct {
	// Demand is the work that the sender's requests ask for, in slots: at most maxDemands of each
	// model.
	Demand map[string]map[string]float32 `cbor:"1,keyasint,omitempty"`
	// Over lists the workspaces above their fair share at all daemons. Only the steward sends it.
	Over map[string]map[string]admit.Overuse `cbor:"2,keyasint,omitempty"`
}

const (
	// maxDemands bounds the workspaces of a model in a report, those with the most work first.
	maxDemands = 16
	// overInterval is the time for which the workspaces above their share are not computed again: the
	// sums change with each report, every 100 ms.
	overInterval = 50 * time.Millisecond
	// minWork is the work in slots below which a workspace is not reported.
	minWork = 0.01
)

// workspaceWork measures the work that this daemon's requests ask for, by model and workspace.
type workspaceWork map[string]map[string]*rate

// add counts a request that occupies a slot for the given time.
func (ww workspaceWork) add(ne Request, slotTime time.Duration, now time.Time) {
	byName := ww[ne.Model]
	if byName == nil {
		byName = make(map[string]*rate)
		ww[ne.Model] = byName
	}
	ra := byName[ne.Workspace]
	if ra == nil {
		if len(byName) >= maxRates {
			maps.DeleteFunc(byName, func(_ string, ra *rate) bool { return ra.decayed(now) <= minWork })
		}
		if len(byName) >= maxRates {
			return
		}
		ra = &rate{at: now}
		byName[ne.Workspace] = ra
	}
	ra.add(slotTime.Seconds(), now)
}

// all returns the work in slots of at most maxDemands workspaces of each model.
func (ww workspaceWork) all(now time.Time) map[string]map[string]float32 {
	all := make(map[string]map[string]float32, len(ww))
	for model, byName := range ww {
		most := make(map[string]float32)
		for name, ra := range byName {
			if work := ra.decayed(now); work > minWork {
				most[name] = float32(work)
			}
		}
		if len(most) > maxDemands {
			names := slices.SortedFunc(maps.Keys(most), func(one, other string) int {
				return cmp.Or(cmp.Compare(most[other], most[one]), cmp.Compare(one, other))
			})
			for _, name := range names[maxDemands:] {
				delete(most, name)
			}
		}
		if len(most) > 0 {
			all[model] = most
		}
	}
	return all
}

// recordWork counts the work that a request asks for. sample is a group of its model.
func (ta *Table) recordWork(ne Request, sample *Group, now time.Time) {
	if !ta.FairShares || ne.Resumed || ne.Repeated || ne.Workspace == "" {
		return
	}
	if ta.work == nil {
		ta.work = make(workspaceWork)
	}
	ta.work.add(ne, ta.serviceTime(sample, ne.Prompt)*time.Duration(sample.engine.Slots), now)
}

// ownShares returns the work of this daemon's requests.
func (ta *Table) ownShares(now time.Time) Shares {
	if !ta.FairShares {
		return Shares{}
	}
	return Shares{Demand: ta.work.all(now)}
}

// overusers returns the workspaces above their share by the work of this daemon and of those whose
// reports it has, by model. The result is not changed later.
func (ta *Table) overusers(now time.Time) map[string]map[string]admit.Overuse {
	if !ta.FairShares || now.Sub(ta.overAt) < overInterval {
		return ta.over
	}
	sums := make(map[string]map[string]float64)
	add := func(demand map[string]map[string]float32) {
		for model, byName := range demand {
			if sums[model] == nil {
				sums[model] = make(map[string]float64, len(byName))
			}
			for name, work := range byName {
				sums[model][name] += float64(max(0, work))
			}
		}
	}
	add(ta.work.all(now))
	for _, pe := range ta.peers {
		if now.Sub(pe.at) <= maxPeerLoadAge {
			add(pe.Shares.Demand)
		}
	}
	ta.over, ta.overAt = make(map[string]map[string]admit.Overuse), now
	for model, demand := range sums {
		ranks := ta.ranksOf(model, now)
		if over := admit.Overusers(demand, ranks.Service()); len(over) > 0 {
			ta.over[model] = over
		}
	}
	return ta.over
}

// overOf returns the workspaces of a model that are above their share: as announced by the steward, or
// else by the reports that this daemon has.
func (ta *Table) overOf(model string, now time.Time) map[string]admit.Overuse {
	if !ta.FairShares {
		return nil
	}
	if relayed, ok := ta.peers[relayedPeer]; ok && now.Sub(relayed.at) <= maxPeerLoadAge {
		return relayed.Shares.Over[model]
	}
	return ta.overusers(now)[model]
}
