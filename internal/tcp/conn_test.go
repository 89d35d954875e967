package tcp

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a reset that a reader takes for the end of what the peer sends, because a write has met it.
func TestReadAfterWriteMetReset(t *testing.T) {
	sv := servertest.Respond(t, "127.0.0.1", servertest.Reset, func(*http.Request) string { return "part" })
	nc, err := servertest.DialLate(t.Context(), sv.Address)
	if err != nil {
		t.Fatal(err)
	}
	cn := NewConn(nc)
	defer cn.Close()
	go cn.Write(append([]byte("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"), make([]byte, servertest.UploadBytes)...))
	got, err := io.ReadAll(cn)
	if string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, error %v; want \"part\", %v", got, err, syscall.ECONNRESET)
	}
}

// Guards against a write that stays blocked, and a reader with it, after a peer that doesn't read has ended
// its side.
func TestWriteAfterEndOfPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	cn := NewConn(nc)
	defer cn.Close()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	written := make(chan error, 1)
	go func() {
		_, err := cn.Write(make([]byte, 16<<20))
		written <- err
	}()
	if err := peer.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if num, err := cn.Read(make([]byte, 1)); num != 0 || err != io.EOF {
		t.Errorf("got %d bytes, error %v; want 0, %v", num, err, io.EOF)
	}
	if err := <-written; err == nil {
		t.Error("got no error of the write")
	}
}
