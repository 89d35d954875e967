// Package standin holds small stand-ins for the systems around corianderhub:
// the platform, a model engine's member and a plain service. Each takes
// faults at run time through POST /faults.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"corianderhub.dev/corianderhub/internal/platform"
)

// PlatformFaults are the faults a Platform can be told to show.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LoseAnswers is how many writes take effect without an answer.
	LoseAnswers int `json:"lose-answers"`
	// WatchGap makes the next watch report a gap instead of changes.
	WatchGap bool `json:"watch-gap"`
	// StaleList freezes the list of VMs.
	StaleList bool `json:"stale-list"`
}

type storedValue struct {
	value    []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Platform is the stand-in for the key-value service, the list of VMs and
// the weight store. It keeps everything in memory. Set the fields before use.
type Platform struct {
	// VMs is the list of live and leaving VMs.
	VMs []platform.VM
	// WeightsPerMinute limits the weight store; zero means no limit.
	WeightsPerMinute int
	// Faults are the faults shown now; change them with SetFaults.
	Faults PlatformFaults

	mu       sync.Mutex
	values   map[string]storedValue
	leases   map[string]lease
	revision uint64
	changed  chan struct{}
	frozen   []platform.VM
	calls    map[string]int
	weights  *rate.Limiter
}

// SetFaults replaces the faults shown.
func (pl *Platform) SetFaults(pf PlatformFaults) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pf.StaleList && !pl.Faults.StaleList {
		pl.frozen = append([]platform.VM(nil), pl.VMs...)
	}
	pl.Faults = pf
}

// SetVM adds a VM or changes the one of that name; an empty state removes it.
func (pl *Platform) SetVM(vm platform.VM) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var vms []platform.VM
	for _, old := range pl.VMs {
		if old.Name != vm.Name {
			vms = append(vms, old)
		}
	}
	if vm.State != "" {
		vms = append(vms, vm)
	}
	pl.VMs = vms
}

// Calls returns the number of calls by kind since the start.
func (pl *Platform) Calls() map[string]int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	calls := make(map[string]int, len(pl.calls))
	for kind, num := range pl.calls {
		calls[kind] = num
	}
	return calls
}

func (pl *Platform) init() {
	if pl.values == nil {
		pl.values = make(map[string]storedValue)
		pl.leases = make(map[string]lease)
		pl.calls = make(map[string]int)
		pl.changed = make(chan struct{})
		pl.weights = rate.NewLimiter(rate.Inf, 1)
		if pl.WeightsPerMinute > 0 {
			pl.weights = rate.NewLimiter(rate.Limit(float64(pl.WeightsPerMinute)/60), pl.WeightsPerMinute)
		}
	}
}

// Handler serves the platform's API.
func (pl *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", pl.counted("get", pl.get))
	mux.HandleFunc("PUT /kv/{key...}", pl.counted("put", pl.put))
	mux.HandleFunc("DELETE /kv/{key...}", pl.counted("delete", pl.delete))
	mux.HandleFunc("GET /list", pl.counted("list", pl.list))
	mux.HandleFunc("GET /watch", pl.counted("watch", pl.watch))
	mux.HandleFunc("POST /leases", pl.counted("lease", pl.grant))
	mux.HandleFunc("PUT /leases/{id}", pl.counted("lease", pl.renew))
	mux.HandleFunc("DELETE /leases/{id}", pl.counted("lease", pl.revoke))
	mux.HandleFunc("GET /vms", pl.counted("vms", pl.listVMs))
	mux.HandleFunc("GET /weights/{model}/{version}", pl.counted("weights", pl.weight))
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
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, pl.Calls()) })
	return mux
}

func (pl *Platform) counted(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		pl.mu.Lock()
		pl.init()
		pl.calls[kind]++
		pl.lapse(time.Now())
		pf := pl.Faults
		pl.mu.Unlock()
		if pf.Slow > 0 {
			time.Sleep(pf.Slow)
		}
		if pf.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, req)
	}
}

// lapse deletes the keys of leases that were not renewed. Callers hold mu.
func (pl *Platform) lapse(now time.Time) {
	for id, le := range pl.leases {
		if now.After(le.expires) {
			pl.drop(id)
		}
	}
}

func (pl *Platform) drop(id string) {
	delete(pl.leases, id)
	for key, sv := range pl.values {
		if sv.lease == id {
			delete(pl.values, key)
			pl.bump()
		}
	}
}

