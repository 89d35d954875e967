package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Callers send many long names of models that do not exist, also before the first view. Guards against
// heartbeats that exceed a datagram, so that the other daemons take this one for lost.
func TestUnknownModelsAreNotReported(t *testing.T) {
	ta := &Table{}
	send := func() {
		for i := range 2 * maxRates {
			ne := slotSimRequest()
			ne.Model = fmt.Sprint(strings.Repeat("x", 200), i)
			ta.Pick(ne, ignore, begin)
		}
	}
	send()
	update(ta, begin, group("a", "here"))
	send()
	ta.Pick(slotSimRequest(), ignore, begin)
	for _, wo := range []Work{ta.OwnWork(begin), ta.WorkExcept("other", begin)} {
		raw, err := cbor.Marshal(wo)
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > 1000 {
			t.Errorf("report of %d bytes, want at most 1000", len(raw))
		}
	}
	if wo := ta.OwnWork(begin); wo.Rates["large"] <= 0 || wo.Demand["large"].Requests <= 0 || wo.Ranks["large"][0].Offered <= 0 {
		t.Errorf("report with %d rates, want the rate, demand and ranks of the model large", len(wo.Rates))
	}
}

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
