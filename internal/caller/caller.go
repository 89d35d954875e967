// Package caller implements the HTTP API for callers: OpenAI-compatible
// completions, calls to plain services by route, and the list of daemon
// addresses. Every refusal and failure carries a verdict that states whether
// the request may have run.
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/duration"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/core/retry"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/internal/inbound"
	"corianderhub.dev/corianderhub/internal/platform/claims"
	"corianderhub.dev/corianderhub/internal/stop"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Limits of a caller's request. A caller may set its own timeout, up to
// maxTimeout.
const (
	maxBodyBytes   = 8 << 20
	bodyTimeout    = time.Minute
	defaultTimeout = 5 * time.Minute
	maxTimeout     = time.Hour
	// maxStartWait bounds the wait in the admission queue if the caller's own
	// timeout is not shorter.
	maxStartWait = 30 * time.Second
)

// Control gives request handlers access to the daemon's control state.
type Control interface {
	// View returns the current view. Callers must not modify it.
	View() *control.View
	// Post queues an event for the control state. It blocks only while the
	// event queue is full, and never for a control.ResponseStarted, which is
	// then dropped.
	Post(ev control.Event)
}

// Server handles the requests of callers. Set the exported fields before
// calling Handler.
type Server struct {
	Control  Control
	Clock    clock.Clock
	Log      *slog.Logger
	Pools    *Pools
	Engines  endpoint.EngineClient
	Services endpoint.ServiceClient
	Claims   *claims.Registry
	Journal  *Journal
	// DataCenter is the name of the data centre that this daemon runs in.
	DataCenter string
	// StallTimeout is the time without a response or a chunk of it after which
	// another attempt is started beside a silent one.
	StallTimeout time.Duration
	// EntriesLifetime is how long callers may cache a response of /v1/entries.
	EntriesLifetime time.Duration
	// Quarantine records the completions and messages that engines have crashed on.
	Quarantine *quarantine.Ledger
	// OnCrash and OnCompletion are called with what this daemon has recorded, to tell the others.
	OnCrash      func(quarantine.Crash)
	OnCompletion func(quarantine.Completion)
	// ClaimProbe reports whether a quarantined request may be sent, as a probe or as a trial.
	ClaimProbe func(context.Context, quarantine.Request) bool

	budget   *retry.Budget
	picker   addressPicker
	inFlight inFlight
	stop     stop.Requests
	// durations are those of the requests of each endpoint and model.
	durations duration.Longest
}

// Handler returns the HTTP handler for callers.
func (se *Server) Handler() http.Handler {
	se.budget = retry.NewBudget()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", se.entries)
	mux.HandleFunc("GET /v1/models", se.authorized(se.models))
	mux.HandleFunc("POST /v1/chat/completions", se.authorized(se.complete))
	mux.HandleFunc("POST /v1/completions", se.authorized(se.complete))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", se.readyz)
	mux.HandleFunc("/", se.authorized(se.serveCall))
	return mux
}

// Drain refuses new requests and waits for the ones in flight. It returns the
// error of ctx if that ends first.
func (se *Server) Drain(ctx context.Context) error { return se.inFlight.drain(ctx) }

// InFlight returns the number of requests in flight.
func (se *Server) InFlight() int { return se.inFlight.num() }

// exchange is one request of a caller and the state of its response.
type exchange struct {
	id        string
	workspace intent.Workspace
	view      *control.View
	w         http.ResponseWriter
	req       *http.Request
	body      []byte
	priority  int
	deadline  time.Time
	// complete is when the body was read.
	complete time.Time
	// name is the endpoint's or model's, longest how long its requests take if no duration is known.
	name    string
	longest time.Duration
	// stop ends the request when the daemon stops.
	stop   stop.Request
	record *Record
	// headerWritten is true once the header of a streamed response has been
	// written.
	headerWritten bool
}

type exchangeHandler func(ctx context.Context, ex *exchange) error

// authorized wraps next: it finds the caller's workspace by its key, reads the
// body, sets the deadline, and reports the error that next returns.
func (se *Server) authorized(next exchangeHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		ex := &exchange{id: uuid.NewString(), view: se.Control.View(), w: w, req: req}
		if se.stop.Stopping() {
			w.Header().Set("Connection", "close")
		}
		if !se.inFlight.begin() {
			se.refuseNew(ex)
			return
		}
		defer se.inFlight.end()
		w.Header().Set(endpoint.HeaderRequestID, ex.id)
		ex.record = se.Journal.newRecord(ex.id, req.URL.Path, se.Clock.Now())
		ctx, cancel, err := se.prepare(ex)
		if err == nil {
			err = next(ctx, ex)
			se.recordDuration(ctx, ex, err)
			err = se.endedByStop(ctx, ex, err)
			cancel()
		}
		se.recordOutcome(ex, err)
		if ex.headerWritten && err != nil {
			// The status and a part of the body have been sent. Aborting the
			// connection is the only way left to signal that the response is
			// incomplete.
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, ex.id, verdict.As(err))
		}
	}
}

func (se *Server) recordOutcome(ex *exchange, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(verdict.As(err).Code)
	}
	metrics.GetOrCreateCounter(`corianderhub_requests_total{workspace="` + ex.workspace.Name + `",outcome="` + outcome + `"}`).Inc()
	ex.record.finish(outcome, err)
}

