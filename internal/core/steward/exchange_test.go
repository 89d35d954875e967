package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// stagingModels returns models with groups of the given sizes and equal configured shares.
func stagingModels(large, small int) []catalog.Model {
	return []catalog.Model{
		{Name: "large", Size: large, Pace: 1, Share: 0.5, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", Size: small, Pace: 0.6, Share: 0.5, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	}
}

// newStagingSimulation returns a fleet whose hosts keep one staged model, 8.5 s after the start.
func newStagingSimulation(t testing.TB, seed uint64, domains, each int, models []catalog.Model) *simulation {
	si := newStagingStart(t, seed, domains, each, models)
	si.runInitialLoads(8500 * time.Millisecond)
	si.core.Events()
	return si
}

// newStagingStart returns the same fleet at its start.
func newStagingStart(t testing.TB, seed uint64, domains, each int, models []catalog.Model) *simulation {
	si := newSimulationWith(t, seed, domains, each, models)
	en := si.cfg.Services["engine"].Engine
	en.Slots, en.Stride, en.StepTime, en.StepPerRequest = 48, 5, 6450*time.Microsecond, 97*time.Microsecond
	en.PrefillPerSecond, en.LoadsAtOnce, en.LoadsPerSecond, en.Keeps = 56100, 20, 14, 1
	return si
}

// copies counts the VMs of serving groups of one model whose host has the other.
func (si *simulation) copies(model string) int {
	num := 0
	for _, gr := range si.core.Groups() {
		for _, me := range gr.Members {
			if staged := si.fleet.Staged(me.ID); gr.Model == model && len(staged) > 0 && staged[0] != model {
				num++
			}
		}
	}
	return num
}

// Guards against groups of one model that refuse requests for many seconds while those of another
// are idle, because loads take longer than the demand lasts.
func TestExchangeOfStagedGroups(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name                  string
		domains, each         int
		largeSize, smallSize  int
		large, small          float64
		maxLarge, maxSmall    float64
		stagedMin, stagedMost int
	}{
		{"groups of 12 and 6, mostly small", 6, 27, 12, 6, 2.5, 8.9, 0.65, 0.65, 40, 60},
		{"groups of 12 and 6, mostly large", 6, 27, 12, 6, 4.9, 4, 0.65, 0.6, 40, 60},
		{"groups of 8 and 2, mostly small", 9, 18, 8, 2, 4, 30, 0.65, 0.7, 40, 60},
		{"groups of 8 and 2, mostly large", 9, 18, 8, 2, 8, 14, 0.7, 0.5, 40, 60},
		{"groups of 16 and 4", 4, 36, 16, 4, 1, 14, 0.55, 0.8, 32, 50},
		{"groups of 32 and 8", 4, 74, 32, 8, 1, 14, 0.55, 0.8, 64, 100},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			si := newStagingSimulation(t, 1, tc.domains, tc.each, stagingModels(tc.largeSize, tc.smallSize))
			la, sm := si.serving()
			staged := si.copies("large") + si.copies("small")
			t.Logf("serving %d large and %d small groups; staged %d of large groups and %d of small ones", la, sm, si.copies("large"), si.copies("small"))
			if staged < tc.stagedMin || staged > tc.stagedMost {
				t.Errorf("%d VMs staged, want %d to %d", staged, tc.stagedMin, tc.stagedMost)
			}
			if num := len(si.fleet.Loads()); num != 0 {
				t.Errorf("%d loads from the weight store before the first request, want 0", num)
			}
			si.runWithDemand(tc.large, tc.small, 4*time.Second)
			la, sm = si.serving()
			t.Logf("4 s after the first request: serving %d large and %d small groups, utilization %.2f and %.2f", la, sm, tc.large/float64(la), tc.small/float64(sm))
			if tc.large/float64(la) > tc.maxLarge || tc.small/float64(sm) > tc.maxSmall {
				t.Errorf("utilization %.2f and %.2f, want at most %.2f and %.2f", tc.large/float64(la), tc.small/float64(sm), tc.maxLarge, tc.maxSmall)
			}
			si.runWithDemand(tc.large, tc.small, 30*time.Second)
			la, sm = si.serving()
			t.Logf("after 34 s: serving %d large and %d small groups, %d loads", la, sm, len(si.fleet.Loads()))
		})
	}
}

// Guards against stage orders and staged exchanges where the configuration does not call for them.
func TestNoStagingWithoutKeeps(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name                     string
		domainSize, large, small int
		keeps                    int
	}{
		{"hosts keep no other model", 27, 12, 6, 0},
		{"sizes that leave VMs over", 9, 4, 3, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			si := newStagingStart(t, 1, 3, tc.domainSize, stagingModels(tc.large, tc.small))
			si.cfg.Services["engine"].Engine.Keeps = tc.keeps
			si.runInitialLoads(8500 * time.Millisecond)
			released := si.runWithDemand(1.2, 5, 4*time.Second)
			if st := si.core.Stats(); st.Staged+st.Staging > 0 || released > 0 {
				t.Errorf("%d VMs staged, %d staging and %d groups released, want none", st.Staged, st.Staging, released)
			}
		})
	}
}
