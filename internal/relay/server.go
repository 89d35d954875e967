package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// Path is the path of a call that asks a daemon for a connection to an endpoint.
	Path = "/peer/connect"
	// paramAddress is the parameter with the endpoint's address.
	paramAddress = "address"
	// protocol is the name of the protocol to which a connection is upgraded.
	protocol = "corianderhub-relay"
)

// maxOpen bounds the connections that a daemon relays at the same time. Each takes about 32 KB.
const maxOpen = 512

// Server opens connections to endpoints for other daemons, over this daemon's own path only, so that
// no connection passes through more than one daemon. Set the exported fields before use.
type Server struct {
	// Direct opens a connection over this daemon's own path, as Dialer.DirectForOthers does.
	Direct func(ctx context.Context, addr string) (net.Conn, error)
	// IsDaemon reports whether an IP address is that of a daemon. Only daemons may connect, and
	// they may connect to everything but daemons: what a caller may do is checked at a daemon's
	// listener for callers.
	IsDaemon func(ip string) bool
	// Stopping reports whether this daemon stops: a connection opened then would be cut at the end of the
	// grace period.
	Stopping func() bool
	open     atomic.Int64
}

// relayedCount returns the counter of connections relayed for other daemons by outcome.
func relayedCount(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`corianderhub_relayed_connections_total{way="for-others",outcome="` + outcome + `"}`)
}

// ServeHTTP handles a call for a connection. It responds with 101 and then relays bytes until one
// side closes the connection, or with 410 if the endpoint refuses connections, 504 if it can't be
// reached, 503 if this daemon stops or relays too many connections and 403 if the call is not permitted.
func (sv *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	addr := req.URL.Query().Get(paramAddress)
	if !sv.permitted(req.RemoteAddr, addr) {
		relayedCount("forbidden").Inc()
		w.WriteHeader(http.StatusForbidden)
		return
	}
	// Counted before the check: a stopping daemon waits until none is open.
	if sv.open.Add(1) > maxOpen || sv.Stopping() {
		sv.open.Add(-1)
		relayedCount("busy").Inc()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer sv.open.Add(-1)
	endpoint, err := sv.Direct(req.Context(), addr)
	if err != nil {
		relayedCount("unreached").Inc()
		status := http.StatusGatewayTimeout
		if errors.Is(err, syscall.ECONNREFUSED) {
			status = http.StatusGone
		}
		w.WriteHeader(status)
		return
	}
	defer endpoint.Close()
	sv.relay(w, endpoint)
}

// permitted reports whether the sender of a call is a daemon and the address not one.
func (sv *Server) permitted(remote, addr string) bool {
	from, _, err := net.SplitHostPort(remote)
	if err != nil || !sv.IsDaemon(from) {
		return false
	}
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && !sv.IsDaemon(host)
}

// relay upgrades the call's connection and joins it to the endpoint's.
func (sv *Server) relay(w http.ResponseWriter, endpoint net.Conn) {
	daemon, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		relayedCount("aborted").Inc()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer daemon.Close()
	if err := watchDaemon(daemon); err != nil {
		relayedCount("aborted").Inc()
		return
	}
	if _, err := io.WriteString(daemon, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		relayedCount("aborted").Inc()
		return
	}
	closed := make(chan struct{})
	go func() {
		// The asking daemon never closes one direction only: its exchange has ended.
		_, err := io.CopyBuffer(struct{ io.Writer }{endpoint}, struct{ io.Reader }{buffered}, make([]byte, maxFrame))
		if err == nil {
			close(closed)
		}
		endpoint.Close()
	}()
	err = copyFrames(boundedWriter{daemon}, endpoint)
	select {
	case <-closed:
		err = nil
	default:
	}
	if err != nil {
		relayedCount("aborted").Inc()
		resetOnClose(daemon)
		return
	}
	relayedCount("ended").Inc()
}

const (
	// probeIdle, probeInterval and probeCount are those of the keep-alive probes to an asking
	// daemon. One that has lost power must not keep an endpoint at work.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
	// writeTimeout bounds a write to an asking daemon that doesn't read.
	writeTimeout = 5 * time.Second
)

// watchDaemon replaces the deadlines of the HTTP server on an asking daemon's connection by
// keep-alive probes.
func watchDaemon(nc net.Conn) error {
	if err := nc.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if tc := tcpConn(nc); tc != nil {
		return tc.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
	}
	return nil
}

// tcpConn returns the TCP connection that nc is or wraps, or nil if there is none.
func tcpConn(nc net.Conn) *net.TCPConn {
	if wrapper, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapper.NetConn()
	}
	tc, _ := nc.(*net.TCPConn)
	return tc
}

// boundedWriter is a connection whose writes fail after writeTimeout.
type boundedWriter struct{ net.Conn }

// Write implements io.Writer.
func (bw boundedWriter) Write(buf []byte) (int, error) {
	if err := bw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return bw.Conn.Write(buf)
}

// resetOnClose makes Close reset a TCP connection, as the endpoint's own was.
func resetOnClose(nc net.Conn) {
	if tc := tcpConn(nc); tc != nil {
		_ = tc.SetLinger(0) // The frame that marks the end is missing in any case.
	}
}

// Open returns the number of connections that are being relayed.
func (sv *Server) Open() int64 { return sv.open.Load() }
