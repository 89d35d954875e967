package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/stop"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// stopIn begins a planned stop that answers after a time and aborts streams after another one.
func (ri *rig) stopIn(answer, abort time.Duration) {
	now := time.Now()
	ri.front.SetStopping(stop.Times{AnswerBy: now.Add(answer), AbortBy: now.Add(abort)})
}

// sendAll sends a request to each path at the same time and returns the results by path.
func (ri *rig) sendAll(paths ...string) map[string]chan result {
	results := make(map[string]chan result)
	for _, path := range paths {
		done := make(chan result, 1)
		results[path] = done
		go func() { done <- ri.send(path, "id-"+path, setTokenCounts) }()
	}
	return results
}

// untilRuns waits until each path's request runs somewhere.
func (ri *rig) untilRuns(paths ...string) {
	ri.t.Helper()
	until := time.Now().Add(longTimeout)
	for _, path := range paths {
		for ri.runs("id-"+path) == 0 {
			if time.Now().After(until) {
				ri.t.Fatalf("%s did not run within %v", path, longTimeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a planned stop that ends requests in progress without an answer, and against aborting
// a stream that has begun before the others are answered.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(always(emulator.Hangs))
	ri.addGroup(func(req *http.Request) emulator.Fault {
		if strings.HasSuffix(req.URL.Path, "begun") {
			return emulator.Pauses
		}
		return emulator.Hangs
	})
	unbegun := []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"}
	begun := []string{"/draft/begun", "/once/begun"}
	results := ri.sendAll(append(begun, unbegun...)...)
	ri.untilRuns(append(begun, unbegun...)...)
	start := time.Now()
	ri.stopIn(300*time.Millisecond, 600*time.Millisecond)
	for _, path := range unbegun {
		re := <-results[path]
		if re.status != http.StatusGatewayTimeout || !re.closes {
			t.Errorf("%s: status %d, closes %t, error %v; want 504 that closes the connection", path, re.status, re.closes, re.err)
		}
	}
	for _, path := range begun {
		if re := <-results[path]; re.status != http.StatusOK || re.err == nil || time.Since(start) < 600*time.Millisecond {
			t.Errorf("%s: status %d, error %v after %v; want a stream that is aborted when all others are answered", path, re.status, re.err, time.Since(start))
		}
	}
	if got, want := fmt.Sprint(ri.front.EndedByStop().Attrs()), "[refused 0 unfinished 4 aborted 2]"; got != want {
		t.Errorf("counts %s, want %s", got, want)
	}
}

// Guards against passing on a request after the signal that can't end in time, and against refusing one
// that can: by what this daemon has seen, by the route's objective, or by its own deadline.
func TestStopRefusesWhatCannotEnd(t *testing.T) {
	paths := []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"}
	for _, tc := range []struct {
		name     string
		seen     time.Duration
		deadline time.Duration
		want     int
	}{
		{"nothing seen", 0, 0, http.StatusServiceUnavailable},
		{"long", 6 * time.Second, 0, http.StatusServiceUnavailable},
		{"short", time.Second, 0, http.StatusOK},
		{"short deadline", 0, 4 * time.Second, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			ri.addPlain(nil)
			ri.addGroup(nil)
			for _, ro := range ri.cfg.Routes {
				if tc.seen > 0 {
					ri.front.durations.Add(ro.Host+ro.Prefix, tc.seen, time.Now())
				}
			}
			ri.stopIn(5*time.Second, 5*time.Second)
			for _, path := range paths {
				re := ri.send(path, "id-"+path, func(req *http.Request) {
					setTokenCounts(req)
					if tc.deadline > 0 {
						req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(tc.deadline.Milliseconds(), 10))
					}
				})
				want := tc.want
				if path == "/slot/x" && tc.seen == 0 {
					want = http.StatusOK // It may be repeated.
				}
				if re.status != want {
					t.Errorf("%s: status %d, error %v; want %d", path, re.status, re.err, want)
				}
				if re.status == http.StatusServiceUnavailable && (ri.runs("id-"+path) > 0 || re.header.Get(platform.HeaderRetryAfter) == "") {
					t.Errorf("%s: %d runs, header %v; want a refusal without a run and with Retry-After", path, ri.runs("id-"+path), re.header)
				}
			}
		})
	}
}

// Guards against handing an endpoint a deadline after the daemon's end, and against sending a request
// again that can't end before it.
func TestStopBoundsSends(t *testing.T) {
	ri := newRig(t)
	for range 2 {
		ri.addPlain(always(emulator.DropsResponse))
	}
	for i := range ri.cfg.Routes {
		ri.cfg.Routes[i].Objective = 0
	}
	ri.front.durations.Add("some.example/slot/", 6*time.Second, time.Now())
	ri.stopIn(10*time.Second, 10*time.Second)
	ri.front.Clock = &lateClock{Clock: ri.front.Clock, sends: func() int { return ri.runs("late") }, by: 5 * time.Second}
	if re := ri.send("/slot/x", "late", nil); re.status != http.StatusBadGateway {
		t.Errorf("status %d, error %v; want 502", re.status, re.err)
	}
	var runs []emulator.Run
	for _, sv := range ri.plainServers {
		runs = append(runs, sv.Runs()...)
	}
	if len(runs) != 1 {
		t.Fatalf("%d runs, want 1", len(runs))
	}
	if left, err := strconv.Atoi(runs[0].Header.Get(platform.HeaderDeadline)); err != nil || left > 10_000 {
		t.Errorf("the endpoint has %d ms, %v; want at most 10,000", left, err)
	}
}

// Guards against passing on a request whose connection the end of the stop closes as idle.
func TestNoRequestIsPassedOnAtTheEnd(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(nil)
	ri.front.RefuseNew()
	if re := ri.send("/confirm/x", "id", nil); re.status != http.StatusServiceUnavailable || ri.runs("id") > 0 {
		t.Errorf("status %d, %d runs; want a refusal", re.status, ri.runs("id"))
	}
}

// Guards against 504 for a request that was cut off before it could be sent: its caller could not
// repeat it.
func TestStopRefusesUnsentRequests(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(nil)
	ri.addGroup(nil)
	dialing := make(chan struct{}, 4)
	ri.front.Pool.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	paths := []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"}
	results := ri.sendAll(paths...)
	for range paths {
		<-dialing
	}
	ri.stopIn(100*time.Millisecond, 200*time.Millisecond)
	for _, path := range paths {
		if re := <-results[path]; re.status != http.StatusServiceUnavailable || re.header.Get(platform.HeaderRetryAfter) == "" || !re.closes {
			t.Errorf("%s: status %d, header %v, error %v; want 503 with Retry-After", path, re.status, re.header, re.err)
		}
	}
}

// lateClock moves forward once a request was sent.
type lateClock struct {
	clock.Clock
	sends func() int
	by    time.Duration
}

func (lc *lateClock) Now() time.Time {
	now := lc.Clock.Now()
	if lc.sends() > 0 {
		now = now.Add(lc.by)
	}
	return now
}
