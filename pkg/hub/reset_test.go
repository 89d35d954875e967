package hub

import (
	"context"
	"net"
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against a part of an answer that a caller gets as a complete one: the connection is reset while a
// long call is being written, and the write meets the reset.
func TestResetWhileCallIsWritten(t *testing.T) {
	sv := servertest.Respond(t, "127.0.0.1", servertest.Reset, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nhalf" })
	cl := clientOf(sv.Address)
	cl.HTTP = newHTTPClient(func(ctx context.Context, _, addr string) (net.Conn, error) { return servertest.DialLate(ctx, addr) })
	an, err := cl.Do(context.Background(), Call{Method: http.MethodPost, Path: "/orders/", Body: make([]byte, servertest.UploadBytes)})
	if err == nil {
		t.Fatalf("got %q as the complete answer, want an error", an.Body)
	}
	if got := verdict.Of(err); got != verdict.MayHaveRun {
		t.Errorf("got error %v, want the verdict %s", err, verdict.MayHaveRun)
	}
}
