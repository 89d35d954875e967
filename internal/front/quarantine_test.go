package front

import (
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// fingerprintOf returns the fingerprint of the request that rig.send sends.
func fingerprintOf(path, id string) quarantine.Fingerprint {
	co := quarantine.Content{Method: http.MethodPost, Host: "some.example", URI: path, Caller: "nursery", Body: []byte("question " + id)}
	return co.Fingerprint()
}

// quarantineRequest quarantines a request, as if servers had crashed on it.
func (ri *rig) quarantineRequest(fp quarantine.Fingerprint) {
	ri.front.Quarantine.Merge([]quarantine.Entry{{Subject: fp, Since: time.Now()}}, time.Now())
}

// Guards against sending a quarantined request to another server when its caller retries it. The
// caller must be refused at once, with a 503 that says it has not run and when to retry. Other
// requests are served.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	for _, path := range []string{"/draft/x", "/once/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			ri.addPlain(nil)
			ri.addGroup(nil)
			ri.quarantineRequest(fingerprintOf(path, "crash"))
			re := ri.send(path, "crash", setTokenCounts)
			if re.status != http.StatusServiceUnavailable || re.header.Get(platform.HeaderRetryAfter) == "" {
				t.Errorf("status %d with Retry-After %q, want 503 with a value", re.status, re.header.Get(platform.HeaderRetryAfter))
			}
			if num := ri.runs("crash"); num != 0 {
				t.Errorf("ran %d times, want 0", num)
			}
			if re := ri.send(path, "sound", setTokenCounts); re.status != http.StatusOK {
				t.Errorf("another request: status %d, want 200", re.status)
			}
		})
	}
}

// Guards against retrying a request that is quarantined during its own attempt, because one more
// server crashes on it. It must not be sent to another server, and the response must not claim
// that it has not run.
func TestQuarantinedDuringAttempt(t *testing.T) {
	for _, path := range []string{"/draft/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			fp := fingerprintOf(path, "crash")
			ri.front.Quarantine.RecordCrash(quarantine.Crash{Endpoint: "earlier", At: time.Now(), Requests: []quarantine.Request{{Content: fp}}}, time.Now())
			ri.front.OnDisconnect = func(bo Disconnect) <-chan bool {
				known := make(chan bool, 1)
				time.AfterFunc(50*time.Millisecond, func() {
					ri.quarantineRequest(bo.Request.Content)
					known <- true
				})
				return known
			}
			for range 2 {
				ri.addPlain(always(emulator.DropsResponse))
				ri.addGroup(always(emulator.DropsResponse))
			}
			re := ri.send(path, "crash", setTokenCounts)
			if num := ri.runs("crash"); num != 1 {
				t.Errorf("ran %d times, want 1", num)
			}
			if re.status != http.StatusBadGateway {
				t.Errorf("status %d, want 502 because the request ran", re.status)
			}
		})
	}
}

// Guards against counting unrelated crashes against a request. A server crashed for another
// reason while it ran the request. The later completion must be reported, or the request would
// collect such crashes over time until it is quarantined.
func TestCompletionIsReported(t *testing.T) {
	for _, path := range []string{"/draft/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			ri.addPlain(nil)
			ri.addGroup(nil)
			ri.send(path, "sound", setTokenCounts)
			if num := len(ri.completions); num != 0 {
				t.Errorf("%d completions reported of a request without crashes, want 0", num)
			}
			fp := fingerprintOf(path, "sound")
			ri.front.Quarantine.RecordCrash(quarantine.Crash{Endpoint: "earlier", At: time.Now(), Requests: []quarantine.Request{{Content: fp}}}, time.Now())
			ri.send(path, "sound", setTokenCounts)
			ri.mu.Lock()
			defer ri.mu.Unlock()
			if len(ri.completions) != 1 || ri.completions[0] != fp {
				t.Errorf("reported completions %v, want only this request", ri.completions)
			}
		})
	}
}

// Guards against wrong reports of disconnects. A connection that the endpoint closes may mean a
// crash; one that ends with a complete response, by the caller or by a timeout does not.
func TestDisconnectIsReported(t *testing.T) {
	tests := []struct {
		name  string
		fault emulator.Fault
		want  bool
	}{{"closed before the answer", emulator.DropsResponse, true}, {"cut off", emulator.Truncates, true}, {"sound", emulator.None, false},
		{"failed", emulator.Fails, false}, {"refused", emulator.Refuses, false}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			ri.addGroup(always(tc.fault))
			ri.addPlain(always(tc.fault))
			for _, path := range []string{"/once/x", "/confirm/x"} {
				before := ri.numDisconnects()
				ri.send(path, "id", setTokenCounts)
				if got := ri.numDisconnects() > before; got != tc.want {
					t.Errorf("%s: disconnect reported: %v, want %v", path, got, tc.want)
				}
			}
		})
	}
}

