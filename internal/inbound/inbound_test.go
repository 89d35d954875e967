package inbound

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/quota"
)

// longTimeout exceeds the duration of every test.
const longTimeout = 10 * time.Second

// rig is a server behind a guard. Its handler echoes the body.
type rig struct {
	t    *testing.T
	gu   *Guard
	addr string
}

func newRig(t *testing.T, gu *Guard, limits Limits) *rig {
	t.Helper()
	gu.Clock, gu.Log = clock.System{}, slog.New(slog.DiscardHandler)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	li := gu.Listen(ln, "callers", PrimaryShare)
	li.Limits = func() Limits { return limits }
	sv := li.Server(http.HandlerFunc(echo), http.HandlerFunc(RefuseOverloaded))
	go func() { _ = sv.Serve(li) }()
	t.Cleanup(func() { sv.Close() })
	return &rig{t, gu, ln.Addr().String()}
}

func echo(w http.ResponseWriter, req *http.Request) {
	body, complete, err := ReadBody(HoldOf(req.Context()), req.Body, req.ContentLength)
	if !complete || err != nil {
		RefuseOverloaded(w, req)
		return
	}
	_, _ = w.Write(body)
}

// send sends raw and returns the connection.
func (ri *rig) send(raw string) net.Conn {
	ri.t.Helper()
	nc, err := net.Dial("tcp", ri.addr)
	if err != nil {
		ri.t.Fatal(err)
	}
	ri.t.Cleanup(func() { nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(longTimeout)); err != nil {
		ri.t.Fatal(err)
	}
	if _, err := io.WriteString(nc, raw); err != nil {
		ri.t.Fatal(err)
	}
	return nc
}

// status returns the status of the next response, or 0 if the connection is closed.
func (ri *rig) status(from *bufio.Reader) int {
	ri.t.Helper()
	rsp, err := http.ReadResponse(from, nil)
	if err != nil {
		return 0
	}
	defer rsp.Body.Close()
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		ri.t.Error(err)
	}
	return rsp.StatusCode
}

// use returns what the clients use at present.
func (ri *rig) use() Use { return ri.gu.Uses()[0] }

// eventually waits until a condition holds.
func (ri *rig) eventually(what string, holds func() bool) {
	ri.t.Helper()
	for deadline := time.Now().Add(longTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			ri.t.Fatalf("no %s; in use: %+v", what, ri.use())
		}
	}
}

// Guards against limits of the configuration that are not applied: a client that sends too much or too
// slowly is refused, as not run, and one within the limits is served.
func TestLimitsOfOneClient(t *testing.T) {
	limits := Limits{HeaderBytes: 1000, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	fields := func(size int) string { return strings.Repeat("a:b\r\n", size/5) }
	for _, tc := range []struct {
		name, raw string
		want      []int
	}{
		{"fields within the limit", "GET / HTTP/1.1\r\nHost: h\r\n" + fields(980) + "\r\n", []int{200, 0}},
		{"fields over the limit", "GET / HTTP/1.1\r\nHost: h\r\n" + fields(1010) + "\r\n", []int{431, 0}},
		{"fields over the limit, no end", "GET / HTTP/1.1\r\nHost: h\r\n" + fields(1010), []int{431, 0}},
		{"request line over the limit", "GET /" + strings.Repeat("x", 1000), []int{431, 0}},
		{"second header over the limit", "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n" + fields(6000), []int{200, 431, 0}},
		{"header never ends", "GET / HTTP/1.1\r\nHost: h\r\n", []int{408, 0}},
		{"nothing sent", "", []int{0}},
		{"kept without a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", []int{200, 0}},
		{"large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), []int{200, 0}},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", []int{200, 0}},
		{"requests sent ahead", strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3), []int{200, 200, 200, 0}},
		{"old protocol", "GET / HTTP/1.0\r\n\r\n", []int{200, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t, &Guard{}, limits)
			from := bufio.NewReader(ri.send(tc.raw))
			for _, want := range tc.want {
				if got := ri.status(from); got != want {
					t.Fatalf("status %d, want %d", got, want)
				}
			}
			ri.eventually("end of the connection", func() bool { return ri.use() == Use{"callers", 0, 0} })
		})
	}
}

