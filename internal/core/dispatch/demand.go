package dispatch

import (
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// demands holds the measured demand for each model.
type demands map[string]*demand

// demand is the measured demand for one model.
type demand struct {
	// requests is the rate of first attempts, prompt the rate of their prompt tokens.
	requests, prompt rate
	// since is the time from which requests are counted: that of the first request, whose prompt had
	// firstPrompt tokens.
	since       time.Time
	firstPrompt float64
	// meanAnswer is the smoothed length of a complete answer in tokens, answerCount the number of
	// samples in it, up to answerWindow.
	meanAnswer  float64
	answerCount int
}

// answerWindow is the number of answers over which meanAnswer is smoothed.
const answerWindow = 64

// forModel returns the demand for a model and creates it if necessary. It returns nil if maxRates
// models are already tracked: callers can send arbitrary model names.
func (dm demands) forModel(model string, now time.Time) *demand {
	de := dm[model]
	if de == nil && len(dm) < maxRates {
		de = &demand{requests: rate{at: now}, prompt: rate{at: now}, since: now}
		dm[model] = de
	}
	return de
}

// recordRequest counts the first attempt of a request.
func (dm demands) recordRequest(model string, prompt int64, now time.Time) {
	if de := dm.forModel(model, now); de != nil {
		if de.requests.perSecond == 0 {
			de.firstPrompt = float64(prompt)
		}
		de.requests.add(1, now)
		de.prompt.add(float64(prompt), now)
	}
}

// recordAnswer adds the length of a complete answer in tokens to the mean.
func (dm demands) recordAnswer(model string, tokens int, now time.Time) {
	if de := dm.forModel(model, now); de != nil {
		de.answerCount = min(answerWindow, de.answerCount+1)
		de.meanAnswer += (float64(tokens) - de.meanAnswer) / float64(de.answerCount)
	}
}

// all returns the demand for all models with current requests. describe returns the answer length in
// tokens to assume for a model without a complete answer yet, and whether to exclude the first
// request.
func (dm demands) all(describe func(model string) (defaultAnswer float64, excludeFirst bool), now time.Time) map[string]catalog.Demand {
	all := make(map[string]catalog.Demand, len(dm))
	for model, de := range dm {
		if de.requests.decayed(now) <= minRate {
			continue
		}
		answer, excludeFirst := describe(model)
		if de.answerCount > 0 {
			answer = de.meanAnswer
		}
		requests, prompt := de.requests.decayed(now), de.prompt.decayed(now)
		if excludeFirst {
			first := math.Exp(-now.Sub(de.since).Seconds()/rateTimeConstant.Seconds()) / rateTimeConstant.Seconds()
			requests, prompt = max(0, requests-first), max(0, prompt-first*de.firstPrompt)
		}
		requests *= de.startupCorrection(now)
		all[model] = catalog.Demand{Requests: float32(requests), Prompt: float32(prompt * de.startupCorrection(now)), Answer: float32(requests * answer)}
	}
	return all
}

// startupCorrection returns the factor that corrects a smoothed rate for the time before since,
// which the smoothing treats as time without requests.
func (de *demand) startupCorrection(now time.Time) float64 {
	counted := max(minCountingTime, now.Sub(de.since))
	return 1 / (1 - math.Exp(-counted.Seconds()/rateTimeConstant.Seconds()))
}

// minCountingTime is the least counting time assumed in startupCorrection; it bounds the factor when
// there are only a few samples.
const minCountingTime = 400 * time.Millisecond

// RecordAnswer records a complete answer of the given number of events.
func (ta *Table) RecordAnswer(gr *Group, events int, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.demands.recordAnswer(gr.Model, events*gr.engine.Stride, now)
}

// Demand returns the demand for each model, summed over all daemons with a recent report.
func (ta *Table) Demand(now time.Time) map[string]catalog.Demand {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	all := ta.ownDemand(now)
	for _, pe := range ta.peers {
		for model, de := range pe.Demand {
			all[model] = all[model].Plus(de)
		}
	}
	return all
}

// ownDemand returns the demand measured by this daemon. The caller holds mu. The first request is
// excluded where the steward decides soon after it: counting begins with that request, so the rate
// of many daemons with few requests each would be too high by one request per daemon.
func (ta *Table) ownDemand(now time.Time) map[string]catalog.Demand {
	return ta.demands.all(func(model string) (float64, bool) {
		for _, gr := range ta.byName {
			if gr.Model == model {
				return gr.engine.MeanAnswer, gr.engine.StagesModels()
			}
		}
		return 0, false
	}, now)
}
