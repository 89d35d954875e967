package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/httphead"
)

// Paths of the HTTP calls between daemons.
const (
	PathView    = "/peer/view"
	PathConfig  = "/peer/config"
	PathDaemons = "/peer/daemons"
	// PathQuarantine returns the quarantined requests.
	PathQuarantine = "/peer/quarantine"
	// PathTrial asks the steward whether a request with quarantined parts may be sent.
	PathTrial = "/peer/quarantine/trial"
	// PathBackpressure returns the notices of endpoints about how much load they
	// accept.
	PathBackpressure = "/peer/backpressure"
	// headerRevision is the header with the store's revision of a configuration.
	headerRevision = "Revision"
)

const (
	// callTimeout bounds a call to another daemon, which usually takes about 3 ms.
	callTimeout = 400 * time.Millisecond
	// maxResponseBytes bounds a response body. The largest one, a configuration, has at
	// most about 1 MB.
	maxResponseBytes = 4 << 20
)

// Client makes HTTP calls to other daemons.
type Client struct {
	// Port is the TCP port for calls, the same on all daemons.
	Port   int
	client http.Client
}

// NewClient returns a client for daemons that listen on port.
func NewClient(port int) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &Client{Port: port, client: http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: http1.MaxHeadBytes}}}
}

// get returns the body and the headers of a 200 response, and an error for any other
// status.
func (cl *Client) get(ctx context.Context, ip, path string) ([]byte, http.Header, error) {
	return cl.do(ctx, http.MethodGet, ip, path, nil)
}

// do makes a call like get with a method and a body.
func (cl *Client) do(ctx context.Context, method, ip, path string, body []byte) ([]byte, http.Header, error) {
	target := "http://" + net.JoinHostPort(ip, strconv.Itoa(cl.Port)) + path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer call")
	}
	rsp, err := httphead.Do(&cl.client, req)
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer call")
	}
	defer rsp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(rsp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer call")
	}
	if rsp.StatusCode != http.StatusOK {
		return nil, nil, eris.Errorf("peer call: got status %d, want 200", rsp.StatusCode)
	}
	return raw, rsp.Header, nil
}

// View fetches the view of the daemon at ip.
func (cl *Client) View(ctx context.Context, ip string) (*catalog.View, error) {
	raw, _, err := cl.get(ctx, ip, PathView)
	if err != nil {
		return nil, err
	}
	vi := new(catalog.View)
	if err := json.Unmarshal(raw, vi); err != nil {
		return nil, eris.Wrap(err, "decode peer view")
	}
	if err := vi.Check(); err != nil {
		return nil, err
	}
	return vi, nil
}

// Config fetches the configuration in force on the daemon at ip, in its stored
// encoding, and its revision in the store.
func (cl *Client) Config(ctx context.Context, ip string) ([]byte, int64, error) {
	raw, header, err := cl.get(ctx, ip, PathConfig)
	if err != nil {
		return nil, 0, err
	}
	rev, err := strconv.ParseInt(header.Get(headerRevision), 10, 64)
	return raw, rev, eris.Wrap(err, "peer configuration: invalid revision header")
}

// Daemons fetches the IP addresses of the daemons known to the daemon at ip.
func (cl *Client) Daemons(ctx context.Context, ip string) ([]string, error) {
	raw, _, err := cl.get(ctx, ip, PathDaemons)
	if err != nil {
		return nil, err
	}
	var ips []string
	if err := json.Unmarshal(raw, &ips); err != nil {
		return nil, eris.Wrap(err, "decode peer daemons")
	}
	if len(ips) > maxDaemons {
		return nil, eris.Errorf("peer daemons: %d addresses, must be at most %d", len(ips), maxDaemons)
	}
	return ips, nil
}

// Quarantine fetches the quarantined requests of the daemon at ip.
func (cl *Client) Quarantine(ctx context.Context, ip string) ([]quarantine.Entry, error) {
	raw, _, err := cl.get(ctx, ip, PathQuarantine)
	if err != nil {
		return nil, err
	}
	var entries []quarantine.Entry
	return entries, eris.Wrap(json.Unmarshal(raw, &entries), "decode peer quarantine")
}

