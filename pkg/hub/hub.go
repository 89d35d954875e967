// Package hub is the callers' client. It asks the system which addresses to
// use, keeps the answer for as long as it says, and moves on to another
// address when one fails, but only where the verdict allows a retry.
package hub

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Headers that callers send and receive.
const (
	// HeaderTimeout bounds the whole request, as a duration such as "30s".
	HeaderTimeout = "Request-Timeout"
	// HeaderNotRepeatable is "true" on a request that must run at most once.
	HeaderNotRepeatable = "Not-Repeatable"
	// HeaderIdempotencyKey identifies such a request across retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority orders requests of one workspace: an integer.
	HeaderPriority = "Request-Priority"
	// HeaderRecorded is set on an answer that was recorded earlier.
	HeaderRecorded = "Recorded-Answer"
	// HeaderRequestID names the request in logs and for explain.
	HeaderRequestID = "X-Request-Id"
)

// Entries tells callers which addresses to use.
type Entries struct {
	Addresses []string `json:"addresses"`
	// LifetimeMS is how long the answer may be kept.
	LifetimeMS int64 `json:"lifetime-ms"`
}

// ErrorBody is the JSON form of a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail follows the OpenAI form and adds the verdict.
type ErrorDetail struct {
	Code         verdict.Code    `json:"code"`
	Type         string          `json:"type"`
	Verdict      verdict.Verdict `json:"verdict"`
	Message      string          `json:"message"`
	RequestID    string          `json:"request-id"`
	RetryAfterMS int64           `json:"retry-after-ms,omitempty"`
}

// Call is one request.
type Call struct {
	Method string
	Path   string
	Body   []byte
	// Key is the idempotency key of a request that must run at most once. A
	// request with a key may be sent again through any daemon.
	Key string
	// NotRepeatable marks the request where the operators have not.
	NotRepeatable bool
	// Header holds further headers.
	Header http.Header

	// repeatable marks calls that are safe to send again.
	repeatable bool
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Recorded means that the request ran earlier and this is its outcome.
	Recorded bool
}

// Client calls the system. Set the exported fields before the first call. It
// is safe for use by several goroutines.
type Client struct {
	// Seeds are addresses to ask first, as IP:port.
	Seeds []string
	// Key is the workspace's secret key.
	Key string
	// Attempts bounds how often one call is sent; defaultAttempts when zero.
	Attempts int
	// HTTP is the client used; one with a connection timeout when nil.
	HTTP *http.Client

	mu      sync.Mutex
	entries []string
	until   time.Time
	next    int
}

const (
	defaultAttempts = 6
	entriesTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	retryPause      = 100 * time.Millisecond
	maxPause        = 5 * time.Second
	maxAnswerBytes  = 64 << 20
)

var defaultHTTP = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	MaxIdleConnsPerHost: 16,
	IdleConnTimeout:     time.Minute,
}}

func (cl *Client) http() *http.Client {
	if cl.HTTP != nil {
		return cl.HTTP
	}
	return defaultHTTP
}

// Do sends the call and returns the whole answer, whatever its status. Its
// error is a *verdict.Error.
func (cl *Client) Do(ctx context.Context, ca Call) (Answer, error) {
	var an Answer
	err := cl.retry(ctx, ca, func(rsp *http.Response) error {
		body, err := io.ReadAll(io.LimitReader(rsp.Body, maxAnswerBytes))
		if err != nil {
			return broken(err)
		}
		an = Answer{Status: rsp.StatusCode, Header: rsp.Header, Body: body, Recorded: rsp.Header.Get(HeaderRecorded) == "true"}
		return nil
	}, func() bool { return false })
	return an, err
}

func broken(err error) *verdict.Error {
	return &verdict.Error{Code: verdict.CodeBrokenAnswer, Verdict: verdict.MayHaveRun, Message: "the answer was cut off", Cause: err}
}

// retry sends the call until take accepts an answer, final says that nothing
// more may be taken, or no retry is allowed.
func (cl *Client) retry(ctx context.Context, ca Call, take func(*http.Response) error, final func() bool) error {
	attempts := cl.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	var err error
	for try := range attempts {
		if err = cl.once(ctx, ca, take); err == nil {
			return nil
		}
		ve := verdict.As(err)
		if final() || !ca.mayRetry(ve) || try == attempts-1 || pause(ctx, ve.RetryAfter) != nil {
			return ve
		}
	}
	return err
}

