package front

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// limitChanges counts the limits that endpoints named, changed or withdrew.
var limitChanges = metrics.NewCounter("corianderhub_endpoint_limit_changes_total")

// Heard takes in what the head of an answer to a request says of its endpoint. sent is when the
// request was sent.
func (sv *Server) ApplyResponseHeader(li catalog.Instance, rsp *http.Response, sent time.Time) {
	// A refusal may be made before the server sees the request, so what it lacks says nothing.
	if limit, ok := sv.limitOf(li, rsp); ok && (limit.Named || !notRun(rsp)) {
		sv.setLimit(li, limit, sent)
	}
	sv.hearRest(li, rsp, sent)
	sv.hearLeaving(li, rsp)
}

// hearLeaving takes in that the endpoint stops soon.
func (sv *Server) hearLeaving(li catalog.Instance, rsp *http.Response) {
	if rsp.StatusCode == http.StatusMisdirectedRequest || !platform.AnnouncesLeaving(rsp.Header) {
		return
	}
	if sv.Backpressure.SetLeaving(li, sv.Clock.Now()) {
		sv.OnLeaving(li)
	}
}

// restCount counts the answers of endpoints that ask for rest.
var restCount = metrics.NewCounter("corianderhub_endpoint_rests_total")

// hearRest takes in that the endpoint turned a request away, and for how long it wants none.
func (sv *Server) hearRest(li catalog.Instance, rsp *http.Response, sent time.Time) {
	if !notRun(rsp) {
		sv.Backpressure.SetAccepted(li, sent, sv.Clock.Now())
		return
	}
	rest, err := platform.RetryAfter(rsp, sv.Clock.Now())
	if err != nil {
		sv.Log.Info("front: answer's head not understood.", "endpoint", li.ID, "cause", err.Error())
	}
	if rest > 0 {
		restCount.Inc()
		sv.Backpressure.SetRetryAfter(li, rest, sv.Clock.Now())
		sv.Log.Info("front: endpoint asks for rest.", "endpoint", li.ID, "status", rsp.StatusCode, "rest-ms", rest.Milliseconds())
	}
}

// HeardInCall takes in the same of an answer to a call that is no request. Servers need not say
// there what they say in answers to requests, so what it lacks is not taken as withdrawn.
func (sv *Server) ApplyControlResponseHeader(li catalog.Instance, rsp *http.Response, sent time.Time) {
	if limit, ok := sv.limitOf(li, rsp); ok && limit.Named {
		sv.setLimit(li, limit, sent)
	}
	sv.hearLeaving(li, rsp)
}

// limitOf returns the limit that an answer tells of; false if it tells nothing.
func (sv *Server) limitOf(li catalog.Instance, rsp *http.Response) (backpressure.Limit, bool) {
	if rsp.StatusCode == http.StatusMisdirectedRequest {
		// Another endpoint has the address and speaks for itself.
		return backpressure.Limit{}, false
	}
	limit, err := platform.LimitOf(rsp.Header)
	if err != nil {
		sv.Log.Info("front: answer's head not understood.", "endpoint", li.ID, "cause", err.Error())
		return backpressure.Limit{}, false
	}
	return limit, true
}

func (sv *Server) setLimit(li catalog.Instance, limit backpressure.Limit, sent time.Time) {
	if sv.Backpressure.SetLimit(li, limit, sent, sv.Clock.Now()) {
		limitChanges.Inc()
		sv.Log.Info("front: endpoint's limit changed.", "endpoint", li.ID, "named", limit.Named, "per-second", limit.PerSecond)
	}
}
