package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/reach"
)

// Addresses of the daemons and of the endpoints in these tests, all on loopback.
const (
	asking   = "127.0.0.1"
	relaying = "127.0.0.2"
	endpoint = "127.0.0.3"
)

// network is a daemon's path to the endpoints. It refuses all connections while refuses is set, and
// drops all packets while drops is set.
type network struct {
	refuses, drops atomic.Bool
	dials          atomic.Int64
	// open opens a connection; nil means dialTCP.
	open func(ctx context.Context, addr string) (net.Conn, error)
}

func (ne *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	ne.dials.Add(1)
	switch {
	case ne.refuses.Load():
		return nil, syscall.ECONNREFUSED
	case ne.drops.Load():
		<-ctx.Done()
		return nil, ctx.Err()
	case ne.open != nil:
		return ne.open(ctx, addr)
	}
	return dialTCP(ctx, addr)
}

// pair is an asking daemon and one that relays, each with its path to the endpoints.
type pair struct {
	own, other network
	dialer     *Dialer
	server     *Server
	hs         *httptest.Server
	// others are the endpoints that serve as witnesses.
	others []string
	// stopping is set while the relaying daemon stops.
	stopping atomic.Bool
	mu       sync.Mutex
	// relayed are the connections towards the asking daemon.
	relayed []net.Conn
}

func newPair(t *testing.T) *pair {
	t.Helper()
	pr := &pair{}
	second := &Dialer{Clock: clock.System{}, Timeout: time.Second, Paths: &reach.Tracker{}, OpenDirect: pr.other.dial,
		Others: func(string) []string { return pr.others }}
	pr.server = &Server{Direct: second.DirectForOthers, IsDaemon: func(ip string) bool { return ip == asking || ip == relaying },
		Stopping: pr.stopping.Load}
	pr.hs = httptest.NewUnstartedServer(pr.server)
	pr.hs.Listener.Close()
	pr.hs.Listener = listen(t, relaying)
	pr.hs.Config.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateHijacked {
			pr.mu.Lock()
			defer pr.mu.Unlock()
			pr.relayed = append(pr.relayed, nc)
		}
	}
	pr.hs.Start()
	t.Cleanup(pr.hs.Close)
	_, port, _ := net.SplitHostPort(pr.hs.Listener.Addr().String())
	num, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	pr.dialer = &Dialer{Clock: clock.System{}, Timeout: time.Second, Paths: &reach.Tracker{}, Relays: &reach.Relays{}, IP: asking, Port: num,
		Daemons: func() []reach.Candidate { return []reach.Candidate{{IP: relaying}} }, OpenDirect: pr.own.dial,
		Others: func(string) []string { return pr.others }}
	return pr
}

