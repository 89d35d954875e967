package relay

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a part of a response that is marked as complete on its way through another daemon: the
// endpoint resets the connection while that daemon writes a long request to it.
func TestResetWhileRequestIsRelayed(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\nhalf"
	sv := servertest.Respond(t, endpoint, servertest.Reset, func(*http.Request) string { return part })
	pr := newPair(t)
	pr.other.open = servertest.DialLate
	if got, err := pr.relayLong(t, sv.Address); err == nil {
		t.Errorf("got %q as the complete response, want an error", got)
	}
}

// Guards against refusing a complete response on its way through another daemon because the endpoint has ended
// its side before it has read the whole request.
func TestEarlyResponseIsRelayed(t *testing.T) {
	const whole = "HTTP/1.1 413 Content Too Large\r\n\r\nno"
	sv := servertest.Respond(t, endpoint, servertest.CloseEarly, func(*http.Request) string { return whole })
	if got, err := newPair(t).relayLong(t, sv.Address); string(got) != whole || err != nil {
		t.Errorf("got %q, error %v; want the response", got, err)
	}
}

// relayLong sends a long request through the other daemon and returns the response.
func (pr *pair) relayLong(t *testing.T, addr string) ([]byte, error) {
	t.Helper()
	pr.own.refuses.Store(true)
	nc, err := pr.dialer.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	go func() {
		_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(servertest.UploadBytes)+"\r\n\r\n")
		_, _ = nc.Write(make([]byte, servertest.UploadBytes))
	}()
	return io.ReadAll(nc)
}
