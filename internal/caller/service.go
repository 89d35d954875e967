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

const (
	defaultCallTimeout = 30 * time.Second
	// maxCalls bounds the attempts of one call.
	maxCalls = 3
	// shunTime is how long an address that failed is tried last.
	shunTime = 2 * time.Second
)

// service routes a call to a plain service.
func (se *Server) service(ctx context.Context, ex *exchange) error {
	en, ok := endpointOf(ex.view.Config, ex.req.URL.Path)
	if !ok {
		return &verdict.Error{Code: verdict.CodeNoRoute, Verdict: verdict.NotRun, Message: "no endpoint has this route"}
	}
	var on once
	if ex.req.Header.Get(hub.HeaderNotRepeatable) == "true" || notRepeatable(en, ex.req) {
		var outcome *claim.Outcome
		var err error
		on, outcome, err = se.acquire(ctx, ex)
		if err != nil {
			return err
		}
		if outcome != nil {
			writeRecorded(ex.w, outcome)
			return nil
		}
	}
	an, err := se.call(ctx, ex, en, on)
	if err != nil {
		se.settle(on, err, nil)
		return err
	}
	se.settle(on, nil, &claim.Outcome{Status: an.Status, ContentType: an.Header.Get("Content-Type"), Body: an.Body})
	writeAnswer(ex.w, an)
	return nil
}

func endpointOf(cfg *intent.Config, path string) (intent.Endpoint, bool) {
	for _, en := range cfg.Endpoints {
		if strings.HasPrefix(path, en.Route) {
			return en, true
		}
	}
	return intent.Endpoint{}, false
}

func notRepeatable(en intent.Endpoint, req *http.Request) bool {
	for _, rule := range en.NotRepeatable {
		method, path, _ := strings.Cut(rule, " ")
		if req.Method == method && strings.HasPrefix(req.URL.Path, path) {
			return true
		}
	}
	return false
}

// idempotent tells whether the method alone makes a call repeatable.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// call makes attempts until one succeeds or no further one is allowed.
func (se *Server) call(ctx context.Context, ex *exchange, en intent.Endpoint, on once) (endpoint.Response, error) {
	se.budget.Earn()
	timeout := time.Duration(en.Timeout)
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	var tried []string
	for {
		addr := se.picker.pick(en, tried, se.Clock.Now())
		if addr == "" {
			return endpoint.Response{}, &verdict.Error{Code: verdict.CodeNoGroup, Verdict: verdict.NotRun,
				RetryAfter: time.Second, Message: "no address of the endpoint is in use"}
		}
		tried = append(tried, addr)
		an, err := se.Services.Do(ctx, endpoint.Call{
			RequestID:  ex.id,
			Address:    addr,
			Method:     ex.req.Method,
			Path:       ex.req.URL.RequestURI(),
			Header:     forwarded(ex),
			Body:       ex.body,
			AtMostOnce: on.marked,
			Timeout:    timeout,
		})
		if err == nil {
			ex.record.attempt(Attempt{At: se.Clock.Now(), Target: addr, Reason: "answered"})
			return an, nil
		}
		ex.record.attempt(Attempt{At: se.Clock.Now(), Target: addr, Reason: err.Error()})
		se.picker.shun(addr, se.Clock.Now())
		again := on.mayRetry(err, idempotent(ex.req.Method)) && ctx.Err() == nil && len(tried) < maxCalls
		if !again || !se.budget.Spend() {
			return endpoint.Response{}, err
		}
	}
}

// hopHeaders belong to one connection and are not passed on, and neither is
// the workspace's secret key.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length"}

// headerWorkspace tells a service which workspace calls.
const headerWorkspace = "X-Workspace"

func forwarded(ex *exchange) http.Header {
	hdr := ex.req.Header.Clone()
	for _, name := range hopHeaders {
		hdr.Del(name)
	}
	hdr.Del("Authorization")
	hdr.Set(headerWorkspace, ex.workspace.Name)
	return hdr
}

func writeAnswer(w http.ResponseWriter, an endpoint.Response) {
	for name, values := range an.Header {
		if !slices.Contains(hopHeaders, name) && name != endpoint.HeaderRequestID {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(an.Status)
	// The caller may be gone; the outcome is recorded where it must be.
	_, _ = w.Write(an.Body)
}

func writeRecorded(w http.ResponseWriter, oc *claim.Outcome) {
	w.Header().Set(hub.HeaderRecorded, "true")
	if oc.ContentType != "" {
		w.Header().Set("Content-Type", oc.ContentType)
	}
	w.WriteHeader(oc.Status)
	_, _ = w.Write(oc.Body)
}

// addressPicker spreads calls over a service's addresses and tries those that
// failed lately last. The zero value is ready for use.
type addressPicker struct {
	mu      sync.Mutex
	shunned map[string]time.Time
}

// pick returns an address that is not leaving and was not tried, or "".
func (ap *addressPicker) pick(en intent.Endpoint, tried []string, now time.Time) string {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	last := ""
	for _, i := range rand.Perm(len(en.Addresses)) {
		addr := en.Addresses[i]
		if slices.Contains(en.Leaving, addr) || slices.Contains(tried, addr) {
			continue
		}
		if now.Sub(ap.shunned[addr]) >= shunTime {
			return addr
		}
		last = addr
	}
	return last
}

func (ap *addressPicker) shun(addr string, now time.Time) {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	if ap.shunned == nil {
		ap.shunned = make(map[string]time.Time)
	}
	ap.shunned[addr] = now
}
