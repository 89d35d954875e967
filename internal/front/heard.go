package front

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// limitChanges counts the limits that endpoints named, changed or withdrew.
var limitChanges = metrics.NewCounter("corianderhub_endpoint_limit_changes_total")

// Heard takes in what the head of an answer says of its endpoint. sent is when the request or
// call was sent that it answers.
func (sv *Server) Heard(li catalog.Life, rsp *http.Response, sent time.Time) {
	if rsp.StatusCode == http.StatusMisdirectedRequest {
		// Another endpoint has the address and speaks for itself.
		return
	}
	limit, err := platform.LimitOf(rsp.Header)
	if err != nil {
		sv.Log.Info("front: answer's head not understood.", "endpoint", li.ID, "cause", err.Error())
		return
	}
	if sv.Backpressure.SetLimit(li, limit, sent, sv.Clock.Now()) {
		limitChanges.Inc()
		sv.Log.Info("front: endpoint's limit changed.", "endpoint", li.ID, "named", limit.Named, "per-second", limit.PerSecond)
	}
}
