// Package tcp wraps connections that one goroutine reads while another one writes.
package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read does not miss a reset. The kernel reports a reset once, to whichever
// call comes first. If that is a write, the next read returns io.EOF, as at the end of all that the peer
// has sent.
type Conn struct {
	net.Conn
	// writing guards writeErr, the first error of a write, and is held during each write.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a connection that reads and writes nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// SyscallConn implements syscall.Conn. It fails if the wrapped connection is none of the kernel's.
func (cn *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Write implements net.Conn.
func (cn *Conn) Write(buf []byte) (int, error) {
	cn.writing.Lock()
	defer cn.writing.Unlock()
	num, err := cn.Conn.Write(buf)
	if cn.writeErr == nil {
		cn.writeErr = err
	}
	return num, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side of the connection, and
// then ends the write in progress. After a reset it returns the error of the write that has met it.
func (cn *Conn) Read(buf []byte) (int, error) {
	num, err := cn.Conn.Read(buf)
	if err == io.EOF {
		err = cn.endError()
	}
	return num, err
}

// endError returns io.EOF, or the error of a write that can't follow the end of the peer's side.
func (cn *Conn) endError() error {
	// A write in progress may have met the reset already.
	if err := cn.Conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	cn.writing.Lock()
	defer cn.writing.Unlock()
	switch err := cn.writeErr; {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(err, syscall.EPIPE):
		// The reset came after the end of the peer's side; before it, the error is ECONNRESET.
		return io.EOF
	default:
		return err
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DialContext opens a connection that is a *Conn.
func (df DialFunc) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := df(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return NewConn(nc), nil
}
