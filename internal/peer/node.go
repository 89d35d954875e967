package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	// protocol is the ALPN name of the protocol.
	protocol = "corianderhub-peer-1"
	// maxMessageBytes limits the size of a request and of a response.
	maxMessageBytes = 16 << 20
	// callTimeout applies to calls without a deadline and to handshakes.
	callTimeout = time.Second
	// idleTimeout closes connections without calls.
	idleTimeout = time.Minute
	// maxStreams limits the calls of one peer that are in flight.
	maxStreams = 256
)

var (
	// Traffic of the socket, in bytes, including that of QUIC itself.
	bytesOut = metrics.NewCounter("corianderhub_peer_bytes_sent_total")
	bytesIn  = metrics.NewCounter("corianderhub_peer_bytes_received_total")
)

// Handler handles requests. The returned response is encoded as CBOR; an error is sent
// to the peer as text.
type Handler interface {
	Handle(ctx context.Context, req Request) (any, error)
}

// Node makes and serves calls on one UDP socket. Set the exported fields before Run.
type Node struct {
	// Conn is the bound socket. Run closes it.
	Conn *net.UDPConn
	// TLS holds this daemon's certificate and the CA of all daemons.
	TLS     *tls.Config
	Handler Handler
	Log     *slog.Logger

	once       sync.Once
	transport  *quic.Transport
	handshakes handshakes
	mu         sync.Mutex
	conns      map[string]*dialed
	closed     atomic.Bool
}

// dialed is an outgoing connection. conn and err are valid once ready is closed.
type dialed struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

func (no *Node) init() {
	no.once.Do(func() {
		no.transport = &quic.Transport{Conn: countingConn{no.Conn}, ConnContext: no.handshakes.begin}
		no.conns = make(map[string]*dialed)
	})
}

func (no *Node) quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: callTimeout, MaxIncomingStreams: maxStreams}
}

// Run serves calls until ctx ends, and then returns nil. It returns an error if the
// node cannot listen or accept connections.
func (no *Node) Run(ctx context.Context) error {
	no.init()
	conf := no.TLS.Clone()
	conf.NextProtos = []string{protocol}
	ln, err := no.transport.Listen(conf, no.quicConfig())
	if err != nil {
		return eris.Wrap(err, "peer: listen")
	}
	defer no.close(ln)
	for {
		conn, err := ln.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "peer: accept connection")
		}
		no.handshakes.end(conn)
		go no.serveConn(ctx, conn)
	}
}

func (no *Node) close(ln *quic.Listener) {
	no.closed.Store(true)
	ln.Close()
	no.transport.Close()
	no.Conn.Close()
}

func (no *Node) serveConn(ctx context.Context, conn *quic.Conn) {
	for {
		st, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go no.serveStream(ctx, st)
	}
}

func (no *Node) serveStream(ctx context.Context, st *quic.Stream) {
	defer st.Close()
	raw, err := io.ReadAll(io.LimitReader(st, maxMessageBytes))
	if err != nil {
		return
	}
	rp := no.respond(ctx, raw)
	out, err := cbor.Marshal(rp)
	if err != nil {
		no.Log.Error("Peer: cannot encode response.", "error", err)
		return
	}
	st.Write(out)
}

// respond handles one encoded request. Errors become part of the reply.
func (no *Node) respond(ctx context.Context, raw []byte) reply {
	req, err := Decode(raw)
	if err != nil {
		return reply{Error: err.Error()}
	}
	val, err := no.Handler.Handle(ctx, req)
	if err != nil {
		return reply{Error: err.Error()}
	}
	body, err := cbor.Marshal(val)
	if err != nil {
		return reply{Error: err.Error()}
	}
	return reply{Body: body}
}

// Call sends req to the daemon at addr and decodes its response into the value that
// into points to. Without a deadline in ctx, it times out after callTimeout. An error
// of the remote handler is returned as text.
func (no *Node) Call(ctx context.Context, addr string, req Request, into any) error {
	no.init()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	raw, err := encode(req)
	if err != nil {
		return err
	}
	conn, err := no.dial(ctx, addr)
	if err != nil {
		return err
	}
	rp, err := exchange(ctx, conn, raw)
	if err != nil {
		// The connection may be dead without a sign of it, so the next call opens a new
		// one.
		no.dropConn(addr, conn)
		return err
	}
	if rp.Error != "" {
		return eris.Errorf("peer %s: %s", addr, rp.Error)
	}
	return eris.Wrap(cbor.Unmarshal(rp.Body, into), "peer: decode response")
}

