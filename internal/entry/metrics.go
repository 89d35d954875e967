package entry

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/steward"
)

// newGauges returns the daemon's state as metrics. What is counted over time is
// with the code that counts it.
func (da *Daemon) newGauges() *metrics.Set {
	set := metrics.NewSet()
	stewards := func(read func(steward.Stats) int) func() float64 {
		return func() float64 {
			if st := da.stats.Load(); st != nil {
				return float64(read(*st))
			}
			return 0
		}
	}
	gauges := []struct {
		name string
		read func() float64
	}{
		{"corianderhub_steward", func() float64 { return truth(da.stats.Load() != nil) }},
		{`corianderhub_groups{state="serving"}`, stewards(func(st steward.Stats) int { return st.Serving })},
		{`corianderhub_groups{state="forming"}`, stewards(func(st steward.Stats) int { return st.Forming })},
		{`corianderhub_groups{state="broken"}`, stewards(func(st steward.Stats) int { return st.Broken })},
		{`corianderhub_vms{state="spare"}`, stewards(func(st steward.Stats) int { return st.Spares })},
		{`corianderhub_vms{state="stranded"}`, stewards(func(st steward.Stats) int { return st.Stranded })},
		{`corianderhub_vms{state="down"}`, stewards(func(st steward.Stats) int { return st.Down })},
		{"corianderhub_knowledge_age_seconds", func() float64 { return da.control.age(da.Clock.Now()).Seconds() }},
		{"corianderhub_following_store", func() float64 { return truth(da.control.follows()) }},
		{"corianderhub_configuration_version", func() float64 {
			if co := da.config.Load(); co != nil {
				return float64(co.Version)
			}
			return 0
		}},
		{"corianderhub_view_groups", func() float64 {
			if vi := da.view.Load(); vi != nil {
				return float64(len(vi.Groups))
			}
			return 0
		}},
		{`corianderhub_daemons{state="alive"}`, func() float64 { return float64(len(da.mesh.Alive()) + 1) }},
		{`corianderhub_daemons{state="known"}`, func() float64 { return float64(len(da.mesh.Known())) }},
		{"corianderhub_endpoints_limited", func() float64 { return float64(da.backpressure.NumLimited()) }},
		{"corianderhub_endpoints_resting", func() float64 { return float64(da.backpressure.NumBackingOff(da.Clock.Now())) }},
		{"corianderhub_requests_in_progress", func() float64 { return float64(da.front.InFlight()) }},
		{"corianderhub_retry_budget_left", da.leastBudget},
		{`corianderhub_group_requests{of="own"}`, func() float64 { return float64(da.table.Requests(false)) }},
		{`corianderhub_group_requests{of="all"}`, func() float64 { return float64(da.table.Requests(true)) }},
	}
	for _, ga := range gauges {
		set.NewGauge(ga.name, ga.read)
	}
	return set
}

// writeWork writes the measured work of each model, which the steward knows.
func (da *Daemon) writeWork(w io.Writer) {
	st := da.stats.Load()
	if st == nil {
		return
	}
	for _, model := range slices.Sorted(maps.Keys(st.Busy)) {
		metrics.WriteGaugeFloat64(w, `corianderhub_model_work_groups{model=`+strconv.Quote(model)+`}`, st.Busy[model])
	}
}

func truth(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// leastBudget is the number of repeats left for the service that has fewest.
func (da *Daemon) leastBudget() float64 {
	cfg := da.currentConfig()
	if cfg == nil {
		return 0
	}
	least, found := 0.0, false
	for name := range cfg.Services {
		if left := da.front.Budget.Remaining(name, da.Clock.Now()); !found || left < least {
			least, found = left, true
		}
	}
	return least
}

// sendMetrics answers with all metrics of the process and of this daemon.
func (da *Daemon) sendMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	da.gauges.WritePrometheus(w)
	da.writeWork(w)
}
