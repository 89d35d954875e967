package endpoint

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against an error that the engine reports in its stream being passed on as a malformed response.
func TestErrorEvent(t *testing.T) {
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		wr.Header().Set(HeaderRequestID, req.Header.Get(HeaderRequestID))
		_, _ = wr.Write([]byte("data: {\"error\":{\"message\":\"out of memory\"}}\n\n"))
	}))
	defer sv.Close()
	co := CompletionRequest{RequestID: "r", Address: sv.Listener.Addr().String(), Path: "/v1/completions", StallTimeout: time.Minute,
		BeforeSend: func() *verdict.Error { return nil }}
	err := EngineClient{Transport: http.DefaultTransport}.Complete(context.Background(), co, func(Chunk) error { return nil })
	if ve := verdict.As(err); err == nil || ve.Code != verdict.CodeEndpointFailed || ve.Verdict != verdict.MayHaveRun {
		t.Errorf("error = %v, want endpoint-failed, may-have-run", err)
	}
}
