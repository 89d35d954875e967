package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const idHeader = "X-Id"

// server accepts connections and hands each to the next of its scripts.
type server struct {
	t  *testing.T
	ln net.Listener
}

func newServer(t *testing.T, scripts ...func(nc net.Conn, br *bufio.Reader)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for _, script := range scripts {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				script(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return &server{t, ln}
}

// read reads one request.
func read(t *testing.T, br *bufio.Reader) *http.Request {
	t.Helper()
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		t.Error(err)
	}
	return req
}

func newPool() *Pool { return &Pool{Clock: clock.System{}, DialTimeout: 5 * time.Second} }

func request(id string) *Request {
	return &Request{Method: http.MethodPost, URI: "/a%2fb?c=1", Host: "some.example", IDHeader: idHeader,
		Header: http.Header{idHeader: {id}}, Body: []byte("body")}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(num int) string { return string(rune('0' + num)) }

func send(t *testing.T, po *Pool, sv *server, rq *Request) (string, error) {
	t.Helper()
	ex, err := po.Send(context.Background(), sv.ln.Addr().String(), rq)
	if err != nil {
		return "", err
	}
	defer ex.Close()
	body, err := ex.ReadAll(1 << 10)
	return string(body), err
}

// A server sends a second answer to a request after the first. It arrives
// where the answer to the next request is expected, and must not be taken for
// it.
func TestLateSecondAnswer(t *testing.T) {
	second := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		read(t, br)
		io.WriteString(nc, answer("1", "one"))
		read(t, br)
		io.WriteString(nc, answer("1", "one")+answer("2", "two"))
		close(second)
	})
	po := newPool()
	if body, err := send(t, po, sv, request("1")); body != "one" || err != nil {
		t.Fatalf("got %q, %v", body, err)
	}
	body, err := send(t, po, sv, request("2"))
	<-second
	if body != "two" || err != nil {
		t.Errorf("got %q, %v; want the answer to the second request", body, err)
	}
}

// Bytes that wait on an idle connection belong to no request. The connection
// is given up and a new one opened.
func TestSurplusBytesEndConnection(t *testing.T) {
	surplus := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		read(t, br)
		io.WriteString(nc, answer("1", "one")+"surplus")
		close(surplus)
		read(t, br)
	}, func(nc net.Conn, br *bufio.Reader) {
		read(t, br)
		io.WriteString(nc, answer("2", "two"))
	})
	po := newPool()
	if body, err := send(t, po, sv, request("1")); body != "one" || err != nil {
		t.Fatalf("got %q, %v", body, err)
	}
	<-surplus
	if body, err := send(t, po, sv, request("2")); body != "two" || err != nil {
		t.Errorf("got %q, %v", body, err)
	}
}

// A connection that reached its server's limit is closed there while it is
// idle. Using it would lose a request; it is found out beforehand.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		read(t, br)
		io.WriteString(nc, answer("1", "one"))
		nc.Close()
		close(closed)
	}, func(nc net.Conn, br *bufio.Reader) {
		read(t, br)
		io.WriteString(nc, answer("2", "two"))
	})
	po := newPool()
	if _, err := send(t, po, sv, request("1")); err != nil {
		t.Fatal(err)
	}
	<-closed
	if body, err := send(t, po, sv, request("2")); body != "two" || err != nil {
		t.Errorf("got %q, %v", body, err)
	}
}

// An endpoint accepts few connections from all callers together and resets those
// beyond. Idle ones that many daemons keep would take the place of new ones, so
// the caller of the pool bounds how many are kept.
func TestMaxIdle(t *testing.T) {
	tests := []struct {
		maxIdle, kept int
	}{{NoIdle, 0}, {1, 1}, {0, 2}}
	for _, tc := range tests {
		two := func(nc net.Conn, br *bufio.Reader) {
			read(t, br)
			io.WriteString(nc, answer("1", "one"))
			io.Copy(io.Discard, br)
		}
		sv := newServer(t, two, two)
		po := newPool()
		for range 2 {
			rq := request("1")
			rq.Fresh, rq.MaxIdle = true, tc.maxIdle
			if _, err := send(t, po, sv, rq); err != nil {
				t.Fatal(err)
			}
		}
		if got := len(po.idle[sv.ln.Addr().String()]); got != tc.kept {
			t.Errorf("at most %d idle: %d kept, want %d", tc.maxIdle, got, tc.kept)
		}
	}
}

