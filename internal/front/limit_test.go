package front

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// limitWindow is the time window in which requests to a limited endpoint are counted.
	limitWindow = 4 * time.Second
	// limitRatio and limitSlack define the allowed number of requests in a window:
	// limitRatio times the limit plus limitSlack.
	limitRatio = 1.5
	limitSlack = 5
)

// checkLimit checks the requests that a server received after a time against its rate limit.
func checkLimit(t *testing.T, sv *emulator.Server, perSecond float64, after time.Time) {
	t.Helper()
	allowed := limitRatio*perSecond*limitWindow.Seconds() + limitSlack
	if num := sv.PeakArrivals(limitWindow, after); float64(num) > allowed {
		t.Errorf("%s received %d requests in %s, want at most %.0f", sv.ID, num, limitWindow, allowed)
	}
}

// Guards against ignoring the rate limit in a response header, on streaming and plain routes.
func TestLimitIsEnforced(t *testing.T) {
	const requests, perSecond = 60, 1.5
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			for range 2 {
				ri.addPlain(nil)
				ri.addGroup(nil)
			}
			for _, sv := range []*emulator.Server{ri.plainServers[0], ri.groupServers[0]} {
				sv.SetBackpressure(emulator.Backpressure{Limit: fmt.Sprint(perSecond)})
			}
			begin := time.Now()
			for num := range requests {
				if re := ri.send(path, fmt.Sprint("id-", num), setTokenCounts); re.status != http.StatusOK {
					t.Fatalf("request %d: status %d, want 200 from the other endpoint", num, re.status)
				}
			}
			for _, sv := range []*emulator.Server{ri.plainServers[0], ri.groupServers[0]} {
				checkLimit(t, sv, perSecond, begin)
			}
		})
	}
}

// Guards against enforcing a limit after the endpoint has withdrawn it.
func TestLimitIsWithdrawn(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(nil)
	ri.plainServers[0].SetBackpressure(emulator.Backpressure{Limit: "1000"})
	ri.send("/slot/x", "limited", nil)
	if num := ri.front.Backpressure.NumLimited(); num != 1 {
		t.Fatalf("%d endpoints with a limit, want 1", num)
	}
	ri.plainServers[0].SetBackpressure(emulator.Backpressure{})
	for end := time.Now().Add(longTimeout); ri.front.Backpressure.NumLimited() > 0; time.Sleep(5 * time.Millisecond) {
		ri.send("/slot/x", "free", nil)
		if time.Now().After(end) {
			t.Fatal("the limit is still set after the endpoint withdrew it")
		}
	}
}

// Guards against dropping a limit because of responses that say nothing about it: a refusal
// generated before the server itself sees the request, and a response of another server.
func TestLimitSurvivesRefusals(t *testing.T) {
	li := catalog.Instance{ID: "desk-0"}
	newResponse := func(status int, header http.Header) *http.Response {
		return &http.Response{StatusCode: status, Header: header}
	}
	tests := []struct {
		name string
		rsp  *http.Response
		want int
	}{
		{"answered", newResponse(http.StatusOK, http.Header{}), 0},
		{"failed", newResponse(http.StatusInternalServerError, http.Header{}), 0},
		{"refused", newResponse(http.StatusServiceUnavailable, http.Header{platform.HeaderNotRun: {"1"}}), 1},
		{"another server's", newResponse(http.StatusMisdirectedRequest, http.Header{}), 1},
	}
	for _, tc := range tests {
		ri := newRig(t)
		now := time.Now()
		ri.front.ApplyResponseHeader(li, newResponse(http.StatusOK, http.Header{platform.HeaderLimit: {"2"}}), now)
		ri.front.ApplyResponseHeader(li, tc.rsp, time.Now())
		if num := ri.front.Backpressure.NumLimited(); num != tc.want {
			t.Errorf("%s: %d endpoints with a limit, want %d", tc.name, num, tc.want)
		}
	}
}
