package mesh

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Paths of the calls between daemons.
const (
	PathView    = "/peer/view"
	PathConfig  = "/peer/config"
	PathDaemons = "/peer/daemons"
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
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
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

// Server answers other daemons' calls.
type Server struct {
	View    func() *catalog.View
	Config  func() (raw []byte, revision int64)
	Daemons func() []string
}

// Handler returns the calls' handler.
func (se *Server) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathView, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, se.View()) })
	mux.HandleFunc("GET "+PathDaemons, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, se.Daemons()) })
	mux.HandleFunc("GET "+PathConfig, func(w http.ResponseWriter, _ *http.Request) {
		raw, rev := se.Config()
		if rev == 0 {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(headerRevision, strconv.FormatInt(rev, 10))
		_, _ = w.Write(raw) // The other side sees that the answer is short.
	})
	return mux
}

func writeJSON(w http.ResponseWriter, val any) {
	raw, err := json.Marshal(val)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // The other side sees that the answer is short.
}
