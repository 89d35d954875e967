package front

import "github.com/VictoriaMetrics/metrics"

// count records the outcome and the duration of a request. The label is the kind of the route,
// not its name, since there may be thousands of routes.
func (ca *call) count(outcome string) {
	kind := "none"
	if ca.route != nil {
		kind = ca.route.Kind.String()
	}
	metrics.GetOrCreateCounter(`corianderhub_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
	metrics.GetOrCreateHistogram(`corianderhub_request_seconds{kind="` + kind + `"}`).Update(ca.sv.Clock.Now().Sub(ca.arrived).Seconds())
}

var (
	firstEventTimes  = metrics.NewHistogram("corianderhub_first_event_seconds")
	predictionErrors = metrics.NewHistogram("corianderhub_first_event_error_seconds")
	eventPauses      = metrics.NewHistogram("corianderhub_event_pause_seconds")
	streamResumes    = metrics.NewCounter("corianderhub_stream_resumes_total")
	lateDelays       = metrics.NewHistogram("corianderhub_late_hold_seconds")
	slotWaits        = metrics.NewHistogram("corianderhub_slot_wait_seconds")
	sendCount        = metrics.NewCounter("corianderhub_sends_total")
	reservedReturns  = metrics.NewCounter(`corianderhub_returns_promised_total{reserved="yes"}`)
	spreadReturns    = metrics.NewCounter(`corianderhub_returns_promised_total{reserved="no"}`)
	refusedAgain     = metrics.NewCounter("corianderhub_refused_again_total")
	unframedCount    = metrics.NewCounter("corianderhub_unframed_responses_total")
)
