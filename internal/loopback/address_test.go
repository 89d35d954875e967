package loopback

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// Guards against an address that answers for another server after its own has stopped.
func TestHeldAddressRefuses(t *testing.T) {
	ad := hold(t)
	for range 2 {
		if err := dial(ad.String()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("without a listener: error %v, want %v", err, syscall.ECONNREFUSED)
		}
		ln, err := ad.Listen()
		if err != nil {
			t.Fatal(err)
		}
		if err := dial(ad.String()); err != nil {
			t.Errorf("with a listener: %v", err)
		}
		ln.Close()
	}
}

// Guards against a held address that is given away as a free port. A socket that asks for any
// port gets only those that it could bind to without sharing them.
func TestHeldAddressIsNotFree(t *testing.T) {
	ad := hold(t)
	if err := bindAlone(ad.AddrPort); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("error %v, want %v", err, syscall.EADDRINUSE)
	}
}

func TestHoldRejectsAddress(t *testing.T) {
	for _, addr := range []string{"", "127.0.0.1", "name:1", "192.0.2.1:1"} {
		if _, err := Hold(addr); err == nil {
			t.Errorf("%q: no error", addr)
		}
	}
}

func hold(t *testing.T) *Address {
	t.Helper()
	ad, err := Hold("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ad.Close() })
	return ad
}

func dial(addr string) error {
	nc, err := net.DialTimeout("tcp", addr, time.Minute)
	if err == nil {
		nc.Close()
	}
	return err
}

func bindAlone(ap netip.AddrPort) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer os.NewFile(uintptr(fd), "").Close()
	return eris.Wrap(syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}), "bind")
}
