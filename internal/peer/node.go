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
	protocol = "corianderhub-peer-1"
	// maxMessageBytes bounds a request and an answer.
	maxMessageBytes = 16 << 20
	// callTimeout bounds a call that was given no deadline.
	callTimeout = time.Second
	// idleTimeout closes connections that no call has used.
	idleTimeout = time.Minute
	// maxStreams bounds the calls that one peer may have open.
	maxStreams = 256
)

var (
	bytesOut = metrics.NewCounter("corianderhub_peer_bytes_sent_total")
	bytesIn  = metrics.NewCounter("corianderhub_peer_bytes_received_total")
)

// Handler answers requests. The answer is encoded as CBOR.
type Handler interface {
	Handle(ctx context.Context, req Request) (any, error)
}

// Node sends and answers calls on one UDP socket. Set the exported fields
// before Run.
type Node struct {
	// Conn is the bound socket; Run closes it.
	Conn *net.UDPConn
	// TLS holds this daemon's certificate and the CA that all daemons share.
	TLS     *tls.Config
	Handler Handler
	Log     *slog.Logger

	once      sync.Once
	transport *quic.Transport
	mu        sync.Mutex
	conns     map[string]*dialed
	closed    atomic.Bool
}

// dialed is a connection that is being made or was made.
type dialed struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

func (no *Node) init() {
	no.once.Do(func() {
		no.transport = &quic.Transport{Conn: countingConn{no.Conn}}
		no.conns = make(map[string]*dialed)
	})
}

func (no *Node) quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: callTimeout, MaxIncomingStreams: maxStreams}
}

// Run answers calls until ctx ends.
func (no *Node) Run(ctx context.Context) error {
	no.init()
	conf := no.TLS.Clone()
	conf.NextProtos = []string{protocol}
	ln, err := no.transport.Listen(conf, no.quicConfig())
	if err != nil {
		return eris.Wrap(err, "peer listen")
	}
	defer no.close(ln)
	for {
		conn, err := ln.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "peer accept")
		}
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
	rp := no.answer(ctx, raw)
	out, err := cbor.Marshal(rp)
	if err != nil {
		no.Log.Error("Peer: an answer could not be encoded.", "error", err)
		return
	}
	st.Write(out)
}

func (no *Node) answer(ctx context.Context, raw []byte) reply {
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

// Call sends req to the daemon at addr and decodes the answer into into.
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
		// The connection may have gone silent for good: the next call makes a
		// new one.
		no.forget(addr, conn)
		return err
	}
	if rp.Error != "" {
		return eris.Errorf("peer %s: %s", addr, rp.Error)
	}
	return eris.Wrap(cbor.Unmarshal(rp.Body, into), "peer answer")
}

func exchange(ctx context.Context, conn *quic.Conn, raw []byte) (reply, error) {
	var rp reply
	st, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return rp, eris.Wrap(err, "peer stream")
	}
	defer st.CancelRead(0)
	if dl, ok := ctx.Deadline(); ok {
		st.SetDeadline(dl)
	}
	stop := context.AfterFunc(ctx, func() { st.SetDeadline(time.Unix(0, 1)) })
	defer stop()
	if _, err := st.Write(raw); err != nil {
		return rp, eris.Wrap(err, "peer write")
	}
	st.Close()
	in, err := io.ReadAll(io.LimitReader(st, maxMessageBytes))
	if err != nil {
		return rp, eris.Wrap(err, "peer read")
	}
	return rp, eris.Wrap(cbor.Unmarshal(in, &rp), "peer answer")
}

// dial returns the connection to addr, making it if there is none. Callers
// that come at once share one handshake.
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
		return nil, eris.Wrap(ctx.Err(), "peer dial "+addr)
	}
}

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
		return nil, eris.New("peer: closed")
	}
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "peer dial")
	}
	conf := no.TLS.Clone()
	conf.NextProtos = []string{protocol}
	conf.ServerName = ServerName
	conn, err := no.transport.Dial(ctx, ua, conf, no.quicConfig())
	return conn, eris.Wrap(err, "peer dial "+addr)
}

func (no *Node) forget(addr string, conn *quic.Conn) {
	no.mu.Lock()
	if di, ok := no.conns[addr]; ok && di.conn == conn {
		delete(no.conns, addr)
	}
	no.mu.Unlock()
	conn.CloseWithError(0, "no answer")
}

// countingConn counts what passes, for the budget of control traffic. It
// hides the socket's other methods, through which QUIC would pass it by.
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
