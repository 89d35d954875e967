// Package hub is the client for callers. It gets the list of daemon addresses from the
// system, caches it for its stated lifetime, and switches to another address when one
// fails. It sends a failed request again only if the verdict allows a retry.
package hub

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/internal/tcp"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Headers that callers send and receive.
const (
	// HeaderTimeout bounds the whole request, as a duration such as "30s".
	HeaderTimeout = "Request-Timeout"
	// HeaderNotRepeatable is "true" on a request that must run at most once.
	HeaderNotRepeatable = "Not-Repeatable"
	// HeaderIdempotencyKey identifies a request that must run at most once across
	// retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority is the request's priority within its workspace, an integer.
	HeaderPriority = "Request-Priority"
	// HeaderRecorded is "true" on a response that was recorded when the request ran
	// earlier.
	HeaderRecorded = "Recorded-Answer"
	// HeaderRequestID identifies the request in logs and for Explain in package admin.
	HeaderRequestID = "X-Request-Id"
)

// Entries is the list of daemon addresses for callers, as IP:port.
type Entries struct {
	Addresses []string `json:"addresses"`
	// LifetimeMS is how long the list may be cached, in ms.
	LifetimeMS int64 `json:"lifetime-ms"`
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is an error in the form of the OpenAI API, with the verdict added.
type ErrorDetail struct {
	Code         verdict.Code    `json:"code"`
	Type         string          `json:"type"`
	Verdict      verdict.Verdict `json:"verdict"`
	Message      string          `json:"message"`
	RequestID    string          `json:"request-id"`
	RetryAfterMS int64           `json:"retry-after-ms,omitempty"`
}

// Call is one call to a plain service or to the system.
type Call struct {
	Method string
	Path   string
	Body   []byte
	// Key is the idempotency key of a request that must run at most once. A
	// request with a key may be sent again through any daemon.
	Key string
	// NotRepeatable marks a request that must run at most once although the operators
	// have not declared its path so.
	NotRepeatable bool
	// Header holds further headers.
	Header http.Header

	// repeatable marks calls that may be sent again even if they may have run.
	repeatable bool
}

// Answer is a complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Recorded reports that the request ran earlier and this is the recorded response.
	Recorded bool
}

// Client sends calls to the system's daemons. Set the exported fields before the first
// call. It is safe for concurrent use.
type Client struct {
	// Seeds are the addresses of daemons from which to get the first list of
	// addresses, as IP:port.
	Seeds []string
	// Key is the workspace's secret key.
	Key string
	// Attempts bounds how many times one call is sent; zero or less means 6.
	Attempts int
	// HTTP is the HTTP client; nil means one with a connection timeout of 1 s. With another one, an answer
	// without length or chunks may look complete after a reset while a long call is being written.
	HTTP *http.Client

	mu            sync.Mutex
	entries       []string
	entriesExpire time.Time
	// current modulo the length of entries is the index of the current address.
	current int
}

const (
	defaultAttempts  = 6
	entriesTimeout   = 2 * time.Second
	dialTimeout      = time.Second
	minRetryPause    = 100 * time.Millisecond
	maxRetryPause    = 5 * time.Second
	maxResponseBytes = 64 << 20
	// maxHeadBytes bounds the status line and fields of a response.
	maxHeadBytes = 64 << 10
)

var defaultHTTP = newHTTPClient((&net.Dialer{Timeout: dialTimeout}).DialContext)

