package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// testBytes is what a server without end sends at most, so that a test without bounds ends.
const testBytes = 64 << 20

// sendEndless writes first and then repeated until the connection is closed, and counts the bytes.
func sendEndless(first, repeated string, sent *atomic.Int64) func(nc net.Conn, br *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		br.ReadString('y') // the end of the request's body
		io.WriteString(nc, first)
		chunk := strings.Repeat(repeated, 8<<10/len(repeated)+1)
		for sent.Load() < testBytes {
			num, err := io.WriteString(nc, chunk)
			sent.Add(int64(num))
			if err != nil {
				return
			}
		}
	}
}

// Guards against memory without bound for a server that sends one part of a response without end.
func TestEndlessResponse(t *testing.T) {
	const start, framed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n"
	for name, parts := range map[string][2]string{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"value":           {start + "X-Long: ", "v"},
		"fields":          {start, "a:\n"},
		"interim":         {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"interim fields":  {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n", "Link: abcd\r\n"},
		"no response":     {"", "\x00"},
		"empty lines":     {"", "\r\n"},
		"skipped body":    {"HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension": {framed + "\r\n1;", "e"},
		"chunk size":      {framed + "\r\n", "0"},
		"chunks":          {framed + "\r\n", "1\r\nx\r\n"},
		"trailer":         {framed + "\r\n0\r\n", "A: b\r\n"},
		"length":          {start + "Content-Length: 9000000000\r\n\r\n", "b"},
		"unframed":        {start + "\r\n", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			sv := newServer(t, sendEndless(parts[0], parts[1], &sent))
			body, err := send(t, newPool(), sv, request("1"))
			if err == nil {
				t.Fatalf("got a body of %d bytes, want an error", len(body))
			}
			if got := VerdictOf(err); got != verdict.MayHaveRun {
				t.Errorf("got verdict %q, want %q", got, verdict.MayHaveRun)
			}
			if num := len(err.Error()); num > 2*maxErrorBytes {
				t.Errorf("got an error text of %d bytes, want at most %d", num, 2*maxErrorBytes)
			}
			// What the client does not read may fill the buffers of both sockets.
			if num := sent.Load(); num >= testBytes/2 {
				t.Errorf("got %d bytes sent, want the connection closed before", num)
			}
		})
	}
}

// Guards against a bound of the head that counts the lines of a body, or refuses a head within it.
func TestLongHeadAndBody(t *testing.T) {
	long := strings.Repeat("A: b\r\n", MaxHeadLines-20) + "X-Long: " + strings.Repeat("v", MaxHeadBytes/2) + "\r\n"
	other := "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100000)
	want := strings.Repeat("\n", 1000)
	sv := newServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		io.WriteString(nc, other+"HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+long+"Content-Length: 1000\r\n\r\n"+want)
	})
	if body, err := send(t, newPool(), sv, request("1")); body != want || err != nil {
		t.Errorf("got %d bytes, %v; want %d", len(body), err, len(want))
	}
}

// Guards against responses without end that are each within the limit and together exceed the memory.
func TestEndlessResponsesTogether(t *testing.T) {
	var sent atomic.Int64
	script := sendEndless("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9000000\r\n\r\n", "b", &sent)
	sv := newServer(t, script, script, script, script)
	po := newPool()
	po.MaxBytes = 256 << 10
	errs := make(chan error)
	for range 4 {
		go func() {
			ex, err := po.Send(t.Context(), sv.ln.Addr().String(), request("1"))
			if err == nil {
				_, err = ex.ReadAll(8 << 20)
				ex.Close()
			}
			errs <- err
		}()
	}
	for range 4 {
		if err := <-errs; !errors.Is(err, ErrGivenUp) {
			t.Errorf("got error %v, want %v", err, ErrGivenUp)
		}
	}
	if used := po.responses.Used(); used != 0 {
		t.Errorf("got %d bytes counted after the exchanges, want 0", used)
	}
}
