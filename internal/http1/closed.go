package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// PeerClosed tells whether an exchange failed because the other side closed or reset the
// connection: its process may have ended. A time-out, or the own end of the exchange, says
// nothing of the kind.
func PeerClosed(err error) bool {
	if errors.Is(err, net.ErrClosed) || ConnectFailed(err) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
