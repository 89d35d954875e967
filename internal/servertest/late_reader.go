package servertest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// socketBytes bounds the buffers of a socket, so that an upload fills them.
	socketBytes = 16 << 10
	// UploadBytes is the size of a request that fills the buffers of a LateReader and of its peer.
	UploadBytes = 900 << 10
	// lateTimeout bounds how long a LateReader waits.
	lateTimeout = 10 * time.Second
)

// LateReader is a connection on which a write meets a reset before a read does: once it has been read, it
// is read again, or closed, only after a write has failed.
type LateReader struct {
	net.Conn
	begun  atomic.Bool
	failed chan struct{}
	fail   sync.Once
	// ended is closed once a read has returned an error.
	ended chan struct{}
	end   sync.Once
}

// DialLate opens a connection that is a *LateReader.
func DialLate(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &LateReader{Conn: nc, failed: make(chan struct{}), ended: make(chan struct{})}, nc.(*net.TCPConn).SetWriteBuffer(socketBytes)
}

// Write implements net.Conn.
func (lr *LateReader) Write(buf []byte) (int, error) {
	num, err := lr.Conn.Write(buf)
	if err != nil {
		lr.fail.Do(func() { close(lr.failed) })
	}
	return num, err
}

// Read implements net.Conn.
func (lr *LateReader) Read(buf []byte) (int, error) {
	if lr.begun.Swap(true) {
		await(lr.failed)
	}
	num, err := lr.Conn.Read(buf)
	if err != nil {
		lr.end.Do(func() { close(lr.ended) })
	}
	return num, err
}

// Close implements net.Conn. After a failed write it waits until the connection was read to its end.
func (lr *LateReader) Close() error {
	select {
	case <-lr.failed:
		await(lr.ended)
	default:
	}
	return lr.Conn.Close()
}

func await(ch <-chan struct{}) {
	select {
	case <-ch:
	case <-time.After(lateTimeout):
	}
}
