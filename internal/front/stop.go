package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/stop"
)

const (
	reasonStopping = "stopping"
	// retryAfterStopping is the retry delay of a request that this daemon has no time for: the others
	// accept requests now.
	retryAfterStopping = 100 * time.Millisecond
)

// stopState is the state of a planned stop.
type stopState struct {
	stop.Requests
	// closed is set once every new request is refused.
	closed atomic.Bool
}

// SetStopping begins a planned stop: callers are asked to close their connections, by the header of
// each response, and every request is answered in time.
func (sv *Server) SetStopping(at stop.Times) { sv.stop.Stop(at, sv.Clock.Now()) }

// RefuseNew refuses all requests from now on, as not run. Connections that are closed as idle may
// still deliver requests that have been read.
func (sv *Server) RefuseNew() { sv.stop.closed.Store(true) }

// EndedByStop returns the numbers of requests that the planned stop has ended.
func (sv *Server) EndedByStop() *stop.Ended { return &sv.stop.Ended }

// context returns the context of the request's attempts. It ends at the deadline, and when a stopping
// server has to answer. The caller must call release.
func (ca *call) context() (ctx context.Context, release func()) {
	ctx, cancel := context.WithDeadline(ca.req.Context(), ca.deadline)
	ctx = ca.sv.stop.Begin(ctx, ca.stop, ca.sv.Clock.Now())
	return ctx, func() {
		ca.sv.stop.End(ca.stop)
		cancel()
	}
}

// durationName is the name under which the durations of the route's requests are kept.
func (ca *call) durationName() string { return ca.route.Host + ca.route.Prefix }

// recordDuration records how long the request has taken since it was complete.
func (ca *call) recordDuration() {
	now := ca.sv.Clock.Now()
	ca.sv.durations.Add(ca.durationName(), now.Sub(ca.complete), now)
}

// expectedDuration returns how long a request of the route takes by what was seen, and no longer than
// its timeout. If nothing was seen, a request that may be repeated is tried. The objective of a stream
// says nothing about its end.
func (ca *call) expectedDuration() time.Duration {
	limit := ca.deadline.Sub(ca.arrived)
	if longest, ok := ca.sv.durations.Of(ca.durationName(), ca.sv.Clock.Now()); ok {
		return min(limit, longest)
	}
	switch {
	case ca.route.Kind == catalog.Safe:
		return 0
	case ca.route.Kind == catalog.Unsafe && ca.route.Objective > 0:
		return min(limit, ca.route.Objective)
	default:
		return limit
	}
}

// canEnd reports whether a request that is sent now, with a part of its duration done, can be expected
// to end before the server stops.
func (ca *call) canEnd(done time.Duration) bool {
	if !ca.sv.stop.Stopping() {
		return true
	}
	return ca.sv.stop.CanEnd(ca.deadline, ca.expectedDuration()-done, ca.sv.Clock.Now())
}

// stopRefusal returns the refusal of a request that has not run and won't.
func stopRefusal(cause error) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfterStopping, cause: cause}
}

// stopAttrs returns what decided the end of a request by a planned stop.
func (ca *call) stopAttrs() []any {
	if !ca.sv.stop.Stopping() || ca.complete.IsZero() {
		return nil
	}
	return []any{"expected-ms", ca.expectedDuration().Milliseconds(), "left-ms", ca.remaining().Milliseconds()}
}

// recordRefusal counts a request that the planned stop has ended, and records that one was not
// complete by its deadline.
func (ca *call) recordRefusal(re *refusal) {
	switch {
	case re.reason == reasonStopping && re.status == http.StatusServiceUnavailable:
		ca.sv.stop.Ended.Refused.Add(1)
	case re.reason == reasonStopping:
		ca.sv.stop.Ended.Unfinished.Add(1)
	case re.status == http.StatusGatewayTimeout:
		ca.recordDuration()
	}
}

// closeIfStopping asks the caller to close its connection if the server stops.
func (ca *call) closeIfStopping() {
	if ca.sv.stop.Stopping() {
		ca.w.Header().Set("Connection", "close")
	}
}