// maxTrialBytes bounds the identification of a request: its content and at most 16 parts, 35 bytes each.
const maxTrialBytes = 4 << 10

// ClaimTrial asks the steward at ip whether a request with quarantined parts may be sent.
func (cl *Client) ClaimTrial(ctx context.Context, ip string, rq quarantine.Request) (granted bool, err error) {
	body, err := json.Marshal(rq)
	if err != nil {
		return false, eris.Wrap(err, "encode trial")
	}
	raw, _, err := cl.do(ctx, http.MethodPost, ip, PathTrial, body)
	if err != nil {
		return false, err
	}
	return granted, eris.Wrap(json.Unmarshal(raw, &granted), "decode trial")
}

// Backpressure fetches the backpressure notices that the daemon at ip holds.
func (cl *Client) Backpressure(ctx context.Context, ip string) ([]backpressure.Notice, error) {
	raw, _, err := cl.get(ctx, ip, PathBackpressure)
	if err != nil {
		return nil, err
	}
	var notices []backpressure.Notice
	return notices, eris.Wrap(json.Unmarshal(raw, &notices), "decode peer backpressure")
}

// Server handles the HTTP calls of other daemons. Its functions provide the data; set
// all of them before use.
type Server struct {
	View       func() *catalog.View
	Config     func() (raw []byte, revision int64)
	Daemons    func() []string
	Quarantine func() []quarantine.Entry
	// ClaimTrial grants a trial if this daemon is the steward.
	ClaimTrial   func(quarantine.Request) bool
	Backpressure func() []backpressure.Notice

	view, config cachedResponse
}

// Handler returns the HTTP handler for all calls.
func (se *Server) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathView, se.sendView)
	mux.HandleFunc("GET "+PathConfig, se.sendConfig)
	mux.HandleFunc("GET "+PathDaemons, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, se.Daemons()) })
	mux.HandleFunc("GET "+PathQuarantine, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, se.Quarantine()) })
	mux.HandleFunc("POST "+PathTrial, se.claimTrial)
	mux.HandleFunc("GET "+PathBackpressure, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, se.Backpressure()) })
	return mux
}

func (se *Server) claimTrial(w http.ResponseWriter, req *http.Request) {
	var rq quarantine.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxTrialBytes)).Decode(&rq); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sendJSON(w, se.ClaimTrial(rq))
}

// sendJSON writes a small value as JSON, uncompressed.
func sendJSON(w http.ResponseWriter, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // The client detects a truncated response.
}

func (se *Server) sendView(w http.ResponseWriter, _ *http.Request) {
	vi := se.View()
	se.view.send(w, vi, func() ([]byte, error) { return json.Marshal(vi) })
}

func (se *Server) sendConfig(w http.ResponseWriter, _ *http.Request) {
	raw, rev := se.Config()
	if rev == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerRevision, strconv.FormatInt(rev, 10))
	// A restored store may have given the same revision to two configurations.
	se.config.send(w, &raw[0], func() ([]byte, error) { return raw, nil })
}

// cachedResponse holds the last response of one kind, compressed. All daemons fetch
// the same one at about the same time, possibly over a slow link; a view of 300 VMs
// shrinks to a quarter.
type cachedResponse struct {
	mu  sync.Mutex
	key any
	raw []byte
}

// send writes the compressed result of encode. It calls encode only if key, which
// identifies the content, differs from that of the cached response.
func (pa *cachedResponse) send(w http.ResponseWriter, key any, encode func() ([]byte, error)) {
	raw, err := pa.compress(key, encode)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(raw) // The client detects a truncated response.
}

// compress returns the compressed response for key, from the cache if it is there.
func (pa *cachedResponse) compress(key any, encode func() ([]byte, error)) ([]byte, error) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.raw != nil && pa.key == key {
		return pa.raw, nil
	}
	raw, err := encode()
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	zw, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := zw.Write(raw); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	pa.key, pa.raw = key, buf.Bytes()
	return pa.raw, nil
}
