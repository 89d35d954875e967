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
	"corianderhub.dev/corianderhub/internal/loopback"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const idHeader = "X-Id"

// server accepts connections and runs the next of its scripts on each.
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

// readRequest reads one request with its body. It returns nil if there is none.
func readRequest(t *testing.T, br *bufio.Reader) *http.Request {
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

func newPool() *Pool { return &Pool{Clock: clock.System{}} }

func request(id string) *Request {
	return &Request{Method: http.MethodPost, URI: "/a%2fb?c=1", Host: "some.example", IDHeader: idHeader,
		Header: http.Header{idHeader: {id}}, Body: []byte("body")}
}

func response(id, body string) string {
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

// Guards against matching a late duplicate response to the wrong request. A server sends a
// second response to a request, and it arrives where the response to the next one is expected.
func TestLateDuplicateResponse(t *testing.T) {
	second := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("1", "one"))
		readRequest(t, br)
		io.WriteString(nc, response("1", "one")+response("2", "two"))
		close(second)
	})
	po := newPool()
	if body, err := send(t, po, sv, request("1")); body != "one" || err != nil {
		t.Fatalf("first request: got %q, %v; want \"one\"", body, err)
	}
	body, err := send(t, po, sv, request("2"))
	<-second
	if body != "two" || err != nil {
		t.Errorf("second request: got %q, %v; want \"two\"", body, err)
	}
}

// Guards against giving up a request because the server responds a while after a late duplicate
// response: a pause of a server is no reason to close its connection. Only the context ends the wait.
func TestPauseAfterDuplicateResponse(t *testing.T) {
	const pause = 700 * time.Millisecond
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("1", "one"))
		readRequest(t, br)
		io.WriteString(nc, response("1", "one"))
		time.Sleep(pause)
		io.WriteString(nc, response("2", "two"))
	})
	po := newPool()
	if body, err := send(t, po, sv, request("1")); body != "one" || err != nil {
		t.Fatalf("first request: got %q, %v; want \"one\"", body, err)
	}
	if body, err := send(t, po, sv, request("2")); body != "two" || err != nil {
		t.Errorf("second request: got %q, %v; want \"two\"", body, err)
	}
}

// Guards against waiting until the caller's deadline for an endpoint that sends another request's
// response in place of its own.
func TestMismatchedResponseOnNewConnection(t *testing.T) {
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("1", "one"))
		br.ReadByte() // Returns when the client closes the connection.
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ex, err := newPool().Send(ctx, sv.ln.Addr().String(), request("2"))
	if err == nil {
		ex.Close()
		t.Fatal("got a response, want an error")
	}
	if got := VerdictOf(err); got != verdict.MayHaveRun || ctx.Err() != nil {
		t.Errorf("got verdict %q, context %v; want %q before the deadline", got, ctx.Err(), verdict.MayHaveRun)
	}
}

// Guards against waiting beyond the caller's deadline for the response after a duplicate one.
func TestNoResponseAfterDuplicate(t *testing.T) {
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("1", "one"))
		readRequest(t, br)
		io.WriteString(nc, response("1", "one"))
		br.ReadByte() // Returns when the client closes the connection.
	})
	po := newPool()
	if body, err := send(t, po, sv, request("1")); body != "one" || err != nil {
		t.Fatalf("first request: got %q, %v; want \"one\"", body, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ex, err := po.Send(ctx, sv.ln.Addr().String(), request("2"))
	if err == nil {
		ex.Close()
		t.Fatal("got a response, want an error at the deadline")
	}
	if got := VerdictOf(err); got != verdict.MayHaveRun {
		t.Errorf("got verdict %q, want %q", got, verdict.MayHaveRun)
	}
}

// Guards against reusing an idle connection that has unread bytes. They belong to no request,
// so the connection is closed and a new one is opened.
func TestSurplusBytesCloseConnection(t *testing.T) {
	surplus := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("1", "one")+"surplus")
		close(surplus)
		readRequest(t, br)
	}, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("2", "two"))
	})
	po := newPool()
	if body, err := send(t, po, sv, request("1")); body != "one" || err != nil {
		t.Fatalf("first request: got %q, %v; want \"one\"", body, err)
	}
	<-surplus
	if body, err := send(t, po, sv, request("2")); body != "two" || err != nil {
		t.Errorf("second request: got %q, %v; want \"two\"", body, err)
	}
}

// Guards against sending a request on an idle connection that the server has closed at its
// idle timeout: the request would be lost. The pool detects the close before it reuses the
// connection.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("1", "one"))
		nc.Close()
		close(closed)
	}, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("2", "two"))
	})
	po := newPool()
	if _, err := send(t, po, sv, request("1")); err != nil {
		t.Fatal(err)
	}
	<-closed
	if body, err := send(t, po, sv, request("2")); body != "two" || err != nil {
		t.Errorf("second request: got %q, %v; want \"two\"", body, err)
	}
}

