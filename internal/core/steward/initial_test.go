package steward

import (
	"testing"
	"time"
)

// Guards against loads that were decided on while they were free, and begin all at once after
// the first request: the weight store's rate holds from then on.
func TestFirstRequestComesWhileGroupsForm(t *testing.T) {
	wo := newWorldOf(t, 1, 8, 37, bigModels)
	for len(wo.core.orders.waiting) == 0 {
		wo.step()
	}
	wo.settle(10 * time.Millisecond)
	wo.run(8 * time.Second)
	loads := wo.fleet.Loads()
	const window, most = 5 * time.Second, 4.5*5*1.1 + 3
	for i, from := range loads {
		num := 0
		for _, at := range loads[i:] {
			if at.Sub(from) < window {
				num++
			}
		}
		if float64(num) > most {
			t.Fatalf("%d loads within %v", num, window)
		}
	}
}
