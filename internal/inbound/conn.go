package inbound

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quota"
)

const (
	// fieldBytes is the memory that a field of a parsed header needs beyond its text.
	fieldBytes = 128
	// copies is how often a header is held while its request is served: as received and as sent to
	// an endpoint.
	copies = 2
	// readBufferBytes is the size of the buffer through which http.Server reads. What it has read
	// beyond a request belongs to the next one.
	readBufferBytes = 4 << 10
	// bodyTimeout bounds reading a body unless the handler sets another deadline.
	bodyTimeout = time.Minute
	// lingerTimeout is how long a connection stays open after a refusal, so that the client can read it.
	lingerTimeout = 500 * time.Millisecond
)

// Reasons to refuse a header, besides those to give up a connection.
const (
	reasonHeaderBytes   quota.Reason = "header-too-large"
	reasonHeaderTimeout quota.Reason = "header-timeout"
)

// refusalReasons are the reasons of the statuses that a header is refused with.
var refusalReasons = map[int]quota.Reason{
	http.StatusRequestHeaderFieldsTooLarge: reasonHeaderBytes,
	http.StatusRequestTimeout:              reasonHeaderTimeout,
	http.StatusServiceUnavailable:          quota.Memory,
}

// Conn is the connection of a client. It counts what the client sends and applies the limits until the
// header of a request is complete.
type Conn struct {
	net.Conn
	li     *Listener
	client *quota.Client

	mu    sync.Mutex
	phase quota.Phase
	// deadline is when the phase must end; zero in Body and Serving.
	deadline time.Time
	header   headerScanner
	// limits are those of the request that is being read.
	limits Limits
	// charged is the memory counted for the request's header and body.
	charged int64
	// unparsed is the number of bytes that were read and that no header or body so far is known to
	// have, aheadLines the number of lines among the last ones. They belong to the next request.
	unparsed, aheadLines int64
	// bodyBytes is the length of the request's body, or negative if that is not known.
	bodyBytes int64
	// reading is set while ReadBody reads. dropped is set once the connection was given up.
	reading, dropped bool
	why              quota.Reason
	// aborted is set while http.Server makes reads fail, by a deadline in the past, to stop reading ahead.
	aborted bool
	// ended says how the connection ended, from the first read that failed; empty while it is open.
	ended string
}

// Read implements net.Conn.
func (co *Conn) Read(buf []byte) (int, error) {
	for {
		waiting, err := co.beforeRead()
		if err != nil {
			return 0, err
		}
		num, err := co.Conn.Read(buf)
		if num > 0 {
			if status := co.received(buf[:num], len(buf) == 1); status != 0 {
				co.refuse(status)
				return 0, os.ErrDeadlineExceeded
			}
		}
		if err == nil {
			return num, nil
		}
		if os.IsTimeout(err) {
			if waiting && num == 0 && co.inProgress() {
				continue
			}
			if co.headerTimedOut() {
				co.refuse(http.StatusRequestTimeout)
			}
		}
		co.recordEnd(err)
		return num, err
	}
}

// recordEnd records how the connection ended. While a handler runs, http.Server reads ahead and ends the
// request's context if that fails.
func (co *Conn) recordEnd(err error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.ended != "" || co.aborted && os.IsTimeout(err) {
		return
	}
	co.ended = "closed-by-daemon"
	switch {
	case co.dropped:
		co.ended = "given-up-" + string(co.why)
	case os.IsTimeout(err):
		co.ended = "deadline-" + co.phase.String()
	case errors.Is(err, io.EOF):
		co.ended = "closed-by-client"
	case errors.Is(err, syscall.ECONNRESET):
		co.ended = "reset-by-client"
	case !errors.Is(err, net.ErrClosed):
		co.ended = "failed"
	}
}

