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

// newGauges returns the gauges of the daemon's state. Counters are declared next to the
// code that increments them.
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
		{"corianderhub_steward", func() float64 { return boolGauge(da.stats.Load() != nil) }},
		{`corianderhub_groups{state="serving"}`, stewards(func(st steward.Stats) int { return st.Serving })},
		{`corianderhub_groups{state="forming"}`, stewards(func(st steward.Stats) int { return st.Forming })},
		{`corianderhub_groups{state="broken"}`, stewards(func(st steward.Stats) int { return st.Broken })},
		{`corianderhub_vms{state="spare"}`, stewards(func(st steward.Stats) int { return st.Spares })},
		{`corianderhub_vms{state="stranded"}`, stewards(func(st steward.Stats) int { return st.Stranded })},
		{`corianderhub_vms{state="staged"}`, stewards(func(st steward.Stats) int { return st.Staged })},
		{`corianderhub_vms{state="staging"}`, stewards(func(st steward.Stats) int { return st.Staging })},
		{`corianderhub_vms{state="down"}`, stewards(func(st steward.Stats) int { return st.Down })},
		{"corianderhub_knowledge_age_seconds", func() float64 { return da.control.age(da.Clock.Now()).Seconds() }},
		{"corianderhub_following_store", func() float64 { return boolGauge(da.control.follows()) }},
		{"corianderhub_configuration_version", func() float64 {
			if co := da.config.Load(); co != nil {
				return float64(co.Version)
			}
			return 0
		}},
		{`corianderhub_endpoints_unreached{by="no-daemon"}`, func() float64 {
			unreached, lost := da.dialer.Paths.Counts(da.Clock.Now())
			return float64(unreached - lost)
		}},
		{`corianderhub_endpoints_unreached{by="this-daemon"}`, func() float64 {
			_, lost := da.dialer.Paths.Counts(da.Clock.Now())
			return float64(lost)
		}},
		{"corianderhub_relayed_connections_open", func() float64 { return float64(da.relay.Open()) }},
		{"corianderhub_store_era", func() float64 { return float64(da.store.Era()) }},
		{"corianderhub_view_groups", func() float64 {
			if vi := da.view.Load(); vi != nil {
				return float64(len(vi.Groups))
			}
			return 0
		}},
		{`corianderhub_daemons{state="alive"}`, func() float64 { return float64(len(da.mesh.Alive()) + 1) }},
		{`corianderhub_daemons{state="known"}`, func() float64 { return float64(len(da.mesh.Known())) }},
		{"corianderhub_endpoints_limited", func() float64 { return float64(da.backpressure.NumLimited()) }},
		{"corianderhub_endpoints_cold", func() float64 { return float64(da.backpressure.NumCold()) }},
		{"corianderhub_endpoints_resting", func() float64 { return float64(da.backpressure.NumBackingOff(da.Clock.Now())) }},
		{"corianderhub_requests_in_progress", func() float64 { return float64(da.front.InFlight()) }},
		{"corianderhub_retry_budget_left", da.minRetryBudget},
		{`corianderhub_returns_per_second{state="due"}`, func() float64 { return float64(da.table.Returns(da.Clock.Now()).Due) }},
		{`corianderhub_returns_per_second{state="came"}`, func() float64 { return float64(da.table.Returns(da.Clock.Now()).Came) }},
		{`corianderhub_group_requests{of="own"}`, func() float64 { return float64(da.table.Requests(false)) }},
		{`corianderhub_slot_waiting_requests`, func() float64 { num, _ := da.table.Waiting(); return float64(num) }},
		{`corianderhub_slot_waiting_bytes`, func() float64 { _, bytes := da.table.Waiting(); return float64(bytes) }},
		{`corianderhub_group_requests{of="all"}`, func() float64 { return float64(da.table.Requests(true)) }},
	}
	for _, ga := range gauges {
		set.NewGauge(ga.name, ga.read)
	}
	da.guard.Register(set)
	return set
}

// writeWork writes the measured work of each model in groups. Only the steward has it.
func (da *Daemon) writeWork(w io.Writer) {
	st := da.stats.Load()
	if st == nil {
		return
	}
	for _, model := range slices.Sorted(maps.Keys(st.Busy)) {
		metrics.WriteGaugeFloat64(w, `corianderhub_model_work_groups{model=`+strconv.Quote(model)+`}`, st.Busy[model])
	}
}

// boolGauge returns the gauge value of a condition: 1 if it holds and 0 otherwise.
func boolGauge(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// minRetryBudget returns the retries left for the service with the smallest remaining retry
// budget.
func (da *Daemon) minRetryBudget() float64 {
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

// serveMetrics responds with all metrics of the process and of this daemon.
func (da *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	da.gauges.WritePrometheus(w)
	da.writeWork(w)
	da.writeEvacuations(w)
}

// writeEvacuations writes, for each evacuated data centre, the requests of this daemon that still
// run there, and when it learned of the evacuation.
func (da *Daemon) writeEvacuations(w io.Writer) {
	evacuations := da.control.evacuation.InForce()
	for _, ev := range evacuations {
		metrics.WriteGaugeUint64(w, `corianderhub_evacuated_requests{data_center=`+strconv.Quote(ev.DataCenter)+`}`, uint64(da.requestsIn(ev.DataCenter)))
	}
	for _, ev := range evacuations {
		metrics.WriteGaugeUint64(w, `corianderhub_evacuated_since_seconds{data_center=`+strconv.Quote(ev.DataCenter)+`}`, uint64(ev.Since.Unix()))
	}
}

// requestsIn returns the number of this daemon's requests that run in a data centre.
func (da *Daemon) requestsIn(dataCenter string) int {
	return da.table.RequestsIn(dataCenter) + da.plain.RequestsIn(dataCenter)
}
