package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/front"
)

const (
	// crashCheckDelay is the time between an endpoint closing a connection and the check
	// whether its process has ended. The listener of a process that ends is closed at
	// about the same time as its connections.
	crashCheckDelay = 20 * time.Millisecond
	// sameCrashWindow is the period in which closed connections of an endpoint count as
	// the same crash. A restart takes longer.
	sameCrashWindow = time.Second
)

// crashChecks are the checks whether endpoints have crashed, by endpoint ID. All requests
// of an endpoint are disconnected at once, and one check covers them.
type crashChecks map[string]*crashCheck

// crashCheck is a check whether an endpoint has crashed while processing requests.
type crashCheck struct {
	startedAt time.Time
	requests  []quarantine.Request
	// waiters receive the result. done is set once it is known.
	waiters       []chan bool
	done, crashed bool
}

// checkCrash checks whether the endpoint that closed a connection has crashed. The returned
// channel receives the result.
func (ct *control) checkCrash(bo front.Disconnect) <-chan bool {
	known := make(chan bool, 1)
	ct.post(func() { ct.handleDisconnect(bo, known) })
	return known
}

// handleDisconnect starts a crash check, or joins the running one, after an endpoint closed
// the connection of a request. Endpoints also truncate or lose responses, or close
// connections beyond a limit, without crashing. Such disconnects are not attributed to the
// request.
func (ct *control) handleDisconnect(bo front.Disconnect, known chan bool) {
	now := ct.da.Clock.Now()
	ec := ct.crashChecks[bo.Endpoint]
	switch {
	case ec == nil, ec.done && (!ec.crashed || now.Sub(ec.startedAt) >= sameCrashWindow):
		ec = &crashCheck{startedAt: now}
		ct.crashChecks[bo.Endpoint] = ec
		ct.da.spawn(&ct.wg, func(ctx context.Context) { ct.runCrashCheck(ctx, bo, ec) })
	case ec.done:
		ct.endpointCrashed(bo.Endpoint, []quarantine.Request{bo.Request})
		known <- true
		return
	}
	ec.requests = append(ec.requests, bo.Request)
	ec.waiters = append(ec.waiters, known)
}

// runCrashCheck checks after a short delay whether an endpoint has crashed.
func (ct *control) runCrashCheck(ctx context.Context, bo front.Disconnect, ec *crashCheck) {
	if ct.da.Clock.Sleep(ctx, crashCheckDelay) != nil {
		return
	}
	crashed := ct.da.refusesConnections(ctx, bo.Address)
	ct.post(func() { ct.finishCrashCheck(bo.Endpoint, ec, crashed) })
}

// crashCheckAttempts is the number of connection attempts per check, since a SYN may be
// lost.
const crashCheckAttempts = 2

// refusesConnections reports whether connections to addr are refused: the machine is up,
// but the process that listened there has ended.
func (da *Daemon) refusesConnections(ctx context.Context, addr string) bool {
	for range crashCheckAttempts {
		nc, err := da.dialer.Dial(ctx, addr)
		if err == nil {
			nc.Close()
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
	}
	return false
}

// finishCrashCheck records the result of a crash check and releases its waiters.
func (ct *control) finishCrashCheck(endpoint string, ec *crashCheck, crashed bool) {
	ec.done, ec.crashed = true, crashed
	if crashed {
		ct.endpointCrashed(endpoint, ec.requests)
	}
	for _, known := range ec.waiters {
		known <- crashed
	}
	ec.waiters = nil
}

// sweep removes finished checks that no further request can join.
func (ec crashChecks) sweep(now time.Time) {
	for id, check := range ec {
		if check.done && now.Sub(check.startedAt) >= sameCrashWindow {
			delete(ec, id)
		}
	}
}
