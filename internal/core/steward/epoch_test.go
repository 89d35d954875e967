package steward

import (
	"math"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against groups that never form: after a restore of the store the steward's term is lower than
// before, and VMs refuse to join an epoch below one that they have seen.
func TestEpochsAboveReportedOnes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	co := New(3, now)
	co.services["engine"] = &catalog.Engine{}
	const reported = 9<<epochBits + 4
	co.vms["i-1"] = &vm{ep: catalog.Endpoint{Service: "engine", Member: &catalog.Membership{Group: "group-9-4", Epoch: reported}}}
	co.observe(now)
	if first, second := co.nextEpoch(), co.nextEpoch(); first <= reported || second <= first {
		t.Errorf("got epochs %d and %d, want rising ones above %d", first, second, reported)
	}
}

// Guards against epochs that fall back or that no daemon accepts: one entry shows the largest epoch there is.
func TestEpochsWithLargestInEntry(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, odd := range []int64{math.MaxInt64, math.MaxInt64 - 1, catalog.MaxEpoch, catalog.MaxEpoch / 2, math.MinInt64} {
		co := New(3, now)
		co.services["engine"] = &catalog.Engine{}
		co.Register(catalog.Endpoint{ID: "odd", Service: "engine", Member: &catalog.Membership{Group: "g", Epoch: odd}}, now)
		last := int64(3 << epochBits)
		for range 3 {
			co.Step(now)
			next := co.nextEpoch()
			if next <= last || next > catalog.MaxEpoch {
				t.Errorf("entry with epoch %d: issued %d after %d, want a higher one of at most %d", odd, next, last, int64(catalog.MaxEpoch))
			}
			last = next
		}
	}
}
