package steward

import (
	"fmt"
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// measuredDemand is the demand that callers put on each model, in groups, as measured by
// daemons.
type measuredDemand struct {
	// busy is the demand by model name, smoothed over demandSmoothingTime.
	busy map[string]float64
	// longBusy is the demand smoothed over longSmoothingTime, for engines that stage models.
	longBusy map[string]float64
	// measuredSince is when requests were first measured, lastMeasured when they last were.
	measuredSince, lastMeasured time.Time
	// useMeasured is set while the split follows the measured demand, which lasts until
	// useMeasuredUntil.
	useMeasured      bool
	useMeasuredUntil time.Time
}

const (
	// demandSmoothingTime is the time constant over which the measured demand is smoothed.
	// Loads take longer than that, so a split that followed each short peak would change too
	// late for it.
	demandSmoothingTime = 4 * time.Second
	// demandWarmupTime is how long requests must have been measured before the measurements
	// replace the configured shares. The measured rates are themselves smoothed over seconds.
	demandWarmupTime = time.Second
	// longSmoothingTime is the time constant of the demand that a reversal of an exchange must
	// agree with. The demand swings with periods of up to some 20 s.
	longSmoothingTime = 20 * time.Second
)

// SetDemand records the current demand on each model, by model name. An empty map is ignored.
func (co *Core) SetDemand(demand map[string]catalog.Demand, now time.Time) {
	if len(demand) == 0 {
		return
	}
	md := &co.demand
	alpha := 1 - math.Exp(-now.Sub(md.lastMeasured).Seconds()/demandSmoothingTime.Seconds())
	if md.busy == nil {
		md.busy, md.longBusy, md.measuredSince, alpha = make(map[string]float64), make(map[string]float64), now, 1
	}
	sinceLast := now.Sub(md.lastMeasured)
	md.lastMeasured = now
	for _, en := range co.services {
		alpha, longAlpha := alpha, 1.0
		if measured := now.Sub(md.measuredSince); en.StagesModels() && measured > 0 {
			// Until the smoothing time has passed, the demand is the mean so far. Otherwise the
			// first samples would count for too much.
			part := min(1, sinceLast.Seconds()/measured.Seconds())
			alpha, longAlpha = max(alpha, part), max(part, 1-math.Exp(-sinceLast.Seconds()/longSmoothingTime.Seconds()))
		}
		for _, mo := range en.Models {
			groups := demand[mo.Name].Groups(en, mo)
			md.busy[mo.Name] += alpha * (groups - md.busy[mo.Name])
			md.longBusy[mo.Name] += longAlpha * (groups - md.longBusy[mo.Name])
		}
	}
}

// describe returns the age of the demand, for logs.
func (md *measuredDemand) describe(now time.Time) string {
	return fmt.Sprintf("; demand %d ms old, measured for %.1f s", now.Sub(md.lastMeasured).Milliseconds(), now.Sub(md.measuredSince).Seconds())
}

// hasMeasuredDemand reports whether enough requests were measured to rely on.
func (co *Core) hasMeasuredDemand(en *catalog.Engine) bool {
	if co.demand.busy == nil || co.demand.lastMeasured.Sub(co.demand.measuredSince) < demandWarmupTime {
		return false
	}
	for _, mo := range en.Models {
		if co.demand.busy[mo.Name] > minMeasuredDemand {
			return true
		}
	}
	return false
}

// minMeasuredDemand is the demand, in groups, below which the proportions between models are
// not significant.
const minMeasuredDemand = 0.05

// busy returns the demand on each model in groups: as measured, or estimated from the
// configured shares until enough requests have been measured.
func (co *Core) busy(en *catalog.Engine) []float64 {
	busy := make([]float64, len(en.Models))
	if co.hasMeasuredDemand(en) {
		for mi, mo := range en.Models {
			busy[mi] = co.demand.busy[mo.Name]
		}
		return busy
	}
	weights := configuredWeights(en)
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for mi, mo := range en.Models {
		busy[mi] = assumedUtilization * float64(len(co.vms)) * weights[mi] / sum / float64(max(1, mo.Size))
	}
	return busy
}

// assumedUtilization is the fraction of the VMs' time that is assumed to be in use before
// requests have been measured. At this level only a model with hardly any groups justifies a
// change.
const assumedUtilization = 0.3

// weights returns each model's share of the VMs' time: the configured share, or the measured
// one if measurements have shown the configured one to be wrong.
func (co *Core) weights(en *catalog.Engine) []float64 {
	if !co.demand.useMeasured {
		return configuredWeights(en)
	}
	return measuredWeights(en, co.busy(en))
}

// measuredWeights returns each model's share of the VMs' time according to the given demand.
func measuredWeights(en *catalog.Engine, busy []float64) []float64 {
	weights, sum := make([]float64, len(busy)), 0.0
	for mi, mo := range en.Models {
		weights[mi] = busy[mi] * float64(mo.Size)
		sum += weights[mi]
	}
	if sum <= 0 {
		return configuredWeights(en)
	}
	for mi := range weights {
		weights[mi] = max(minShare, weights[mi]/sum)
	}
	return weights
}

// configuredWeights returns each model's configured share of the work, somewhat reduced for a
// model with fast groups: these sustain a higher load within the same latency objective.
func configuredWeights(en *catalog.Engine) []float64 {
	weights := make([]float64, len(en.Models))
	for mi, mo := range en.Models {
		weights[mi] = max(mo.Share, minShare) * math.Pow(mo.TimeFactor(), paceExponent)
	}
	return weights
}

const (
	// minShare is a lower bound that keeps some capacity for a model without current requests.
	minShare = 0.02
	// paceExponent determines how strongly a model's pace affects its weight. It is small
	// because the configured share refers to the VMs' time and already includes the pace.
	paceExponent = 0.33
)
