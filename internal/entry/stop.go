package entry

import (
	"context"
	"net/http"
	"time"

	"corianderhub.dev/corianderhub/internal/stop"
)

const (
	// acceptFor is how long a stopping daemon keeps accepting requests from callers that
	// still have its address.
	acceptFor = 2500 * time.Millisecond
	// unreadTimeout is the time after acceptFor in which a stopping daemon waits for requests that are
	// not complete.
	unreadTimeout = time.Second
	// stopMargin is subtracted from the grace period, so that the remaining work ends
	// before the process is killed.
	stopMargin = 800 * time.Millisecond
	// answerMargin and abortMargin are the times before the end of the remaining work at which the
	// last requests are answered, and at which streams are aborted. They allow for writing.
	answerMargin = 300 * time.Millisecond
	abortMargin  = 100 * time.Millisecond
	// relayCheckInterval is the time between checks whether a stopping daemon still relays connections.
	relayCheckInterval = 20 * time.Millisecond
)

// stopTimes are the times of a graceful stop.
type stopTimes struct {
	// acceptUntil is when the listener is closed, readBy when requests that are not complete are
	// refused.
	acceptUntil, readBy time.Time
	stop.Times
	// end is when all connections are closed.
	end time.Time
}

// newStopTimes returns the times of a stop that begins now. With a short grace period the margins are
// parts of it, so that requests in progress are answered before all connections are closed.
func newStopTimes(now time.Time, grace time.Duration) stopTimes {
	limit := grace - min(stopMargin, grace/4)
	answer := limit - min(answerMargin, limit/4)
	accept := min(acceptFor, limit/2)
	st := stopTimes{end: now.Add(limit), acceptUntil: now.Add(accept)}
	st.AnswerBy, st.AbortBy = now.Add(answer), st.end.Add(-min(abortMargin, limit/8))
	st.readBy = now.Add(min(accept+unreadTimeout, answer))
	return st
}

// gracefulStop stops the daemon gracefully once ctx ends. The other daemons are notified
// immediately that it accepts no more requests. It still serves callers that have its
// address, as far as their requests can end in time, and returns when no requests are in
// flight or the grace period is over. If actorCtx ends, it returns immediately.
func (da *Daemon) gracefulStop(ctx, actorCtx context.Context, callers *http.Server) error {
	select {
	case <-actorCtx.Done():
		return nil
	case <-ctx.Done():
	}
	st := newStopTimes(da.Clock.Now(), da.Settings.Bounds.Grace)
	da.Log.Info("daemon: stopping.", "name", da.Settings.Name, "working", da.front.InFlight())
	da.stopping.Store(true)
	da.front.SetStopping(st.Times)
	da.table.StopWaiting()
	da.control.post(da.control.leave)
	if da.sleepUntil(actorCtx, st.acceptUntil) != nil {
		return nil
	}
	limit, cancel := context.WithTimeout(actorCtx, st.end.Sub(da.Clock.Now()))
	defer cancel()
	go da.refuseUnread(limit, st.readBy)
	da.closeCallers(limit, callers)
	// Requests of other daemons' callers pass through this one.
	for da.relay.Open() > 0 {
		if da.Clock.Sleep(limit, relayCheckInterval) != nil {
			da.Log.Warn("daemon: grace period exceeded, relayed connections closed.", "open", da.relay.Open())
			break
		}
	}
	return nil
}

// closeCallers closes the listener for callers, and their connections as their requests end.
func (da *Daemon) closeCallers(limit context.Context, callers *http.Server) {
	// http.Server takes a connection for idle until it has read the whole header of a request, and
	// may close it then. Such a request must not be sent to an endpoint.
	da.front.RefuseNew()
	if err := callers.Shutdown(limit); err != nil {
		da.Log.Warn("daemon: grace period exceeded, connections closed.", "working", da.front.InFlight(), "cause", err.Error())
	}
	da.Log.Info("daemon: callers' connections closed.", da.front.EndedByStop().Attrs()...)
}

// sleepUntil waits until a time or until ctx ends, and returns ctx.Err() in the latter case.
func (da *Daemon) sleepUntil(ctx context.Context, at time.Time) error {
	return da.Clock.Sleep(ctx, at.Sub(da.Clock.Now()))
}

// refuseUnread refuses the requests that are not complete at a time, unless ctx ends before.
func (da *Daemon) refuseUnread(ctx context.Context, at time.Time) {
	if da.sleepUntil(ctx, at) == nil {
		da.guard.RefuseUnread(da.callers)
	}
}