// Guards against limits that stay as they were when the connection was accepted.
func TestLimitsChange(t *testing.T) {
	limits := make(chan Limits, 1)
	limits <- Limits{HeaderBytes: 100}
	gu := &Guard{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	li := gu.Listen(ln, "callers", PrimaryShare)
	li.Limits = func() Limits {
		now := <-limits
		limits <- now
		return now
	}
	sv := li.Server(http.HandlerFunc(echo), http.HandlerFunc(RefuseOverloaded))
	go func() { _ = sv.Serve(li) }()
	defer sv.Close()
	ri := &rig{t, gu, ln.Addr().String()}
	request := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:b\r\n", 50) + "\r\n"
	nc := ri.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	from := bufio.NewReader(nc)
	if got := ri.status(from); got != http.StatusOK {
		t.Fatalf("status %d, want 200", got)
	}
	<-limits
	limits <- Limits{HeaderBytes: 1000}
	if _, err := io.WriteString(nc, request); err != nil {
		t.Fatal(err)
	}
	if got := ri.status(from); got != http.StatusOK {
		t.Errorf("status %d with the new limit, want 200", got)
	}
}

// Guards against headers of very many short fields that are counted by their bytes alone.
func TestShortFieldsAreCounted(t *testing.T) {
	ri := newRig(t, &Guard{}, Limits{})
	const lines = 1000
	ri.send("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", lines))
	ri.eventually("counted header", func() bool { return ri.use().Bytes > lines*fieldBytes })
}

// Guards against a header that was sent ahead of a response and so is not counted.
func TestHeaderSentAheadIsCounted(t *testing.T) {
	ri := newRig(t, &Guard{}, Limits{})
	const lines = 500
	ri.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", lines))
	ri.eventually("counted header", func() bool { return ri.use().Bytes > lines*fieldBytes })
}

// Guards against a body that stalls and is not refused, as not run, when there is no memory for others.
func TestStalledBodyIsRefused(t *testing.T) {
	ri := newRig(t, &Guard{MemoryBytes: memoryDivisor << 21}, Limits{})
	const size = 1_000_000
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	stalled := ri.send(head + strings.Repeat("x", size/2))
	ri.eventually("counted body", func() bool { return ri.use().Bytes > size/2 })
	if got := ri.status(bufio.NewReader(ri.send(head + strings.Repeat("x", size)))); got != http.StatusOK {
		t.Errorf("status %d of the complete request, want 200", got)
	}
	if got := ri.status(bufio.NewReader(stalled)); got != http.StatusServiceUnavailable {
		t.Errorf("status %d of the stalled request, want 503", got)
	}
}

// Guards against connections that keep others out.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	ri := newRig(t, &Guard{MaxFiles: reservedFiles + 10*filesPerClient}, Limits{})
	for range 30 {
		ri.send("")
	}
	if got := ri.status(bufio.NewReader(ri.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	if us := ri.use(); us.Conns > 10 {
		t.Errorf("%d connections, want at most 10", us.Conns)
	}
}

// Guards against a stop that waits for requests which are not complete, or cuts complete ones.
func TestRefuseUnread(t *testing.T) {
	gu := &Guard{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	li := gu.Listen(ln, "callers", PrimaryShare)
	proceed, serving := make(chan struct{}), make(chan struct{})
	sv := li.Server(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			close(serving)
			<-proceed
		}
		echo(w, req)
	}), http.HandlerFunc(RefuseOverloaded))
	go func() { _ = sv.Serve(li) }()
	defer sv.Close()
	ri := &rig{t, gu, ln.Addr().String()}
	complete := ri.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-serving
	body := ri.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n" + strings.Repeat("x", 5000))
	header := ri.send("GET / HTTP/1.1\r\n")
	silent := ri.send("")
	ri.eventually("connections", func() bool { return ri.use().Conns == 4 && ri.use().Bytes > 4*quota.ConnBytes+5000 })
	gu.RefuseUnread(li)
	// A header whose bytes arrive meanwhile is answered.
	for name, tc := range map[string]struct {
		nc   net.Conn
		want []int
	}{"body": {body, []int{503}}, "header": {header, []int{0, 503}}, "silent": {silent, []int{0}}} {
		if got := ri.status(bufio.NewReader(tc.nc)); !slices.Contains(tc.want, got) {
			t.Errorf("%s: status %d, want one of %d", name, got, tc.want)
		}
	}
	close(proceed)
	if got := ri.status(bufio.NewReader(complete)); got != http.StatusOK {
		t.Errorf("complete request: status %d, want 200", got)
	}
}

