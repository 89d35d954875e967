package front

import (
	"math"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// loadErrorWindow is the time over which the quantiles of the load estimates' errors are taken.
const loadErrorWindow = 10 * time.Second

// Errors of the estimates of groups' loads, in requests, at the moments at which leaders state their
// load: without the correction by earlier statements, and with it.
var (
	uncorrectedLoadErrors = metrics.NewSummaryExt(`corianderhub_load_estimate_error_requests{correction="before"}`, loadErrorWindow, []float64{0.5, 0.9})
	correctedLoadErrors   = metrics.NewSummaryExt(`corianderhub_load_estimate_error_requests{correction="after"}`, loadErrorWindow, []float64{0.5, 0.9})
	invalidLoadCount      = metrics.NewCounter("corianderhub_load_headers_invalid_total")
)

// applyLoad corrects the estimate of the endpoint's load by the one that it states.
func (sv *Server) applyLoad(li catalog.Instance, rsp *http.Response) {
	if rsp.StatusCode == http.StatusMisdirectedRequest {
		// The response is from another endpoint that now has the address.
		return
	}
	re, stated, err := platform.LoadOf(rsp.Header)
	if err != nil {
		invalidLoadCount.Inc()
		if sv.invalidLoads.add(li) {
			sv.Log.Info("front: invalid load in response; later ones of this endpoint are not logged.", "endpoint", li.ID, "cause", err.Error())
		}
	}
	if !stated {
		return
	}
	now, refused := sv.Clock.Now(), notRun(rsp)
	if diff, ok := sv.Table.ApplyReading(li, re, refused, now); ok {
		uncorrectedLoadErrors.Update(math.Abs(diff.Uncorrected))
		correctedLoadErrors.Update(math.Abs(diff.Corrected))
		return
	}
	sv.Plain.ApplyReading(li, re, refused, now)
}
