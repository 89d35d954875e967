package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// failureBackoff is how long an address is tried only after all others once a
// call to it has failed.
const failureBackoff = 2 * time.Second

// serveCall routes a call to a plain service.
func (se *Server) serveCall(ctx context.Context, ex *exchange) error {
	en, ok := endpointOf(ex.view.Config, ex.req.URL.Path)
	if !ok {
		return &verdict.Error{Code: verdict.CodeNoRoute, Verdict: verdict.NotRun, Message: "no endpoint has this route"}
	}
	if err := se.limitTo(ex, "endpoint "+en.Name, callTimeout(en)); err != nil {
		return err
	}
	var on atMostOnce
	if ex.req.Header.Get(hub.HeaderNotRepeatable) == "true" || notRepeatable(en, ex.req) {
		var outcome *claim.Outcome
		var err error
		on, outcome, err = se.acquireClaim(ctx, ex)
		if err != nil {
			return err
		}
		if outcome != nil {
			writeRecordedOutcome(ex.w, outcome)
			return nil
		}
	}
	an, err := se.call(ctx, ex, en, on)
	if err != nil {
		se.settleClaim(on, err, nil)
		return err
	}
	se.settleClaim(on, nil, &claim.Outcome{Status: an.Status, ContentType: an.Header.Get("Content-Type"), Body: an.Body})
	writeResponse(ex.w, an)
	return nil
}

// endpointOf returns the endpoint whose route is a prefix of the path. Routes
// do not overlap.
func endpointOf(cfg *intent.Config, path string) (intent.Endpoint, bool) {
	for _, en := range cfg.Endpoints {
		if strings.HasPrefix(path, en.Route) {
			return en, true
		}
	}
	return intent.Endpoint{}, false
}

// notRepeatable reports whether a rule "METHOD /path" of the endpoint matches
// the request.
func notRepeatable(en intent.Endpoint, req *http.Request) bool {
	for _, rule := range en.NotRepeatable {
		method, path, _ := strings.Cut(rule, " ")
		if req.Method == method && strings.HasPrefix(req.URL.Path, path) {
			return true
		}
	}
	return false
}

// idempotent reports whether the HTTP method makes a call repeatable.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// hopHeaders are the headers that apply to one connection and are not
// forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length"}

// headerWorkspace gives a service the name of the calling workspace.
const headerWorkspace = "X-Workspace"

// forwardedHeader returns the request header for the service. The workspace's
// secret key is removed.
func forwardedHeader(ex *exchange) http.Header {
	hdr := ex.req.Header.Clone()
	for _, name := range hopHeaders {
		hdr.Del(name)
	}
	hdr.Del("Authorization")
	hdr.Set(headerWorkspace, ex.workspace.Name)
	return hdr
}

func writeResponse(w http.ResponseWriter, an endpoint.Response) {
	for name, values := range an.Header {
		if !slices.Contains(hopHeaders, name) && name != endpoint.HeaderRequestID {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(an.Status)
	// The outcome has already been recorded if required.
	writeBody(w, an.Body)
}

func writeRecordedOutcome(w http.ResponseWriter, oc *claim.Outcome) {
	w.Header().Set(hub.HeaderRecorded, "true")
	if oc.ContentType != "" {
		w.Header().Set("Content-Type", oc.ContentType)
	}
	w.WriteHeader(oc.Status)
	writeBody(w, oc.Body)
}

// addressPicker distributes calls over the addresses of a service. Addresses
// that failed within failureBackoff are used only if there is no other. The
// zero value is ready for use.
type addressPicker struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
}

// pick returns a random address that is neither leaving nor in tried, or "".
func (ap *addressPicker) pick(en intent.Endpoint, tried []string, now time.Time) string {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	fallback := ""
	for _, i := range rand.Perm(len(en.Addresses)) {
		addr := en.Addresses[i]
		if slices.Contains(en.Leaving, addr) || slices.Contains(tried, addr) {
			continue
		}
		if now.Sub(ap.failedAt[addr]) >= failureBackoff {
			return addr
		}
		fallback = addr
	}
	return fallback
}

func (ap *addressPicker) markFailed(addr string, now time.Time) {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	if ap.failedAt == nil {
		ap.failedAt = make(map[string]time.Time)
	}
	ap.failedAt[addr] = now
}
