package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"corianderhub.dev/corianderhub/internal/loopback"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against an apply whose response was lost, or cut off, being reported as failed: it may be in force.
func TestApplyWithoutResponse(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"no response": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"cut off": func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set("Content-Length", "100")
			_, _ = wr.Write([]byte(`{"revision":`))
			panic(http.ErrAbortHandler)
		},
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			sv := httptest.NewServer(handler)
			defer sv.Close()
			_, err := (&Client{Address: sv.Listener.Addr().String()}).Apply(context.Background(), Apply{Operation: "op"})
			var re *Refusal
			if !errors.As(err, &re) || re.Verdict != verdict.MayHaveRun {
				t.Errorf("error = %v, want one with the verdict may-have-run", err)
			}
		})
	}
}

// Guards against an apply that was never sent being reported as one that may be in force.
func TestApplyWithoutConnection(t *testing.T) {
	ad, err := loopback.Hold("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ad.Close()
	_, err = (&Client{Address: ad.String()}).Apply(context.Background(), Apply{Operation: "op"})
	var re *Refusal
	if err == nil || errors.As(err, &re) {
		t.Errorf("error = %v, want one without a verdict", err)
	}
}
