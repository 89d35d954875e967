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
	// limitWindow is the span in which what an endpoint with a limit gets is counted.
	limitWindow = 4 * time.Second
	// limitRatio and limitSlack bound that: so many times the limit, and so many requests.
	limitRatio = 1.5
	limitSlack = 5
)

// withinLimit checks what a server got after a moment against the limit that it names.
func withinLimit(t *testing.T, sv *emulator.Server, perSecond float64, after time.Time) {
	t.Helper()
	allowed := limitRatio*perSecond*limitWindow.Seconds() + limitSlack
	if num := sv.PeakArrivals(limitWindow, after); float64(num) > allowed {
		t.Errorf("%s got %d requests in %s, allowed %.0f", sv.ID, num, limitWindow, allowed)
	}
}

// Guards against a limit in an answer's head that nobody reads: the endpoint is sent requests
// as before, on streams and on plain routes.
func TestLimitIsKept(t *testing.T) {
	const requests, perSecond = 60, 1.5
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			for range 2 {
				ri.desk(nil)
				ri.head(nil)
			}
			for _, sv := range []*emulator.Server{ri.desks[0], ri.heads[0]} {
				sv.SetBackpressure(emulator.Backpressure{Limit: fmt.Sprint(perSecond)})
			}
			begin := time.Now()
			for num := range requests {
				if re := ri.ask(path, fmt.Sprint("id-", num), streaming); re.status != http.StatusOK {
					t.Fatalf("request %d: status %d, though another endpoint takes it", num, re.status)
				}
			}
			for _, sv := range []*emulator.Server{ri.desks[0], ri.heads[0]} {
				withinLimit(t, sv, perSecond, begin)
			}
		})
	}
}

// Guards against a limit that is kept after the endpoint has withdrawn it.
func TestLimitEnds(t *testing.T) {
	ri := newRig(t)
	ri.desk(nil)
	ri.desks[0].SetBackpressure(emulator.Backpressure{Limit: "1000"})
	ri.ask("/slot/x", "limited", nil)
	if num := ri.front.Backpressure.NumLimited(); num != 1 {
		t.Fatalf("%d endpoints with a limit", num)
	}
	ri.desks[0].SetBackpressure(emulator.Backpressure{})
	for end := time.Now().Add(longTimeout); ri.front.Backpressure.NumLimited() > 0; time.Sleep(5 * time.Millisecond) {
		ri.ask("/slot/x", "free", nil)
		if time.Now().After(end) {
			t.Fatal("the limit is kept")
		}
	}
}

// Guards against a refusal that names no limit, as one made before the server itself sees the
// request, and against another server's answer, which say nothing of the endpoint's limit.
func TestLimitOutlastsRefusals(t *testing.T) {
	li := catalog.Instance{ID: "desk-0"}
	answer := func(status int, header http.Header) *http.Response {
		return &http.Response{StatusCode: status, Header: header}
	}
	tests := []struct {
		name string
		rsp  *http.Response
		want int
	}{
		{"answered", answer(http.StatusOK, http.Header{}), 0},
		{"failed", answer(http.StatusInternalServerError, http.Header{}), 0},
		{"refused", answer(http.StatusServiceUnavailable, http.Header{platform.HeaderNotRun: {"1"}}), 1},
		{"another server's", answer(http.StatusMisdirectedRequest, http.Header{}), 1},
	}
	for _, tc := range tests {
		ri := newRig(t)
		now := time.Now()
		ri.front.ApplyResponseHeader(li, answer(http.StatusOK, http.Header{platform.HeaderLimit: {"2"}}), now)
		ri.front.ApplyResponseHeader(li, tc.rsp, time.Now())
		if num := ri.front.Backpressure.NumLimited(); num != tc.want {
			t.Errorf("%s: %d endpoints with a limit, want %d", tc.name, num, tc.want)
		}
	}
}
