package steward

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks of rapid, so that every run of the tests has the
// same cases. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "8", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"}
	flag.Visit(func(fl *flag.Flag) { delete(fixed, fl.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards, for random sizes, demands and faults, against an exchange that leaves a model without a
// group, an exchange of VMs without a copy, too many changes, and more loads than the weight store
// allows. That groups are whole and no VM belongs to two of them is checked at each step.
func TestStagingInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SampledFrom([][3]int{{12, 6, 27}, {8, 2, 18}, {16, 4, 36}, {4, 2, 13}}).Draw(rt, "sizes")
		domains := rapid.IntRange(2, 5).Draw(rt, "domains")
		si := newStagingStart(t, rapid.Uint64().Draw(rt, "seed"), domains, sizes[2], stagingModels(sizes[0], sizes[1]))
		if rapid.Bool().Draw(rt, "faults") {
			si.lostOrderResponses, si.lateOrders, si.ignoredStages = 0.05, 0.05, 0.1
		}
		si.runInitialLoads(8500 * time.Millisecond)
		si.core.Events()
		vms := float64(domains * sizes[2])
		for range 3 {
			total, part := vms*rapid.Float64Range(0.2, 0.8).Draw(rt, "total"), rapid.Float64Range(0.1, 0.9).Draw(rt, "part")
			large, small := total*part/float64(sizes[0]), total*(1-part)/float64(sizes[1])
			takesOver := rapid.Bool().Draw(rt, "takes over")
			begin, released := si.now, 0
			for i := 0; si.now.Sub(begin) < 8*time.Second; i++ {
				if i == 20 && takesOver {
					si.takeOver()
				}
				released += si.runCheckingCopies(large, small, 10*simStep)
				si.checkStagingInvariants(rt)
			}
			if most := int(math.Ceil(vms / float64(sizes[1]))); released > most {
				rt.Fatalf("%d groups released within 8 s, want at most %d", released, most)
			}
		}
		si.checkLoadRateOf(14)
	})
}

// checkStagingInvariants checks what must hold at any time.
func (si *simulation) checkStagingInvariants(rt *rapid.T) {
	if large, small := si.serving(); large == 0 || small == 0 {
		rt.Fatalf("serving %d large and %d small groups, want at least one of each", large, small)
	}
	if num := si.fleet.LoadsInProgress(si.now); num > 20 {
		rt.Fatalf("%d loads in progress, want at most 20", num)
	}
}
