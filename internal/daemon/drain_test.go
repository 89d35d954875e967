package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/caller"
	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/inbound"
)

// slowListener accepts connections whose writes take effect after a delay, as on a busy machine.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (sl slowListener) Accept() (net.Conn, error) {
	nc, err := sl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{nc, sl.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

func (sc slowConn) Write(buf []byte) (int, error) {
	time.Sleep(sc.delay)
	return sc.Conn.Write(buf)
}

// Guards against a graceful stop that closes a caller's connection before the last response, which the
// HTTP server writes after the handler has returned, has been sent.
func TestDrainSendsLastResponse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	da := &Daemon{Log: log, Clock: clock.System{}, callerServer: &caller.Server{}, guard: &inbound.Guard{Clock: clock.System{}, Log: log}}
	da.callers = da.listen("caller", slowListener{ln, 50 * time.Millisecond}, inbound.PrimaryShare)
	returning := make(chan struct{})
	sv := da.callers.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "answer")
		close(returning)
	}), nil)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- serveHTTP(da.callers, sv)(ctx) }()
	go func() {
		<-returning
		if err := da.drainCallers(ctx, sv, unreadTimeout); err != nil {
			t.Error(err)
		}
		stop()
	}()
	rsp, err := http.Get("http://" + ln.Addr().String())
	if err != nil {
		t.Fatalf("got %v, want the response", err)
	}
	defer rsp.Body.Close()
	if body, err := io.ReadAll(rsp.Body); string(body) != "answer" || err != nil {
		t.Errorf("got %q, %v; want \"answer\"", body, err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// hangOn returns a wrapper whose handler doesn't respond to requests whose body has a word, and counts
// the requests with it.
func hangOn(word string, arrived *atomic.Int64) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			body, err := io.ReadAll(req.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if strings.Contains(string(body), word) {
				arrived.Add(1)
				<-req.Context().Done()
				panic(http.ErrAbortHandler)
			}
			req.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, req)
		})
	}
}

// Guards against a graceful stop that cuts requests off without an answer when the drain timeout is
// over, and against passing on those that can't end before: in progress or sent after it has begun.
func TestDrainAnswersEveryRequest(t *testing.T) {
	const call, chat = "/orders/confirm", "/v1/chat/completions"
	var hanging atomic.Int64
	hang := hangOn("hangs", &hanging)
	sk := newTestSystem(t, systemSize{daemons: 1, vms: 1, vmsPerGroup: 1, replicas: 1, drain: time.Second, wrapService: hang, wrapEngine: hang})
	type result struct {
		status int
		body   string
		err    error
	}
	send := func(path, body string) chan result {
		done := make(chan result, 1)
		go func() {
			rsp, raw, err := sk.post(0, path, body, nil)
			if rsp == nil {
				done <- result{0, "", err}
				return
			}
			done <- result{rsp.StatusCode, string(raw), err}
		}()
		return done
	}
	chatBody := func(tokens int, stream bool, content string) string {
		return fmt.Sprintf(`{"model":"linden","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, tokens, stream, content)
	}
	check := func(name string, got result, status int, verdict string) {
		t.Helper()
		if got.status != status || got.err != nil || !strings.Contains(got.body, verdict) {
			t.Errorf("%s: status %d, body %q, error %v; want %d and %s", name, got.status, got.body, got.err, status, verdict)
		}
	}
	check("quick call", <-send(call, "quick"), http.StatusOK, "")
	inProgress := map[string]chan result{"call": send(call, "hangs"), "chat": send(chat, chatBody(4, false, "hangs")), "stream": send(chat, chatBody(4, true, "hangs"))}
	begun := send(chat, chatBody(100_000, true, "long"))
	sk.waitUntil("the requests run", func() bool { return hanging.Load() == 3 && sk.daemons[0].daemon.callerServer.InFlight() == 4 })
	sk.daemons[0].stop()
	sk.waitUntil("the daemon leaves", func() bool { return sk.daemons[0].daemon.View().Leaving })
	check("new chat", <-send(chat, chatBody(4, false, "new")), http.StatusServiceUnavailable, "not-run")
	check("new quick call", <-send(call, "quick"), http.StatusOK, "")
	check("new hanging call", <-send(call, "hangs"), http.StatusGatewayTimeout, "may-have-run")
	for name, done := range inProgress {
		check(name, <-done, http.StatusGatewayTimeout, "may-have-run")
	}
	if got := <-begun; got.status != http.StatusOK || got.err == nil || strings.Contains(got.body, "[DONE]") {
		t.Errorf("begun stream: status %d, error %v; want it aborted", got.status, got.err)
	}
	if num := hanging.Load(); num != 4 {
		t.Errorf("%d hanging requests were passed on, want 4", num)
	}
}
