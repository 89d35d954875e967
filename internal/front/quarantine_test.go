package front

import (
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// content is the fingerprint of what ri.ask sends with that path and identifier.
func content(path, id string) quarantine.Fingerprint {
	co := quarantine.Content{Method: http.MethodPost, Host: "some.example", URI: path, Caller: "nursery", Body: []byte("question " + id)}
	return co.Fingerprint()
}

// hold quarantines a request, as if servers had ended under it.
func (ri *rig) hold(fp quarantine.Fingerprint) {
	ri.front.Quarantine.Merge([]quarantine.Entry{{Request: fp, Since: time.Now()}}, time.Now())
}

// Servers ended under a request, and its caller sends it again. It must reach none, and the
// caller must be told at once that it has not run and when it may come again. All others
// are served.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	for _, path := range []string{"/draft/x", "/once/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			ri.desk(nil)
			ri.head(nil)
			ri.hold(content(path, "crash"))
			re := ri.ask(path, "crash", streaming)
			if re.status != http.StatusServiceUnavailable || re.header.Get(platform.HeaderRetryAfter) == "" {
				t.Errorf("status %d, to come again %q", re.status, re.header.Get(platform.HeaderRetryAfter))
			}
			if num := ri.runs("crash"); num != 0 {
				t.Errorf("ran %d times", num)
			}
			if re := ri.ask(path, "sound", streaming); re.status != http.StatusOK {
				t.Errorf("another request: status %d", re.status)
			}
		})
	}
}

// A server ends under a request, and it is the third. The attempt that found that out must
// not go on at another server, and must not say that the request has not run.
func TestQuarantinedDuringAttempt(t *testing.T) {
	for _, path := range []string{"/draft/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			fp := content(path, "crash")
			ri.front.Quarantine.RecordCrash(quarantine.Crash{Endpoint: "earlier", AtMillis: time.Now().UnixMilli(), Requests: []quarantine.Fingerprint{fp}}, time.Now())
			ri.front.OnDisconnect = func(bo Disconnect) <-chan struct{} {
				known := make(chan struct{})
				time.AfterFunc(50*time.Millisecond, func() {
					ri.hold(bo.Request)
					close(known)
				})
				return known
			}
			for range 2 {
				ri.desk(always(emulator.DropsResponse))
				ri.head(always(emulator.DropsResponse))
			}
			re := ri.ask(path, "crash", streaming)
			if num := ri.runs("crash"); num != 1 {
				t.Errorf("ran %d times", num)
			}
			if re.status != http.StatusBadGateway {
				t.Errorf("status %d, though it ran", re.status)
			}
		})
	}
}

// A request was at a server that ended for another reason. Once it is answered whole, that
// is told: it must not add up over time with other ends that it has no part in.
func TestAnswerIsTold(t *testing.T) {
	for _, path := range []string{"/draft/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			ri.desk(nil)
			ri.head(nil)
			ri.ask(path, "sound", streaming)
			if num := len(ri.answered); num != 0 {
				t.Errorf("%d answers told of requests that nothing is known of", num)
			}
			fp := content(path, "sound")
			ri.front.Quarantine.RecordCrash(quarantine.Crash{Endpoint: "earlier", AtMillis: time.Now().UnixMilli(), Requests: []quarantine.Fingerprint{fp}}, time.Now())
			ri.ask(path, "sound", streaming)
			ri.mu.Lock()
			defer ri.mu.Unlock()
			if len(ri.answered) != 1 || ri.answered[0] != fp {
				t.Errorf("told of %v", ri.answered)
			}
		})
	}
}

// A connection that an endpoint closes may mean its end; one that the caller or a time-out
// ended does not.
func TestBrokenOffIsTold(t *testing.T) {
	tests := []struct {
		name  string
		fault emulator.Fault
		want  bool
	}{{"closed before the answer", emulator.DropsResponse, true}, {"cut off", emulator.Truncates, true}, {"sound", emulator.None, false},
		{"failed", emulator.Fails, false}, {"refused", emulator.Refuses, false}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			ri.head(always(tc.fault))
			ri.desk(always(tc.fault))
			for _, path := range []string{"/once/x", "/confirm/x"} {
				before := ri.numBroken()
				ri.ask(path, "id", streaming)
				if got := ri.numBroken() > before; got != tc.want {
					t.Errorf("%s: told %v, want %v", path, got, tc.want)
				}
			}
		})
	}
}

// numBroken is how often the server told of an endpoint that closed a connection.
func (ri *rig) numBroken() int {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return len(ri.broken)
}