// The connection breaks after the request was written. Whether the server ran
// it is unknown, so the verdict must say so, and nothing may be sent again.
func TestBrokenExchangeMayHaveRun(t *testing.T) {
	tests := []struct {
		name string
		says string
	}{
		{"nothing", ""},
		{"part of the head", "HTTP/1.1 200 OK\r\nX-I"},
		{"no answer in the protocol", "garbage\r\n\r\n"},
		{"only another request's answer", answer("9", "x")},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			arrived := make(chan string, 2)
			script := func(nc net.Conn, br *bufio.Reader) {
				if req := read(t, br); req != nil {
					arrived <- req.Header.Get(idHeader)
				}
				io.WriteString(nc, tc.says)
			}
			sv := newServer(t, script, script)
			_, err := send(t, newPool(), sv, request("1"))
			var he *Error
			if !errors.As(err, &he) || he.Verdict != verdict.MayHaveRun {
				t.Errorf("got %v, want an error that says the request may have run", err)
			}
			if len(arrived) != 1 {
				t.Errorf("the request arrived %d times", len(arrived))
			}
		})
	}
}

// Nothing listens at the address: the request certainly has not run.
func TestRefusedConnectionNotRun(t *testing.T) {
	sv := newServer(t)
	addr := sv.ln.Addr().String()
	sv.ln.Close()
	_, err := newPool().Send(context.Background(), addr, request("1"))
	var he *Error
	if !errors.As(err, &he) || he.Verdict != verdict.NotRun {
		t.Errorf("got %v, want an error that says the request has not run", err)
	}
}

// An answer is cut off in its body. It must not look whole.
func TestTruncatedBody(t *testing.T) {
	tests := []struct{ name, says string }{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
				read(t, br)
				io.WriteString(nc, tc.says)
			})
			if body, err := send(t, newPool(), sv, request("1")); err == nil {
				t.Errorf("got %q without an error", body)
			}
		})
	}
}

// A server answers a long request before it has read it all, and reads on
// later. Nothing but the rest of the body may follow on the connection, so it
// is not used again.
func TestEarlyAnswer(t *testing.T) {
	done := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			t.Error(err)
		}
		io.WriteString(nc, answer("1", "no"))
		<-done
	}, func(nc net.Conn, br *bufio.Reader) {
		read(t, br)
		io.WriteString(nc, answer("2", "two"))
	})
	po := newPool()
	rq := request("1")
	rq.Body = []byte(strings.Repeat("x", 8<<20))
	if body, err := send(t, po, sv, rq); body != "no" || err != nil {
		t.Fatalf("got %q, %v", body, err)
	}
	if body, err := send(t, po, sv, request("2")); body != "two" || err != nil {
		t.Errorf("got %q, %v", body, err)
	}
	close(done)
}

// The caller leaves. The connection to the server closes, so that the server
// can stop working on the request.
func TestCancelClosesConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	sv := newServer(t, func(_ net.Conn, br *bufio.Reader) {
		read(t, br)
		close(arrived)
		br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := newPool().Send(ctx, sv.ln.Addr().String(), request("1")); err == nil {
		t.Error("no error after the caller has left")
	}
	<-closed
}

// Method, path, query, host, headers and body reach the server as they were.
func TestRequestIsUnchanged(t *testing.T) {
	got := make(chan string, 1)
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			t.Error(err)
			return
		}
		body, _ := io.ReadAll(req.Body)
		got <- req.Method + " " + req.RequestURI + " " + req.Host + " " + req.Header.Get(idHeader) + " " + string(body)
		io.WriteString(nc, answer("1", ""))
	})
	if _, err := send(t, newPool(), sv, request("1")); err != nil {
		t.Fatal(err)
	}
	if want := "POST /a%2fb?c=1 some.example 1 body"; <-got != want {
		t.Errorf("the server did not get %q", want)
	}
}

// A connection is kept only as long as its server says, with a margin.
func TestKeepFor(t *testing.T) {
	tests := []struct {
		name   string
		header string
		close  bool
		want   time.Duration
	}{
		{"nothing said", "", false, defaultIdle},
		{"two seconds", "timeout=2", false, time.Second},
		{"one second", "timeout=1, max=5", false, 0},
		{"longer than is useful", "timeout=60", false, defaultIdle},
		{"closes", "timeout=60", true, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			rsp := &http.Response{Header: http.Header{"Keep-Alive": {tc.header}}, Close: tc.close}
			if got := keepFor(rsp); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