// beforeRead sets the deadline of the phase. It returns whether the phase has one.
func (co *Conn) beforeRead() (waiting bool, err error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.waiting() {
		return false, nil
	}
	if co.deadline.IsZero() {
		co.limits = co.li.limits()
		co.deadline = time.Now().Add(co.limits.IdleTimeout)
	}
	return true, co.Conn.SetReadDeadline(co.deadline)
}

// waiting reports whether the connection waits for a request's header. The caller holds mu.
func (co *Conn) waiting() bool { return co.phase == quota.Idle || co.phase == quota.Header }

// inProgress reports whether a request is in progress, so that the deadline that a read has met is that of
// an earlier phase: the server watches the connection by a read that begins before the handler does.
func (co *Conn) inProgress() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return !co.waiting() && !co.dropped && !co.aborted
}

// headerTimedOut reports whether a header is incomplete at its deadline.
func (co *Conn) headerTimedOut() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.phase == quota.Header && !co.dropped && !time.Now().Before(co.deadline)
}

// received counts bytes that were read. single is set if no more than one was asked for. It returns the
// status to refuse the request with, or 0.
func (co *Conn) received(part []byte, single bool) int {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.phase == quota.Idle {
		co.beginHeader()
	}
	co.unparsed += int64(len(part))
	// The server reads a single byte to watch the connection of a request that it is about to handle.
	if co.phase != quota.Header || single {
		co.readAhead(part)
		return 0
	}
	before := co.header.cost()
	if co.header.complete {
		co.header.reopen()
	}
	co.header.scan(part)
	co.aheadLines = co.header.restLines
	if max(co.header.line, co.header.fields) > co.limits.HeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !co.growLocked(co.header.cost() - before) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// beginHeader records that the first bytes of a header have arrived. What was sent ahead of the last
// response belongs to it. The caller holds mu.
func (co *Conn) beginHeader() {
	co.limits = co.li.limits()
	co.deadline = time.Now().Add(co.limits.HeaderTimeout)
	co.header = headerScanner{fields: co.unparsed, lines: co.aheadLines, endless: co.unparsed > 0}
	co.phase = quota.Header
	co.li.gu.enter(co, quota.Header)
}

// readAhead counts the lines in the server's buffer, which may belong to the next header. Longer reads
// are those of a body and bypass the buffer.
func (co *Conn) readAhead(part []byte) {
	switch {
	case len(part) == 1:
		co.aheadLines += int64(bytes.Count(part, newline))
	case len(part) <= readBufferBytes:
		co.aheadLines = int64(bytes.Count(part, newline))
	default:
		co.aheadLines = 0
	}
}

// growLocked counts memory for the request. The caller holds mu, which is released meanwhile: the
// connection itself may be the one that is given up.
func (co *Conn) growLocked(bytes int64) bool {
	if bytes <= 0 {
		co.li.gu.add(co, bytes)
		co.charged += bytes
		return !co.dropped
	}
	co.mu.Unlock()
	ok := co.li.gu.grow(co, bytes)
	co.mu.Lock()
	if ok {
		co.charged += bytes
	}
	return ok
}

// refuse answers a request whose header is not complete, unless it was given up. It is not handled later:
// begin and refuse exclude each other.
func (co *Conn) refuse(status int) {
	co.mu.Lock()
	refused := co.phase == quota.Header && !co.dropped
	co.dropped = co.dropped || refused
	co.mu.Unlock()
	if !refused {
		return
	}
	gu := co.li.gu
	gu.log.Warn("inbound: header refused.", "listener", co.li.own.Name, "status", status, "client", co.Conn.RemoteAddr().String(),
		"bytes", co.header.line+co.header.fields, "lines", co.header.lines)
	countDropped(co.li.own.Name, quota.Header.String(), refusalReasons[status])
	_ = co.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	if _, err := fmt.Fprintf(co.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), retryAfter, refusalReasons[status]); err != nil {
		return
	}
	if cw, ok := co.Conn.(interface{ CloseWrite() error }); ok && cw.CloseWrite() == nil {
		_ = co.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, co.Conn)
	}
}

