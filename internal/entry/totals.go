package entry

import (
	"sort"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// totalsInterval is the interval of the log line with the process's totals, which serves
// readers of the log without access to the metrics.
const totalsInterval = 10 * time.Second

// logTotals logs the process's nonzero counters and the evacuations in force. The cost of one line
// per totalsInterval is negligible compared with that of the process's requests.
func (ct *control) logTotals(now time.Time) {
	if now.Before(ct.nextTotals) {
		return
	}
	ct.nextTotals = now.Add(totalsInterval)
	ct.da.Log.Info("control: totals.", append([]any{"age-ms", ct.age(now).Milliseconds(),
		"uptime-s", int(now.Sub(ct.startedAt).Seconds())}, counters()...)...)
	ct.logEvacuations(now)
}

// counters returns the names and values of the project's nonzero counters as attributes of
// a log line.
func counters() []any {
	names := metrics.ListMetricNames()
	sort.Strings(names)
	var attrs []any
	for _, name := range names {
		short, ok := strings.CutPrefix(name, "corianderhub_")
		if !ok || !strings.Contains(name, "_total") {
			continue
		}
		if val := metrics.GetOrCreateCounter(name).Get(); val > 0 {
			attrs = append(attrs, attrName.Replace(short), val)
		}
	}
	return attrs
}

// attrName converts the name of a metric to that of an attribute.
var attrName = strings.NewReplacer("_total", "", "_", "-", `{`, ".", `}`, "", `"`, "", "=", "-", ",", ".", " ", "-")
