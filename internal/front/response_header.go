package front

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// limitChanges counts the rate limits that endpoints set, changed or withdrew.
var limitChanges = metrics.NewCounter("corianderhub_endpoint_limit_changes_total")

// ApplyResponseHeader applies what the header of a response to a request says about its endpoint:
// rate limit, back-off, shutdown and load. sent is the time when the request was sent.
func (sv *Server) ApplyResponseHeader(li catalog.Instance, rsp *http.Response, sent time.Time) {
	// A refusal may be generated before the server itself sees the request, so a missing
	// limit does not withdraw the current one.
	if limit, ok := sv.limitOf(li, rsp); ok && (limit.Named || !notRun(rsp)) {
		sv.setLimit(li, limit, sent)
	}
	sv.applyRetryAfter(li, rsp, sent)
	sv.applyLeaving(li, rsp)
	sv.applyLoad(li, rsp)
}

// applyLeaving marks the endpoint as leaving if the response says that it stops soon.
func (sv *Server) applyLeaving(li catalog.Instance, rsp *http.Response) {
	if rsp.StatusCode == http.StatusMisdirectedRequest || !platform.AnnouncesLeaving(rsp.Header) {
		return
	}
	if sv.Backpressure.SetLeaving(li, sv.Clock.Now()) {
		sv.OnLeaving(li)
	}
}

// retryAfterCount counts the refusals in which endpoints set a back-off time.
var retryAfterCount = metrics.NewCounter("corianderhub_endpoint_rests_total")

// applyRetryAfter records that the endpoint accepted the request, or else the back-off time
// that its refusal requires.
func (sv *Server) applyRetryAfter(li catalog.Instance, rsp *http.Response, sent time.Time) {
	if !notRun(rsp) {
		sv.Backpressure.SetAccepted(li, sent, sv.Clock.Now())
		return
	}
	retryAfter, err := platform.RetryAfter(rsp, sv.Clock.Now())
	if err != nil {
		sv.Log.Info("front: invalid header in response.", "endpoint", li.ID, "cause", err.Error())
	}
	if retryAfter > 0 {
		retryAfterCount.Inc()
		sv.Backpressure.SetRetryAfter(li, retryAfter, sv.Clock.Now())
		sv.Log.Info("front: endpoint requires back-off.", "endpoint", li.ID, "status", rsp.StatusCode, "rest-ms", retryAfter.Milliseconds())
	}
}

// ApplyControlResponseHeader applies the rate limit and the shutdown in the header of a response to
// a control call, which is not a caller's request. sent is the time when the call was sent. Servers
// need not send there the headers that they send in responses to requests, so a missing header
// withdraws nothing.
func (sv *Server) ApplyControlResponseHeader(li catalog.Instance, rsp *http.Response, sent time.Time) {
	if limit, ok := sv.limitOf(li, rsp); ok && limit.Named {
		sv.setLimit(li, limit, sent)
	}
	sv.applyLeaving(li, rsp)
}

// limitOf returns the rate limit that a response sets. It returns false if the response says
// nothing about the endpoint's limit.
func (sv *Server) limitOf(li catalog.Instance, rsp *http.Response) (backpressure.Limit, bool) {
	if rsp.StatusCode == http.StatusMisdirectedRequest {
		// The response is from another endpoint that now has the address.
		return backpressure.Limit{}, false
	}
	limit, err := platform.LimitOf(rsp.Header)
	if err != nil {
		sv.Log.Info("front: invalid header in response.", "endpoint", li.ID, "cause", err.Error())
		return backpressure.Limit{}, false
	}
	return limit, true
}

func (sv *Server) setLimit(li catalog.Instance, limit backpressure.Limit, sent time.Time) {
	if sv.Backpressure.SetLimit(li, limit, sent, sv.Clock.Now()) {
		limitChanges.Inc()
		sv.Log.Info("front: endpoint rate limit changed.", "endpoint", li.ID, "named", limit.Named, "per-second", limit.PerSecond)
	}
}
