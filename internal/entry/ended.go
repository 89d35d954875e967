package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/front"
)

const (
	// endPause is the time between a connection that an endpoint closed and the look
	// whether its process has ended: the listener of one that ends is closed about then.
	endPause = 20 * time.Millisecond
	// sameEnd is the time within which connections that an endpoint closed belong to the
	// same end of its process, which takes longer than that to be back.
	sameEnd = time.Second
)

// endChecks are the looks whether endpoints have ended, by the endpoint's identifier. All
// requests that an endpoint had break off at once, and one look serves them.
type endChecks map[string]*endCheck

// endCheck is a look whether one endpoint has ended under the requests that it had.
type endCheck struct {
	begun    time.Time
	requests []quarantine.Fingerprint
	// waiting are closed once it is known whether it has ended; done is set from then on.
	waiting     []chan struct{}
	done, ended bool
}

// lookAfter looks whether the endpoint that closed the connection has ended. What it
// returns is closed once that is known.
func (ct *control) lookAfter(bo front.Disconnect) <-chan struct{} {
	known := make(chan struct{})
	ct.post(func() { ct.brokenOff(bo, known) })
	return known
}

// brokenOff takes in that an endpoint closed the connection while it had a request, and looks
// whether it has ended. Endpoints also break off answers, lose them, or close connections
// beyond a limit, and go on; of that their requests are no cause.
func (ct *control) brokenOff(bo front.Disconnect, known chan struct{}) {
	now := ct.da.Clock.Now()
	ec := ct.ends[bo.Endpoint]
	switch {
	case ec == nil, ec.done && now.Sub(ec.begun) >= sameEnd:
		ec = &endCheck{begun: now}
		ct.ends[bo.Endpoint] = ec
		ct.da.once(&ct.wg, func(ctx context.Context) { ct.look(ctx, bo, ec) })
	case ec.done:
		close(known)
		if ec.ended {
			ct.endedUnder(bo.Endpoint, []quarantine.Fingerprint{bo.Request})
		}
		return
	}
	ec.requests = append(ec.requests, bo.Request)
	ec.waiting = append(ec.waiting, known)
}

// look finds out whether an endpoint has ended.
func (ct *control) look(ctx context.Context, bo front.Disconnect, ec *endCheck) {
	if ct.da.Clock.Sleep(ctx, endPause) != nil {
		return
	}
	ended := refusesConnections(ctx, bo.Address)
	ct.post(func() { ct.looked(bo.Endpoint, ec, ended) })
}

// lookTries is how often a connection is tried; the packet that opens it may be lost.
const lookTries = 2

// refusesConnections tells whether nothing listens at an address of a machine that is
// there: the process that did has ended.
func refusesConnections(ctx context.Context, addr string) bool {
	di := net.Dialer{Timeout: dialTimeout}
	for range lookTries {
		nc, err := di.DialContext(ctx, "tcp", addr)
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

// looked takes in whether an endpoint has ended.
func (ct *control) looked(endpoint string, ec *endCheck, ended bool) {
	ec.done, ec.ended = true, ended
	if ended {
		ct.endedUnder(endpoint, ec.requests)
	}
	for _, known := range ec.waiting {
		close(known)
	}
	ec.waiting = nil
}

// sweep forgets the looks that nothing can be added to any more.
func (ec endChecks) sweep(now time.Time) {
	for id, check := range ec {
		if check.done && now.Sub(check.begun) >= sameEnd {
			delete(ec, id)
		}
	}
}
