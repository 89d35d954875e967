package steward

import (
	"testing"
	"time"
)

// Guards against loads that were planned without a rate limit and then all begin at once after
// the first request, although the weight store's rate applies from then on.
func TestFirstRequestDuringInitialLoads(t *testing.T) {
	si := newSimulationWith(t, 1, 8, 37, bigModels)
	for len(si.core.orders.waiting) == 0 {
		si.step()
	}
	si.runInitialLoads(10 * time.Millisecond)
	si.run(8 * time.Second)
	si.checkLoadRate()
}