// newHTTPClient returns a client that opens connections with dial.
func newHTTPClient(dial tcp.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		// net/http reads a response while it writes a long call.
		DialContext:         dial.DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

func (cl *Client) httpClient() *http.Client {
	if cl.HTTP != nil {
		return cl.HTTP
	}
	return defaultHTTP
}

// Do sends the call and returns the complete response of the endpoint, whatever its
// status. The error is a *verdict.Error.
func (cl *Client) Do(ctx context.Context, ca Call) (Answer, error) {
	var an Answer
	err := cl.retry(ctx, ca, func(rsp *http.Response) error {
		body, err := io.ReadAll(io.LimitReader(rsp.Body, maxResponseBytes+1))
		if err != nil {
			return brokenAnswer(err)
		}
		if len(body) > maxResponseBytes {
			return &verdict.Error{Code: verdict.CodeTooLarge, Verdict: verdict.Ran, Message: "the answer is larger than " + strconv.Itoa(maxResponseBytes) + " bytes"}
		}
		an = Answer{Status: rsp.StatusCode, Header: rsp.Header, Body: body, Recorded: rsp.Header.Get(HeaderRecorded) == "true"}
		return nil
	}, func() bool { return false })
	return an, err
}

// brokenAnswer returns the error for a response that is incomplete or malformed.
func brokenAnswer(err error) *verdict.Error {
	return &verdict.Error{Code: verdict.CodeBrokenAnswer, Verdict: verdict.MayHaveRun, Message: "the answer was cut off", Cause: err}
}

// retry sends the call until handle accepts a response. It returns the last error if
// the attempts are used up, if the verdict allows no retry, or if delivered reports that
// a part of a response has reached the caller.
func (cl *Client) retry(ctx context.Context, ca Call, handle func(*http.Response) error, delivered func() bool) error {
	attempts := cl.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	var err error
	for try := range attempts {
		if err = cl.sendOnce(ctx, ca, handle); err == nil {
			return nil
		}
		ve := verdict.As(err)
		if delivered() || !ca.mayRetry(ve) || try == attempts-1 || pause(ctx, ve.RetryAfter) != nil {
			return ve
		}
	}
	return err
}

// mayRetry reports whether the call may be sent again after ve. With a key, every
// daemon recognizes the repeated call, so it cannot run twice.
func (ca Call) mayRetry(ve *verdict.Error) bool {
	switch ve.Code {
	case verdict.CodeBadRequest, verdict.CodeUnauthorized, verdict.CodeNoRoute, verdict.CodeTooLarge, verdict.CodeKeyReused:
		return false
	case verdict.CodeDuplicate:
		// The first request may be in progress, and its outcome recorded later.
		return ve.Verdict == verdict.MayHaveRun
	}
	if ve.Verdict == verdict.NotRun {
		return true
	}
	return ca.repeatable || ca.Key != "" || ca.Method == http.MethodGet || ca.Method == http.MethodHead
}

// pause waits for the given time, within the bounds of minRetryPause and
// maxRetryPause, or until ctx ends.
func pause(ctx context.Context, wait time.Duration) error {
	wait = min(max(wait, minRetryPause), maxRetryPause)
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendOnce sends the call to the current address. It switches to the next address if
// that daemon fails or does not serve.
func (cl *Client) sendOnce(ctx context.Context, ca Call, handle func(*http.Response) error) error {
	addr, err := cl.address(ctx)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, ca.Method, "http://"+addr+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: "the call could not be made", Cause: err}
	}
	// Retries are decided here, by the verdict. Without GetBody, net/http does not
	// resend a request with a body by itself, which this client would not notice.
	req.GetBody = nil
	cl.setHeaders(req, ca)
	rsp, err := httphead.Do(cl.httpClient(), req)
	if err != nil {
		cl.markFailed(addr)
		return sendError(err)
	}
	defer rsp.Body.Close()
	if ve := daemonError(rsp); ve != nil {
		if ve.Code == verdict.CodeStopping || ve.Code == verdict.CodeNotReady {
			cl.markFailed(addr)
		}
		return ve
	}
	if err := handle(rsp); err != nil {
		cl.markFailed(addr)
		return err
	}
	return nil
}

// setHeaders sets the call's own headers and those that follow from its fields.
func (cl *Client) setHeaders(req *http.Request, ca Call) {
	for name, values := range ca.Header {
		req.Header[name] = values
	}
	if len(ca.Body) > 0 && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+cl.Key)
	if ca.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, ca.Key)
	}
	if ca.NotRepeatable {
		req.Header.Set(HeaderNotRepeatable, "true")
	}
}

// sendError returns the error for a request without a response. Its verdict is NotRun if
// the connection could not be established, and else MayHaveRun, because the request may
// have arrived.
func sendError(err error) *verdict.Error {
	ve := &verdict.Error{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun, Message: "the daemon did not answer", Cause: err}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		ve.Verdict = verdict.NotRun
	}
	return ve
}

// daemonError returns the error that the daemon itself sent, or nil if the response is
// an endpoint's.
func daemonError(rsp *http.Response) *verdict.Error {
	if rsp.Header.Get("X-Verdict") == "" {
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(rsp.Body, maxResponseBytes))
	var eb ErrorBody
	if err != nil || json.Unmarshal(raw, &eb) != nil {
		return brokenAnswer(err)
	}
	return &verdict.Error{Code: eb.Error.Code, Verdict: eb.Error.Verdict, Message: eb.Error.Message,
		RetryAfter: time.Duration(eb.Error.RetryAfterMS) * time.Millisecond}
}

// address returns the current address. It first fetches the list of addresses if there
// is none or it has expired.
func (cl *Client) address(ctx context.Context) (string, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.entries) == 0 || time.Now().After(cl.entriesExpire) {
		cl.refresh(ctx)
	}
	if len(cl.entries) == 0 {
		return "", &verdict.Error{Code: verdict.CodeNotReady, Verdict: verdict.NotRun, Message: "no daemon answered", RetryAfter: time.Second}
	}
	return cl.entries[cl.current%len(cl.entries)], nil
}

// markFailed switches to the next address if addr is the current one.
func (cl *Client) markFailed(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.entries) > 0 && cl.entries[cl.current%len(cl.entries)] == addr {
		cl.current++
	}
}

// refresh fetches the list of addresses from the known addresses and then the seeds, up
// to the first that answers. If none answers, the old list stays. Callers hold mu.
func (cl *Client) refresh(ctx context.Context) {
	for _, addr := range append(append([]string(nil), cl.entries...), cl.Seeds...) {
		en, err := cl.fetchEntries(ctx, addr)
		if err != nil || len(en.Addresses) == 0 {
			continue
		}
		cl.entries = en.Addresses
		cl.entriesExpire = time.Now().Add(time.Duration(en.LifetimeMS) * time.Millisecond)
		return
	}
}

// fetchEntries gets the list of addresses from the daemon at addr.
func (cl *Client) fetchEntries(ctx context.Context, addr string) (Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var en Entries
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries", nil)
	if err != nil {
		return en, eris.Wrap(err, "entries")
	}
	rsp, err := httphead.Do(cl.httpClient(), req)
	if err != nil {
		return en, eris.Wrap(err, "entries")
	}
	defer rsp.Body.Close()
	return en, eris.Wrap(json.NewDecoder(io.LimitReader(rsp.Body, maxResponseBytes)).Decode(&en), "entries")
}