// mayRetry tells whether the call may be sent again after ve. With a key any
// daemon recognises the call, so that sending it again cannot run it twice.
func (ca Call) mayRetry(ve *verdict.Error) bool {
	switch ve.Code {
	case verdict.CodeBadRequest, verdict.CodeUnauthorized, verdict.CodeNoRoute, verdict.CodeTooLarge, verdict.CodeKeyReused:
		return false
	case verdict.CodeDuplicate:
		// The outcome may be recorded yet.
		return ve.Verdict == verdict.MayHaveRun
	}
	if ve.Verdict == verdict.NotRun {
		return true
	}
	return ca.repeatable || ca.Key != "" || ca.Method == http.MethodGet || ca.Method == http.MethodHead
}

func pause(ctx context.Context, wait time.Duration) error {
	wait = min(max(wait, retryPause), maxPause)
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (cl *Client) once(ctx context.Context, ca Call, take func(*http.Response) error) error {
	addr, err := cl.address(ctx)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, ca.Method, "http://"+addr+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: "the call could not be made", Cause: err}
	}
	// Whether to send again is decided here and not by net/http, which would
	// do it unseen.
	req.GetBody = nil
	cl.headers(req, ca)
	rsp, err := cl.http().Do(req)
	if err != nil {
		cl.failed(addr)
		return sendError(err)
	}
	defer rsp.Body.Close()
	if ve := refusal(rsp); ve != nil {
		if ve.Code == verdict.CodeStopping || ve.Code == verdict.CodeNotReady {
			cl.failed(addr)
		}
		return ve
	}
	if err := take(rsp); err != nil {
		cl.failed(addr)
		return err
	}
	return nil
}

func (cl *Client) headers(req *http.Request, ca Call) {
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

// sendError tells a connection that was never made from a request that may
// have arrived.
func sendError(err error) *verdict.Error {
	ve := &verdict.Error{Code: verdict.CodeEndpointFailed, Verdict: verdict.MayHaveRun, Message: "the daemon did not answer", Cause: err}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		ve.Verdict = verdict.NotRun
	}
	return ve
}

// refusal returns the daemon's own error, or nil for an answer of an endpoint.
func refusal(rsp *http.Response) *verdict.Error {
	if rsp.Header.Get("X-Verdict") == "" {
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(rsp.Body, maxAnswerBytes))
	var eb ErrorBody
	if err != nil || json.Unmarshal(raw, &eb) != nil {
		return broken(err)
	}
	return &verdict.Error{Code: eb.Error.Code, Verdict: eb.Error.Verdict, Message: eb.Error.Message,
		RetryAfter: time.Duration(eb.Error.RetryAfterMS) * time.Millisecond}
}

// address returns the address to use next.
func (cl *Client) address(ctx context.Context) (string, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.entries) == 0 || time.Now().After(cl.until) {
		cl.refresh(ctx)
	}
	if len(cl.entries) == 0 {
		return "", &verdict.Error{Code: verdict.CodeNotReady, Verdict: verdict.NotRun, Message: "no daemon answered", RetryAfter: time.Second}
	}
	return cl.entries[cl.next%len(cl.entries)], nil
}

// failed moves on from an address that failed.
func (cl *Client) failed(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.entries) > 0 && cl.entries[cl.next%len(cl.entries)] == addr {
		cl.next++
	}
}

// refresh asks known addresses and seeds for the entries. If none answers the
// old ones stay. Callers hold mu.
func (cl *Client) refresh(ctx context.Context) {
	for _, addr := range append(append([]string(nil), cl.entries...), cl.Seeds...) {
		en, err := cl.ask(ctx, addr)
		if err != nil || len(en.Addresses) == 0 {
			continue
		}
		cl.entries = en.Addresses
		cl.until = time.Now().Add(time.Duration(en.LifetimeMS) * time.Millisecond)
		return
	}
}

func (cl *Client) ask(ctx context.Context, addr string) (Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var en Entries
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries", nil)
	if err != nil {
		return en, eris.Wrap(err, "entries")
	}
	rsp, err := cl.http().Do(req)
	if err != nil {
		return en, eris.Wrap(err, "entries")
	}
	defer rsp.Body.Close()
	return en, eris.Wrap(json.NewDecoder(io.LimitReader(rsp.Body, maxAnswerBytes)).Decode(&en), "entries")
}