func listen(t *testing.T, ip string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// serve starts an endpoint that handles each connection with handle, and returns its address.
func serve(t *testing.T, handle func(*net.TCPConn)) string {
	ln := listen(t, endpoint)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(nc.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// closedPort returns an address of an endpoint whose process has ended.
func closedPort(t *testing.T) string {
	ln := listen(t, endpoint)
	ln.Close()
	return ln.Addr().String()
}

// echo returns the bytes that it receives.
func echo(nc *net.TCPConn) {
	defer nc.Close()
	_, _ = io.Copy(nc, nc)
}

// Guards against a daemon that refuses its callers because its own path is broken, and against
// bytes that change on the way through another daemon.
func TestRelayedConnection(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 40<<10)
	for name, breakPath := range map[string]func(*network){
		"refused": func(ne *network) { ne.refuses.Store(true) },
		"dropped": func(ne *network) { ne.drops.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			pr := newPair(t)
			breakPath(&pr.own)
			lost := make(chan string, 1)
			pr.dialer.OnLost = func(addr string) { lost <- addr }
			addr := serve(t, echo)
			nc, err := pr.dialer.Dial(t.Context(), addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			go func() { _, _ = nc.Write(body) }()
			got := make([]byte, len(body))
			if _, err := io.ReadFull(nc, got); err != nil || !bytes.Equal(got, body) {
				t.Errorf("got other bytes than were sent, error %v", err)
			}
			if got := <-lost; got != addr {
				t.Errorf("got lost path to %s, want %s", got, addr)
			}
		})
	}
}

// Guards against a response that ends with its connection and looks complete though the relaying
// daemon was killed, or though the endpoint reset the connection.
func TestEndOfRelayedConnection(t *testing.T) {
	tests := []struct {
		name string
		end  func(*net.TCPConn, *pair)
		want error
	}{
		{"endpoint closes", func(nc *net.TCPConn, _ *pair) { nc.Close() }, io.EOF},
		{"endpoint resets", func(nc *net.TCPConn, _ *pair) {
			if err := nc.SetLinger(0); err != nil {
				t.Error(err)
			}
			nc.Close()
		}, nil},
		{"daemon is killed", func(_ *net.TCPConn, pr *pair) { pr.killRelayed() }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pr := newPair(t)
			pr.own.refuses.Store(true)
			accepted := make(chan *net.TCPConn, 1)
			addr := serve(t, func(nc *net.TCPConn) { accepted <- nc })
			nc, err := pr.dialer.Dial(t.Context(), addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			en := <-accepted
			defer en.Close()
			if _, err := en.Write([]byte("begin")); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(nc, make([]byte, len("begin"))); err != nil {
				t.Fatal(err)
			}
			tt.end(en, pr)
			_, err = nc.Read(make([]byte, 1))
			if complete := errors.Is(err, io.EOF); err == nil || complete != (tt.want != nil) {
				t.Errorf("got error %v, want %v", err, tt.want)
			}
		})
	}
}

// killRelayed closes the relayed connections towards the asking daemon as the kernel does for a
// process that is killed: without a reset.
func (pr *pair) killRelayed() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, nc := range pr.relayed {
		nc.Close()
	}
}

// Guards against an endpoint that goes on working after the caller has left, and against counting
// each exchange that has ended as aborted.
func TestCloseReachesEndpoint(t *testing.T) {
	pr := newPair(t)
	before := relayedCount("ended").Get()
	pr.own.refuses.Store(true)
	ended := make(chan error, 1)
	addr := serve(t, func(nc *net.TCPConn) {
		defer nc.Close()
		_, err := nc.Read(make([]byte, 1))
		ended <- err
	})
	nc, err := pr.dialer.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	if err := <-ended; err == nil {
		t.Error("the endpoint's connection stays open")
	}
	for end := time.Now().Add(writeTimeout); pr.server.Open() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if got := relayedCount("ended").Get() - before; got != 1 {
		t.Errorf("%d connections count as ended, want 1", got)
	}
}

// Guards against callers that reach endpoints, or a daemon's own listeners, without a key.
func TestOnlyDaemonsMayConnect(t *testing.T) {
	pr := newPair(t)
	tests := []struct {
		name, from, to string
		want           int
	}{
		{"no daemon", "127.0.0.9:1000", endpoint + ":80", http.StatusForbidden},
		{"to a daemon", asking + ":1000", relaying + ":80", http.StatusForbidden},
		{"to a name", asking + ":1000", "localhost:80", http.StatusForbidden},
		{"no address", asking + ":1000", "", http.StatusForbidden},
		{"to a closed port", asking + ":1000", closedPort(t), http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodGet, Path+"?"+paramAddress+"="+tt.to, nil)
			req.RemoteAddr = tt.from
			rec := httptest.NewRecorder()
			pr.server.ServeHTTP(rec, req)
			if rec.Code != tt.want {
				t.Errorf("got status %d, want %d", rec.Code, tt.want)
			}
		})
	}
}

