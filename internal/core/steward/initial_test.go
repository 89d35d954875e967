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
	wo.checkLoadRate()
}
