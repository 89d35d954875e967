package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quota"
	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// maxInlineBody is the largest request body, in bytes, that is written before the
	// response is read. A larger body is written concurrently: an endpoint may respond
	// before it has read the body, and both sides would then block on a write.
	maxInlineBody = 32 << 10
	// maxSkippedResponses is the number of responses to other requests that are skipped.
	maxSkippedResponses = 2
	// skipTimeout bounds the wait for the next response after one has been skipped on a new
	// connection. That one is no duplicate, and the endpoint may send no other.
	skipTimeout = 500 * time.Millisecond
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 256 << 10
)

// ErrMismatchedResponse means that the responses on a connection belong to other requests.
var ErrMismatchedResponse = errors.New("http1: response belongs to another request")

// Error is a failed exchange. Verdict states whether the endpoint may have run the
// request.
type Error struct {
	Verdict verdict.Verdict
	// ConnectFailed is set when the connection could not be opened.
	ConnectFailed bool
	Err           error
}

// Error implements the error interface.
func (er *Error) Error() string { return string(er.Verdict) + ": " + Excerpt(er.Err.Error()) }

// Unwrap returns the underlying error.
func (er *Error) Unwrap() error { return er.Err }

// VerdictOf returns the verdict of a failed exchange: whether the request may have run. It
// is verdict.MayHaveRun for errors other than *Error.
func VerdictOf(err error) verdict.Verdict {
	var er *Error
	if errors.As(err, &er) {
		return er.Verdict
	}
	return verdict.MayHaveRun
}

// ConnectFailed reports whether the exchange failed because no connection could be opened.
func ConnectFailed(err error) bool {
	var er *Error
	return errors.As(err, &er) && er.ConnectFailed
}

// Request is a request to an endpoint, written to the connection as given.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// IDHeader names the header that endpoints echo. A response with another value
	// belongs to another request. If IDHeader is empty, any response is accepted.
	IDHeader string
	// NoReuse requires a new connection. An endpoint may close a reused one while the
	// request is being sent, and whether it read the request is then unknown.
	NoReuse bool
	// MaxIdle bounds the idle connections kept to the address. 0 means the pool's own
	// limit; NoIdle closes the connection after the exchange.
	MaxIdle int
}

// NoIdle is the value of Request.MaxIdle that keeps no idle connection.
const NoIdle = -1

// Exchange is a response whose body is being read. The caller must call Close.
type Exchange struct {
	Response *http.Response
	po       *Pool
	cn       *conn
	// written receives the result of writing the request.
	written chan error
	// stop detaches the exchange from its context. It returns false if the context has
	// ended, which closes the connection.
	stop    func() bool
	maxIdle int
	// complete is set once the body has been read to its end.
	complete bool
	// held is the memory that the reader of the response uses. givenUp is set if the response was given
	// up for it, ended once it is not read any more. Pool.memory guards all three.
	held           *quota.Response
	givenUp, ended bool
}

// Send writes the request and reads the header of its response. Canceling ctx closes the
// connection, also while the body is being read. A failure is returned as *Error, with the
// verdict NotRun only if no connection could be opened.
func (po *Pool) Send(ctx context.Context, addr string, rq *Request) (*Exchange, error) {
	cn, err := po.get(ctx, addr, rq.NoReuse)
	if err != nil {
		return nil, &Error{Verdict: verdict.NotRun, ConnectFailed: true, Err: err}
	}
	ex := &Exchange{po: po, cn: cn, written: make(chan error, 1), maxIdle: rq.MaxIdle}
	ex.held = quota.NewResponse(ex.drop)
	ex.stop = context.AfterFunc(ctx, func() { cn.nc.Close() })
	if err := ex.write(rq); err != nil {
		ex.abort()
		return nil, &Error{Verdict: verdict.MayHaveRun, Err: err}
	}
	if err := ex.readHeader(rq); err != nil {
		err = ex.cause(err)
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
	if len(rq.Body) <= maxInlineBody {
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

// readHeader reads responses until one matches this request. A server may send a duplicate
// response to an earlier request where the response to the next one is expected. The context
// bounds the wait for that.
func (ex *Exchange) readHeader(rq *Request) error {
	ex.cn.hr.Begin(ex.Hold)
	for range maxSkippedResponses + 1 {
		ex.cn.hr.Expect()
		rsp, err := http.ReadResponse(ex.cn.br, &http.Request{Method: rq.Method})
		ex.cn.hr.Parsed()
		if err != nil {
			return err
		}
		if err := httphead.Check(rsp); err != nil {
			return err
		}
		if rsp.StatusCode < http.StatusOK {
			continue
		}
		if ex.matches(rsp, rq) {
			ex.Response = rsp
			return ex.cn.nc.SetReadDeadline(time.Time{})
		}
		if unframed(rsp) {
			return ErrMismatchedResponse
		}
		if _, err := io.CopyN(io.Discard, rsp.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return ErrMismatchedResponse
		}
		if ex.cn.reused {
			continue
		}
		if err := ex.cn.nc.SetReadDeadline(time.Now().Add(skipTimeout)); err != nil {
			return err
		}
	}
	return ErrMismatchedResponse
}

// matches reports whether the response belongs to this request. Error responses may lack the
// identifier, but a late response to another request always has one. Requests without an
// identifier use connections on which no late response can occur.
func (ex *Exchange) matches(rsp *http.Response, rq *Request) bool {
	if rq.IDHeader == "" {
		return true
	}
	got := rsp.Header.Get(rq.IDHeader)
	if got == "" {
		return rsp.StatusCode >= http.StatusBadRequest
	}
	return got == rq.Header.Get(rq.IDHeader)
}

// Unframed reports whether the response has neither a length nor chunks, so that only the end of its
// connection ends it.
func (ex *Exchange) Unframed() bool { return unframed(ex.Response) }

func unframed(rsp *http.Response) bool {
	return rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0
}

// Read reads the response body.
func (ex *Exchange) Read(buf []byte) (int, error) {
	num, err := ex.Response.Body.Read(buf)
	if err == io.EOF {
		ex.complete = true
	}
	return num, ex.cause(err)
}

// Close returns the connection to the pool if the exchange is complete and no bytes are
// left on the connection. Otherwise it closes the connection.
func (ex *Exchange) Close() {
	if givenUp := ex.endHold(); !ex.stop() || givenUp {
		ex.cn.nc.Close()
		return
	}
	keep := time.Duration(0)
	select {
	case err := <-ex.written:
		if err == nil && ex.complete && ex.cn.br.Buffered() == 0 {
			keep = keepAliveTimeout(ex.Response)
		}
	default:
		// The endpoint responded before it had read the whole request body. It would
		// read the next request as part of that body.
	}
	ex.po.put(ex.cn, keep, ex.maxIdle)
}

func (ex *Exchange) abort() {
	ex.endHold()
	ex.stop()
	ex.cn.nc.Close()
}
