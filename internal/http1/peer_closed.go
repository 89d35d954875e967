package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// PeerClosed reports whether an exchange failed because the peer closed or reset the
// connection, which may mean that its process has ended. It returns false for timeouts, for
// failed dials and when this side closed the connection.
func PeerClosed(err error) bool {
	if errors.Is(err, net.ErrClosed) || ConnectFailed(err) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
