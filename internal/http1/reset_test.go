package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// longBody exceeds what the buffers of both sockets take, so that its writer is blocked until the
// connection ends.
var longBody = []byte(strings.Repeat("x", 16<<20))

// unframedHead begins a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"

// sendLong sends a request with longBody to a server that sends a part of an unframed response and then ends
// the connection by end. It returns the exchange once the request is no longer being written.
func sendLong(t *testing.T, end func(*net.TCPConn)) *Exchange {
	t.Helper()
	received := make(chan struct{})
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			t.Error(err)
		}
		io.WriteString(nc, unframedHead+"half")
		<-received
		end(nc.(*net.TCPConn))
	})
	rq := request("1")
	rq.Body = longBody
	ex, err := newPool().Send(t.Context(), sv.ln.Addr().String(), rq)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ex.Close)
	close(received)
	return ex
}

func reset(nc *net.TCPConn) {
	nc.SetLinger(0)
	nc.Close()
}

// Guards against a response without length or chunks that is cut off by a reset and is taken for complete
// because the write of the request has met the reset: the kernel reports it once.
func TestResetWhileRequestIsWritten(t *testing.T) {
	ex := sendLong(t, reset)
	err := <-ex.written // The write meets the reset before the next read does.
	ex.written <- err
	body, err := ex.ReadAll(1 << 10)
	if err == nil {
		t.Fatalf("got %q as the complete body, want an error", body)
	}
	if !PeerClosed(err) || VerdictOf(err) != verdict.MayHaveRun {
		t.Errorf("got error %v with the verdict %q, want a connection closed by its peer, %q", err, VerdictOf(err), verdict.MayHaveRun)
	}
}

// Guards against refusing a complete response without length or chunks whose server has not read the whole
// request: it may respond early, end its side and close, and the kernel then resets the connection.
func TestEarlyUnframedResponse(t *testing.T) {
	for name, end := range map[string]func(nc *net.TCPConn){
		"still reading": func(nc *net.TCPConn) { nc.CloseWrite(); io.Copy(io.Discard, nc) },
		"not reading":   func(nc *net.TCPConn) { nc.CloseWrite(); <-t.Context().Done() },
		"closed":        func(nc *net.TCPConn) { nc.CloseWrite(); reset(nc) },
	} {
		t.Run(name, func(t *testing.T) {
			ex := sendLong(t, end)
			if name == "closed" {
				err := <-ex.written
				ex.written <- err
			}
			if body, err := ex.ReadAll(1 << 10); string(body) != "half" || err != nil {
				t.Errorf("got %q, %v; want the complete body", body, err)
			}
		})
	}
}
