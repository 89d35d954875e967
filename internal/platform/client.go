package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

// DefaultTimeout bounds one call that does not wait.
const DefaultTimeout = 2 * time.Second

const maxAnswerBytes = 64 << 20

// Client speaks HTTP to the platform. It implements Store and VMList. Set
// the fields before the first call.
type Client struct {
	// Address is host:port of the platform's API.
	Address string
	// Timeout bounds one call; DefaultTimeout when zero.
	Timeout time.Duration
	// Transport is http.DefaultTransport when nil.
	Transport http.RoundTripper
}

var (
	_ Store  = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

type call struct {
	method, path string
	query        url.Values
	body         []byte
	kind         string
	wait         time.Duration
}

// do returns the answer, or ErrUnavailable when the call certainly had no
// effect, or ErrUnknown when a write may have taken effect.
func (cl *Client) do(ctx context.Context, ca call) (int, []byte, http.Header, error) {
	metrics.GetOrCreateCounter(`corianderhub_platform_calls_total{kind="` + ca.kind + `"}`).Inc()
	timeout := cl.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+ca.wait)
	defer cancel()
	u := url.URL{Scheme: "http", Host: cl.Address, Path: ca.path, RawQuery: ca.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, ca.method, u.String(), bytes.NewReader(ca.body))
	if err != nil {
		return 0, nil, nil, eris.Wrap(err, "platform request")
	}
	// No GetBody: the transport must not replay a write by itself, since the
	// caller settles a lost answer by reading.
	req.GetBody = nil
	rsp, err := (&http.Client{Transport: cl.Transport}).Do(req)
	if err != nil {
		metrics.GetOrCreateCounter(`corianderhub_platform_failures_total{kind="` + ca.kind + `"}`).Inc()
		return 0, nil, nil, eris.Wrap(failure(err), err.Error())
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, nil, eris.Wrap(ErrUnknown, err.Error())
	}
	if rsp.StatusCode >= http.StatusInternalServerError {
		metrics.GetOrCreateCounter(`corianderhub_platform_failures_total{kind="` + ca.kind + `"}`).Inc()
		return 0, nil, nil, eris.Wrapf(serverFailure(rsp.StatusCode), "status %d", rsp.StatusCode)
	}
	return rsp.StatusCode, body, rsp.Header, nil
}

// failure tells a call that never left from one that may have arrived.
func failure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}

// serverFailure trusts only a 503 to mean that nothing happened: any other
// server error may come from something between us and the service after the
// write took effect.
func serverFailure(status int) error {
	if status == http.StatusServiceUnavailable {
		return ErrUnavailable
	}
	return ErrUnknown
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	status, body, hdr, err := cl.do(ctx, call{method: http.MethodGet, path: "/kv/" + key, kind: "get"})
	if err != nil {
		return Entry{}, err
	}
	if status == http.StatusNotFound {
		return Entry{Key: key}, nil
	}
	rev, err := strconv.ParseUint(hdr.Get("Revision"), 10, 64)
	if err != nil {
		return Entry{}, eris.Wrap(err, "platform get "+key)
	}
	return Entry{Key: key, Value: body, Revision: rev}, nil
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	_, body, _, err := cl.do(ctx, call{method: http.MethodGet, path: "/list", kind: "list", query: url.Values{"prefix": {prefix}}})
	if err != nil {
		return nil, err
	}
	var entries []Entry
	return entries, eris.Wrap(json.Unmarshal(body, &entries), "platform list "+prefix)
}

// Put implements Store.
func (cl *Client) Put(ctx context.Context, key string, value []byte, ifRev uint64, lease string) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Errorf("platform put %s: %d bytes are over the limit of %d", key, len(value), MaxValueBytes)
	}
	query := url.Values{"if-revision": {strconv.FormatUint(ifRev, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	status, _, hdr, err := cl.do(ctx, call{method: http.MethodPut, path: "/kv/" + key, kind: "put", query: query, body: value})
	if err != nil {
		return 0, err
	}
	if status == http.StatusConflict {
		return 0, ErrConflict
	}
	rev, err := strconv.ParseUint(hdr.Get("Revision"), 10, 64)
	return rev, eris.Wrap(err, "platform put "+key)
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, ifRev uint64) error {
	query := url.Values{"if-revision": {strconv.FormatUint(ifRev, 10)}}
	status, _, _, err := cl.do(ctx, call{method: http.MethodDelete, path: "/kv/" + key, kind: "delete", query: query})
	if err == nil && status == http.StatusConflict {
		return ErrConflict
	}
	return err
}

// Watch implements Store.
func (cl *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	_, body, _, err := cl.do(ctx, call{method: http.MethodGet, path: "/watch", kind: "watch", query: query, wait: wait})
	if err != nil {
		return Changes{}, err
	}
	var chs Changes
	return chs, eris.Wrap(json.Unmarshal(body, &chs), "platform watch "+prefix)
}

// Grant implements Store.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	_, body, _, err := cl.do(ctx, call{method: http.MethodPost, path: "/leases", kind: "lease", query: url.Values{"ttl": {ttl.String()}}})
	return string(body), err
}

// Renew implements Store.
func (cl *Client) Renew(ctx context.Context, lease string) error {
	status, _, _, err := cl.do(ctx, call{method: http.MethodPut, path: "/leases/" + lease, kind: "lease"})
	if err == nil && status == http.StatusNotFound {
		return ErrConflict
	}
	return err
}

// Revoke implements Store.
func (cl *Client) Revoke(ctx context.Context, lease string) error {
	_, _, _, err := cl.do(ctx, call{method: http.MethodDelete, path: "/leases/" + lease, kind: "lease"})
	return err
}

// VMs implements VMList.
func (cl *Client) VMs(ctx context.Context, dataCenter string) ([]VM, error) {
	_, body, _, err := cl.do(ctx, call{method: http.MethodGet, path: "/vms", kind: "vms", query: url.Values{"data-center": {dataCenter}}})
	if err != nil {
		return nil, err
	}
	var vms []VM
	return vms, eris.Wrap(json.Unmarshal(body, &vms), "platform vms")
}
