package entry

import (
	"sort"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// totalsEvery is the interval of the log line with a process's totals, for
// whoever has the log and not the metrics.
const totalsEvery = 10 * time.Second

// logTotals writes what the process has done so far: its counters that are not
// zero. A line a process in ten seconds is nothing beside its requests.
func (ct *control) logTotals(now time.Time) {
	if now.Before(ct.totalsDue) {
		return
	}
	ct.totalsDue = now.Add(totalsEvery)
	ct.da.Log.Info("control: totals.", append([]any{"age-ms", ct.age(now).Milliseconds(),
		"uptime-s", int(now.Sub(ct.begun).Seconds())}, counters()...)...)
}

// counters returns the names and values of the project's counters that are not
// zero, as attributes of a log line.
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

// attrName makes the name of an attribute of that of a metric.
var attrName = strings.NewReplacer("_total", "", "_", "-", `{`, ".", `}`, "", `"`, "", "=", "-", ",", ".", " ", "-")
