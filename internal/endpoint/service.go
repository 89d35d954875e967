package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"corianderhub.dev/corianderhub/internal/http1"
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
	// AtMostOnce means that the call must not run twice. It is sent on a new connection.
	AtMostOnce bool
}

// Response is the complete response of a service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

const maxResponseBytes = 8 << 20

// ServiceClient calls plain services.
type ServiceClient struct {
	// Transport reuses connections. It is used for calls that may be retried.
	Transport http.RoundTripper
	// NoReuseTransport never reuses a connection. net/http retries a request by itself when a
	// reused connection fails and the request has an Idempotency-Key, but never on a new
	// connection.
	NoReuseTransport http.RoundTripper
}

// NewNoReuseTransport returns a transport for ServiceClient.NoReuseTransport.
func NewNoReuseTransport() *http.Transport {
	tr := NewTransport(0)
	tr.DisableKeepAlives = true
	return tr
}

// Do makes the call and reads the complete response. Only ctx limits its duration.
func (ss ServiceClient) Do(ctx context.Context, ca Call) (Response, error) {
	at := newAttempt(ctx)
	defer at.cancel()
	req, err := http.NewRequestWithContext(at.ctx, ca.Method, "http://"+ca.Address+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return Response{}, at.newError(verdict.CodeBadRequest, "the call could not be made", err)
	}
	if ca.Header != nil {
		req.Header = ca.Header.Clone()
	}
	req.Header.Set(HeaderRequestID, ca.RequestID)
	transport := ss.Transport
	if ca.AtMostOnce {
		transport = ss.NoReuseTransport
		req.GetBody = nil
	}
	rsp, err := transport.RoundTrip(req)
	if err != nil {
		return Response{}, at.newError(verdict.CodeEndpointFailed, "the service did not answer", err)
	}
	defer rsp.Body.Close()
	return at.readResponse(rsp, ca)
}

func (at *attempt) readResponse(rsp *http.Response, ca Call) (Response, error) {
	if err := checkHead(rsp); err != nil {
		return Response{}, err
	}
	if ve := refusalError(rsp); ve != nil {
		return Response{}, ve
	}
	if got := rsp.Header.Get(HeaderRequestID); got != "" && got != ca.RequestID {
		return Response{}, &verdict.Error{Code: verdict.CodeForeignAnswer, Verdict: verdict.MayHaveRun,
			Message: "the service answered request " + strconv.Quote(http1.Excerpt(got))}
	}
	// If a body ends with the connection, a truncated one cannot be detected.
	if rsp.ContentLength < 0 && !slices.Contains(rsp.TransferEncoding, "chunked") {
		return Response{}, at.newError(verdict.CodeBrokenAnswer, "the answer does not tell its length", nil)
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, at.newError(verdict.CodeBrokenAnswer, "the answer was cut off", err)
	}
	if len(body) > maxResponseBytes {
		return Response{}, at.newError(verdict.CodeBrokenAnswer, "the answer is too large", nil)
	}
	return Response{Status: rsp.StatusCode, Header: rsp.Header, Body: body}, nil
}
