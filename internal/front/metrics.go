package front

import "github.com/VictoriaMetrics/metrics"

// count counts a request's end by the kind of its route and the outcome. Names
// of routes are not used, since there may be thousands.
func (ca *call) count(outcome string) {
	kind := "none"
	if ca.route != nil {
		kind = ca.route.Kind.String()
	}
	metrics.GetOrCreateCounter(`corianderhub_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
	metrics.GetOrCreateHistogram(`corianderhub_request_seconds{kind="` + kind + `"}`).Update(ca.sv.Clock.Now().Sub(ca.arrived).Seconds())
}

var (
	firstEvents   = metrics.NewHistogram("corianderhub_first_event_seconds")
	predictErrors = metrics.NewHistogram("corianderhub_first_event_error_seconds")
	pauses        = metrics.NewHistogram("corianderhub_event_pause_seconds")
	resumed       = metrics.NewCounter("corianderhub_stream_resumes_total")
	lateHolds     = metrics.NewHistogram("corianderhub_late_hold_seconds")
	sendCount     = metrics.NewCounter("corianderhub_sends_total")
)