// exchange sends a request on a new stream of conn and reads the reply.
func exchange(ctx context.Context, conn *quic.Conn, raw []byte) (reply, error) {
	var rp reply
	st, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return rp, eris.Wrap(err, "peer: open stream")
	}
	defer st.CancelRead(0)
	if dl, ok := ctx.Deadline(); ok {
		st.SetDeadline(dl)
	}
	stop := context.AfterFunc(ctx, func() { st.SetDeadline(time.Unix(0, 1)) })
	defer stop()
	if _, err := st.Write(raw); err != nil {
		return rp, eris.Wrap(err, "peer: write request")
	}
	st.Close()
	in, err := io.ReadAll(io.LimitReader(st, maxMessageBytes))
	if err != nil {
		return rp, eris.Wrap(err, "peer: read response")
	}
	return rp, eris.Wrap(cbor.Unmarshal(in, &rp), "peer: decode response")
}

// dial returns the connection to addr and opens one if there is none. Concurrent
// callers share one handshake.
func (no *Node) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	no.mu.Lock()
	di, ok := no.conns[addr]
	if ok && di.conn != nil && di.conn.Context().Err() != nil {
		ok = false
	}
	if !ok {
		di = &dialed{ready: make(chan struct{})}
		no.conns[addr] = di
		go no.connect(addr, di)
	}
	no.mu.Unlock()
	select {
	case <-di.ready:
		return di.conn, di.err
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "peer: dial "+addr)
	}
}

// connect performs the handshake for di. A failed one is removed, so that the next
// call tries again.
func (no *Node) connect(addr string, di *dialed) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := no.handshake(ctx, addr)
	no.mu.Lock()
	di.conn, di.err = conn, err
	if err != nil && no.conns[addr] == di {
		delete(no.conns, addr)
	}
	no.mu.Unlock()
	close(di.ready)
}

func (no *Node) handshake(ctx context.Context, addr string) (*quic.Conn, error) {
	if no.closed.Load() {
		return nil, eris.New("peer: node is closed")
	}
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "peer: resolve address")
	}
	conf := no.TLS.Clone()
	conf.NextProtos = []string{protocol}
	conf.ServerName = ServerName
	conn, err := no.transport.Dial(ctx, ua, conf, no.quicConfig())
	return conn, eris.Wrap(err, "peer: dial "+addr)
}

// dropConn closes conn and removes it from the connections that later calls use.
func (no *Node) dropConn(addr string, conn *quic.Conn) {
	no.mu.Lock()
	if di, ok := no.conns[addr]; ok && di.conn == conn {
		delete(no.conns, addr)
	}
	no.mu.Unlock()
	conn.CloseWithError(0, "no answer")
}

// countingConn counts the bytes of a socket, for the budget of control traffic. It
// does not embed the socket, because QUIC would bypass the counters through its other
// methods.
type countingConn struct{ conn *net.UDPConn }

func (cc countingConn) ReadFrom(buf []byte) (int, net.Addr, error) {
	num, addr, err := cc.conn.ReadFrom(buf)
	bytesIn.Add(num)
	return num, addr, err
}

func (cc countingConn) WriteTo(buf []byte, addr net.Addr) (int, error) {
	num, err := cc.conn.WriteTo(buf, addr)
	bytesOut.Add(num)
	return num, err
}

func (cc countingConn) Close() error                          { return cc.conn.Close() }
func (cc countingConn) LocalAddr() net.Addr                   { return cc.conn.LocalAddr() }
func (cc countingConn) SetDeadline(at time.Time) error        { return cc.conn.SetDeadline(at) }
func (cc countingConn) SetReadDeadline(at time.Time) error    { return cc.conn.SetReadDeadline(at) }
func (cc countingConn) SetWriteDeadline(at time.Time) error   { return cc.conn.SetWriteDeadline(at) }
func (cc countingConn) SetReadBuffer(size int) error          { return cc.conn.SetReadBuffer(size) }
func (cc countingConn) SetWriteBuffer(size int) error         { return cc.conn.SetWriteBuffer(size) }
func (cc countingConn) SyscallConn() (syscall.RawConn, error) { return cc.conn.SyscallConn() }
