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

// ServiceFaults are the faults a Service can be told to show.
type ServiceFaults struct {
	// Refuse answers that calls were not run.
	Refuse bool `json:"refuse"`
	// LoseAnswers runs that many calls and cuts the connection.
	DropResponses int `json:"lose-answers"`
	// Slow delays every answer.
	Delay time.Duration `json:"slow"`
	// Silent runs calls and never answers.
	Unresponsive bool `json:"silent"`
}

// Service is the stand-in for a plain service. It counts how often each
// idempotency key ran.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults ServiceFaults
}

// Runs returns how often each key ran.
func (se *Service) Runs() map[string]int {
	se.mu.Lock()
	defer se.mu.Unlock()
	runs := make(map[string]int, len(se.runs))
	for key, num := range se.runs {
		runs[key] = num
	}
	return runs
}

// SetFaults replaces the faults shown.
func (se *Service) SetFaults(sf ServiceFaults) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults = sf
}

// Handler serves the service's API: any path runs.
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

func (se *Service) run(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxStandinBody))
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
