// Package http1 is the client side of HTTP/1.1 towards endpoints. It parses
// with net/http but keeps the connections itself, since a forwarder must know
// what net/http's transport hides: whether a request may have reached the
// endpoint, whether bytes of an earlier answer are left on a connection, and
// that nothing is sent twice behind its back.
package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
)

const (
	// maxIdlePerAddr bounds the idle connections kept for each address.
	maxIdlePerAddr = 32
	// defaultIdle is how long an idle connection is kept when the endpoint
	// does not tell its own limit.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the endpoint's own limit, so that it does not
	// close a connection just as a request is on its way.
	idleMargin = time.Second
	// readBuffer holds a few events of a stream.
	readBuffer = 4 << 10
)

// Pool keeps connections to endpoints. Set the exported fields before use.
type Pool struct {
	Clock clock.Clock
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	mu          sync.Mutex
	idle        map[string][]*conn
	dials       atomic.Int64
}

// conn is one connection. It belongs to one exchange at a time.
type conn struct {
	nc     net.Conn
	br     *bufio.Reader
	addr   string
	reused bool
	expiry time.Time
}

// Dials returns how many connections were opened.
func (po *Pool) Dials() int64 { return po.dials.Load() }

// get returns an idle connection that still looks sound, or a new one.
func (po *Pool) get(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		cn := po.takeIdle(addr)
		if cn == nil {
			break
		}
		if cn.quiet() && po.Clock.Now().Before(cn.expiry) {
			cn.reused = true
			return cn, nil
		}
		cn.nc.Close()
	}
	po.dials.Add(1)
	di := net.Dialer{Timeout: po.DialTimeout, KeepAlive: -1}
	nc, err := di.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr}, nil
}

func (po *Pool) takeIdle(addr string) *conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	list := po.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	po.idle[addr] = list[:len(list)-1]
	return cn
}

// put keeps a connection for later, unless there are enough.
func (po *Pool) put(cn *conn, keep time.Duration, maxIdle int) {
	if maxIdle == 0 {
		maxIdle = maxIdlePerAddr
	}
	if keep <= 0 || maxIdle < 0 {
		cn.nc.Close()
		return
	}
	cn.expiry = po.Clock.Now().Add(keep)
	po.mu.Lock()
	defer po.mu.Unlock()
	if len(po.idle[cn.addr]) >= min(maxIdle, maxIdlePerAddr) {
		cn.nc.Close()
		return
	}
	if po.idle == nil {
		po.idle = make(map[string][]*conn)
	}
	po.idle[cn.addr] = append(po.idle[cn.addr], cn)
}

// Drop closes all idle connections to an address, whose process has ended.
func (po *Pool) CloseIdle(addr string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, cn := range po.idle[addr] {
		cn.nc.Close()
	}
	delete(po.idle, addr)
}

// Sweep closes idle connections that have reached their limit.
func (po *Pool) CloseExpired() {
	now := po.Clock.Now()
	po.mu.Lock()
	defer po.mu.Unlock()
	for addr, list := range po.idle {
		list = slices.DeleteFunc(list, func(cn *conn) bool {
			if now.Before(cn.expiry) {
				return false
			}
			cn.nc.Close()
			return true
		})
		po.idle[addr] = list
		if len(list) == 0 {
			delete(po.idle, addr)
		}
	}
}

// quiet tells whether an idle connection is open and has nothing to read.
// Bytes that wait there belong to no request: a late second answer, or the
// end of the connection.
func (cn *conn) quiet() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepFor returns how long the endpoint lets a connection be idle, by its
// answer; 0 when it closes it.
func keepFor(rsp *http.Response) time.Duration {
	if rsp.Close {
		return 0
	}
	for _, part := range strings.Split(rsp.Header.Get("Keep-Alive"), ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		secs, err := strconv.Atoi(val)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(defaultIdle, time.Duration(secs)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
