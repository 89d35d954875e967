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

// echo starts a server that echoes what it reads, and returns its address.
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

// Guards against faults that do not affect connections that are already open. The
// caller must see a reset, a missing response or, with a delay or no fault, the
// response.
func TestProxyInjectsConnFaults(t *testing.T) {
	for _, fault := range []ConnFault{NoConnFault, Delayed, Reset, OneWay, Blackholed} {
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
		roundTrip := func() error {
			if _, err := io.WriteString(nc, "line\n"); err != nil {
				return err
			}
			_, err := br.ReadString('\n')
			return err
		}
		if err := roundTrip(); err != nil {
			t.Fatalf("before any fault: %v", err)
		}
		pr.SetFault(fault)
		noResponse := fault == OneWay || fault == Blackholed
		if noResponse {
			if err := nc.SetReadDeadline(time.Now().Add(2 * delayTime)); err != nil {
				t.Fatal(err)
			}
		}
		err = roundTrip()
		var ne net.Error
		switch {
		case noResponse && !(errors.As(err, &ne) && ne.Timeout()):
			t.Errorf("fault %d: %v, want no response before the deadline", fault, err)
		case fault == Reset && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE):
			t.Errorf("fault %d: %v, want a connection reset", fault, err)
		case !noResponse && fault != Reset && err != nil:
			t.Errorf("fault %d: %v, want a response", fault, err)
		}
	}
}

// Guards against a proxy that ends a connection as if all bytes had been delivered, although it has
// discarded some or the target has reset it: a response without length would look complete.
func TestProxyResetsWhatIsNotWhole(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault ConnFault
		reset bool
		want  error
	}{{"closed by the target", NoConnFault, false, io.EOF}, {"reset by the target", NoConnFault, true, syscall.ECONNRESET},
		{"closed by the target after lost bytes", OneWay, false, syscall.ECONNRESET}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		pr := &Proxy{Target: ln.Addr().String()}
		addr, err := pr.Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		target, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		pr.SetFault(tc.fault)
		if _, err := io.WriteString(target, "line"); err != nil {
			t.Fatal(err)
		}
		if tc.reset {
			if _, err := io.ReadFull(nc, make([]byte, len("line"))); err != nil {
				t.Fatal(err)
			}
			resetOnClose(target)
		}
		target.Close()
		if err := nc.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err = io.Copy(io.Discard, nc); err == nil {
			err = io.EOF
		}
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
	}
}

// waitTimeout bounds a wait for what must happen.
const waitTimeout = 30 * time.Second