// Write implements net.Conn.
func (co *Conn) Write(buf []byte) (int, error) {
	co.client.BeginWrite(co.li.gu.Clock.Now())
	defer co.client.EndWrite()
	return co.Conn.Write(buf)
}

// SetReadDeadline implements net.Conn. The deadline of a connection that was given up stays.
func (co *Conn) SetReadDeadline(at time.Time) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.dropped {
		return nil
	}
	co.aborted = !at.IsZero() && at.Before(time.Now())
	return co.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (co *Conn) SetDeadline(at time.Time) error {
	if err := co.Conn.SetWriteDeadline(at); err != nil {
		return err
	}
	return co.SetReadDeadline(at)
}

// Close implements net.Conn.
func (co *Conn) Close() error {
	err := co.Conn.Close()
	co.li.gu.close(co)
	return err
}

// NetConn returns the connection that Conn wraps.
func (co *Conn) NetConn() net.Conn { return co.Conn }

// drop ends a connection that was given up. A request whose body is being read gets a response.
func (co *Conn) drop(why quota.Reason) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.dropped, co.why = true, why
	if co.reading && why != quota.Connections {
		_ = co.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = co.Conn.Close()
}

// begin records that a request's header was parsed. It returns false if there is no memory for it.
func (co *Conn) begin(req *http.Request) bool {
	cost := headerCost(req)
	co.mu.Lock()
	defer co.mu.Unlock()
	// If there is no memory the request is answered.
	co.reading = true
	ok := co.growLocked(cost - co.charged)
	co.reading = false
	if !ok || co.dropped {
		return false
	}
	if co.header.complete {
		co.unparsed = co.header.restBytes
	} else {
		co.unparsed = max(0, co.unparsed-minHeaderBytes(req))
	}
	co.header = headerScanner{}
	co.phase, co.deadline, co.bodyBytes = quota.Serving, time.Time{}, 0
	var bodyDeadline time.Time
	if req.Body != nil && req.Body != http.NoBody {
		co.phase, co.bodyBytes, bodyDeadline = quota.Body, req.ContentLength, time.Now().Add(bodyTimeout)
	}
	return co.li.gu.enter(co, co.phase) && co.Conn.SetReadDeadline(bodyDeadline) == nil
}

// bodyRead records that the body is complete. It returns false if the request was given up before.
func (co *Conn) bodyRead() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.phase != quota.Body {
		return true
	}
	if !co.li.gu.enter(co, quota.Serving) {
		return false
	}
	co.phase = quota.Serving
	_ = co.Conn.SetReadDeadline(time.Time{})
	return true
}

// end records that the handler has returned. A body that it has not read is read by the server, which
// must not wait for it without end.
func (co *Conn) end() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.li.gu.add(co, -co.charged)
	co.charged = 0
	if co.phase == quota.Body && !co.dropped {
		_ = co.Conn.SetReadDeadline(time.Now().Add(co.limits.HeaderTimeout))
	}
}

// idle records that the connection waits for the next request.
func (co *Conn) idle() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.phase, co.deadline = quota.Idle, time.Time{}
	if co.unparsed = min(co.unparsed-co.bodyBytes, readBufferBytes); co.bodyBytes < 0 || co.unparsed < 0 {
		co.unparsed = 0
	}
	if co.aheadLines = min(co.aheadLines, co.unparsed); co.li.gu.enter(co, quota.Idle) {
		co.growLocked(co.aheadLines * fieldBytes)
	}
}

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *Conn {
	co, _ := ctx.Value(connKey{}).(*Conn)
	return co
}

// connState is the hook of http.Server for changes of connections.
func connState(nc net.Conn, st http.ConnState) {
	if co, ok := nc.(*Conn); ok && st == http.StateIdle {
		co.idle()
	}
}
