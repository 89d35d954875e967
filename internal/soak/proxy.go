package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to the connections that pass it.
type Harm int

// The harms of a proxy.
const (
	// Unharmed passes everything on.
	Unharmed Harm = iota
	// Delayed passes everything on later.
	Delayed
	// Reset resets open connections and new ones.
	Reset
	// OneWay passes requests on and loses what comes back.
	OneWay
	// Silenced passes nothing on in either direction, and opens no connection.
	Silenced
)

// delayTime is how much later a delayed proxy passes bytes on. It is longer than
// the time-out of a connection to an endpoint and shorter than that of a call to
// the store.
const delayTime = 300 * time.Millisecond

// Proxy is a TCP proxy on loopback whose connections can be harmed while open.
type Proxy struct {
	Target string

	ln    net.Listener
	mu    sync.Mutex
	harm  Harm
	conns map[net.Conn]struct{}
}

// Start listens and returns the proxy's address. It ends with ctx.
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

// Set changes the harm. Resetting ends what is open; connections that were silent
// stay silent for good, as when something between the ends has forgotten them.
func (pr *Proxy) Set(harm Harm) {
	pr.mu.Lock()
	pr.harm = harm
	pr.mu.Unlock()
	if harm == Reset {
		pr.closeAll(true)
	}
}

func (pr *Proxy) current() Harm {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.harm
}

func (pr *Proxy) closeAll(reset bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for nc := range pr.conns {
		if tc, ok := nc.(*net.TCPConn); ok && reset {
			_ = tc.SetLinger(0) // Closing resets the connection then.
		}
		nc.Close()
	}
}

func (pr *Proxy) accept(ctx context.Context) {
	for {
		nc, err := pr.ln.Accept()
		if err != nil {
			return
		}
		go pr.pass(ctx, nc)
	}
}

func (pr *Proxy) keep(nc net.Conn, keep bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if keep {
		pr.conns[nc] = struct{}{}
		return
	}
	delete(pr.conns, nc)
}

// pass connects a caller to the target and copies both ways.
func (pr *Proxy) pass(ctx context.Context, from net.Conn) {
	pr.keep(from, true)
	defer pr.keep(from, false)
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
	pr.keep(to, true)
	defer pr.keep(to, false)
	defer to.Close()
	done := make(chan struct{}, 2)
	go pr.copy(to, from, false, done)
	go pr.copy(from, to, true, done)
	<-done
}

// copy passes bytes on as the harm of the moment has it.
func (pr *Proxy) copy(to, from net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		num, err := from.Read(buf)
		if harm := pr.current(); harm == Silenced || harm == OneWay && answers {
			lost = true
		} else if harm == Delayed {
			time.Sleep(delayTime)
		}
		if num > 0 && !lost {
			if _, err := to.Write(buf[:num]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
