package steward

import (
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// work is how many groups of each model callers keep busy, by what daemons measure.
type work struct {
	// busy is by model, smoothed over workSpan.
	busy map[string]float64
	// since is when requests were first measured, at when it was last told of them.
	since, at time.Time
	// follow is set while the split follows the measured work, until followUntil.
	follow      bool
	followUntil time.Time
}

const (
	// workSpan is the time over which the measured work is smoothed. Loads take longer, so
	// a split that followed each wave of requests would come too late for it.
	workSpan = 4 * time.Second
	// workSettle is how long requests must have been measured before the stated shares
	// give way to them: rates are smoothed over seconds themselves.
	workSettle = time.Second
)

// SetDemand takes in what callers ask of each model.
func (co *Core) SetDemand(demand map[string]catalog.Demand, now time.Time) {
	if len(demand) == 0 {
		return
	}
	wo := &co.work
	fresh := 1 - math.Exp(-now.Sub(wo.at).Seconds()/workSpan.Seconds())
	if wo.busy == nil {
		wo.busy, wo.since, fresh = make(map[string]float64), now, 1
	}
	wo.at = now
	for _, en := range co.services {
		for _, mo := range en.Models {
			wo.busy[mo.Name] += fresh * (demand[mo.Name].Groups(en, mo) - wo.busy[mo.Name])
		}
	}
}

// measured tells whether enough requests were measured to go by them.
func (co *Core) measured(en *catalog.Engine) bool {
	if co.work.busy == nil || co.work.at.Sub(co.work.since) < workSettle {
		return false
	}
	for _, mo := range en.Models {
		if co.work.busy[mo.Name] > minBusy {
			return true
		}
	}
	return false
}

// minBusy is the work in groups below which nothing is learnt from its proportions.
const minBusy = 0.05

// busy returns the work that callers ask of each model, in groups: as measured, or as
// stated until requests were measured.
func (co *Core) busy(en *catalog.Engine) []float64 {
	busy := make([]float64, len(en.Models))
	if co.measured(en) {
		for mi, mo := range en.Models {
			busy[mi] = co.work.busy[mo.Name]
		}
		return busy
	}
	weights := statedWeights(en)
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for mi, mo := range en.Models {
		busy[mi] = statedUse * float64(len(co.vms)) * weights[mi] / sum / float64(max(1, mo.Size))
	}
	return busy
}

// statedUse is the part of the VMs' time that is taken as used before requests were
// measured. Then only a model with hardly any groups is worth a change.
const statedUse = 0.3

// weights returns each model's part of the VMs' time: as stated, unless what was measured
// has shown that to be wrong.
func (co *Core) weights(en *catalog.Engine) []float64 {
	if !co.work.follow {
		return statedWeights(en)
	}
	return measuredWeights(en, co.busy(en))
}

// measuredWeights returns each model's part of the VMs' time by the work that it has.
func measuredWeights(en *catalog.Engine, busy []float64) []float64 {
	weights, sum := make([]float64, len(busy)), 0.0
	for mi, mo := range en.Models {
		weights[mi] = busy[mi] * float64(mo.Size)
		sum += weights[mi]
	}
	if sum <= 0 {
		return statedWeights(en)
	}
	for mi := range weights {
		weights[mi] = max(minShare, weights[mi]/sum)
	}
	return weights
}

// statedWeights returns each model's stated part of the work, a little less for a model
// whose groups are fast: they bear more load within the same objective.
func statedWeights(en *catalog.Engine) []float64 {
	weights := make([]float64, len(en.Models))
	for mi, mo := range en.Models {
		weights[mi] = max(mo.Share, minShare) * math.Pow(mo.TimeFactor(), paceExponent)
	}
	return weights
}

const (
	// minShare keeps a model that nobody asks for right now from vanishing.
	minShare = 0.02
	// paceExponent says how much a model's pace counts beside its share. The share is
	// stated of the VMs' time, so that the pace is in it already.
	paceExponent = 0.33
)
