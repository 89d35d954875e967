package caller

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against a caller that stops reading a stream and so keeps its request in flight beyond each
// deadline: its tokens stay in use for all others, and a daemon that drains waits for it.
func TestStreamToCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	err := withoutReading(t, func(w http.ResponseWriter) error {
		ex := &exchange{w: w, record: (&Journal{}).newRecord("id", "/", time.Now())}
		sw := &streamWriter{co: &completion{ex: ex}, rc: http.NewResponseController(w)}
		for {
			if err := sw.writeChunk(endpoint.Chunk{Text: strings.Repeat("x", 64<<10)}); err != nil {
				return err
			}
		}
	})
	if got := verdict.As(err).Code; got != verdict.CodeCallerGone {
		t.Errorf("got %v, want %v", got, verdict.CodeCallerGone)
	}
}

// Guards against a caller that stops reading any other response and so keeps its request in flight.
func TestBodyToCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	body := bytes.Repeat([]byte("x"), 32<<20)
	for name, write := range map[string]func(http.ResponseWriter){
		"response":         func(w http.ResponseWriter) { writeResponse(w, endpoint.Response{Status: 200, Body: body}) },
		"recorded outcome": func(w http.ResponseWriter) { writeRecordedOutcome(w, &claim.Outcome{Status: 200, Body: body}) },
		"completion":       func(w http.ResponseWriter) { writeJSON(w, 200, string(body)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_ = withoutReading(t, func(w http.ResponseWriter) error {
				write(w)
				return nil
			})
		})
	}
}

// withoutReading calls a handler for a caller that doesn't read, and returns the handler's error. The
// handler must end within twice the timeout of a write.
func withoutReading(t *testing.T, handle func(http.ResponseWriter) error) error {
	t.Helper()
	ended := make(chan error, 1)
	hs := httptest.NewServer(otelhttp.NewHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ended <- handle(w)
	}), "caller"))
	nc, err := net.Dial("tcp", hs.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		nc.Close()
		hs.Close()
	})
	if _, err := nc.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(2 * writeTimeout):
		t.Fatalf("the response is still being written after %v", 2*writeTimeout)
		return nil
	}
}
