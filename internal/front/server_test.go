package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/stop"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// The caller receives the complete response of the endpoint that ran its request, or an error,
// whatever the endpoint does to the response.
func TestHoldOwnAnswer(t *testing.T) {
	faults := []struct {
		name  string
		fault emulator.Fault
	}{
		{"sound", emulator.None}, {"another request's answer", emulator.MismatchedResponse}, {"cut off", emulator.Truncates},
		{"lost", emulator.DropsResponse}, {"refused", emulator.Refuses}, {"failed", emulator.Fails},
	}
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			ri.addPlain(always(tc.fault))
			ri.addPlain(failFirst(tc.fault))
			for _, path := range []string{"/confirm/x", "/slot/x"} {
				id := "id-" + path[1:5]
				re := ri.send(path, id, nil)
				if re.err != nil {
					t.Fatalf("%s: no response: %v", path, re.err)
				}
				if re.status == http.StatusOK && (re.body != emulator.Body(id) || !strings.HasSuffix(re.header.Get(platform.HeaderSeal), id)) {
					t.Errorf("%s: got body %q with seal %q, want the response to this request", path, re.body, re.header.Get(platform.HeaderSeal))
				}
				if tc.fault == emulator.None && re.status != http.StatusOK {
					t.Errorf("%s: status %d from a healthy endpoint, want 200", path, re.status)
				}
			}
		})
	}
}

// A request that must not be repeated is retried only after an endpoint has stated that it did
// not run the request and never will. Otherwise a disbursement could be booked twice.
func TestHoldAtMostOnce(t *testing.T) {
	for _, fault := range []emulator.Fault{emulator.MismatchedResponse, emulator.Truncates, emulator.DropsResponse, emulator.Fails, emulator.Refuses} {
		ri := newRig(t)
		ri.addPlain(always(fault))
		ri.addPlain(always(fault))
		re := ri.send("/confirm/x", "booking", nil)
		if num := ri.runs("booking"); num > 1 {
			t.Errorf("fault %v: the request ran %d times, want at most once", fault, num)
		}
		if fault != emulator.Refuses && re.status != http.StatusBadGateway && re.status != http.StatusInternalServerError {
			t.Errorf("fault %v: status %d, want 500 or 502 because the request may have run", fault, re.status)
		}
	}
	ri := newRig(t)
	ri.addGroup(always(emulator.Truncates))
	ri.addGroup(always(emulator.Truncates))
	ri.send("/once/x", "stream", setTokenCounts)
	if num := ri.runs("stream"); num > 1 {
		t.Errorf("a stream that can't be resumed ran %d times, want at most once", num)
	}
}

// A 503 response guarantees that the request has not run. It is sent only then, with a
// Retry-After header.
func TestHoldRefusalNotRun(t *testing.T) {
	tests := []struct {
		name  string
		setup func(ri *rig)
	}{
		{"no endpoint", func(*rig) {}},
		{"endpoints refuse", func(ri *rig) {
			ri.addPlain(always(emulator.Refuses))
			ri.addPlain(always(emulator.Refuses))
			ri.addGroup(always(emulator.Refuses))
			ri.addGroup(always(emulator.Refuses))
		}},
		{"endpoints gone", func(ri *rig) {
			ri.addPlain(nil).Stop()
			ri.addGroup(nil).Stop()
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			tc.setup(ri)
			for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"} {
				re := ri.send(path, "id", setTokenCounts)
				if re.status != http.StatusServiceUnavailable || re.header.Get(platform.HeaderRetryAfter) == "" {
					t.Errorf("%s: status %d with Retry-After %q, want 503 with a value", path, re.status, re.header.Get(platform.HeaderRetryAfter))
				}
			}
			if num := ri.runs("id"); num != 0 {
				t.Errorf("ran %d times although refused with 503, want 0", num)
			}
		})
	}
}

// Guards against a refusal that reaches the caller although another endpoint has capacity.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(always(emulator.Refuses))
	ri.addPlain(nil)
	ri.addGroup(always(emulator.Refuses))
	ri.addGroup(nil)
	for _, path := range []string{"/confirm/x", "/slot/x"} {
		if re := ri.send(path, "id"+path, nil); re.status != http.StatusOK {
			t.Errorf("%s: status %d, want 200", path, re.status)
		}
	}
	for _, path := range []string{"/draft/x", "/once/x"} {
		if re := ri.send(path, "id"+path, setTokenCounts); re.status != http.StatusOK || re.body != completeStream("id"+path) {
			t.Errorf("%s: status %d, body %q, want 200 and the complete stream", path, re.status, re.body)
		}
	}
}

