// Package http1 is an HTTP/1.1 client for endpoints. It parses with net/http but manages the
// connections itself, because a proxy needs what the transport of net/http hides: whether a
// request may have reached the endpoint, whether bytes of an earlier response are left on a
// connection, and the certainty that no request is retried implicitly.
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
	"corianderhub.dev/corianderhub/internal/core/quota"
	"corianderhub.dev/corianderhub/internal/tcp"
)

const (
	// maxIdlePerAddr bounds the idle connections kept for each address.
	maxIdlePerAddr = 32
	// defaultIdleTimeout is how long an idle connection is kept when the endpoint sends
	// no Keep-Alive timeout. It is also the upper bound when the endpoint sends one.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the endpoint's timeout, so that the endpoint does not
	// close a connection while a request is being sent on it.
	idleMargin = time.Second
	// readBufferSize is in bytes and holds a few events of a stream.
	readBufferSize = 4 << 10
)

// Pool keeps idle connections to endpoints for reuse. It is safe for concurrent use. Set the
// exported fields before the first use.
type Pool struct {
	Clock clock.Clock
	// Dial opens a connection to an address; nil means net.Dialer with tcp.Conn. Its Read must not
	// miss a reset that a write has met: a long request is written while the response is read.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxBytes bounds the memory of all responses that are being read; 0 means that it is not bounded.
	MaxBytes int64

	// memory guards responses.
	memory    sync.Mutex
	responses quota.Responses

	mu    sync.Mutex
	idle  map[string][]*conn
	dials atomic.Int64
}

// conn is one connection. At most one exchange uses it at a time.
type conn struct {
	nc     net.Conn
	hr     *HeadReader   // reads nc
	br     *bufio.Reader // reads hr
	addr   string
	reused bool
	// expiry is the time from which an idle connection is not reused.
	expiry time.Time
}

// Dials returns the number of connections that the pool has tried to open.
func (po *Pool) Dials() int64 { return po.dials.Load() }

// get returns an idle connection that is still usable, or a new one if there is none or noReuse
// is set.
func (po *Pool) get(ctx context.Context, addr string, noReuse bool) (*conn, error) {
	for !noReuse {
		cn := po.takeIdle(addr)
		if cn == nil {
			break
		}
		if cn.clean() && po.Clock.Now().Before(cn.expiry) {
			cn.reused = true
			return cn, nil
		}
		cn.nc.Close()
	}
	po.dials.Add(1)
	nc, err := po.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	hr := NewHeadReader(nc)
	return &conn{nc: nc, hr: hr, br: bufio.NewReaderSize(hr, readBufferSize), addr: addr}, nil
}

// dial opens a connection without keep-alive probes: one that waits for a response is watched by
// the request's own timeouts.
func (po *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if po.Dial != nil {
		return po.Dial(ctx, addr)
	}
	di := net.Dialer{KeepAlive: -1}
	return tcp.DialFunc(di.DialContext).DialContext(ctx, "tcp", addr)
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

// put keeps a connection for reuse for the duration keep. It closes the connection if keep is 0
// or the limit of idle connections is reached.
func (po *Pool) put(cn *conn, keep time.Duration, maxIdle int) {
	if maxIdle == 0 {
		maxIdle = maxIdlePerAddr
	}
	if _, ok := cn.nc.(syscall.Conn); !ok || keep <= 0 || maxIdle < 0 {
		// Whether a connection has unread bytes must be known before it is reused.
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

// CloseIdle closes all idle connections to an address. It is called when the process there has
// ended.
func (po *Pool) CloseIdle(addr string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, cn := range po.idle[addr] {
		cn.nc.Close()
	}
	delete(po.idle, addr)
}

// CloseAllIdle closes all idle connections. It is called when paths to several endpoints are lost:
// those to others may be silent as well.
func (po *Pool) CloseAllIdle() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, list := range po.idle {
		for _, cn := range list {
			cn.nc.Close()
		}
	}
	clear(po.idle)
}

// CloseExpired closes the idle connections that have expired.
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

// clean reports whether an idle connection is open and has nothing to read. Unread bytes
// belong to no request: they are a late duplicate response or the end of the connection.
func (cn *conn) clean() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// keepAliveTimeout returns how long a connection may stay idle according to the endpoint's
// response, or 0 if the endpoint closes it.
func keepAliveTimeout(rsp *http.Response) time.Duration {
	if rsp.Close {
		return 0
	}
	for _, part := range strings.Split(rsp.Header.Get("Keep-Alive"), ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		secs, err := strconv.Atoi(val)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(defaultIdleTimeout, time.Duration(secs)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
