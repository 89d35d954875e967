package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
	// done is set once it is known whether it has ended.
	done, ended bool
}

// brokenOff looks whether the endpoint that closed the connection has ended. Endpoints
// also break off answers, lose them, or close connections beyond a limit, and go on; of
// that their requests are no cause.
func (ct *control) brokenOff(bo front.BrokenOff) {
	now := ct.da.Clock.Now()
	if ec := ct.ends[bo.Endpoint]; ec != nil && now.Sub(ec.begun) < sameEnd {
		ec.requests = append(ec.requests, bo.Request)
		return
	}
	ec := &endCheck{begun: now, requests: []quarantine.Fingerprint{bo.Request}}
	ct.ends[bo.Endpoint] = ec
	ct.da.once(&ct.wg, func(ctx context.Context) {
		if ct.da.Clock.Sleep(ctx, endPause) != nil {
			return
		}
		ended := refusesConnections(ctx, bo.Address)
		ct.post(func() { ct.endChecked(bo.Endpoint, ec, ended) })
	})
}

// refusesConnections tells whether nothing listens at an address of a machine that is
// there: the process that did has ended.
func refusesConnections(ctx context.Context, addr string) bool {
	di := net.Dialer{Timeout: dialTimeout}
	nc, err := di.DialContext(ctx, "tcp", addr)
	if err == nil {
		nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// maxLogged bounds the requests that one line names.
const maxLogged = 40

// endChecked takes in whether an endpoint has ended.
func (ct *control) endChecked(endpoint string, ec *endCheck, ended bool) {
	ec.done, ec.ended = true, ended
	if !ended {
		return
	}
	endedCount.Inc()
	ct.da.Log.Info("control: endpoint ended under requests.", "endpoint", endpoint, "requests", len(ec.requests),
		"contents", ec.requests[:min(maxLogged, len(ec.requests))])
}

// sweep forgets the looks that nothing can be added to any more.
func (ec endChecks) sweep(now time.Time) {
	for id, check := range ec {
		if check.done && now.Sub(check.begun) >= sameEnd {
			delete(ec, id)
		}
	}
}

var endedCount = metrics.NewCounter("corianderhub_endpoints_ended_total")
