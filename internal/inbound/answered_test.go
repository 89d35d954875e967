package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
)

// answered is a server that records which requests its handler has received and which of their contexts
// have ended before the response.
type answered struct {
	limits          atomic.Pointer[Limits]
	received, ended sync.Map
	handle          func(*http.Request)
}

func (an *answered) start(t *testing.T) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gu := &Guard{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler)}
	li := gu.Listen(ln, "callers", PrimaryShare)
	li.Limits = func() Limits { return *an.limits.Load() }
	sv := li.Server(an, http.HandlerFunc(RefuseOverloaded))
	go func() { _ = sv.Serve(li) }()
	t.Cleanup(func() { sv.Close() })
	return ln.Addr().String()
}

// ServeHTTP implements http.Handler. It reads the body like package front.
func (an *answered) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	an.received.Store(req.URL.Path, true)
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(longTimeout))
	_, complete, err := ReadBody(HoldOf(req.Context()), req.Body, req.ContentLength)
	if !complete || err != nil {
		RefuseOverloaded(w, req)
		return
	}
	_ = rc.SetReadDeadline(time.Time{})
	an.handle(req)
	if req.Context().Err() != nil {
		an.ended.Store(req.URL.Path, true)
	}
	_, _ = io.WriteString(w, req.URL.Path)
}

// Guards against deadlines of a connection's idle and header phases that end a request in progress, while
// the limits change and requests last longer than any of them.
func TestChangedLimitsDoNotEndRequests(t *testing.T) {
	long, short := Limits{HeaderTimeout: longTimeout, IdleTimeout: longTimeout}, Limits{HeaderTimeout: 2 * time.Millisecond, IdleTimeout: 2 * time.Millisecond}
	an := &answered{handle: func(*http.Request) { time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond) }}
	an.limits.Store(&long)
	addr := an.start(t)
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	go func() {
		for ctx.Err() == nil {
			an.limits.Store([]*Limits{&long, &short}[rand.IntN(2)])
			time.Sleep(time.Millisecond)
		}
	}()
	var clients sync.WaitGroup
	var answers atomic.Int64
	for num := range 48 {
		clients.Go(func() {
			for conns := 0; ctx.Err() == nil; conns++ {
				answers.Add(an.useConnection(t, addr, fmt.Sprintf("/%d/%d", num, conns)))
			}
		})
	}
	clients.Wait()
	if answers.Load() == 0 {
		t.Error("no request was answered")
	}
}

// useConnection sends requests over one connection until it is closed, and returns the number of answers.
func (an *answered) useConnection(t *testing.T, addr, prefix string) (answers int64) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(longTimeout))
	from := bufio.NewReader(nc)
	for num := range 20 {
		path := fmt.Sprintf("%s/%d", prefix, num)
		raw := request(path, num%4)
		half := rand.IntN(len(raw))
		_, _ = io.WriteString(nc, raw[:half]) // A failure shows when the response is read.
		if num%3 == 0 {
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		}
		_, _ = io.WriteString(nc, raw[half:])
		rsp, err := http.ReadResponse(from, nil)
		_, ended := an.ended.Load(path)
		if _, received := an.received.Load(path); ended || received && err != nil {
			t.Errorf("request %s was received and ended without an answer (canceled: %t): %v", path, ended, err)
		}
		if err != nil || rsp.StatusCode != http.StatusOK {
			return answers
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		answers++
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
	}
	return answers
}

// request returns a request as text: without a body, with a length, with chunks, or with a body that is
// announced first.
func request(path string, form int) string {
	const body = "question"
	switch form {
	case 0:
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
	case 1:
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n" + body
	case 2:
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n" + body + "\r\n0\r\n\r\n"
	}
	large := strings.Repeat("x", 3*readBufferBytes)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(large), large)
}
