package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// ConnFault is a fault that a proxy injects into its connections.
type ConnFault int

// The faults of a proxy.
const (
	// NoConnFault forwards everything.
	NoConnFault ConnFault = iota
	// Delayed forwards everything after delayTime.
	Delayed
	// Reset resets open and new connections.
	Reset
	// OneWay forwards requests and discards responses.
	OneWay
	// Blackholed discards the bytes of both directions.
	Blackholed
)

// delayTime is how long Delayed holds bytes back. It is longer than the timeout for
// connecting to an endpoint and shorter than that of a call to the store.
const delayTime = 300 * time.Millisecond

// Proxy is a TCP proxy on loopback that can inject faults into open connections.
type Proxy struct {
	// Target is the address to connect to. Set it before Start.
	Target string

	ln    net.Listener
	mu    sync.Mutex
	fault ConnFault
	conns map[net.Conn]struct{}
}

// Start listens on a free port and returns the proxy's address. The proxy stops when
// ctx ends.
func (pr *Proxy) Start(ctx context.Context) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	pr.ln, pr.conns = ln, make(map[net.Conn]struct{})
	context.AfterFunc(ctx, func() {
		ln.Close()
		pr.closeAll(false)
	})
	go pr.accept(ctx)
	return ln.Addr().String(), nil
}

// Stop closes the listener and resets all connections, as the end of the target's process does.
func (pr *Proxy) Stop() {
	pr.ln.Close()
	pr.closeAll(true)
}

// SetFault changes the fault of open and new connections. Reset closes the open ones.
// A connection that has lost bytes forwards nothing more in that direction after the
// fault ends, as when a stateful device between the ends has dropped its state.
func (pr *Proxy) SetFault(fault ConnFault) {
	pr.mu.Lock()
	pr.fault = fault
	pr.mu.Unlock()
	if fault == Reset {
		pr.closeAll(true)
	}
}

func (pr *Proxy) current() ConnFault {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.fault
}

// closeAll closes all connections, with a TCP reset if reset is set.
func (pr *Proxy) closeAll(reset bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for nc := range pr.conns {
		if reset {
			resetOnClose(nc)
		}
		nc.Close()
	}
}

// accept forwards each connection until the listener closes.
func (pr *Proxy) accept(ctx context.Context) {
	for {
		nc, err := pr.ln.Accept()
		if err != nil {
			return
		}
		go pr.forward(ctx, nc)
	}
}

// track adds a connection to those that closeAll closes, or removes it.
func (pr *Proxy) track(nc net.Conn, add bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if add {
		pr.conns[nc] = struct{}{}
		return
	}
	delete(pr.conns, nc)
}

// forward connects to the target and copies bytes in both directions.
func (pr *Proxy) forward(ctx context.Context, from net.Conn) {
	pr.track(from, true)
	defer pr.track(from, false)
	defer from.Close()
	if pr.current() == Reset {
		pr.closeAll(true)
		return
	}
	var di net.Dialer
	to, err := di.DialContext(ctx, "tcp", pr.Target)
	if err != nil {
		return
	}
	pr.track(to, true)
	defer pr.track(to, false)
	defer to.Close()
	whole := make(chan bool, 2)
	go func() { whole <- pr.copy(to, from, false) }()
	go func() { whole <- pr.copy(from, to, true) }()
	if !<-whole {
		resetOnClose(from)
	}
}

// resetOnClose makes Close send a TCP reset.
func resetOnClose(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // The connection may be closed already.
	}
}

// copy copies bytes in one direction, subject to the current fault. It reports whether all bytes
// up to the end were copied. TCP doesn't deliver the end of a connection without the bytes before it.
func (pr *Proxy) copy(to, from net.Conn, responses bool) (whole bool) {
	buf := make([]byte, 16<<10)
	discarding := false
	for {
		num, err := from.Read(buf)
		if fault := pr.current(); fault == Blackholed || fault == OneWay && responses {
			discarding = true
		} else if fault == Delayed {
			time.Sleep(delayTime)
		}
		if num > 0 && !discarding {
			if _, err := to.Write(buf[:num]); err != nil {
				return false
			}
		}
		if err != nil {
			return err == io.EOF && !discarding
		}
	}
}
