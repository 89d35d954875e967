// Package front serves callers: it finds a request's route, chooses where to
// send it, and passes the answer on whole or says truthfully what is known of
// it.
package front

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// defaultBody bounds a request's body where the operators set no limit.
	defaultBody = 4 << 20
	// bodyPatience bounds the reading of a body in parts of the route's timeout.
	bodyPatience = 2
)

// Server handles the callers' requests. Set the exported fields before use.
type Server struct {
	Clock  clock.Clock
	Log    *slog.Logger
	Config func() *catalog.Config
	// Stale tells whether the configuration is too old to accept keys by.
	Stale  func() bool
	Table  *dispatch.Table
	Plain  *dispatch.Plain
	Pool   *http1.Pool
	Budget *dispatch.Budget
	// Backpressure holds what endpoints say of how much they take.
	Backpressure *backpressure.Register
	// OnWrong is called when an endpoint says that it is not the one expected.
	OnMisrouted func()
	// OnLeaving is called when an endpoint has said in an answer that it stops soon.
	OnLeaving func(catalog.Instance)
	// Quarantine knows which requests end the servers that run them.
	Quarantine *quarantine.Ledger
	// OnBrokenOff is called when an endpoint closes the connection while it has a request.
	// What it returns is closed once it is known whether the endpoint has ended.
	OnDisconnect func(Disconnect) <-chan struct{}
	// OnAnswered is called when a request was answered whole under which endpoints have
	// ended.
	OnCompletion func(quarantine.Fingerprint)

	stopping atomic.Bool
	daemons  atomic.Int64
	working  atomic.Int64
	served   atomic.Int64
	waits    dispatch.WaitEstimator
	// firstAt is when the first request came without a configuration, in Unix nanoseconds.
	firstAt atomic.Int64
}

// Stop makes the server tell callers to close their connections.
func (sv *Server) SetStopping() { sv.stopping.Store(true) }

// SetDaemons tells how many daemons share the endpoints' connections.
func (sv *Server) SetDaemonCount(num int) { sv.daemons.Store(int64(num)) }

// Working returns the number of requests being handled.
func (sv *Server) InFlight() int64 { return sv.working.Load() }

// Served returns the number of requests so far.
func (sv *Server) Received() int64 { return sv.served.Load() }

// call is one request of a caller on its way.
type call struct {
	sv      *Server
	w       http.ResponseWriter
	req     *http.Request
	id      string
	route   *catalog.Route
	service string
	body    []byte
	// content tells the request apart from others, and not from its other attempts.
	content quarantine.Fingerprint
	// arrived is when the request was read; deadline is when the caller must
	// have an answer.
	arrived, deadline time.Time
	// waited is how long the caller had waited before, since its first attempt.
	waited    time.Duration
	workspace *catalog.Workspace
	keyed     bool
	// maxIdle bounds the idle connections kept to an endpoint of the service.
	maxIdle int
	// sends counts the endpoints that the request was sent to.
	sends int
	log   *slog.Logger
}

// ServeHTTP handles one request.
func (sv *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	sv.working.Add(1)
	defer sv.working.Add(-1)
	sv.served.Add(1)
	if sv.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	ca := &call{sv: sv, w: w, req: req, id: req.Header.Get(platform.HeaderRequestID), arrived: sv.Clock.Now()}
	ca.log = sv.Log.With("request", ca.id)
	if re := ca.admit(sv.awaitConfig(req.Context())); re != nil {
		ca.refuse(*re)
		return
	}
	sv.Budget.Earn(ca.service, ca.arrived)
	if left, held := ca.quarantined(); held {
		ca.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, again: left})
		return
	}
	if ca.route.Kind == catalog.Streaming {
		ca.stream()
		return
	}
	ca.plain()
}

// admit finds the route and the workspace and reads the body. It returns why
// the request can't be handled.
func (ca *call) admit(cfg *catalog.Config) *refusal {
	if cfg == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-configuration", again: againStarting}
	}
	if ca.sv.Stale() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "configuration-too-old", again: againStarting}
	}
	ca.route = cfg.Route(ca.req.Host, path(ca.req))
	if ca.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no-route"}
	}
	if re := ca.authorize(cfg); re != nil {
		return re
	}
	ca.service = pickService(ca.route, ca.id)
	ca.maxIdle = maxIdle(cfg.Services[ca.service].MaxConns, int(ca.sv.daemons.Load()))
	ca.deadline = ca.arrived.Add(ca.allowed())
	if patience, ok := ca.patience(); ok {
		ca.waited = ca.sv.waits.ElapsedWait(ca.route.Host+ca.route.Prefix, patience, ca.route.Timeout)
	}
	return ca.readBody(cfg)
}

// path is the path as the caller sent it.
func path(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		pa, _, _ := strings.Cut(req.RequestURI, "?")
		return pa
	}
	return req.URL.EscapedPath()
}

func (ca *call) authorize(cfg *catalog.Config) *refusal {
	ca.keyed = cfg.NeedsKeys()
	if !ca.keyed {
		return nil
	}
	key, _ := platform.Key(ca.req.Header)
	ca.workspace = cfg.Workspace(key)
	if ca.workspace == nil && !ca.route.Public {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
	}
	return nil
}

// allowed is how long the caller may be kept waiting: by the route, or by the
// caller's own deadline if that is shorter.
func (ca *call) allowed() time.Duration {
	limit := ca.route.Timeout
	if own, ok := ca.patience(); ok && (own < limit || limit <= 0) {
		return own
	}
	if limit <= 0 {
		return defaultTimeout
	}
	return limit
}

// patience is how long the caller says that it will wait.
func (ca *call) patience() (time.Duration, bool) {
	ms, err := strconv.ParseFloat(ca.req.Header.Get(platform.HeaderDeadline), 64)
	return time.Duration(ms * float64(time.Millisecond)), err == nil
}

// defaultTimeout holds where neither the route nor the caller sets a limit.
const defaultTimeout = 30 * time.Second

func (ca *call) readBody(cfg *catalog.Config) *refusal {
	limit := cfg.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if ca.req.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	rc := http.NewResponseController(ca.w)
	// A body that never arrives must not hold the connection for ever.
	_ = rc.SetReadDeadline(time.Now().Add(bodyPatience * ca.allowed()))
	body, err := io.ReadAll(http.MaxBytesReader(ca.w, ca.req.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body-not-read", cause: err}
	}
	ca.body = body
	ca.knowContent()
	return nil
}

// pickService chooses among a route's services by weight. The request's
// identifier decides, so that it is the same wherever the request is handled.
func pickService(ro *catalog.Route, id string) string {
	total := 0
	for _, be := range ro.Backends {
		total += be.Weight
	}
	if len(ro.Backends) == 1 || total <= 0 {
		return ro.Backends[0].Service
	}
	at := int(hash(id) % uint64(total))
	for _, be := range ro.Backends {
		if at < be.Weight {
			return be.Service
		}
		at -= be.Weight
	}
	return ro.Backends[0].Service
}

// left is the time until the caller must have an answer.
func (ca *call) left() time.Duration { return ca.deadline.Sub(ca.sv.Clock.Now()) }
