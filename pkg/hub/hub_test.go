package hub

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// newClient returns a client of a daemon whose response to any call is written by answer.
func newClient(t *testing.T, answer http.HandlerFunc) *Client {
	t.Helper()
	mux := http.NewServeMux()
	sv := httptest.NewServer(mux)
	t.Cleanup(sv.Close)
	mux.HandleFunc("GET /v1/entries", func(wr http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(wr).Encode(Entries{Addresses: []string{sv.Listener.Addr().String()}, LifetimeMS: 60_000})
	})
	mux.HandleFunc("/", answer)
	return &Client{Seeds: []string{sv.Listener.Addr().String()}}
}

// Guards against a response that is cut at the client's limit and returned as complete, and against
// a repeat of the call that ran.
func TestResponseAboveLimit(t *testing.T) {
	calls := 0
	cl := newClient(t, func(wr http.ResponseWriter, _ *http.Request) {
		calls++
		chunk := make([]byte, 1<<20)
		for range maxResponseBytes>>20 + 1 {
			if _, err := wr.Write(chunk); err != nil {
				return
			}
		}
	})
	an, err := cl.Do(context.Background(), Call{Method: http.MethodGet, Path: "/orders/"})
	if ve := verdict.As(err); err == nil || ve.Code != verdict.CodeTooLarge || ve.Verdict != verdict.Ran {
		t.Errorf("%d bytes, error = %v; want too-large, ran", len(an.Body), err)
	}
	if calls != 1 {
		t.Errorf("the call was sent %d times, want 1", calls)
	}
}

// Guards against a call that is never sent and yet reported as answered.
func TestNegativeAttempts(t *testing.T) {
	cl := newClient(t, func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte("ok")) })
	cl.Attempts = -1
	an, err := cl.Do(context.Background(), Call{Method: http.MethodGet, Path: "/orders/"})
	if err != nil || string(an.Body) != "ok" {
		t.Errorf("response = %q, %v; want ok", an.Body, err)
	}
}
