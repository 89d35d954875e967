package daemon

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/control"
)

// exportInterval is the minimum time between two exports of metrics. It bounds
// the resolution of the counters.
const exportInterval = time.Second

// exportMetrics sets the gauges, and on the steward of the data centre adds the
// elapsed time to the counters of group downtime and stranded accelerators.
func (da *Daemon) exportMetrics(vi *control.View) {
	now := da.Clock.Now()
	elapsed := now.Sub(da.lastExport)
	if elapsed < exportInterval {
		return
	}
	first := da.lastExport.IsZero()
	da.lastExport = now
	metrics.GetOrCreateGauge("corianderhub_config_revision", nil).Set(float64(vi.Config.Revision))
	metrics.GetOrCreateGauge("corianderhub_groups_permitted", nil).Set(float64(len(vi.Groups)))
	if first || !vi.Steward.Acting {
		return
	}
	dc := da.Settings.DataCenter
	stats := vi.Steward.Stats
	stranded := fmt.Sprintf(`corianderhub_stranded_accelerator_seconds_total{data_center=%q}`, dc)
	metrics.GetOrCreateFloatCounter(stranded).Add(elapsed.Seconds() * float64(stats.Stranded))
	for spec, down := range stats.Down {
		model := vi.Config.Groups[spec].Model
		name := fmt.Sprintf(`corianderhub_group_downtime_seconds_total{data_center=%q,group=%q,model=%q}`, dc, spec, model)
		metrics.GetOrCreateFloatCounter(name).Add(elapsed.Seconds() * float64(down))
	}
}