func (pl *Platform) bump() uint64 {
	pl.revision++
	close(pl.changed)
	pl.changed = make(chan struct{})
	return pl.revision
}

// loseAnswer cuts the connection after a write took effect, if told to.
func (pl *Platform) loseAnswer() {
	pl.mu.Lock()
	lose := pl.Faults.LoseAnswers > 0
	if lose {
		pl.Faults.LoseAnswers--
	}
	pl.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (pl *Platform) get(w http.ResponseWriter, req *http.Request) {
	pl.mu.Lock()
	sv, ok := pl.values[req.PathValue("key")]
	pl.mu.Unlock()
	if !ok {
		http.NotFound(w, req)
		return
	}
	w.Header().Set("Revision", strconv.FormatUint(sv.revision, 10))
	w.Write(sv.value)
}

func (pl *Platform) put(w http.ResponseWriter, req *http.Request) {
	value, err := io.ReadAll(io.LimitReader(req.Body, platform.MaxValueBytes+1))
	if err != nil || len(value) > platform.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	rev, ok := pl.swap(req.PathValue("key"), value, req.FormValue("if-revision"), req.FormValue("lease"))
	if !ok {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	pl.loseAnswer()
	w.Header().Set("Revision", strconv.FormatUint(rev, 10))
}

func (pl *Platform) swap(key string, value []byte, ifRev, leaseID string) (uint64, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if strconv.FormatUint(pl.values[key].revision, 10) != ifRev {
		return 0, false
	}
	if leaseID != "" {
		if _, ok := pl.leases[leaseID]; !ok {
			return 0, false
		}
	}
	rev := pl.bump()
	pl.values[key] = storedValue{value: value, revision: rev, lease: leaseID}
	return rev, true
}

func (pl *Platform) delete(w http.ResponseWriter, req *http.Request) {
	key := req.PathValue("key")
	pl.mu.Lock()
	ok := strconv.FormatUint(pl.values[key].revision, 10) == req.FormValue("if-revision")
	if ok {
		delete(pl.values, key)
		pl.bump()
	}
	pl.mu.Unlock()
	if !ok {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	pl.loseAnswer()
}

func (pl *Platform) entries(prefix string, after uint64) []platform.Entry {
	entries := []platform.Entry{}
	for key, sv := range pl.values {
		if strings.HasPrefix(key, prefix) && sv.revision > after {
			entries = append(entries, platform.Entry{Key: key, Value: sv.value, Revision: sv.revision})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

func (pl *Platform) list(w http.ResponseWriter, req *http.Request) {
	pl.mu.Lock()
	entries := pl.entries(req.FormValue("prefix"), 0)
	pl.mu.Unlock()
	writeJSON(w, http.StatusOK, entries)
}

func (pl *Platform) watch(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseUint(req.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(req.FormValue("wait"))
	ctx, cancel := context.WithTimeout(req.Context(), wait)
	defer cancel()
	for {
		pl.mu.Lock()
		chs := platform.Changes{Entries: pl.entries(req.FormValue("prefix"), after), Revision: pl.revision, Gap: pl.Faults.WatchGap}
		changed := pl.changed
		pl.Faults.WatchGap = false
		pl.mu.Unlock()
		if chs.Gap {
			chs.Entries = nil
		}
		if len(chs.Entries) > 0 || chs.Gap || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, chs)
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (pl *Platform) grant(w http.ResponseWriter, req *http.Request) {
	ttl, err := time.ParseDuration(req.FormValue("ttl"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	pl.mu.Lock()
	id := "lease-" + strconv.FormatUint(pl.bump(), 10)
	pl.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	pl.mu.Unlock()
	io.WriteString(w, id)
}

func (pl *Platform) renew(w http.ResponseWriter, req *http.Request) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	id := req.PathValue("id")
	le, ok := pl.leases[id]
	if !ok {
		http.NotFound(w, req)
		return
	}
	le.expires = time.Now().Add(le.ttl)
	pl.leases[id] = le
}

func (pl *Platform) revoke(_ http.ResponseWriter, req *http.Request) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.drop(req.PathValue("id"))
}

func (pl *Platform) listVMs(w http.ResponseWriter, req *http.Request) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	vms := pl.VMs
	if pl.Faults.StaleList {
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
