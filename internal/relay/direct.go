package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/tcp"
)

// witnesses is the number of other endpoints that a daemon tries to reach before it doubts its
// own path. Those in one rack may be down together.
const witnesses = 3

// Direct opens a connection over this daemon's own path and records the outcome. Its Read doesn't miss a
// reset that a write has met: the response would look complete, and a relayed one be marked as such.
func (di *Dialer) Direct(ctx context.Context, addr string) (net.Conn, error) {
	limit, cancel := context.WithTimeout(ctx, di.Timeout)
	defer cancel()
	open := di.OpenDirect
	if open == nil {
		open = dialTCP
	}
	nc, err := open(limit, addr)
	switch {
	case err == nil:
		di.Paths.DirectOpened(addr)
	case ctx.Err() == nil:
		di.Paths.DirectFailed(addr, errors.Is(err, syscall.ECONNREFUSED), di.Clock.Now())
		metrics.GetOrCreateCounter(`corianderhub_connect_failures_total{cause="` + failureCause(err) + `"}`).Inc()
	}
	if err != nil {
		return nil, err
	}
	return tcp.NewConn(nc), nil
}

// DirectForOthers opens a connection over this daemon's own path on behalf of another daemon. It
// fails at once if the last one failed a moment ago. The error is syscall.ECONNREFUSED only if this
// daemon reaches other endpoints.
func (di *Dialer) DirectForOthers(ctx context.Context, addr string) (net.Conn, error) {
	failed, refused := di.Paths.FailedRecently(addr, di.Clock.Now())
	if !failed {
		return di.directConfirmed(ctx, addr)
	}
	if refused && di.reachesOthers(ctx, addr) {
		return nil, syscall.ECONNREFUSED
	}
	return nil, errNotReached
}

// directConfirmed opens a connection over this daemon's own path. The error is
// syscall.ECONNREFUSED only if this daemon reaches other endpoints.
func (di *Dialer) directConfirmed(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := di.Direct(ctx, addr)
	if errors.Is(err, syscall.ECONNREFUSED) && !di.reachesOthers(ctx, addr) {
		return nil, unconfirmed(err)
	}
	return nc, err
}

// reachesOthers reports whether this daemon reaches an endpoint other than the one at addr. Those to
// which connections have just failed are not tried again.
func (di *Dialer) reachesOthers(ctx context.Context, addr string) bool {
	now := di.Clock.Now()
	others := slices.DeleteFunc(di.Others(addr), func(other string) bool {
		failed, _ := di.Paths.FailedRecently(other, now)
		return failed
	})
	for _, num := range rand.Perm(len(others))[:min(witnesses, len(others))] {
		nc, err := di.Direct(ctx, others[num])
		if err == nil {
			nc.Close()
			return true
		}
	}
	return false
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
