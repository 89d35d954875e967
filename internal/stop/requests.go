// Package stop ends the requests of a server in a planned stop, so that each caller gets an answer.
package stop

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrStopping is the cancellation cause of a request that is cut off.
var ErrStopping = errors.New("stop: the daemon stops")

// Times say by when a stopping server ends its requests.
type Times struct {
	// AnswerBy is when each caller has its answer, except those whose response has begun. These go on
	// until AbortBy.
	AnswerBy, AbortBy time.Time
}

// Ended counts the requests that a stop has ended.
type Ended struct {
	// Refused requests have not run. Unfinished ones may have run; the responses of Aborted ones had
	// begun.
	Refused, Unfinished, Aborted atomic.Int64
}

// Attrs returns the counts as attributes of a log line.
func (en *Ended) Attrs() []any {
	return []any{"refused", en.Refused.Load(), "unfinished", en.Unfinished.Load(), "aborted", en.Aborted.Load()}
}

// Requests are the requests in progress of a server. The zero value is ready for use.
type Requests struct {
	Ended Ended

	times atomic.Pointer[Times]
	mu    sync.Mutex
	open  map[*Request]bool
}

// Stop begins a planned stop at the time now. Further calls have no effect.
func (rs *Requests) Stop(at Times, now time.Time) {
	if !rs.times.CompareAndSwap(nil, &at) {
		return
	}
	time.AfterFunc(at.AnswerBy.Sub(now), func() { rs.each((*Request).cutOffUnbegun) })
	time.AfterFunc(at.AbortBy.Sub(now), func() { rs.each((*Request).cutOff) })
}

// Stopping reports whether a stop has begun.
func (rs *Requests) Stopping() bool { return rs.times.Load() != nil }

// AnswerBy returns when a request with a deadline must have its answer.
func (rs *Requests) AnswerBy(deadline time.Time) time.Time {
	if at := rs.times.Load(); at != nil && at.AnswerBy.Before(deadline) {
		return at.AnswerBy
	}
	return deadline
}

// CanEnd reports whether a request that is expected to end after a time, or at its deadline, ends
// before the server stops.
func (rs *Requests) CanEnd(deadline time.Time, expected time.Duration, now time.Time) bool {
	by := rs.AnswerBy(deadline)
	return by.Equal(deadline) || expected <= by.Sub(now)
}

// Begin adds a request. The returned context ends with ctx, and with cause ErrStopping when the
// request is cut off. The caller must call End.
func (rs *Requests) Begin(ctx context.Context, rq *Request, now time.Time) context.Context {
	ctx, rq.cancel = context.WithCancelCause(ctx)
	rs.mu.Lock()
	if rs.open == nil {
		rs.open = make(map[*Request]bool)
	}
	rs.open[rq] = true
	rs.mu.Unlock()
	if at := rs.times.Load(); at != nil && !now.Before(at.AnswerBy) {
		rq.cutOffUnbegun()
	}
	return ctx
}

// End removes a request and ends its context.
func (rs *Requests) End(rq *Request) {
	rs.mu.Lock()
	delete(rs.open, rq)
	rs.mu.Unlock()
	rq.cancel(nil)
}

// each calls fn for all requests in progress.
func (rs *Requests) each(fn func(*Request)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for rq := range rs.open {
		fn(rq)
	}
}

// States of a request: its response has begun, or it was cut off before.
const (
	unbegun int32 = iota
	begun
	cutOff
)

// Request is one request in progress.
type Request struct {
	state  atomic.Int32
	cancel context.CancelCauseFunc
}

// BeginResponse records that the response begins. It returns false if the request was cut off: the
// caller gets an error instead.
func (rq *Request) BeginResponse() bool {
	return rq.state.CompareAndSwap(unbegun, begun) || rq.state.Load() == begun
}

// IsCutOff reports whether the request was cut off before its response began.
func (rq *Request) IsCutOff() bool { return rq.state.Load() == cutOff }

// cutOffUnbegun ends the request unless its response has begun.
func (rq *Request) cutOffUnbegun() {
	if rq.state.CompareAndSwap(unbegun, cutOff) {
		rq.cancel(ErrStopping)
	}
}

// cutOff ends the request.
func (rq *Request) cutOff() { rq.cancel(ErrStopping) }
