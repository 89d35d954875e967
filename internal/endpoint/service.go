package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Call is one attempt to call a plain service.
type Call struct {
	RequestID string
	Address   string
	Method    string
	// Path is the path including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Once forbids that the call runs twice. It is sent on a new connection.
	Once    bool
	Timeout time.Duration
}

// Answer is the complete response of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

const maxResponseBytes = 8 << 20

// Services calls plain services.
type Services struct {
	// Transport reuses connections. It is used for calls that may be retried.
	Transport http.RoundTripper
	// OnceTransport never reuses a connection. net/http retries a request by itself when a
	// reused connection fails and the request has an Idempotency-Key, but never on a new
	// connection.
	OnceTransport http.RoundTripper
}

// NewOnceTransport returns a transport for Services.OnceTransport.
func NewOnceTransport() *http.Transport {
	tr := NewTransport(0)
	tr.DisableKeepAlives = true
	return tr
}

// Do makes the call and reads the complete response.
func (ss Services) Do(ctx context.Context, ca Call) (Answer, error) {
	at := newAttempt(ctx, ca.Timeout)
	defer at.end()
	req, err := http.NewRequestWithContext(at.ctx, ca.Method, "http://"+ca.Address+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return Answer{}, at.newError(verdict.CodeBadRequest, "the call could not be made", err)
	}
	if ca.Header != nil {
		req.Header = ca.Header.Clone()
	}
	req.Header.Set(HeaderRequestID, ca.RequestID)
	transport := ss.Transport
	if ca.Once {
		transport = ss.OnceTransport
		req.GetBody = nil
	}
	rsp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{}, at.newError(verdict.CodeEndpointFailed, "the service did not answer", err)
	}
	defer rsp.Body.Close()
	return at.readResponse(rsp, ca)
}

func (at *attempt) readResponse(rsp *http.Response, ca Call) (Answer, error) {
	if ve := refusalError(rsp); ve != nil {
		return Answer{}, ve
	}
	if got := rsp.Header.Get(HeaderRequestID); got != "" && got != ca.RequestID {
		return Answer{}, &verdict.Error{Code: verdict.CodeForeignAnswer, Verdict: verdict.MayHaveRun,
			Message: "the service answered request " + strconv.Quote(got)}
	}
	// A body that is delimited by the end of the connection cannot be told from a truncated one.
	if rsp.ContentLength < 0 && !slices.Contains(rsp.TransferEncoding, "chunked") {
		return Answer{}, at.newError(verdict.CodeBrokenAnswer, "the answer does not tell its length", nil)
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxResponseBytes+1))
	if err != nil {
		return Answer{}, at.newError(verdict.CodeBrokenAnswer, "the answer was cut off", err)
	}
	if len(body) > maxResponseBytes {
		return Answer{}, at.newError(verdict.CodeBrokenAnswer, "the answer is too large", nil)
	}
	return Answer{Status: rsp.StatusCode, Header: rsp.Header, Body: body}, nil
}
