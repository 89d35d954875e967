package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// ServiceFaults are the faults that a Service can inject.
type ServiceFaults struct {
	// Refuse answers every call with 503 and the verdict not-run, without running it.
	Refuse bool `json:"refuse"`
	// DropResponses is the number of calls that run and whose connection is closed
	// without a response.
	DropResponses int `json:"lose-answers"`
	// Delay is a delay before every response, in nanoseconds in JSON.
	Delay time.Duration `json:"slow"`
	// Unresponsive runs calls without responding to them.
	Unresponsive bool `json:"silent"`
}

// Service is a test double of a plain service. It counts how many times it ran each
// idempotency key. Its zero value is ready for use.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults ServiceFaults
}

// Runs returns how many times each idempotency key ran.
func (se *Service) Runs() map[string]int {
	se.mu.Lock()
	defer se.mu.Unlock()
	runs := make(map[string]int, len(se.runs))
	for key, num := range se.runs {
		runs[key] = num
	}
	return runs
}

// SetFaults replaces all injected faults.
func (se *Service) SetFaults(sf ServiceFaults) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults = sf
}

// Handler serves the service's API. Calls to any path run, except POST /faults, which
// calls SetFaults, and GET /runs, which returns Runs.
func (se *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, req *http.Request) {
		var sf ServiceFaults
		if readJSON(w, req, &sf) {
			se.SetFaults(sf)
		}
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, se.Runs()) })
	mux.HandleFunc("/", se.run)
	return mux
}

// run counts a call, applies the injected faults and echoes path, run and size.
func (se *Service) run(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	se.mu.Lock()
	sf := se.faults
	if sf.Refuse {
		se.mu.Unlock()
		w.Header().Set(endpoint.HeaderVerdict, string(verdict.NotRun))
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if se.runs == nil {
		se.runs = make(map[string]int)
	}
	key := req.Header.Get("Idempotency-Key")
	se.runs[key]++
	num := se.runs[key]
	if se.faults.DropResponses > 0 {
		se.faults.DropResponses--
	}
	se.mu.Unlock()
	time.Sleep(sf.Delay)
	if sf.Unresponsive {
		<-req.Context().Done()
	}
	if sf.DropResponses > 0 || sf.Unresponsive {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(endpoint.HeaderRequestID, req.Header.Get(endpoint.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"path":%q,"run":%d,"bytes":%d}`+"\n", req.URL.Path, num, len(body))
}