// Guards against idle connections that use up the endpoint's connection limit. The limit
// covers all callers together, and connections beyond it are reset, so the caller of the pool
// bounds how many are kept.
func TestMaxIdle(t *testing.T) {
	tests := []struct {
		maxIdle, kept int
	}{{NoIdle, 0}, {1, 1}, {0, 2}}
	for _, tc := range tests {
		script := func(nc net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			io.WriteString(nc, response("1", "one"))
			io.Copy(io.Discard, br)
		}
		sv := newServer(t, script, script)
		po := newPool()
		for range 2 {
			rq := request("1")
			rq.NoReuse, rq.MaxIdle = true, tc.maxIdle
			if _, err := send(t, po, sv, rq); err != nil {
				t.Fatal(err)
			}
		}
		if got := len(po.idle[sv.ln.Addr().String()]); got != tc.kept {
			t.Errorf("MaxIdle %d: %d idle connections kept, want %d", tc.maxIdle, got, tc.kept)
		}
	}
}

// Guards against retrying a request whose connection breaks after the request was written.
// Whether the server ran it is unknown, so the verdict must be MayHaveRun.
func TestBrokenExchangeMayHaveRun(t *testing.T) {
	tests := []struct {
		name string
		raw  string
	}{
		{"nothing", ""},
		{"part of the head", "HTTP/1.1 200 OK\r\nX-I"},
		{"no answer in the protocol", "garbage\r\n\r\n"},
		{"only another request's answer", response("9", "x")},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			arrived := make(chan string, 2)
			script := func(nc net.Conn, br *bufio.Reader) {
				if req := readRequest(t, br); req != nil {
					arrived <- req.Header.Get(idHeader)
				}
				io.WriteString(nc, tc.raw)
			}
			sv := newServer(t, script, script)
			_, err := send(t, newPool(), sv, request("1"))
			var he *Error
			if !errors.As(err, &he) || he.Verdict != verdict.MayHaveRun {
				t.Errorf("got %v, want an error with the verdict MayHaveRun", err)
			}
			if len(arrived) != 1 {
				t.Errorf("the request arrived %d times, want 1", len(arrived))
			}
		})
	}
}

// Guards against a wrong verdict when nothing listens at the address: the request has not run.
func TestRefusedConnectionNotRun(t *testing.T) {
	ad, err := loopback.Hold("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ad.Close()
	_, err = newPool().Send(context.Background(), ad.String(), request("1"))
	var he *Error
	if !errors.As(err, &he) || he.Verdict != verdict.NotRun {
		t.Errorf("got %v, want an error with the verdict NotRun", err)
	}
}

// Guards against accepting a truncated response body as complete.
func TestTruncatedBody(t *testing.T) {
	tests := []struct{ name, raw string }{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				io.WriteString(nc, tc.raw)
			})
			if body, err := send(t, newPool(), sv, request("1")); err == nil {
				t.Errorf("got %q and no error for a truncated body", body)
			}
		})
	}
}

// Guards against reusing a connection on which the server responded before it had read the
// whole request body. The server would read the next request as the rest of that body.
func TestEarlyResponse(t *testing.T) {
	done := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			t.Error(err)
		}
		io.WriteString(nc, response("1", "no"))
		<-done
	}, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, response("2", "two"))
	})
	po := newPool()
	rq := request("1")
	rq.Body = []byte(strings.Repeat("x", 8<<20))
	if body, err := send(t, po, sv, rq); body != "no" || err != nil {
		t.Fatalf("first request: got %q, %v; want \"no\"", body, err)
	}
	if body, err := send(t, po, sv, request("2")); body != "two" || err != nil {
		t.Errorf("second request: got %q, %v; want \"two\"", body, err)
	}
	close(done)
}

// Guards against leaving the connection to the server open after the caller has canceled. The
// server learns from the close that it can stop working on the request.
func TestCancelClosesConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	sv := newServer(t, func(_ net.Conn, br *bufio.Reader) {
		readRequest(t, br)
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
		t.Error("Send returned no error after its context was canceled")
	}
	<-closed
}

// Guards against changes to method, path, query, host, headers or body on the way to the server.
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
		io.WriteString(nc, response("1", ""))
	})
	if _, err := send(t, newPool(), sv, request("1")); err != nil {
		t.Fatal(err)
	}
	if want := "POST /a%2fb?c=1 some.example 1 body"; <-got != want {
		t.Errorf("the server did not receive %q unchanged", want)
	}
}

// Guards against keeping an idle connection longer than its server's Keep-Alive timeout less
// the margin.
func TestKeepAliveTimeout(t *testing.T) {
	tests := []struct {
		name   string
		header string
		close  bool
		want   time.Duration
	}{
		{"nothing said", "", false, defaultIdleTimeout},
		{"two seconds", "timeout=2", false, time.Second},
		{"one second", "timeout=1, max=5", false, 0},
		{"longer than is useful", "timeout=60", false, defaultIdleTimeout},
		{"closes", "timeout=60", true, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			rsp := &http.Response{Header: http.Header{"Keep-Alive": {tc.header}}, Close: tc.close}
			if got := keepAliveTimeout(rsp); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
