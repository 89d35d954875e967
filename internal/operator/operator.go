package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"corianderhub.dev/corianderhub/internal/caller"
	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/chain"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/intent"
	"corianderhub.dev/corianderhub/internal/platform/chainstore"
	"corianderhub.dev/corianderhub/pkg/admin"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

const (
	// maxRequestBytes leaves room for the JSON encoding of a file of
	// chain.MaxEntryBytes.
	maxRequestBytes = 2 * chain.MaxEntryBytes
	applyTimeout    = 20 * time.Second
	pruneTimeout    = time.Minute
)

// State gives the administration API access to the daemon's state.
type State interface {
	caller.Control
	// Domains returns the known assignments of VMs to groups, by domain.
	Domains() []fleet.Domain
	// Revisions requests the configuration revision of every known daemon and
	// returns them by name. Daemons that do not respond are missing.
	Revisions(ctx context.Context) map[string]uint64
	// Drain starts the graceful stop of the daemon.
	Drain()
}

// Server implements the administration API. Set the fields before calling
// Handler.
type Server struct {
	State State
	Chain chainstore.Store
	Clock clock.Clock
	Log   *slog.Logger
	// Journal holds the records for the explain API.
	Journal *caller.Journal
	// Quarantine lists and releases what engines have crashed on.
	Quarantine Quarantine
	// TokenSHA256 is the SHA-256 digest of the operators' token in hex.
	TokenSHA256 string
}

// Handler returns the HTTP handler for operators. Every request needs the
// operators' token.
func (se *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/check", se.check)
	mux.HandleFunc("POST /admin/plan", se.plan)
	mux.HandleFunc("POST /admin/apply", se.apply)
	mux.HandleFunc("GET /admin/status", se.status)
	mux.HandleFunc("GET /admin/explain/{id}", se.explain)
	mux.HandleFunc("POST /admin/drain", se.drain)
	mux.HandleFunc("GET /admin/quarantine", se.listQuarantine)
	mux.HandleFunc("POST /admin/quarantine/release", se.releaseQuarantine)
	return se.authorized(mux)
}

func (se *Server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		token := strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		digest := hex.EncodeToString(sum[:])
		if subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(se.TokenSHA256))) != 1 {
			writeRefusal(w, &verdict.Error{Code: verdict.CodeUnauthorized, Verdict: verdict.NotRun, Message: "unknown operator token"}, nil)
			return
		}
		next.ServeHTTP(w, req)
	})
}

func writeRefusal(w http.ResponseWriter, ve *verdict.Error, problems []admin.Problem) {
	writeJSON(w, ve.Status(), admin.Refusal{Code: ve.Code, Verdict: ve.Verdict, Message: ve.Message, Problems: problems})
}

func errInvalidFile() *verdict.Error {
	return &verdict.Error{Code: verdict.CodeInvalid, Verdict: verdict.NotRun, Message: "the file was refused as a whole"}
}

func writeJSON(w http.ResponseWriter, status int, val any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the operator has disconnected; there is no one to
	// report it to.
	_ = json.NewEncoder(w).Encode(val)
}

// readDeclaration decodes the request and checks its file against the daemon's
// configuration. If that fails, it writes the refusal and returns false.
func (se *Server) readDeclaration(w http.ResponseWriter, req *http.Request) (admin.Apply, *Declaration, bool) {
	var ar admin.Apply
	err := json.NewDecoder(io.LimitReader(req.Body, maxRequestBytes)).Decode(&ar)
	if err != nil {
		writeRefusal(w, &verdict.Error{Code: verdict.CodeBadRequest, Verdict: verdict.NotRun, Message: err.Error()}, nil)
		return ar, nil, false
	}
	de, problems := Check(ar.File, ar.Text, se.State.View().Config)
	if len(problems) > 0 {
		writeRefusal(w, errInvalidFile(), problems)
		return ar, nil, false
	}
	return ar, de, true
}

func (se *Server) check(w http.ResponseWriter, req *http.Request) {
	if _, _, ok := se.readDeclaration(w, req); ok {
		writeJSON(w, http.StatusOK, admin.Applied{Revision: se.State.View().Config.Revision})
	}
}

