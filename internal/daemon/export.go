package daemon

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/control"
)

// accountPause is the time between two additions to the counters of what the
// users measure. It bounds their resolution.
const accountPause = time.Second

// export adds to the counters of group downtime and stranded accelerators,
// which only the steward of a data center does, and sets the gauges.
func (da *Daemon) export(vi *control.View) {
	now := da.Clock.Now()
	gone := now.Sub(da.accounted)
	if gone < accountPause {
		return
	}
	first := da.accounted.IsZero()
	da.accounted = now
	metrics.GetOrCreateGauge("corianderhub_config_revision", nil).Set(float64(vi.Config.Revision))
	metrics.GetOrCreateGauge("corianderhub_groups_permitted", nil).Set(float64(len(vi.Groups)))
	if first || !vi.Steward.Acting {
		return
	}
	dc := da.Settings.DataCenter
	ac := vi.Steward.Stats
	stranded := fmt.Sprintf(`corianderhub_stranded_accelerator_seconds_total{data_center=%q}`, dc)
	metrics.GetOrCreateFloatCounter(stranded).Add(gone.Seconds() * float64(ac.Stranded))
	for spec, down := range ac.Down {
		model := vi.Config.Groups[spec].Model
		name := fmt.Sprintf(`corianderhub_group_downtime_seconds_total{data_center=%q,group=%q,model=%q}`, dc, spec, model)
		metrics.GetOrCreateFloatCounter(name).Add(gone.Seconds() * float64(down))
	}
}