// numDisconnects returns the number of disconnects that the server has reported.
func (ri *rig) numDisconnects() int {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return len(ri.disconnects)
}

// setParts sets a prompt with the parts, the last of which is the request's own, and token counts.
func setParts(parts string) func(*http.Request) {
	return func(req *http.Request) {
		setTokenCounts(req)
		req.Header.Set(platform.HeaderPrefix, parts)
	}
}

// part returns the fingerprint of a part of prompts for the service that streams.
func part(id string) quarantine.Fingerprint {
	return quarantine.NewRequest(&quarantine.Content{}, "engine", []string{id}).Parts[0]
}

// Guards against sending requests with a quarantined part to servers, and against refusing others of
// the same caller. The last part is a request's own and is never quarantined.
func TestQuarantinedPartIsRefused(t *testing.T) {
	ri := newRig(t)
	ri.addGroup(nil)
	ri.front.Quarantine.Merge([]quarantine.Entry{{Subject: part("dead"), Part: true, Since: time.Now()}}, time.Now())
	for parts, refused := range map[string]bool{"dead:5,a1:5,own:5": true, "a1:5,dead:5,own:5": true, "a1:5,own:5": false, "a1:5,dead:5": false, "": false} {
		re := ri.send("/draft/x", "id-"+parts, setParts(parts))
		if got := re.status == http.StatusServiceUnavailable; got != refused {
			t.Errorf("parts %q: status %d, want refused %v", parts, re.status, refused)
		}
		if refused && re.header.Get(platform.HeaderRetryAfter) == "" {
			t.Errorf("parts %q: refused without Retry-After", parts)
		}
		if num := ri.runs("id-" + parts); (num == 0) != refused {
			t.Errorf("parts %q: ran %d times, refused %v", parts, num, refused)
		}
	}
}

// Guards against a verdict that never ends: once a probe is due, the daemon that may probe sends one
// request, and no other until the next probe.
func TestQuarantinedPartIsProbed(t *testing.T) {
	ri := newRig(t)
	ri.addGroup(nil)
	ri.front.Quarantine.Merge([]quarantine.Entry{{Subject: part("dead"), Part: true, Since: time.Now().Add(-time.Hour)}}, time.Now())
	if re := ri.send("/draft/x", "before", setParts("dead:5,own:5")); re.status != http.StatusServiceUnavailable {
		t.Errorf("daemon that may not probe: status %d, want 503", re.status)
	}
	ri.front.MayProbe = func() bool { return true }
	if re := ri.send("/draft/x", "probe", setParts("dead:5,own:5")); re.status != http.StatusOK || re.body != completeStream("probe") {
		t.Errorf("probe: status %d with %q, want the complete stream", re.status, re.body)
	}
	if num := len(ri.completions); num == 0 {
		t.Error("the completion of the probe is not reported")
	}
	// The rig records completions but doesn't apply them, so the part stays in quarantine.
	if re := ri.send("/draft/x", "after", setParts("dead:5,own:5")); re.status != http.StatusServiceUnavailable {
		t.Errorf("after the probe: status %d, want 503", re.status)
	}
}

// Guards against a second crash under one request: if its first endpoint has crashed before the first
// event, it is sent again only if requests with each part of its prompt have completed.
func TestUnprovenPartIsNotSentAgain(t *testing.T) {
	for _, tc := range []struct {
		name            string
		proven, crashed bool
		runs            int
	}{{"new part", false, true, 1}, {"part of completed requests", true, true, 2}, {"endpoint still running", false, false, 2}} {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			fault := failFirst(emulator.DropsResponse)
			for range 2 {
				ri.addGroup(fault)
			}
			if tc.crashed {
				ri.crashOnce()
			}
			if tc.proven {
				ri.front.Quarantine.Complete(quarantine.Request{Parts: []quarantine.Fingerprint{part("a1")}})
			}
			re := ri.send("/draft/x", "id", setParts("a1:5,own:5"))
			if num := ri.runs("id"); num != tc.runs {
				t.Errorf("ran %d times, want %d", num, tc.runs)
			}
			want := http.StatusOK
			if tc.runs == 1 {
				want = http.StatusBadGateway
			}
			if re.status != want {
				t.Errorf("status %d, want %d", re.status, want)
			}
		})
	}
}