// Guards against a body that is cut, changed or counted wrongly, at sizes around those of the buffers.
func TestReadAllOfBody(t *testing.T) {
	for _, size := range []int{0, 1, minReadBytes - 1, minReadBytes, minReadBytes + 1, 100_000} {
		ri := newRig(t, &Guard{MemoryBytes: memoryDivisor << 20}, Limits{})
		want := strings.Repeat("x", size)
		nc := ri.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, want))
		rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(rsp.Body)
		if err != nil || string(body) != want {
			t.Errorf("%d bytes: read %d, error %v", size, len(body), err)
		}
		ri.eventually("release of the body", func() bool { return ri.use().Bytes == quota.ConnBytes })
	}
	failure := errors.New("connection reset")
	if _, complete, err := ReadBody(nil, io.MultiReader(strings.NewReader("part"), failingReader{failure}), -1); !complete || err != failure {
		t.Errorf("complete %v, error %v, want %v", complete, err, failure)
	}
}

type failingReader struct{ err error }

func (er failingReader) Read([]byte) (int, error) { return 0, er.err }

// Guards against ends of headers that are missed, at any position of the boundary between two reads.
func TestHeaderScanner(t *testing.T) {
	for _, tc := range []struct {
		raw          string
		lines, bytes int64
		complete     bool
		rest         string
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\nbody", 3, 27, true, "body"},
		{"GET / HTTP/1.1\nHost: h\n\nbody\n", 3, 24, true, "body\n"},
		{"GET / HTTP/1.1\r\n \r\nHost: h\r\n", 3, 28, false, ""},
		{"GET / HTTP/1.1\r\n\r\r\nHost: h\r\n", 3, 28, false, ""},
		{"GET / HTTP/1.1\r\na\r\r\n", 2, 20, false, ""},
		{"GET /", 0, 5, false, ""},
	} {
		for cut := range len(tc.raw) + 1 {
			var hs headerScanner
			rest := bytes.Clone(hs.scan([]byte(tc.raw[:cut])))
			rest = append(rest, hs.scan([]byte(tc.raw[cut:]))...)
			if hs.lines != tc.lines || hs.line+hs.fields != tc.bytes || hs.complete != tc.complete || string(rest) != tc.rest {
				t.Errorf("%q cut at %d: %+v, rest %q", tc.raw, cut, hs, rest)
			}
		}
	}
	hs := headerScanner{}
	hs.scan([]byte("\r\na:b\r\n\r\nc:d\r\n"))
	hs.reopen()
	hs.scan([]byte("\r\ne:f\r\n"))
	if hs.complete || hs.lines != 6 || hs.line+hs.fields != 21 {
		t.Errorf("header that began before the first byte: %+v, want 6 lines of 21 bytes", hs)
	}
}

// Guards against a request that is handled although it was refused, and so not run as promised.
func TestRefusedHeaderIsNotHandled(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	gu := &Guard{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler)}
	li := gu.Listen(nil, "callers", PrimaryShare)
	req, err := http.NewRequest(http.MethodGet, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, refusedFirst := range []bool{true, false} {
		co := &Conn{Conn: server, li: li}
		if !gu.open(co) {
			t.Fatal("connection refused")
		}
		co.received([]byte("GET / HTTP/1.1\r\n"), false)
		refuse := func() bool {
			answered := make(chan bool, 1)
			go func() {
				_ = client.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				num, _ := client.Read(make([]byte, 100))
				answered <- num > 0
			}()
			co.refuse(http.StatusRequestTimeout)
			return <-answered
		}
		if refusedFirst && (!refuse() || co.begin(req)) {
			t.Error("a refused request is handled")
		}
		if !refusedFirst && (!co.begin(req) || refuse()) {
			t.Error("a request that is handled is refused")
		}
	}
}

// A connection that ends while its request is handled must not look as if the client had closed it.
func TestEndOfConnectionNamesItsCause(t *testing.T) {
	tests := []struct {
		name, want string
		end        func(client net.Conn, w http.ResponseWriter)
	}{
		{"client closes", "closed-by-client", func(client net.Conn, _ http.ResponseWriter) { client.Close() }},
		{"deadline", "deadline-serving", func(_ net.Conn, w http.ResponseWriter) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		}},
		{"open", "", func(net.Conn, http.ResponseWriter) {}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			gu := &Guard{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler)}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			clients, got := make(chan net.Conn, 1), make(chan string, 1)
			li := gu.Listen(ln, "callers", PrimaryShare)
			sv := li.Server(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				tc.end(<-clients, w)
				select {
				case <-req.Context().Done():
				case <-time.After(200 * time.Millisecond):
				}
				got <- HoldOf(req.Context()).Ended()
			}), http.HandlerFunc(RefuseOverloaded))
			go func() { _ = sv.Serve(li) }()
			defer sv.Close()
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if _, err := nc.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			clients <- nc
			if ended := <-got; ended != tc.want {
				t.Errorf("the connection ended as %q, want %q", ended, tc.want)
			}
		})
	}
}
