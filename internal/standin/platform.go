// Package standin holds small stand-ins for the systems around corianderhub:
// the platform, a model engine's member and a plain service. Each takes
// faults at run time through POST /faults.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// PlatformFaults are the faults a Platform can be told to show.
type PlatformFaults struct {
	StoreFaults
	// Slow delays every call.
	Delay time.Duration `json:"slow"`
	// StaleList freezes the list of VMs.
	StaleList bool `json:"stale-list"`
}

// Platform is the stand-in for the platform's API: a Store, the list of VMs
// and the weight store. Make it with NewPlatform.
type Platform struct {
	Store *Store

	mu      sync.Mutex
	vms     []platform.VM
	frozen  []platform.VM
	faults  PlatformFaults
	weights *rate.Limiter
}

// NewPlatform returns a platform with that list of VMs, whose weight store
// allows so many loads a minute; zero means no limit.
func NewPlatform(vms []platform.VM, weightsPerMinute int) *Platform {
	pl := &Platform{Store: NewStore(clock.System{}), vms: vms, weights: rate.NewLimiter(rate.Inf, 1)}
	if weightsPerMinute > 0 {
		pl.weights = rate.NewLimiter(rate.Every(time.Minute/time.Duration(weightsPerMinute)), weightsPerMinute)
	}
	return pl
}

// SetFaults replaces the faults shown.
func (pl *Platform) SetFaults(pf PlatformFaults) {
	pl.Store.SetFaults(pf.StoreFaults)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pf.StaleList && !pl.faults.StaleList {
		pl.frozen = append([]platform.VM(nil), pl.vms...)
	}
	pl.faults = pf
}

// SetVM adds a VM or changes the one of that name; an empty state removes it.
func (pl *Platform) SetVM(vm platform.VM) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var vms []platform.VM
	for _, old := range pl.vms {
		if old.Name != vm.Name {
			vms = append(vms, old)
		}
	}
	if vm.State != "" {
		vms = append(vms, vm)
	}
	pl.vms = vms
}

// Handler serves the platform's API.
func (pl *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(emulator.KeyValuePaths, pl.faulty(emulator.KeyValueHandler(pl.Store).ServeHTTP))
	mux.HandleFunc("GET /vms", pl.faulty(pl.listVMs))
	mux.HandleFunc("GET /weights/{model}/{version}", pl.faulty(pl.weight))
	mux.HandleFunc("POST /vms", func(w http.ResponseWriter, req *http.Request) {
		var vm platform.VM
		if readJSON(w, req, &vm) {
			pl.SetVM(vm)
		}
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, req *http.Request) {
		var pf PlatformFaults
		if readJSON(w, req, &pf) {
			pl.SetFaults(pf)
		}
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, pl.Store.Calls()) })
	return mux
}

func (pl *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		pl.mu.Lock()
		pf := pl.faults
		pl.mu.Unlock()
		time.Sleep(pf.Delay)
		if pf.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, req)
	}
}

func (pl *Platform) listVMs(w http.ResponseWriter, req *http.Request) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	vms := pl.vms
	if pl.faults.StaleList {
		vms = pl.frozen
	}
	picked := []platform.VM{}
	for _, vm := range vms {
		if dc := req.FormValue("data-center"); dc == "" || dc == vm.DataCenter {
			picked = append(picked, vm)
		}
	}
	writeJSON(w, http.StatusOK, picked)
}

func (pl *Platform) weight(w http.ResponseWriter, _ *http.Request) {
	if !pl.weights.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	io.WriteString(w, "weights")
}

const maxStandinBody = 8 << 20

func readJSON(w http.ResponseWriter, req *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(req.Body, maxStandinBody)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, val any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(val)
}
