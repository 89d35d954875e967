// Package front handles the requests of callers. It finds the route of a request, chooses an
// endpoint or a group, and forwards the complete response. When it can't, it sends an error
// that states whether the request may have run.
package front

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/duration"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/inbound"
	"corianderhub.dev/corianderhub/internal/stop"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeoutFactor sets the timeout for reading a request body, as a multiple of the
	// request's timeout.
	bodyTimeoutFactor = 2
	// retryAfterMemory is the retry delay of a request that there was no memory for: by then most of
	// the requests that held it have ended.
	retryAfterMemory = time.Second
)

// Server handles the callers' requests. Set the exported fields before use.
type Server struct {
	Clock clock.Clock
	Log   *slog.Logger
	// Config returns the current configuration, or nil if there is none yet.
	Config func() *catalog.Config
	// Stale reports whether the configuration is too old to check keys against.
	Stale func() bool
	Table *dispatch.Table
	Plain *dispatch.PlainTable
	Pool  *http1.Pool
	// Budget bounds the retries for each service.
	Budget *dispatch.Budget
	// Backpressure holds the rate limits, back-off times and announced shutdowns of endpoints.
	Backpressure *backpressure.Tracker
	// OnMisrouted is called when an endpoint refuses a request that was meant for another one.
	OnMisrouted func()
	// OnLeaving is called when an endpoint has announced its shutdown in a response.
	OnLeaving func(catalog.Instance)
	// Quarantine records the requests and parts of prompts that server processes have crashed on.
	Quarantine *quarantine.Ledger
	// OnDisconnect is called when an endpoint closes the connection while it has a request.
	// The returned channel, of capacity 1, receives whether the endpoint has crashed.
	OnDisconnect func(Disconnect) <-chan bool
	// OnCompletion is called with a request, or a part of prompts, that endpoints have crashed on,
	// when a request with it was completed. took is the time since the request was sent to the
	// endpoint.
	OnCompletion func(subject quarantine.Fingerprint, took time.Duration)
	// MayProbe reports whether this daemon may send a request with a quarantined part when a probe
	// is due. Only one daemon may at a time.
	MayProbe func() bool
	// ClaimTrial reports whether a request with quarantined parts may be sent, because its result tells
	// them from others that were at the same crashes. It asks the steward, which grants one such
	// request at a time.
	ClaimTrial func(context.Context, quarantine.Request) bool

	stop stopState
	// durations are those of the requests of each route.
	durations duration.Longest
	daemons   atomic.Int64
	inFlight  atomic.Int64
	received  atomic.Int64
	waits     dispatch.WaitEstimator
	// invalidLoads holds the endpoints whose invalid load was logged.
	invalidLoads loggedOnce
	refusals     refusalCounts
	// invalidRank is set once an invalid priority of a workspace was logged.
	invalidRank atomic.Bool
	// firstUnconfigured is when the first request arrived without a configuration, in Unix
	// nanoseconds.
	firstUnconfigured atomic.Int64
}

// SetDaemonCount sets the number of daemons that share the endpoints' connection limits.
func (sv *Server) SetDaemonCount(num int) { sv.daemons.Store(int64(num)) }

// InFlight returns the number of requests in flight.
func (sv *Server) InFlight() int64 { return sv.inFlight.Load() }

// Received returns the number of requests received since the start, including those in flight.
func (sv *Server) Received() int64 { return sv.received.Load() }

// call is one request of a caller.
type call struct {
	sv      *Server
	w       http.ResponseWriter
	req     *http.Request
	id      string
	route   *catalog.Route
	service string
	body    []byte
	// hold counts the memory of the request's body and of its response.
	hold *inbound.Hold
	// identity identifies the request by its content and the parts of its prompt. It is the same
	// for all attempts of a caller.
	identity quarantine.Request
	// probe is set if the request is sent although a part of its prompt is quarantined.
	probe bool
	// arrived is when the request was received; deadline is when the caller must have a
	// response.
	arrived, deadline time.Time
	// complete is when the body was read.
	complete time.Time
	// stop ends the request when the server stops.
	stop *stop.Request
	// waited is how long the caller had already waited since its first attempt.
	waited    time.Duration
	workspace *catalog.Workspace
	needsKey  bool
	// maxIdle bounds the idle connections to an endpoint of the service.
	maxIdle int
	// sends counts the endpoints that the request was sent to.
	sends int
	log   *slog.Logger
}

// ServeHTTP handles one request.
func (sv *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	sv.received.Add(1)
	ca := sv.newCall(w, req)
	if sv.stop.closed.Load() {
		ca.refuse(stopRefusal(nil))
		return
	}
	if re := ca.admit(sv.awaitConfig(req.Context())); re != nil {
		ca.refuse(*re)
		return
	}
	if !ca.canEnd(0) {
		ca.refuse(stopRefusal(nil))
		return
	}
	sv.Budget.Earn(ca.service, ca.arrived)
	if left, quarantined := ca.quarantined(); quarantined {
		ca.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: left})
		return
	}
	if ca.route.Kind == catalog.Streaming {
		ca.stream()
		return
	}
	ca.plain()
}