// Guards against passing on the failure of one endpoint when a safe request can be retried at
// another.
func TestSafeRequestIsRetried(t *testing.T) {
	for _, fault := range []emulator.Fault{emulator.Fails, emulator.DropsResponse, emulator.Truncates, emulator.MismatchedResponse} {
		ri := newRig(t)
		once := failFirst(fault)
		ri.addPlain(once)
		ri.addPlain(once)
		if re := ri.send("/slot/x", "id", nil); re.status != http.StatusOK || re.body != emulator.Body("id") {
			t.Errorf("fault %v: status %d, body %q, want 200 and the complete body", fault, re.status, re.body)
		}
	}
}

// Guards against retries beyond the budget when all endpoints fail at once. The retries would
// keep the endpoints overloaded.
func TestRetriesStayWithinBudget(t *testing.T) {
	ri := newRig(t)
	ri.front.Budget.SetSlack(3)
	ri.front.Budget.Ratio = 0
	ri.addPlain(always(emulator.Fails))
	ri.addPlain(always(emulator.Fails))
	const requests = 20
	for range requests {
		ri.send("/slot/x", "id", nil)
	}
	if num := ri.runs("id"); num > requests+3 {
		t.Errorf("%d runs of %d requests, want at most 3 retries", num, requests)
	}
}

// Guards against headers that must not reach the endpoint: the caller's key, forged reserved
// headers and hop-by-hop headers. The endpoint receives the workspace's name instead of the key.
func TestHeadersToEndpoint(t *testing.T) {
	ri := newRig(t)
	sv := ri.addPlain(nil)
	ri.send("/slot/x?a=b%2fc", "id", func(req *http.Request) {
		req.Header.Set(platform.HeaderWorkspace, "forged")
		req.Header.Set(platform.HeaderExpectEndpoint, "forged")
		req.Header.Set(platform.HeaderPriority, "0")
		req.Header.Set("Connection", "X-Secret")
		req.Header.Set("X-Secret", "1")
		req.Header.Set("X-Other", "kept")
		req.Header.Set(platform.HeaderDeadline, "1500")
	})
	ru := sv.Runs()[0]
	if ru.URI != "/slot/x?a=b%2fc" || ru.Body != "question id" {
		t.Errorf("request URI or body changed: %+v", ru)
	}
	want := map[string]string{platform.HeaderWorkspace: "nursery", platform.HeaderExpectEndpoint: sv.ID, platform.HeaderPriority: "3",
		platform.HeaderAuthorization: "", "X-Secret": "", "X-Other": "kept"}
	for name, val := range want {
		if got := ru.Header.Get(name); got != val {
			t.Errorf("header %s: %q, want %q", name, got, val)
		}
	}
	left, err := strconv.Atoi(ru.Header.Get(platform.HeaderDeadline))
	if err != nil || left < 1 || left > 1500 {
		t.Errorf("deadline %q sent to the endpoint, want 1 to 1500", ru.Header.Get(platform.HeaderDeadline))
	}
}

