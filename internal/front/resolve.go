package front

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"corianderhub.dev/corianderhub/platform"
)

// Directory tells callers which addresses to use.
type Directory struct {
	Log *slog.Logger
	// Addresses returns the daemons that take requests, for a caller in that
	// data centre.
	Addresses func(dataCenter string) []string
	// TTLSeconds is how long callers may keep an answer.
	TTLSeconds float64
}

// ServeHTTP answers a caller that asks where to connect.
func (di *Directory) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != platform.PathResolve {
		http.NotFound(w, req)
		return
	}
	_, dataCenter := platform.ResolveQuery(req)
	body, err := json.Marshal(platform.ResolveResponse{Addresses: di.Addresses(dataCenter), TTLSeconds: di.TTLSeconds})
	if err != nil {
		di.Log.Error("directory: answer not encoded.", "cause", err.Error())
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		di.Log.Debug("directory: caller left.", "cause", err.Error())
	}
}
