// Package servertest has servers and connections that misbehave, for the tests of what reads responses.
package servertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server is an endpoint that sends the same bytes in response to each request, and then ends the connection.
type Server struct {
	Address string
	// Requests counts the requests whose header was read.
	Requests atomic.Int64
}

// End is how a Server ends a connection.
type End int

const (
	// Close closes it after the request was read.
	Close End = iota
	// Reset resets it, also while a request is being sent.
	Reset
	// CloseEarly ends its own side before it has read the request, and then reads that.
	CloseEarly
)

// Respond starts a server at a free port of ip until the end of the test. It sends what response returns for
// a request, whose body it reads before only for Close.
func Respond(t testing.TB, ip string, end End, response func(*http.Request) string) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	sv := &Server{Address: ln.Addr().String()}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go sv.respond(nc.(*net.TCPConn), end, response)
		}
	}()
	return sv
}

func (sv *Server) respond(nc *net.TCPConn, end End, response func(*http.Request) string) {
	defer nc.Close()
	if end == Reset {
		nc.SetReadBuffer(socketBytes)
		nc.SetLinger(0)
	}
	br := bufio.NewReader(nc)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	sv.Requests.Add(1)
	if end == Close {
		io.Copy(io.Discard, req.Body)
	}
	io.WriteString(nc, response(req))
	if end == CloseEarly {
		nc.CloseWrite()
		io.Copy(io.Discard, br)
	}
}
