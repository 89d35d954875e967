package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/http1"
)

// Guards against memory for 10 MB of header for each request at a server that sends one without end.
func TestEndlessHeader(t *testing.T) {
	const most = 64 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sent := make(chan int, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		nc.(*net.TCPConn).SetWriteBuffer(16 << 10)
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		total, chunk := 0, strings.Repeat("x", 8<<10)
		for _, err = io.WriteString(nc, "HTTP/1.1 200 OK\r\nX-Long: "); err == nil && total < most; total += len(chunk) {
			_, err = io.WriteString(nc, chunk)
		}
		sent <- total
	}()
	rsp, err := ServiceClient{Transport: NewTransport(1)}.Do(t.Context(), Call{Address: ln.Addr().String(), Method: http.MethodGet, Path: "/"})
	if err == nil {
		t.Fatalf("got status %d, want an error", rsp.Status)
	}
	if !strings.Contains(err.Error(), "headers exceeded") || strings.Contains(err.Error(), "10485760") {
		t.Errorf("got error %v, want the bound of %d bytes exceeded", err, http1.MaxHeadBytes)
	}
	if got := <-sent; got > 8<<20 {
		t.Errorf("got %d bytes sent, want the connection closed before", got)
	}
}
