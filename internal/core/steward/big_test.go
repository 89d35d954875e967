package steward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// bigModels have groups of 16 and 4, in domains of 37 VMs.
var bigModels = []catalog.Model{
	{Name: "large", Size: 16, Pace: 1, Share: 0.57, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
	{Name: "small", Size: 4, Pace: 0.6, Share: 0.43, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
}

// A fleet of 296 VMs starts empty. Groups of both sizes form in each domain
// they fit into, and few VMs serve nobody.
func TestFirstGroupsOfManyVMs(t *testing.T) {
	wo := newWorldOf(t, 1, 8, 37, bigModels)
	wo.settle(5 * time.Second)
	large, small := wo.serving()
	if large < 8 || small < 8 || large*16+small*4 < 260 {
		t.Errorf("serving %d large and %d small groups of 296 VMs", large, small)
	}
}

// A group of 16 is worth more than one of 4, but not more than the four that
// would have to be given up for it. Balanced groups are left as they are.
func TestBalancedGroupsStay(t *testing.T) {
	wo := newWorldOf(t, 2, 8, 37, bigModels)
	wo.settle(5 * time.Second)
	large, small := wo.serving()
	wo.run(12 * time.Second)
	if la, sm := wo.serving(); la < large || sm < small {
		t.Errorf("serving %d large and %d small groups, %d and %d before", la, sm, large, small)
	}
}

// Domains that form two groups of sixteen have five VMs over. They replace members
// that die; made into a group of four, they would leave a group of sixteen without
// any, which is then lost with its first member.
func TestSparesStaySpares(t *testing.T) {
	models := slices.Clone(bigModels)
	models[0].Share, models[1].Share = 0.5, 0.5
	wo := newWorldOf(t, 3, 8, 37, models)
	wo.settle(5 * time.Second)
	before := wo.spares()
	if before["large"] < 10 {
		t.Fatalf("spares by model: %v; the test shows nothing with so few", before)
	}
	wo.run(20 * time.Second)
	if after := wo.spares(); after["large"] < before["large"] {
		t.Errorf("spares by model: %v, before %v", after, before)
	}
}

// spares counts the VMs that hold a model without serving.
func (wo *world) spares() map[string]int {
	num := make(map[string]int)
	for _, vm := range wo.core.vms {
		if mb := vm.ep.Member; mb != nil && isSpare(mb.Group) {
			num[vm.last]++
		}
	}
	return num
}

// BenchmarkStep is the cost of a step of a settled fleet, which the steward takes
// after each event and some 25 times a second: 0.3 ms for 296 VMs and 4 ms for 2,997.
func BenchmarkStep(b *testing.B) {
	for _, domains := range []int{8, 81} {
		b.Run(fmt.Sprint(37*domains), func(b *testing.B) {
			wo := newWorldOf(b, 1, domains, 37, bigModels)
			wo.settle(5 * time.Second)
			for b.Loop() {
				wo.core.Step(wo.now)
			}
		})
	}
}
