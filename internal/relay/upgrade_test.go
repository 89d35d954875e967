package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/http1"
)

// Guards against memory without bound for a daemon whose response to a call for a connection has no end.
func TestEndlessUpgrade(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	sent := make(chan int)
	go func() {
		total := 0
		defer func() { far.Close(); sent <- total }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		chunk := "HTTP/1.1 101 " + strings.Repeat("x", 1<<10)
		for total < 64<<20 {
			num, err := io.WriteString(far, chunk)
			total += num
			if err != nil {
				return
			}
		}
	}()
	if _, err := upgrade(near, relaying, endpoint+":80"); err == nil {
		t.Error("got a connection, want an error")
	}
	near.Close()
	if got := <-sent; got > 2*http1.MaxHeadBytes {
		t.Errorf("got %d bytes read, want at most about %d", got, http1.MaxHeadBytes)
	}
}
