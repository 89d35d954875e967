// Package relay opens connections to endpoints.
package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/reach"
)

// Dialer opens connections to endpoints and records which of them this daemon reaches. Set the
// exported fields before the first use.
type Dialer struct {
	Clock clock.Clock
	// Timeout bounds the opening of a connection over this daemon's own path.
	Timeout time.Duration
	Paths   *reach.Tracker
	// Direct opens a connection over this daemon's own path; nil means net.Dialer.
	Direct func(ctx context.Context, addr string) (net.Conn, error)
}

// Dial opens a connection to an endpoint.
func (di *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return di.dialDirect(ctx, addr)
}

// dialDirect opens a connection over this daemon's own path and records the outcome.
func (di *Dialer) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	limit, cancel := context.WithTimeout(ctx, di.Timeout)
	defer cancel()
	open := di.Direct
	if open == nil {
		open = dialTCP
	}
	nc, err := open(limit, addr)
	switch {
	case err == nil:
		di.Paths.DirectOpened(addr)
	case ctx.Err() == nil:
		di.Paths.DirectFailed(addr, di.Clock.Now())
		metrics.GetOrCreateCounter(`corianderhub_connect_failures_total{cause="` + failureCause(err) + `"}`).Inc()
	}
	return nc, err
}

// dialTCP opens a TCP connection without keep-alive probes: a connection that waits for a
// response is watched by the request's own timeouts.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	di := net.Dialer{KeepAlive: -1}
	return di.DialContext(ctx, "tcp", addr)
}

// failureCause returns the metric label of a failed connection.
func failureCause(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "other"
}
