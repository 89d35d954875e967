package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// For any bytes that an endpoint sends, the exchange must not panic, must not be taken for not run, and
// must not yield the response to another request, or one with an invalid field.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX-Id: id\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nX-Id: id\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n")
	f.Add("HTTP/1.1 200 OK\r\nX-Id: id\r\nContent-Length : 2\r\n\r\nok")
	f.Fuzz(func(t *testing.T, raw string) {
		near, far := net.Pipe()
		defer far.Close()
		go respondOnce(far, raw)
		po := &Pool{Clock: clock.System{}, Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		ex, err := po.Send(ctx, "endpoint", &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"X-Id": {"id"}}, IDHeader: "X-Id"})
		if err != nil {
			if VerdictOf(err) != verdict.MayHaveRun {
				t.Errorf("verdict %v after the request was sent", VerdictOf(err))
			}
			return
		}
		defer ex.Close()
		if got := ex.Response.Header.Get("X-Id"); got != "id" && (got != "" || ex.Response.StatusCode < http.StatusBadRequest) {
			t.Errorf("response of request %q with status %d", got, ex.Response.StatusCode)
		}
		for name := range ex.Response.Header {
			if strings.ContainsFunc(name, func(ch rune) bool { return ch <= ' ' || ch >= 0x7f || ch == ':' }) {
				t.Errorf("response with a field that is named %q", name)
			}
		}
		_, _ = ex.ReadAll(1 << 20)
	})
}

// respondOnce reads a request, sends raw and closes the connection.
func respondOnce(nc net.Conn, raw string) {
	defer nc.Close()
	if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
		_, _ = nc.Write([]byte(raw))
	}
}
