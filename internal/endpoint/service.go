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

// Call is one attempt at a plain service.
type Call struct {
	RequestID string
	Address   string
	Method    string
	// Path holds the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Once means that the call must not run twice.
	AtMostOnce bool
	Timeout    time.Duration
}

// Answer is a service's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

const maxAnswerBytes = 8 << 20

// Services calls plain services.
type ServiceClient struct {
	// Transport keeps connections for calls that may be repeated.
	Transport http.RoundTripper
	// OnceTransport never reuses a connection. net/http replays a request by
	// itself when a reused connection fails and the request has an
	// Idempotency-Key; on a fresh connection it never does.
	NoReuseTransport http.RoundTripper
}

// NewOnceTransport returns a transport for Services.OnceTransport.
func NewNoReuseTransport() *http.Transport {
	tr := NewTransport(0)
	tr.DisableKeepAlives = true
	return tr
}

// Do makes the call and reads the answer whole.
func (ss ServiceClient) Do(ctx context.Context, ca Call) (Response, error) {
	at := newAttempt(ctx, ca.Timeout)
	defer at.end()
	req, err := http.NewRequestWithContext(at.ctx, ca.Method, "http://"+ca.Address+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return Response{}, at.fail(verdict.CodeBadRequest, "the call could not be made", err)
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
		return Response{}, at.fail(verdict.CodeEndpointFailed, "the service did not answer", err)
	}
	defer rsp.Body.Close()
	return at.answer(rsp, ca)
}

func (at *attempt) answer(rsp *http.Response, ca Call) (Response, error) {
	if ve := refusal(rsp); ve != nil {
		return Response{}, ve
	}
	if got := rsp.Header.Get(HeaderRequestID); got != "" && got != ca.RequestID {
		return Response{}, &verdict.Error{Code: verdict.CodeForeignAnswer, Verdict: verdict.MayHaveRun,
			Message: "the service answered request " + strconv.Quote(got)}
	}
	// An answer that ends with its connection looks whole wherever it is cut.
	if rsp.ContentLength < 0 && !slices.Contains(rsp.TransferEncoding, "chunked") {
		return Response{}, at.fail(verdict.CodeBrokenAnswer, "the answer does not tell its length", nil)
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxAnswerBytes+1))
	if err != nil {
		return Response{}, at.fail(verdict.CodeBrokenAnswer, "the answer was cut off", err)
	}
	if len(body) > maxAnswerBytes {
		return Response{}, at.fail(verdict.CodeBrokenAnswer, "the answer is too large", nil)
	}
	return Response{Status: rsp.StatusCode, Header: rsp.Header, Body: body}, nil
}