func (sv *Server) newCall(w http.ResponseWriter, req *http.Request) *call {
	ca := &call{sv: sv, w: w, req: req, id: req.Header.Get(platform.HeaderRequestID), arrived: sv.Clock.Now(), stop: &stop.Request{}}
	ca.log = sv.Log.With("request", ca.id)
	ca.hold = inbound.HoldOf(req.Context())
	return ca
}

// RefuseOverloaded answers a request whose header there is no memory for.
func (sv *Server) RefuseOverloaded(w http.ResponseWriter, req *http.Request) {
	ca := sv.newCall(w, req)
	ca.w.Header().Set("Connection", "close")
	ca.refuse(ca.givenUp())
}

// givenUp returns the refusal of a request that was given up before it was complete.
func (ca *call) givenUp() refusal {
	re := refusal{status: http.StatusServiceUnavailable, reason: "memory-full", retryAfter: retryAfterMemory}
	if _, stopping := ca.hold.GivenUp(); stopping {
		re.reason = reasonStopping
	}
	return re
}

// admit finds the route and the workspace and reads the body. It returns a refusal if the
// request can't be handled, and nil otherwise.
func (ca *call) admit(cfg *catalog.Config) *refusal {
	if cfg == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: retryAfterStarting}
	}
	if ca.sv.Stale() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "configuration-too-old", retryAfter: retryAfterStarting}
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
	ca.deadline = ca.arrived.Add(ca.timeout())
	if timeout, ok := ca.callerTimeout(); ok {
		ca.waited = ca.sv.waits.ElapsedWait(ca.route.Host+ca.route.Prefix, timeout, ca.route.Timeout)
	}
	return ca.readBody(cfg)
}

// path returns the escaped path as sent by the caller.
func path(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		pa, _, _ := strings.Cut(req.RequestURI, "?")
		return pa
	}
	return req.URL.EscapedPath()
}

func (ca *call) authorize(cfg *catalog.Config) *refusal {
	ca.needsKey = cfg.NeedsKeys()
	if !ca.needsKey {
		return nil
	}
	key, _ := platform.APIKey(ca.req.Header)
	ca.workspace = cfg.Workspace(key)
	if ca.workspace == nil && !ca.route.Public {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
	}
	return nil
}

// timeout returns the longest time until the response: the route's timeout, or the caller's own
// if that is shorter.
func (ca *call) timeout() time.Duration {
	limit := ca.route.Timeout
	if own, ok := ca.callerTimeout(); ok && (own < limit || limit <= 0) {
		return own
	}
	if limit <= 0 {
		return defaultTimeout
	}
	return limit
}

// callerTimeout returns how long the caller says it will wait, and false if it doesn't say.
func (ca *call) callerTimeout() (time.Duration, bool) {
	ms, err := strconv.ParseFloat(ca.req.Header.Get(platform.HeaderDeadline), 64)
	if err != nil || math.IsNaN(ms) {
		return 0, false
	}
	// The conversion of a number out of range depends on the processor.
	ms = min(max(0, ms), float64(maxCallerTimeout.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond)), true
}

// maxCallerTimeout bounds the timeout that a caller sets.
const maxCallerTimeout = 24 * time.Hour

// defaultTimeout applies if neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

func (ca *call) readBody(cfg *catalog.Config) *refusal {
	limit := cfg.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if ca.req.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	rc := http.NewResponseController(ca.w)
	if ca.req.Body != nil && ca.req.Body != http.NoBody {
		// The deadline keeps a body that never arrives from blocking the connection forever. Without a
		// body http.Server reads ahead, and takes a deadline that is met for a caller that has left.
		_ = rc.SetReadDeadline(time.Now().Add(bodyTimeoutFactor * ca.timeout()))
	}
	body, complete, err := inbound.ReadBody(ca.hold, http.MaxBytesReader(ca.w, ca.req.Body, limit), ca.req.ContentLength)
	if complete && err == nil {
		// Otherwise the deadline stays: before it sends a response, net/http reads what is left of
		// a short body, and would wait for it without end.
		_ = rc.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case !complete:
		re := ca.givenUp()
		return &re
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body-not-read", cause: err}
	}
	ca.body, ca.complete = body, ca.sv.Clock.Now()
	ca.identify()
	return nil
}

// pickService chooses one of a route's services by weight. The choice depends only on the
// request ID, so every daemon makes the same one.
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

// remaining returns the time until the caller must have a response.
func (ca *call) remaining() time.Duration {
	return ca.sv.stop.AnswerBy(ca.deadline).Sub(ca.sv.Clock.Now())
}