// Guards against taking a broken path for the end of an endpoint's process, and a process that has
// ended for a broken path. Requests that crash endpoints are counted by this.
func TestRefusalNeedsWitness(t *testing.T) {
	tests := []struct {
		name       string
		ended      bool
		ownBroken  bool
		bothBroken bool
		alone      bool
		want       string
	}{
		{"endpoint ended", true, false, false, false, "refused"},
		{"endpoint ended, own path broken", true, true, false, false, "refused"},
		{"own path broken", false, true, false, false, "opened"},
		{"both paths broken", false, true, true, false, "unconfirmed"},
		{"endpoint ended, both paths broken", true, true, true, false, "unconfirmed"},
		{"endpoint ended, no other daemon", true, false, false, true, "refused"},
		{"path broken, no other daemon", false, true, false, true, "unconfirmed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pr := newPair(t)
			pr.others = []string{serve(t, echo)}
			addr := serve(t, echo)
			if tt.ended {
				addr = closedPort(t)
			}
			pr.own.refuses.Store(tt.ownBroken)
			pr.other.refuses.Store(tt.bothBroken)
			if tt.alone {
				pr.dialer.Daemons = func() []reach.Candidate { return nil }
			}
			got := "unconfirmed"
			nc, err := pr.dialer.Dial(t.Context(), addr)
			switch {
			case err == nil:
				nc.Close()
				got = "opened"
			case errors.Is(err, syscall.ECONNREFUSED):
				got = "refused"
			}
			if got != tt.want {
				t.Errorf("got %s (%v), want %s", got, err, tt.want)
			}
		})
	}
}

// Guards against a connection that passes through more than one daemon, or in a circle, where each
// daemon believes that the other reaches the endpoint.
func TestOneHopAtMost(t *testing.T) {
	pr := newPair(t)
	addr := serve(t, echo)
	pr.own.refuses.Store(true)
	pr.other.refuses.Store(true)
	if nc, err := pr.dialer.Dial(t.Context(), addr); err == nil {
		nc.Close()
		t.Fatal("got a connection over two broken paths")
	}
	if got := pr.other.dials.Load(); got != 1 {
		t.Errorf("the other daemon tried to connect %d times, want once", got)
	}
}

// Guards against a relayed connection that is accepted for reuse though unread bytes of an earlier
// response may be on their way.
func TestRelayedConnectionIsNotReusable(t *testing.T) {
	pr := newPair(t)
	pr.own.refuses.Store(true)
	nc, err := pr.dialer.Dial(t.Context(), serve(t, echo))
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, ok := nc.(syscall.Conn); ok {
		t.Error("the connection claims to be one of the kernel's")
	}
}

// Guards against frames that are split or joined wrongly.
func TestFrames(t *testing.T) {
	var framed bytes.Buffer
	body := strings.Repeat("x", 3*maxFrame+1)
	if err := copyFrames(&framed, strings.NewReader(body)); err != nil {
		t.Fatal(err)
	}
	whole := framed.Bytes()
	got, err := io.ReadAll(framedConn(whole))
	if err != nil || string(got) != body {
		t.Errorf("got %d bytes and error %v, want %d bytes", len(got), err, len(body))
	}
	for _, cut := range []int{0, 1, frameHeaderSize, maxFrame, len(whole) - 1, len(whole) - frameHeaderSize} {
		if _, err := io.ReadAll(framedConn(whole[:cut])); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut after %d bytes: got error %v, want %v", cut, err, io.ErrUnexpectedEOF)
		}
	}
}

// framedConn returns a connection that receives frames.
func framedConn(frames []byte) net.Conn {
	rc := &readConn{Reader: bytes.NewReader(frames)}
	return &conn{Conn: rc, br: bufio.NewReader(rc), onClose: func() {}}
}

// readConn is a connection of which only Read is used.
type readConn struct {
	net.Conn
	io.Reader
}

func (rc *readConn) Read(buf []byte) (int, error) { return rc.Reader.Read(buf) }

// Guards against an endpoint that goes on working, and a place that stays taken, for a daemon that has
// stopped reading.
func TestAskingDaemonThatDoesNotRead(t *testing.T) {
	pr := newPair(t)
	pr.own.refuses.Store(true)
	ended := make(chan struct{})
	addr := serve(t, func(nc *net.TCPConn) {
		defer close(ended)
		defer nc.Close()
		for {
			if _, err := nc.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	nc, err := pr.dialer.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	select {
	case <-ended:
	case <-time.After(10 * writeTimeout):
		t.Fatal("the endpoint's connection stays open")
	}
	for end := time.Now().Add(writeTimeout); pr.server.Open() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if got := pr.server.Open(); got != 0 {
		t.Errorf("%d connections count as open, want none", got)
	}
}
