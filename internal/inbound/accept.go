package inbound

import (
	"errors"
	"net"
	"syscall"
)

// acceptError is the failure to accept one connection. http.Server goes on after a temporary one, with a
// growing delay.
type acceptError struct{ error }

// Unwrap returns the cause.
func (ae acceptError) Unwrap() error { return ae.error }

// Timeout implements net.Error.
func (acceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (acceptError) Temporary() bool { return true }

// afterAccept returns the error of Accept for one of the listener below. All are temporary but those that
// mean that it is not open: accept(2) also returns the errors of single connections and of a kernel that
// lacks memory.
func (li *Listener) afterAccept(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL) {
		return err
	}
	li.gu.log.Warn("inbound: connection not accepted.", "listener", li.own.Name, "cause", err.Error())
	return acceptError{err}
}
