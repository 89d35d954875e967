// Package loopback holds addresses for servers that tests stop: an address whose listener is
// closed is otherwise given to the next process that asks for a free port, and answers again.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

// Address is an IPv4 address with a TCP port that no other process gets as a free one. It
// refuses connections unless a listener is opened on it. It is released by Close, or when it is
// no longer referenced.
type Address struct {
	netip.AddrPort
	socket *os.File
}

// Hold holds addr (IP:port, port 0 for any free one).
func Hold(addr string) (*Address, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrap(err, "loopback: address")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(os.NewSyscallError("socket", err), "loopback: hold")
	}
	socket := os.NewFile(uintptr(fd), addr)
	if err := bind(fd, ap); err != nil {
		socket.Close()
		return nil, eris.Wrapf(err, "loopback: hold %s", addr)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		socket.Close()
		return nil, eris.Wrap(os.NewSyscallError("getsockname", err), "loopback: hold")
	}
	port := bound.(*syscall.SockaddrInet4).Port
	return &Address{netip.AddrPortFrom(ap.Addr(), uint16(port)), socket}, nil
}

// bind allows a listener on the same address beside the socket, which never listens itself.
func bind(fd int, ap netip.AddrPort) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	sa := &syscall.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}
	return os.NewSyscallError("bind", syscall.Bind(fd, sa))
}

// Listen opens a listener on the address. The address is still held after the listener is closed.
func (ad *Address) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", ad.String())
	return ln, eris.Wrap(err, "loopback: listen")
}

// Close releases the address.
func (ad *Address) Close() error { return ad.socket.Close() }
