package dispatch

import (
	"maps"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// setModels sets the models whose requests are measured: those of the configuration and of the groups.
// Callers can send arbitrary model names, and reports with many of them exceed a datagram.
func (ta *Table) setModels(vi *catalog.View, cfg *catalog.Config) {
	ta.models = make(map[string]bool)
	for _, se := range cfg.Services {
		if se.Engine == nil {
			continue
		}
		for _, mo := range se.Engine.Models {
			ta.models[mo.Name] = true
		}
	}
	for _, cg := range vi.Groups {
		ta.models[cg.Model] = true
	}
	maps.DeleteFunc(ta.rates, func(model string, _ *rate) bool { return !ta.models[model] })
	maps.DeleteFunc(ta.demands, func(model string, _ *demand) bool { return !ta.models[model] })
	maps.DeleteFunc(ta.rankCounters, func(model string, _ *rankCounter) bool { return !ta.models[model] })
}

// measures reports whether requests for the model are measured: any before the first view.
func (ta *Table) measures(model string) bool { return ta.models == nil || ta.models[model] }
