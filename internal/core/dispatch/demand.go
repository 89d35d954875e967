package dispatch

import (
	"math"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// demands measures what callers ask of each model.
type demands map[string]*demand

// demand is what is measured of one model's requests.
type demand struct {
	requests, prompt rate
	// since is when requests were first counted.
	since time.Time
	// answer is the mean number of tokens of an answer, answers how many it was learnt of.
	answer  float64
	answers int
}

// answerMemory is how many answers the mean goes back.
const answerMemory = 64

// of returns what is measured of a model; nil if there are too many models already,
// which callers name.
func (dm demands) of(model string, now time.Time) *demand {
	de := dm[model]
	if de == nil && len(dm) < maxRates {
		de = &demand{requests: rate{at: now}, prompt: rate{at: now}, since: now}
		dm[model] = de
	}
	return de
}

// asked counts a request that its caller sends for the first time.
func (dm demands) asked(model string, prompt int64, now time.Time) {
	if de := dm.of(model, now); de != nil {
		de.requests.add(1, now)
		de.prompt.add(float64(prompt), now)
	}
}

// answered learns from a whole answer.
func (dm demands) answered(model string, tokens int, now time.Time) {
	if de := dm.of(model, now); de != nil {
		de.answers = min(answerMemory, de.answers+1)
		de.answer += (float64(tokens) - de.answer) / float64(de.answers)
	}
}

// all returns the demand for all models that are asked for now. usual is the length of an
// answer of a model none of whose answers was seen yet.
func (dm demands) all(usual func(model string) float64, now time.Time) map[string]catalog.Demand {
	all := make(map[string]catalog.Demand, len(dm))
	for model, de := range dm {
		if de.requests.decayed(now) <= minRate {
			continue
		}
		requests := de.requests.decayed(now) * de.growth(now)
		answer := de.answer
		if de.answers == 0 {
			answer = usual(model)
		}
		all[model] = catalog.Demand{Requests: float32(requests), Prompt: float32(de.prompt.decayed(now) * de.growth(now)), Answer: float32(requests * answer)}
	}
	return all
}

// growth makes up for the time before requests were counted, which a smoothed rate takes as
// one without any.
func (de *demand) growth(now time.Time) float64 {
	counted := max(minCounted, now.Sub(de.since))
	return 1 / (1 - math.Exp(-counted.Seconds()/rateSpan.Seconds()))
}

// minCounted is the time from which a rate is made up for what it lacks.
const minCounted = 400 * time.Millisecond

// Answered tells of a whole answer of so many events.
func (ta *Table) RecordAnswer(gr *Group, events int, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.demands.answered(gr.Model, events*gr.engine.Stride, now)
}

// Demand returns what callers ask of each model, of all daemons that told lately.
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

func (ta *Table) ownDemand(now time.Time) map[string]catalog.Demand {
	return ta.demands.all(func(model string) float64 {
		for _, gr := range ta.byName {
			if gr.Model == model {
				return gr.engine.MeanAnswer
			}
		}
		return 0
	}, now)
}
