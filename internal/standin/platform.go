// Package standin implements in-memory test doubles of the systems around
// corianderhub: the platform, the model engine on one VM and a plain service.
// Their faults can be set at run time through POST /faults.
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

// PlatformFaults are the faults that a Platform can inject.
type PlatformFaults struct {
	StoreFaults
	// Delay is a delay before every call, in nanoseconds in JSON.
	Delay time.Duration `json:"slow"`
	// StaleList makes the list of VMs stay as it was when the fault was set.
	StaleList bool `json:"stale-list"`
}

// Platform is a test double of the platform's API: the key-value store, the list of
// VMs and the weight store. Create it with NewPlatform.
type Platform struct {
	Store *Store

	mu       sync.Mutex
	vms      []platform.VM
	staleVMs []platform.VM
	faults   PlatformFaults
	weights  *rate.Limiter
}

// NewPlatform returns a platform with the given VMs and an empty key-value store.
// The weight store allows weightsPerMinute loads per minute, with bursts of the
// same size; zero means no limit.
func NewPlatform(vms []platform.VM, weightsPerMinute int) *Platform {
	pl := &Platform{Store: NewStore(clock.System{}), vms: vms, weights: rate.NewLimiter(rate.Inf, 1)}
	if weightsPerMinute > 0 {
		pl.weights = rate.NewLimiter(rate.Every(time.Minute/time.Duration(weightsPerMinute)), weightsPerMinute)
	}
	return pl
}

// SetFaults replaces all injected faults.
func (pl *Platform) SetFaults(pf PlatformFaults) {
	pl.Store.SetFaults(pf.StoreFaults)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pf.StaleList && !pl.faults.StaleList {
		pl.staleVMs = append([]platform.VM(nil), pl.vms...)
	}
	pl.faults = pf
}

// SetVM adds a VM or replaces the one of the same name. An empty state removes it.
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

// Handler serves the platform's API. POST /vms calls SetVM, POST /faults calls
// SetFaults and GET /calls returns the number of store calls by kind; injected
// faults do not affect these three.
func (pl *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(emulator.KeyValuePaths, pl.withFaults(emulator.KeyValueHandler(pl.Store).ServeHTTP))
	mux.HandleFunc("GET /vms", pl.withFaults(pl.listVMs))
	mux.HandleFunc("GET /weights/{model}/{version}", pl.withFaults(pl.getWeights))
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

// withFaults applies Delay and Down before next.
func (pl *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
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
		vms = pl.staleVMs
	}
	matching := []platform.VM{}
	for _, vm := range vms {
		if dc := req.FormValue("data-center"); dc == "" || dc == vm.DataCenter {
			matching = append(matching, vm)
		}
	}
	writeJSON(w, http.StatusOK, matching)
}

// getWeights answers a load of weights with a placeholder, or 429 above the limit.
func (pl *Platform) getWeights(w http.ResponseWriter, _ *http.Request) {
	if !pl.weights.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	io.WriteString(w, "weights")
}

// maxBodyBytes limits the request bodies that the test doubles read.
const maxBodyBytes = 8 << 20

// readJSON decodes the request's body. If that fails, it answers with status 400 and
// returns false.
func readJSON(w http.ResponseWriter, req *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(into)
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
