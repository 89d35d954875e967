package relay

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a part of a response that is marked as complete on its way through another daemon: the
// endpoint resets the connection while that daemon writes a long request to it.
func TestResetWhileRequestIsRelayed(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\nhalf"
	sv := servertest.Respond(t, endpoint, servertest.Reset, func(*http.Request) string { return part })
	pr := newPair(t)
	pr.own.refuses.Store(true)
	pr.other.open = servertest.DialLate
	nc, err := pr.dialer.Dial(t.Context(), sv.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	go func() {
		_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n")
		_, _ = nc.Write(make([]byte, servertest.UploadBytes))
	}()
	got, err := io.ReadAll(nc)
	if err == nil {
		t.Errorf("got %q as the complete response, want an error", got)
	}
	if errors.Is(err, io.EOF) {
		t.Errorf("got error %v, which is the end of a response", err)
	}
}
