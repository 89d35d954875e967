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
)

// Paths of the calls between daemons.
const (
	PathView    = "/peer/view"
	PathConfig  = "/peer/config"
	PathDaemons = "/peer/daemons"
	// PathQuarantine is that of the requests that are quarantined.
	PathQuarantine = "/peer/quarantine"
	// PathBackpressure is that of what endpoints said of how much they take.
	PathBackpressure = "/peer/backpressure"
	// headerRevision carries the store's revision of a configuration.
	headerRevision = "Revision"
)

const (
	// callTimeout bounds a call to another daemon; one takes some 3 ms.
	callTimeout = 400 * time.Millisecond
	// maxCallAnswer bounds an answer: a configuration is at most about 1 MB.
	maxCallAnswer = 4 << 20
)

// Client calls other daemons.
type Client struct {
	// Port is that of all daemons' calls.
	Port   int
	client http.Client
}

// NewClient returns a client for daemons that listen on that port.
func NewClient(port int) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &Client{Port: port, client: http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

func (cl *Client) get(ctx context.Context, ip, path string) ([]byte, http.Header, error) {
	target := "http://" + net.JoinHostPort(ip, strconv.Itoa(cl.Port)) + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer call")
	}
	rsp, err := cl.client.Do(req)
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer call")
	}
	defer rsp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(rsp.Body, maxCallAnswer))
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer call")
	}
	if rsp.StatusCode != http.StatusOK {
		return nil, nil, eris.Errorf("peer call: status %d", rsp.StatusCode)
	}
	return raw, rsp.Header, nil
}

// View fetches a daemon's view.
func (cl *Client) View(ctx context.Context, ip string) (*catalog.View, error) {
	raw, _, err := cl.get(ctx, ip, PathView)
	if err != nil {
		return nil, err
	}
	vi := new(catalog.View)
	return vi, eris.Wrap(json.Unmarshal(raw, vi), "view")
}

// Config fetches the configuration that a daemon has in force, as the store
// holds it, and its revision.
func (cl *Client) Config(ctx context.Context, ip string) ([]byte, int64, error) {
	raw, header, err := cl.get(ctx, ip, PathConfig)
	if err != nil {
		return nil, 0, err
	}
	rev, err := strconv.ParseInt(header.Get(headerRevision), 10, 64)
	return raw, rev, eris.Wrap(err, "configuration")
}

// Daemons fetches the addresses of the daemons that another one knows.
func (cl *Client) Daemons(ctx context.Context, ip string) ([]string, error) {
	raw, _, err := cl.get(ctx, ip, PathDaemons)
	if err != nil {
		return nil, err
	}
	var ips []string
	return ips, eris.Wrap(json.Unmarshal(raw, &ips), "daemons")
}

// Quarantine fetches the requests that another daemon has quarantined.
func (cl *Client) Quarantine(ctx context.Context, ip string) ([]quarantine.Entry, error) {
	raw, _, err := cl.get(ctx, ip, PathQuarantine)
	if err != nil {
		return nil, err
	}
	var entries []quarantine.Entry
	return entries, eris.Wrap(json.Unmarshal(raw, &entries), "quarantine")
}

// Backpressure fetches what another daemon knows of what endpoints said.
func (cl *Client) Backpressure(ctx context.Context, ip string) ([]backpressure.Notice, error) {
	raw, _, err := cl.get(ctx, ip, PathBackpressure)
	if err != nil {
		return nil, err
	}
	var words []backpressure.Notice
	return words, eris.Wrap(json.Unmarshal(raw, &words), "backpressure")
}

// Server answers other daemons' calls.
type Server struct {
	View         func() *catalog.View
	Config       func() (raw []byte, revision int64)
	Daemons      func() []string
	Quarantine   func() []quarantine.Entry
	Backpressure func() []backpressure.Notice

	view, config packed
}

// Handler returns the calls' handler.
func (se *Server) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathView, se.sendView)
	mux.HandleFunc("GET "+PathConfig, se.sendConfig)
	mux.HandleFunc("GET "+PathDaemons, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, se.Daemons()) })
	mux.HandleFunc("GET "+PathQuarantine, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, se.Quarantine()) })
	mux.HandleFunc("GET "+PathBackpressure, func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, se.Backpressure()) })
	return mux
}

// sendJSON answers with a small value.
func sendJSON(w http.ResponseWriter, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // The other side sees that the answer is short.
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
	se.config.send(w, rev, func() ([]byte, error) { return raw, nil })
}

// packed keeps the last answer of a kind compressed. All daemons fetch the same
// one at about the same time, from a link that may be slow: a view of 300 VMs
// shrinks to a quarter.
type packed struct {
	mu  sync.Mutex
	of  any
	raw []byte
}

// send answers with what encode returns; of tells apart what is encoded.
func (pa *packed) send(w http.ResponseWriter, of any, encode func() ([]byte, error)) {
	raw, err := pa.pack(of, encode)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(raw) // The other side sees that the answer is short.
}

func (pa *packed) pack(of any, encode func() ([]byte, error)) ([]byte, error) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.raw != nil && pa.of == of {
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
	pa.of, pa.raw = of, buf.Bytes()
	return pa.raw, nil
}
