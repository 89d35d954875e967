package daemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// silentEngine makes the engine that receives the first completion silent after some tokens, and
// handles all later completions with others. The zero value silences none.
type silentEngine struct {
	mu    sync.Mutex
	armed bool
	// sent counts the completions. If none is set, the first is not silent but handled with others.
	sent   int
	none   bool
	after  int
	silent time.Duration
	others func(w http.ResponseWriter, req *http.Request, next http.Handler)
}

// arm makes the next completion the silent one.
func (se *silentEngine) arm(after int, silent time.Duration, others func(http.ResponseWriter, *http.Request, http.Handler)) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.armed, se.sent, se.none, se.after, se.silent, se.others = true, 0, false, after, silent, others
}

// armOthers handles all completions with others.
func (se *silentEngine) armOthers(others func(http.ResponseWriter, *http.Request, http.Handler)) {
	se.arm(0, 0, others)
	se.mu.Lock()
	defer se.mu.Unlock()
	se.none = true
}

// attempts returns how many completions were sent since arm.
func (se *silentEngine) attempts() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.sent
}

func (se *silentEngine) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		se.mu.Lock()
		if !se.armed || !strings.HasPrefix(req.URL.Path, "/v1/") {
			se.mu.Unlock()
			next.ServeHTTP(w, req)
			return
		}
		se.sent++
		first, after, silent, others := se.sent == 1 && !se.none, se.after, se.silent, se.others
		se.mu.Unlock()
		if first {
			w = &pausingWriter{ResponseWriter: w, ctx: req.Context(), after: after, pause: silent}
		} else if others != nil {
			others(w, req, next)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// pausingWriter sends nothing for the duration pause after some writes.
type pausingWriter struct {
	http.ResponseWriter
	ctx    context.Context
	writes int
	after  int
	pause  time.Duration
}

func (pw *pausingWriter) Flush() { pw.ResponseWriter.(http.Flusher).Flush() }

func (pw *pausingWriter) Write(data []byte) (int, error) {
	if pw.writes == pw.after {
		select {
		case <-pw.ctx.Done():
		case <-time.After(pw.pause):
		}
	}
	pw.writes++
	return pw.ResponseWriter.Write(data)
}

func refuseCompletion(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
	w.Header().Set(endpoint.HeaderVerdict, string(verdict.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func rejectCompletion(w http.ResponseWriter, req *http.Request, _ http.Handler) {
	w.Header().Set(endpoint.HeaderRequestID, req.Header.Get(endpoint.HeaderRequestID))
	w.WriteHeader(http.StatusBadRequest)
}

func failCompletion(w http.ResponseWriter, req *http.Request, _ http.Handler) {
	w.Header().Set(endpoint.HeaderRequestID, req.Header.Get(endpoint.HeaderRequestID))
	w.WriteHeader(http.StatusInternalServerError)
}

func hangCompletion(_ http.ResponseWriter, req *http.Request, _ http.Handler) {
	// The server watches for the end of the connection only after the body was read.
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

// startCompletion accepts a completion and closes the connection before its first token.
func startCompletion(w http.ResponseWriter, req *http.Request, _ http.Handler) {
	w.Header().Set(endpoint.HeaderRequestID, req.Header.Get(endpoint.HeaderRequestID))
	_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n"))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}
