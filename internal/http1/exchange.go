package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// inlineBody is the largest body written before the answer is read. A
	// larger one is written beside, since an endpoint may answer before it
	// has read it all, and neither side would go on otherwise.
	inlineBody = 32 << 10
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 2
	// foreignPatience is how long the right answer is waited for after one to
	// another request. A late second answer comes just before the right one.
	foreignPatience = 500 * time.Millisecond
	// maxSkip bounds the body of an answer that is passed over.
	maxSkip = 256 << 10
)

// ErrForeign means that the answers on a connection were to other requests.
var ErrMismatchedResponse = errors.New("http1: answer to another request")

// Error is a failed exchange. Its verdict says whether the endpoint may have
// run the request.
type Error struct {
	Verdict verdict.Verdict
	// Connect is set when no connection could be opened.
	ConnectFailed bool
	Err           error
}

// Error implements the error interface.
func (er *Error) Error() string { return string(er.Verdict) + ": " + er.Err.Error() }

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// VerdictOf says whether a request may have run whose exchange failed so.
func VerdictOf(err error) verdict.Verdict {
	var er *Error
	if errors.As(err, &er) {
		return er.Verdict
	}
	return verdict.MayHaveRun
}

// ConnectFailed tells whether no connection could be opened.
func ConnectFailed(err error) bool {
	var er *Error
	return errors.As(err, &er) && er.ConnectFailed
}

// Request is a request as it is written to an endpoint.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// IDHeader names the header that endpoints echo; an answer with another
	// value is not the answer to this request.
	IDHeader string
	// Fresh asks for a new connection. On a reused one the endpoint may be
	// about to close it, and whether it read the request would stay unknown.
	Fresh bool
	// MaxIdle bounds the idle connections that are kept to the address; 0 means
	// the pool's own bound, NoIdle that the connection is closed afterwards.
	MaxIdle int
}

// NoIdle keeps no idle connection.
const NoIdle = -1

// Exchange is an answer that is being read. Close must be called.
type Exchange struct {
	Response *http.Response
	po       *Pool
	cn       *conn
	written  chan error
	stop     func() bool
	maxIdle  int
	// whole is set once the body was read to its end.
	whole bool
}

// Send writes the request and reads the head of its answer. Ending ctx closes
// the connection, also while the body is read.
func (po *Pool) Send(ctx context.Context, addr string, rq *Request) (*Exchange, error) {
	cn, err := po.get(ctx, addr, rq.Fresh)
	if err != nil {
		return nil, &Error{Verdict: verdict.NotRun, ConnectFailed: true, Err: err}
	}
	ex := &Exchange{po: po, cn: cn, written: make(chan error, 1), maxIdle: rq.MaxIdle}
	ex.stop = context.AfterFunc(ctx, func() { cn.nc.Close() })
	if err := ex.write(rq); err != nil {
		ex.abort()
		return nil, &Error{Verdict: verdict.MayHaveRun, Err: err}
	}
	if err := ex.readHead(rq); err != nil {
		ex.abort()
		return nil, &Error{Verdict: verdict.MayHaveRun, Err: err}
	}
	return ex, nil
}

func (ex *Exchange) write(rq *Request) error {
	var buf bytes.Buffer
	buf.WriteString(rq.Method + " " + rq.URI + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	if err := rq.Header.Write(&buf); err != nil {
		return err
	}
	if len(rq.Body) > 0 || rq.Method != http.MethodGet && rq.Method != http.MethodHead {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	if len(rq.Body) <= inlineBody {
		buf.Write(rq.Body)
		_, err := ex.cn.nc.Write(buf.Bytes())
		ex.written <- err
		return err
	}
	go func() {
		_, err := ex.cn.nc.Write(buf.Bytes())
		if err == nil {
			_, err = ex.cn.nc.Write(rq.Body)
		}
		ex.written <- err
	}()
	return nil
}

// readHead reads answers until one is to this request. A server may send a
// second answer to an earlier request where the next one is expected.
func (ex *Exchange) readHead(rq *Request) error {
	for range maxForeign + 1 {
		rsp, err := http.ReadResponse(ex.cn.br, &http.Request{Method: rq.Method})
		if err != nil {
			return err
		}
		if rsp.StatusCode >= 100 && rsp.StatusCode < 200 {
			continue
		}
		if ex.ours(rsp, rq) {
			ex.Response = rsp
			return ex.cn.nc.SetReadDeadline(time.Time{})
		}
		if rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0 {
			return ErrMismatchedResponse
		}
		if _, err := io.CopyN(io.Discard, rsp.Body, maxSkip); !errors.Is(err, io.EOF) {
			return ErrMismatchedResponse
		}
		if err := ex.cn.nc.SetReadDeadline(time.Now().Add(foreignPatience)); err != nil {
			return err
		}
	}
	return ErrMismatchedResponse
}

// ours tells whether the answer is to this request. Refusals may lack the
// identifier; an answer that comes late for another request has one. Calls
// without an identifier use connections on which no answer can be late.
func (ex *Exchange) ours(rsp *http.Response, rq *Request) bool {
	if rq.IDHeader == "" {
		return true
	}
	got := rsp.Header.Get(rq.IDHeader)
	if got == "" {
		return rsp.StatusCode >= http.StatusBadRequest
	}
	return got == rq.Header.Get(rq.IDHeader)
}

// Read reads the answer's body.
func (ex *Exchange) Read(buf []byte) (int, error) {
	num, err := ex.Response.Body.Read(buf)
	if err == io.EOF {
		ex.whole = true
	}
	return num, err
}

// ReadAll reads a body of at most limit bytes.
func (ex *Exchange) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(ex, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.New("http1: the answer is too large")
	}
	return body, err
}

// Close returns the connection to the pool if the exchange is over and clean,
// and closes it otherwise.
func (ex *Exchange) Close() {
	if !ex.stop() {
		ex.cn.nc.Close()
		return
	}
	keep := time.Duration(0)
	select {
	case err := <-ex.written:
		if err == nil && ex.whole && ex.cn.br.Buffered() == 0 {
			keep = keepFor(ex.Response)
		}
	default:
		// The endpoint answered before it had read the body: other bytes must
		// not follow where the rest of that body is due.
	}
	ex.po.put(ex.cn, keep, ex.maxIdle)
}

func (ex *Exchange) abort() {
	ex.stop()
	ex.cn.nc.Close()
}
