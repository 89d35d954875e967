package front

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"corianderhub.dev/corianderhub/platform"
)

// Directory serves the addresses of the daemons that callers may connect to.
type Directory struct {
	Log *slog.Logger
	// Addresses returns the addresses of the daemons that accept requests, for a caller in
	// the data centre.
	Addresses func(dataCenter string) []string
	// TTLSeconds is how long callers may cache a response.
	TTLSeconds float64
}

// ServeHTTP returns the daemons' addresses as JSON.
func (di *Directory) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != platform.PathResolve {
		http.NotFound(w, req)
		return
	}
	_, dataCenter := platform.ResolveQuery(req)
	body, err := json.Marshal(platform.ResolveResponse{Addresses: di.Addresses(dataCenter), TTLSeconds: di.TTLSeconds})
	if err != nil {
		di.Log.Error("directory: encoding the response failed.", "cause", err.Error())
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		di.Log.Debug("directory: caller disconnected before the response was sent.", "cause", err.Error())
	}
}
