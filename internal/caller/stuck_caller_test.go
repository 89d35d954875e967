package caller

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against a caller that stops reading a stream and so keeps its request in flight beyond each
// deadline: its tokens stay in use for all others, and a daemon that drains waits for it.
func TestStreamToCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	hs := httptest.NewServer(otelhttp.NewHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ex := &exchange{w: w, record: (&Journal{}).newRecord("id", "/", time.Now())}
		sw := &streamWriter{co: &completion{ex: ex}, rc: http.NewResponseController(w)}
		for {
			if err := sw.writeChunk(endpoint.Chunk{Text: strings.Repeat("x", 64<<10)}); err != nil {
				ended <- err
				return
			}
		}
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
		if got := verdict.As(err).Code; got != verdict.CodeCallerGone {
			t.Errorf("got %v, want %v", got, verdict.CodeCallerGone)
		}
	case <-time.After(2 * writeTimeout):
		t.Errorf("the response is still being written after %v", 2*writeTimeout)
	}
}