// Guards against a wrong status for requests that the daemon answers without an endpoint, and
// against refusing a request without a key on a public route.
func TestLocallyGeneratedResponses(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(nil)
	ri.cfg.Limits.BodyBytes = 100
	tests := []struct {
		name, path string
		change     func(*http.Request)
		status     int
	}{
		{"no route", "/nowhere/x", nil, http.StatusNotFound},
		{"other host", "/slot/x", func(req *http.Request) { req.Host = "other.example" }, http.StatusNotFound},
		{"unknown key", "/slot/x", func(req *http.Request) { req.Header.Set(platform.HeaderAuthorization, "Token other") }, http.StatusUnauthorized},
		{"no key", "/slot/x", func(req *http.Request) { req.Header.Del(platform.HeaderAuthorization) }, http.StatusUnauthorized},
		{"no key needed", "/open/x", func(req *http.Request) { req.Header.Del(platform.HeaderAuthorization) }, http.StatusOK},
		{"large body", "/slot/x", func(req *http.Request) {
			req.Body, req.ContentLength = http.NoBody, 0
			req.GetBody = nil
			*req = *req.WithContext(context.Background())
			req.Body = readCloser{strings.NewReader(strings.Repeat("x", 200))}
			req.ContentLength = 200
		}, http.StatusRequestEntityTooLarge},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if re := ri.send(tc.path, "id", tc.change); re.status != tc.status {
				t.Errorf("status %d (%v), want %d", re.status, re.err, tc.status)
			}
		})
	}
	ri.cfg = nil
	if re := ri.send("/slot/x", "id", nil); re.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d, want 503", re.status)
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// Guards against waiting beyond the route's timeout when an endpoint never responds. The caller
// receives 504, which leaves open whether the request has run.
func TestTimeoutResponse(t *testing.T) {
	ri := newRig(t)
	for i := range ri.cfg.Routes {
		ri.cfg.Routes[i].Timeout = 100 * time.Millisecond
	}
	ri.addPlain(always(emulator.Hangs))
	ri.addGroup(always(emulator.Hangs))
	for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x"} {
		if re := ri.send(path, "id", setTokenCounts); re.status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d (%v), want 504", path, re.status, re.err)
		}
	}
}

// Guards against work for a caller that has disconnected: the connection to the endpoint must
// close too.
func TestCallerDisconnects(t *testing.T) {
	ri := newRig(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	ri.addGroup(func(req *http.Request) emulator.Fault {
		close(arrived)
		go func() {
			<-req.Context().Done()
			close(left)
		}()
		return emulator.Hangs
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	ri.send("/draft/x", "id", func(req *http.Request) {
		setTokenCounts(req)
		*req = *req.WithContext(ctx)
	})
	ri.await("the connection to the endpoint to close", left)
}

// Guards against running a request at the wrong endpoint after its address was reassigned. The
// endpoint there refuses the request, and the request is retried at the right one.
func TestReusedAddress(t *testing.T) {
	ri := newRig(t)
	ri.addGroup(nil)
	ri.view.Groups[0].Members[0].ID = "former"
	ri.addGroup(nil)
	misrouted := make(chan struct{}, 1)
	ri.front.OnMisrouted = func() { misrouted <- struct{}{} }
	for limit := time.Now().Add(longTimeout); len(misrouted) == 0; {
		if time.Now().After(limit) {
			t.Fatalf("the endpoint at the reused address got no request within %v", longTimeout)
		}
		if re := ri.send("/draft/x", "id", setTokenCounts); re.status != http.StatusOK {
			t.Fatalf("status %d, want 200", re.status)
		}
	}
	if num := len(ri.groupServers[0].Runs()); num != 0 {
		t.Errorf("%d requests ran at the wrong endpoint, want 0", num)
	}
}

// Guards against callers that keep using connections to a stopping daemon.
func TestStoppingClosesConnections(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(nil)
	ri.addGroup(nil)
	ri.front.SetStopping(stop.Times{AnswerBy: time.Now().Add(2 * longTimeout), AbortBy: time.Now().Add(2 * longTimeout)})
	hc := &http.Client{Transport: &http.Transport{}}
	for _, path := range []string{"/slot/x", "/draft/x"} {
		req, err := http.NewRequest(http.MethodPost, ri.hs.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "some.example"
		req.Header.Set(platform.HeaderRequestID, "id")
		req.Header.Set(platform.HeaderAuthorization, "Token key-1")
		req.Header.Set(platform.HeaderModel, "large")
		setTokenCounts(req)
		rsp, err := hc.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		rsp.Body.Close()
		if !rsp.Close {
			t.Errorf("%s: the response does not close its connection", path)
		}
	}
}

// Guards against idle connections of many daemons that use up an endpoint's connection limit.
// All daemons together may use less than a third of it.
func TestMaxIdleIsShared(t *testing.T) {
	tests := []struct{ maxConns, daemons, want int }{
		{0, 9, 0},
		{414, 9, 13},
		{110, 9, 3},
		{110, 33, 1},
		{110, 34, http1.NoIdle},
		{342, 68, 1},
		{110, 0, 33},
	}
	for _, tc := range tests {
		if got := maxIdle(tc.maxConns, tc.daemons); got != tc.want {
			t.Errorf("limit of %d connections, %d daemons: %d idle, want %d", tc.maxConns, tc.daemons, got, tc.want)
		}
	}
}
