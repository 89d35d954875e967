package steward

import (
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

// BenchmarkStep is the cost of a step of a settled fleet of 296 VMs, which the
// steward takes after each event and some 25 times a second.
func BenchmarkStep(b *testing.B) {
	wo := newWorldOf(b, 1, 8, 37, bigModels)
	wo.settle(5 * time.Second)
	for b.Loop() {
		wo.core.Step(wo.now)
	}
}
