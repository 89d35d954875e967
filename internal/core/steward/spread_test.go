package steward

import (
	"testing"
	"time"
)

// Guards against a plan that puts nearly all groups of a model into one data centre, whose
// evacuation then leaves the model without room.
func TestPlanSpreadsModelsOverDataCenters(t *testing.T) {
	tests := []struct {
		name    string
		domains int
		size    int
		models  []weightedSize
	}{
		{"groups of 12 and 6", 6, 27, []weightedSize{{12, 0.5}, {6, 0.4}}},
		{"groups of 8 and 2", 9, 18, []weightedSize{{8, 0.5}, {2, 0.4}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sizes, centers := make([]int, tc.domains), make([]string, tc.domains)
			for i := range sizes {
				sizes[i], centers[i] = tc.size, string(rune('a'+i*3/tc.domains))
			}
			plan := planSplits(sizes, tc.models)
			before := groupCounts(tc.models, plan...)
			begin := time.Now()
			plan = spreadSplits(plan, sizes, centers, tc.models)
			t.Logf("%v groups, spread in %v", before, time.Since(begin))
			if after := groupCounts(tc.models, plan...); !sameCounts(before, after) {
				t.Errorf("the plan has %v groups after the spread, want %v as before", after, before)
			}
			for _, center := range []string{"a", "b", "c"} {
				var splits []split
				for i, sp := range plan {
					if centers[i] == center {
						splits = append(splits, sp)
					}
				}
				for mi, num := range groupCounts(tc.models, splits...) {
					// Groups are whole, so an even share may be exceeded by one group.
					if most := before[mi]/3 + 1; num > most {
						t.Errorf("data centre %s has %d groups of model %d, want at most %d", center, num, mi, most)
					}
				}
			}
			total := 0
			for i, sp := range plan {
				for _, num := range sp {
					total += num
				}
				if total != sizes[i]*(i+1) {
					t.Errorf("the splits of the first %d domains use %d VMs, want %d", i+1, total, sizes[i]*(i+1))
				}
			}
		})
	}
}
