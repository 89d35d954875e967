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

// LateReader is a connection on which a write meets a reset before a read does, after the first read. The
// second read begins once a write has failed; that write returns once the second read was called. A close
// then waits until a read has failed.
type LateReader struct {
	net.Conn
	reads               atomic.Int64
	reading, wrote, end signal
}

// DialLate opens a connection that is a *LateReader.
func DialLate(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &LateReader{Conn: nc, reading: newSignal(), wrote: newSignal(), end: newSignal()}, nc.(*net.TCPConn).SetWriteBuffer(socketBytes)
}

// Write implements net.Conn.
func (lr *LateReader) Write(buf []byte) (int, error) {
	num, err := lr.Conn.Write(buf)
	if err != nil {
		lr.wrote.send()
		lr.reading.await()
	}
	return num, err
}

// Read implements net.Conn.
func (lr *LateReader) Read(buf []byte) (int, error) {
	if lr.reads.Add(1) > 1 {
		lr.reading.send()
		lr.wrote.await()
	}
	num, err := lr.Conn.Read(buf)
	if err != nil {
		lr.end.send()
	}
	return num, err
}

// Close implements net.Conn.
func (lr *LateReader) Close() error {
	if lr.wrote.sent() {
		lr.end.await()
	}
	return lr.Conn.Close()
}

// signal is sent once.
type signal struct {
	ch   chan struct{}
	once *sync.Once
}

func newSignal() signal { return signal{make(chan struct{}), new(sync.Once)} }

func (si signal) send() { si.once.Do(func() { close(si.ch) }) }

func (si signal) sent() bool {
	select {
	case <-si.ch:
		return true
	default:
		return false
	}
}

// await returns after lateTimeout if the signal is not sent.
func (si signal) await() {
	select {
	case <-si.ch:
	case <-time.After(lateTimeout):
	}
}
