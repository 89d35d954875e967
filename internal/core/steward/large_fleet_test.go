package steward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// bigModels have groups of 16 and 4 VMs. The tests use them in domains of 37 VMs.
var bigModels = []catalog.Model{
	{Name: "large", Size: 16, Pace: 1, Share: 0.57, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
	{Name: "small", Size: 4, Pace: 0.6, Share: 0.43, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
}

// An empty fleet of 296 VMs forms groups of both sizes, and few VMs remain without a serving
// group.
func TestInitialGroupsOfLargeFleet(t *testing.T) {
	si := newSimulationWith(t, 1, 8, 37, bigModels)
	si.runInitialLoads(5 * time.Second)
	large, small := si.serving()
	if large < 8 || small < 8 || large*16+small*4 < 260 {
		t.Errorf("serving %d large and %d small groups of 296 VMs, want at least 8 of each on 260 VMs", large, small)
	}
}

// Guards against dissolving balanced groups to convert them: one group of 16 is worth more
// than one of 4, but not more than the four groups of 4 it would replace.
func TestBalancedGroupsAreKept(t *testing.T) {
	si := newSimulationWith(t, 2, 8, 37, bigModels)
	si.runInitialLoads(5 * time.Second)
	large, small := si.serving()
	si.run(12 * time.Second)
	if la, sm := si.serving(); la < large || sm < small {
		t.Errorf("serving %d large and %d small groups, want at least the %d and %d before", la, sm, large, small)
	}
}

// Guards against converting spares into small groups. Domains with two groups of sixteen have
// five VMs left over as replacements. If four of them formed a group of four, a group of
// sixteen would have no spare and be lost with its first member.
func TestSparesAreNotConverted(t *testing.T) {
	models := slices.Clone(bigModels)
	models[0].Share, models[1].Share = 0.5, 0.5
	si := newSimulationWith(t, 3, 8, 37, models)
	si.runInitialLoads(5 * time.Second)
	before := si.spares()
	if before["large"] < 10 {
		t.Fatalf("spares by model: %v; the test needs at least 10 of the large model", before)
	}
	si.run(20 * time.Second)
	if after := si.spares(); after["large"] < before["large"] {
		t.Errorf("spares by model: %v, want no fewer than before: %v", after, before)
	}
}

// spares returns the number of VMs that hold a model without serving, by model.
func (si *simulation) spares() map[string]int {
	num := make(map[string]int)
	for _, vm := range si.core.vms {
		if mb := vm.ep.Member; mb != nil && isSpare(mb.Group) {
			num[vm.lastModel]++
		}
	}
	return num
}

// BenchmarkStep measures a step of a settled fleet, which the steward runs after each event
// and about 25 times a second: 0.3 ms for 296 VMs and 4 ms for 2,997.
func BenchmarkStep(b *testing.B) {
	for _, keeps := range []int{0, 1} {
		for _, domains := range []int{8, 81} {
			b.Run(fmt.Sprintf("keeps %d/%d", keeps, 37*domains), func(b *testing.B) {
				si := newSimulationWith(b, 1, domains, 37, bigModels)
				si.cfg.Services["engine"].Engine.Keeps = keeps
				si.runInitialLoads(5 * time.Second)
				for b.Loop() {
					si.core.Step(si.now)
				}
			})
		}
	}
}