// prepare authenticates the caller and reads the headers and the body of the
// request into ex. The returned context ends at the deadline of the request.
func (se *Server) prepare(ex *exchange) (context.Context, context.CancelFunc, error) {
	if !ex.view.Ready && !ex.view.Leaving {
		return nil, nil, &verdict.Error{Code: verdict.CodeNotReady, Verdict: verdict.NotRun, RetryAfter: time.Second,
			Message: "this daemon does not know the configuration yet"}
	}
	wo, ok := workspaceOf(ex.view.Config, ex.req)
	if !ok {
		return nil, nil, &verdict.Error{Code: verdict.CodeUnauthorized, Verdict: verdict.NotRun, Message: "unknown workspace key"}
	}
	ex.workspace = wo
	ex.record.setWorkspace(wo.Name)
	timeout, err := timeoutOf(ex.req)
	if err != nil {
		return nil, nil, err
	}
	ex.deadline = se.Clock.Now().Add(timeout)
	ex.priority, _ = strconv.Atoi(ex.req.Header.Get(hub.HeaderPriority))
	if ex.body, err = readBody(ex.w, ex.req); err != nil {
		return nil, nil, err
	}
	ex.complete = se.Clock.Now()
	timed, cancel := context.WithTimeout(ex.req.Context(), timeout)
	ctx := se.stop.Begin(timed, &ex.stop, ex.complete)
	return ctx, func() {
		se.stop.End(&ex.stop)
		cancel()
	}, nil
}

// readBody reads the whole body within bodyTimeout. The deadline applies to the
// body only: the ReadTimeout of http.Server would also end long streams.
func readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, tooLarge(err)
	}
	hold := inbound.HoldOf(req.Context())
	body, complete, err := inbound.ReadBody(hold, http.MaxBytesReader(w, req.Body, maxBodyBytes), req.ContentLength)
	if !complete {
		return nil, givenUp(hold)
	}
	if err != nil {
		return nil, tooLarge(err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, tooLarge(err)
	}
	return body, nil
}

func tooLarge(cause error) error {
	return &verdict.Error{Code: verdict.CodeTooLarge, Verdict: verdict.NotRun, Cause: cause,
		Message: "the body could not be read; at most " + strconv.Itoa(maxBodyBytes) + " bytes are taken"}
}

// givenUp returns the error of a request that was given up before it was complete.
func givenUp(hold *inbound.Hold) *verdict.Error {
	if _, stopping := hold.GivenUp(); stopping {
		return errStopping()
	}
	return &verdict.Error{Code: verdict.CodeOverloaded, Verdict: verdict.NotRun, RetryAfter: time.Second,
		Message: "the requests of all callers use too much memory"}
}

// RefuseOverloaded answers a request whose header there is no memory for.
func (se *Server) RefuseOverloaded(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Connection", "close")
	writeError(w, uuid.NewString(), givenUp(inbound.HoldOf(req.Context())))
}

func workspaceOf(cfg *intent.Config, req *http.Request) (intent.Workspace, bool) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return intent.Workspace{}, false
	}
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	for _, wo := range cfg.Workspaces {
		if strings.EqualFold(wo.KeySHA256, digest) {
			return wo, true
		}
	}
	return intent.Workspace{}, false
}

func timeoutOf(req *http.Request) (time.Duration, error) {
	text := req.Header.Get(hub.HeaderTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, badRequest(hub.HeaderTimeout + " must be a duration up to " + maxTimeout.String())
	}
	return timeout, nil
}

func badRequest(message string) error {
	return &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: message}
}

func errorBody(id string, ve *verdict.Error) hub.ErrorBody {
	return hub.ErrorBody{Error: hub.ErrorDetail{Code: ve.Code, Type: "corianderhub", Verdict: ve.Verdict, Message: ve.Message,
		RequestID: id, RetryAfterMS: ve.RetryAfter.Milliseconds()}}
}

func writeError(w http.ResponseWriter, id string, ve *verdict.Error) {
	if ve.RetryAfter > 0 {
		sec := (ve.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(sec)))
	}
	w.Header().Set(endpoint.HeaderVerdict, string(ve.Verdict))
	writeJSON(w, ve.Status(), errorBody(id, ve))
}

func writeJSON(w http.ResponseWriter, status int, val any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	var buf bytes.Buffer
	_ = json.NewEncoder(&buf).Encode(val)
	writeBody(w, buf.Bytes())
}

// entries responds with the serving daemons, those of this data centre first. A
// leaving daemon is not listed, but keeps serving for the lifetime of the
// responses that listed it.
func (se *Server) entries(w http.ResponseWriter, _ *http.Request) {
	vi := se.Control.View()
	an := hub.Entries{Addresses: []string{}, LifetimeMS: se.EntriesLifetime.Milliseconds()}
	var remote []string
	for _, dm := range vi.Daemons {
		switch {
		case dm.State != gossip.Serving:
		case dm.DataCenter == se.DataCenter:
			an.Addresses = append(an.Addresses, dm.Caller)
		default:
			remote = append(remote, dm.Caller)
		}
	}
	an.Addresses = append(an.Addresses, remote...)
	writeJSON(w, http.StatusOK, an)
}

func (se *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if vi := se.Control.View(); !vi.Ready {
		http.Error(w, "not ready\n", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (se *Server) models(_ context.Context, ex *exchange) error {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	for _, mo := range ex.view.Config.Models {
		models = append(models, model{ID: mo.Name, Object: "model"})
		for _, ad := range mo.Adapters {
			models = append(models, model{ID: mo.Name + ":" + ad, Object: "model"})
		}
	}
	writeJSON(ex.w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", models})
	return nil
}
