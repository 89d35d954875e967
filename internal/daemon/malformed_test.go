package daemon

import (
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/internal/servertest"
	"corianderhub.dev/corianderhub/pkg/hub"
	"corianderhub.dev/corianderhub/pkg/verdict"
)

// rawResponse writes raw and resets the connection.
func rawResponse(t *testing.T, w http.ResponseWriter, raw string) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer nc.Close()
	io.WriteString(nc, raw)
	nc.(*net.TCPConn).SetLinger(0)
}

// brokenResponses returns responses that must not be passed on, with the field that names their request.
func brokenResponses(id, body string) map[string]string {
	fields := endpoint.HeaderRequestID + ": " + id + "\r\n"
	responses := servertest.MalformedNames(fields, body)
	maps.Copy(responses, servertest.InvalidStatuses(fields, body))
	maps.Copy(responses, servertest.CutHeads(fields))
	responses["part without length"] = "HTTP/1.1 200 OK\r\n" + fields + "\r\nhalf"
	return responses
}

// Guards against a caller that gets a broken response of a service or of an engine as an answer.
func TestBrokenResponseIsNotPassedOn(t *testing.T) {
	var current atomic.Pointer[string]
	var sent atomic.Int64
	replace := func(handler http.Handler, path, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			name := current.Load()
			if name == nil || !strings.HasPrefix(req.URL.Path, path) {
				handler.ServeHTTP(w, req)
				return
			}
			sent.Add(1)
			rawResponse(t, w, brokenResponses(req.Header.Get(endpoint.HeaderRequestID), body)[*name])
		})
	}
	sk := newTestSystem(t, systemSize{daemons: 1, vms: 1, vmsPerGroup: 1, replicas: 1,
		wrapService: func(hd http.Handler) http.Handler { return replace(hd, "/orders/", "nine bytes") },
		wrapEngine: func(hd http.Handler) http.Handler {
			return replace(hd, "/v1/", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n")
		}})
	sk.waitUntil("a serving group", func() bool { return sk.servingGroups(sk.daemons[0]) == 1 })
	long := strings.Repeat("x", servertest.UploadBytes)
	for name := range brokenResponses("", "") {
		current.Store(&name)
		for _, tc := range []struct {
			request, path, body string
			header              map[string]string
		}{
			{"plain", "/orders/a", "{}", nil},
			{"long", "/orders/a", long, nil},
			{"keyed", "/orders/a", "{}", map[string]string{hub.HeaderIdempotencyKey: "key " + name}},
			{"long keyed", "/orders/a", long, map[string]string{hub.HeaderIdempotencyKey: "long " + name}},
			{"not repeatable", "/orders/confirm", "{}", nil},
			{"completion", "/v1/completions", `{"model":"linden","prompt":"a","max_tokens":1}`, nil},
		} {
			before := sent.Load()
			rsp, raw, err := sk.post(0, tc.path, tc.body, tc.header)
			if err != nil || rsp.StatusCode < http.StatusInternalServerError || rsp.Header.Get("X-Verdict") == string(verdict.Ran) {
				t.Errorf("%s, %s request: got %v with %q, error %v; want a failure", name, tc.request, rsp, raw, err)
			}
			if sent.Load() == before {
				t.Errorf("%s, %s request: was not sent", name, tc.request)
			}
		}
	}
}
