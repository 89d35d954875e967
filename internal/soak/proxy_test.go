package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo answers each line with itself and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				_, _ = io.Copy(nc, nc)
			}()
		}
	}()
	return ln.Addr().String()
}

// A proxy harms connections that are open already, and what it has harmed shows at
// the caller as a reset, or as nothing at all.
func TestProxyHarmsOpenConnections(t *testing.T) {
	for _, harm := range []Harm{Unharmed, Delayed, Reset, OneWay, Silenced} {
		pr := &Proxy{Target: echo(t)}
		addr, err := pr.Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		br := bufio.NewReader(nc)
		say := func() error {
			if _, err := io.WriteString(nc, "line\n"); err != nil {
				return err
			}
			_, err := br.ReadString('\n')
			return err
		}
		if err := say(); err != nil {
			t.Fatalf("before any harm: %v", err)
		}
		pr.Set(harm)
		silent := harm == OneWay || harm == Silenced
		if silent {
			if err := nc.SetReadDeadline(time.Now().Add(2 * delayTime)); err != nil {
				t.Fatal(err)
			}
		}
		err = say()
		var ne net.Error
		switch {
		case silent && !(errors.As(err, &ne) && ne.Timeout()):
			t.Errorf("harm %d: %v, want no answer", harm, err)
		case harm == Reset && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE):
			t.Errorf("harm %d: %v, want a reset", harm, err)
		case !silent && harm != Reset && err != nil:
			t.Errorf("harm %d: %v", harm, err)
		}
	}
}
