package caller

import (
	"context"
	"time"

	"corianderhub.dev/corianderhub/internal/stop"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// retryAfterStopping is the retry delay of a request that a stopping daemon has no time for: the others
// accept requests now.
const retryAfterStopping = 100 * time.Millisecond

// SetStopping begins a graceful stop: every request is answered in time.
func (se *Server) SetStopping(at stop.Times) { se.stop.Stop(at, se.Clock.Now()) }

// EndedByStop returns the numbers of requests that the stop has ended.
func (se *Server) EndedByStop() *stop.Ended { return &se.stop.Ended }

// refuseNew refuses a request that arrives after the last one that is taken.
func (se *Server) refuseNew(ex *exchange) {
	se.stop.Ended.Refused.Add(1)
	se.Log.Info("caller: refused.", "request", ex.id, "reason", verdict.CodeStopping)
	writeError(ex.w, ex.id, errStopping())
}

// errStopping returns the error of a request that a stopping daemon has not sent.
func errStopping() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeStopping, Verdict: verdict.NotRun, RetryAfter: retryAfterStopping,
		Message: "this daemon is stopping; ask /v1/entries for another"}
}

// limitTo names the endpoint or model of a request, and the longest that it takes if no duration is
// known. It returns an error if the request can't be expected to end before the daemon stops.
func (se *Server) limitTo(ex *exchange, name string, longest time.Duration) error {
	ex.name, ex.longest = name, longest
	if se.canEnd(ex) {
		return nil
	}
	se.stop.Ended.Refused.Add(1)
	se.Log.Info("caller: refused.", "request", ex.id, "reason", verdict.CodeStopping, "target", name,
		"expected-ms", se.expectedDuration(ex).Milliseconds(), "left-ms", se.stop.AnswerBy(ex.deadline).Sub(se.Clock.Now()).Milliseconds())
	return errStopping()
}

// expectedDuration returns how long a request takes by what was seen of its endpoint or model.
func (se *Server) expectedDuration(ex *exchange) time.Duration {
	if longest, ok := se.durations.Of(ex.name, se.Clock.Now()); ok {
		return longest
	}
	return ex.longest
}

// canEnd reports whether a request that is sent now can be expected to end before the daemon stops.
func (se *Server) canEnd(ex *exchange) bool {
	return !se.stop.Stopping() || se.stop.CanEnd(ex.deadline, se.expectedDuration(ex), se.Clock.Now())
}

// recordDuration records how long a request has taken.
func (se *Server) recordDuration(ctx context.Context, ex *exchange, err error) {
	if ex.name == "" || err != nil && ctx.Err() != context.DeadlineExceeded {
		return
	}
	now := se.Clock.Now()
	se.durations.Add(ex.name, now.Sub(ex.complete), now)
}

// endedByStop returns the error for the caller of a request that failed with err because the daemon
// stops, and err for any other.
func (se *Server) endedByStop(ctx context.Context, ex *exchange, err error) error {
	if err == nil || context.Cause(ctx) != stop.ErrStopping {
		return err
	}
	ve := verdict.As(err)
	if ve.Code == verdict.CodeStopping {
		return err
	}
	se.Log.Info("caller: ended by the stop.", "request", ex.id, "verdict", ve.Verdict, "begun", ex.headerWritten, "cause", ve.Error())
	switch {
	case ex.headerWritten:
		se.stop.Ended.Aborted.Add(1)
	case ve.Verdict == verdict.NotRun:
		se.stop.Ended.Refused.Add(1)
		return errStopping()
	default:
		se.stop.Ended.Unfinished.Add(1)
	}
	return &verdict.Error{Code: verdict.CodeDeadline, Verdict: ve.Verdict, Cause: err,
		Message: "this daemon stops before the response is complete"}
}
