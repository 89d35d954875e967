package endpoint

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"corianderhub.dev/corianderhub/pkg/verdict"
)

// Guards against an error that the engine reports in its stream being passed on as a malformed response,
// and against a request that one engine rejects being sent to every other one.
func TestErrorEvent(t *testing.T) {
	tests := []struct {
		event string
		want  verdict.Code
	}{
		{`{"message":"out of memory"}`, verdict.CodeEndpointFailed},
		{`{"message":"out of memory","code":500}`, verdict.CodeEndpointFailed},
		{`{"message":"prompt too long","code":400}`, verdict.CodeBadRequest},
		{`{"message":"prompt too long","code":"400"}`, verdict.CodeBadRequest},
		{`{"message":"no such model","code":404}`, verdict.CodeBadRequest},
		{`{"message":"busy","code":429}`, verdict.CodeEndpointFailed},
		{`{"message":"too slow","code":408}`, verdict.CodeEndpointFailed},
		{`{"message":"no such model","code":"model_not_found"}`, verdict.CodeEndpointFailed},
		{`{"message":"odd","code":null}`, verdict.CodeEndpointFailed},
		{`"out of memory"`, verdict.CodeEndpointFailed},
	}
	for _, tc := range tests {
		err := completeWith(t, "data: {\"error\":"+tc.event+"}\n\n")
		if ve := verdict.As(err); err == nil || ve.Code != tc.want || ve.Verdict != verdict.MayHaveRun {
			t.Errorf("%s: error = %v, want %s, may-have-run", tc.event, err, tc.want)
		}
	}
}

// Guards against a complete response of an engine that names an absent error in each event.
func TestNullErrorEvent(t *testing.T) {
	if err := completeWith(t, "data: {\"error\":null,\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"); err != nil {
		t.Errorf("error = %v, want none", err)
	}
}

// completeWith sends a request to an engine that answers it with a stream.
func completeWith(t *testing.T, stream string) error {
	t.Helper()
	return complete(streamServer(t, stream), func(Chunk) error { return nil })
}

// streamServer starts an engine that answers each request with a stream.
func streamServer(t *testing.T, stream string) *httptest.Server {
	t.Helper()
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		wr.Header().Set(HeaderRequestID, req.Header.Get(HeaderRequestID))
		_, _ = wr.Write([]byte(stream))
	}))
	t.Cleanup(sv.Close)
	return sv
}

// complete sends a request to an engine.
func complete(sv *httptest.Server, emit func(Chunk) error) error {
	co := CompletionRequest{RequestID: "r", Address: sv.Listener.Addr().String(), Path: "/v1/completions",
		BeforeSend: func() *verdict.Error { return nil }}
	return EngineClient{Transport: http.DefaultTransport}.Complete(context.Background(), co, emit)
}

// For any event of an engine, decoding must not panic, and an error must say how the attempt failed.
func FuzzParseChunk(f *testing.F) {
	f.Add(`{"choices":[{"text":"a","delta":{"content":"b"},"finish_reason":"stop"}],"usage":{}}`)
	f.Add(`{"error":{"code":400}}`)
	f.Add(`{"error":null,"usage":null}`)
	f.Fuzz(func(t *testing.T, data string) {
		_, err := parseChunk(data)
		var ve *verdict.Error
		if errors.As(err, &ve) && (ve.Verdict != verdict.MayHaveRun || ve.Code == "") {
			t.Errorf("error %v, want one with a code and the verdict may-have-run", ve)
		}
	})
}

// Guards against an engine that sends only comments during a long prefill being taken for silent, and
// against a comment being taken for a chunk with text.
func TestKeepAlive(t *testing.T) {
	sv := streamServer(t, ": ping\n\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n")
	var chunks []Chunk
	err := complete(sv, func(ch Chunk) error {
		chunks = append(chunks, ch)
		return nil
	})
	if err != nil || len(chunks) != 2 || !chunks[0].KeepAlive || chunks[1].KeepAlive || chunks[1].Text != "a" {
		t.Errorf("chunks = %+v, %v; want a keep-alive and the text", chunks, err)
	}
}
