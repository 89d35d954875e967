package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Callers send many model names that do not exist. Guards against rates of real models that are never
// measured because the limit was reached earlier.
func TestForgottenModelsMakeRoom(t *testing.T) {
	ta := table(group("a", "here"))
	for i := range 2 * maxRates {
		ne := slotSimRequest()
		ne.Model = fmt.Sprint("unknown-", i)
		ta.Pick(ne, ignore, begin)
	}
	later := begin.Add(time.Minute)
	ta.Pick(slotSimRequest(), ignore, later)
	wo := ta.OwnWork(later)
	if wo.Rates["large"] <= 0 || wo.Demand["large"].Requests < 0.1 || wo.Ranks["large"][0].Offered <= 0 {
		t.Errorf("rates %v, demand %v, ranks %v; want the model large", wo.Rates, wo.Demand, wo.Ranks)
	}
	if rates, counters := len(ta.rates), len(ta.rankCounters); rates > maxRates || counters > maxRates {
		t.Errorf("%d rates and %d counters, want at most %d", rates, counters, maxRates)
	}
}