func (se *Server) plan(w http.ResponseWriter, req *http.Request) {
	_, de, ok := se.readDeclaration(w, req)
	if !ok {
		return
	}
	cfg := se.State.View().Config
	writeJSON(w, http.StatusOK, admin.Applied{Revision: cfg.Revision, Changes: diffs(cfg.Plan(de.Change))})
}

func (se *Server) apply(w http.ResponseWriter, req *http.Request) {
	ar, de, ok := se.readDeclaration(w, req)
	if !ok {
		return
	}
	if ar.Operation == "" {
		ar.Operation = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(req.Context(), applyTimeout)
	defer cancel()
	cfg := se.State.View().Config
	applied, err := se.Chain.Apply(ctx, cfg, chainstore.ApplyRequest{Change: de.Change, Operation: ar.Operation, Operator: ar.Operator, Base: ar.Base})
	var fe *chainstore.InvalidConfigError
	if errors.As(err, &fe) {
		problems := de.ProblemsOf(fe.Problems)
		writeRefusal(w, errInvalidFile(), problems)
		return
	}
	if err != nil {
		ve := verdict.As(err)
		ve.Message += " (operation " + ar.Operation + ")"
		writeRefusal(w, ve, nil)
		return
	}
	se.Log.Info("Operator: configuration change accepted.", "revision", applied.Revision, "operation", ar.Operation, "operator", ar.Operator)
	se.State.Post(control.ConfigArrived{Known: true, Snapshot: applied.Update.Snapshot, Entries: applied.Update.Entries})
	if applied.Snapshotted {
		go se.prune(applied.Update.Head)
	}
	writeJSON(w, http.StatusOK, admin.Applied{Revision: applied.Revision, Operation: ar.Operation, Changes: diffs(cfg.Plan(de.Change))})
}

// prune removes the configuration entries that no daemon needs any longer.
// Entries that it fails to remove are tried again after the next snapshot.
func (se *Server) prune(hd chain.Head) {
	ctx, cancel := context.WithTimeout(context.Background(), pruneTimeout)
	defer cancel()
	num, err := se.Chain.Prune(ctx, hd)
	if err != nil {
		se.Log.Warn("Operator: not all old configuration entries were pruned.", "pruned", num, "error", err)
	}
}

func diffs(plan []intent.Diff) []admin.Diff {
	out := []admin.Diff{}
	for _, di := range plan {
		out = append(out, admin.Diff(di))
	}
	return out
}

func (se *Server) status(w http.ResponseWriter, req *http.Request) {
	vi := se.State.View()
	st := admin.Status{Revision: vi.Config.Revision, Ready: vi.Ready, Steward: vi.Steward.Steward, Epoch: vi.Steward.Epoch,
		Groups: se.groups(vi)}
	revisions := se.State.Revisions(req.Context())
	for _, dm := range vi.Daemons {
		st.Daemons = append(st.Daemons, admin.Daemon{Name: dm.Name, DataCenter: dm.DataCenter, Caller: dm.Caller,
			State: string(dm.State), Revision: revisions[dm.Name]})
	}
	writeJSON(w, http.StatusOK, st)
}

func (se *Server) groups(vi *control.View) []admin.Group {
	groups := []admin.Group{}
	now := se.Clock.Now()
	for _, dom := range se.State.Domains() {
		for _, gr := range dom.Groups {
			ta, ok := vi.Find(gr.ID)
			out := admin.Group{ID: gr.ID, Spec: gr.Spec, Domain: dom.Name, Model: gr.Model, Version: gr.Version,
				Draining: !gr.DrainingSince.IsZero(), Serving: ok && ta.Permit.Valid(now)}
			for _, me := range gr.Members {
				out.VMs = append(out.VMs, me.VM)
			}
			groups = append(groups, out)
		}
	}
	return groups
}

func (se *Server) explain(w http.ResponseWriter, req *http.Request) {
	data, ok := se.Journal.Find(req.PathValue("id"))
	if !ok {
		writeRefusal(w, &verdict.Error{Code: verdict.CodeNoRoute, Verdict: verdict.NotRun, Message: "this daemon does not remember the request"}, nil)
		return
	}
	writeJSON(w, http.StatusOK, data)
}

func (se *Server) drain(w http.ResponseWriter, _ *http.Request) {
	se.State.Drain()
	writeJSON(w, http.StatusOK, struct {
		State gossip.State `json:"state"`
	}{gossip.Leaving})
}
