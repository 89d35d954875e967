package front

import (
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// crashOnce makes OnDisconnect report that the first endpoint has crashed and later ones have not.
func (ri *rig) crashOnce() {
	first := true
	ri.front.OnDisconnect = func(bo Disconnect) <-chan bool {
		ri.recordDisconnect(bo)
		known := make(chan bool, 1)
		ri.mu.Lock()
		defer ri.mu.Unlock()
		known <- first
		first = false
		return known
	}
}

// Guards against taking the end of a connection for the end of a response that has neither a length
// nor chunks, when the endpoint has crashed; and against breaking off such a response when it has not.
func TestEndOfUnframedResponse(t *testing.T) {
	tests := []struct {
		path    string
		crashed bool
		// status is 0 for a response that is broken off.
		status, runs int
	}{
		{"/draft/x", false, http.StatusOK, 1},
		{"/once/x", false, http.StatusOK, 1},
		{"/slot/x", false, http.StatusOK, 1},
		{"/confirm/x", false, http.StatusOK, 1},
		{"/draft/x", true, http.StatusOK, 2},
		{"/once/x", true, 0, 1},
		{"/slot/x", true, http.StatusOK, 2},
		{"/confirm/x", true, http.StatusBadGateway, 1},
	}
	for _, tc := range tests {
		name := tc.path + " of a running endpoint"
		if tc.crashed {
			name = tc.path + " of a crashed endpoint"
		}
		t.Run(name, func(t *testing.T) {
			ri := newRig(t)
			for range 2 {
				ri.addPlain(nil).SetUnframed(true)
				ri.addGroup(nil).SetUnframed(true)
			}
			if tc.crashed {
				ri.crashOnce()
			}
			streams := tc.path == "/draft/x" || tc.path == "/once/x"
			change := func(req *http.Request) {
				if streams {
					setTokenCounts(req)
				}
			}
			re := ri.send(tc.path, "id", change)
			if broken := re.err != nil; broken != (tc.status == 0) || !broken && re.status != tc.status {
				t.Errorf("status %d, error %v, want status %d (0: broken off)", re.status, re.err, tc.status)
			}
			want := emulator.Body("id")
			if streams {
				want = completeStream("id")
			}
			if tc.status == http.StatusOK && re.body != want {
				t.Errorf("got body %q, want %q", re.body, want)
			}
			if num := ri.runs("id"); num != tc.runs {
				t.Errorf("ran %d times, want %d", num, tc.runs)
			}
		})
	}
}

// Guards against a stream without length or chunks that ends inside an event and is taken as complete.
func TestUnframedStreamTruncated(t *testing.T) {
	ri := newRig(t)
	fault := failFirst(emulator.Truncates)
	for range 2 {
		ri.addGroup(fault).SetUnframed(true)
	}
	if re := ri.send("/draft/x", "id", setTokenCounts); re.err != nil || re.body != completeStream("id") {
		t.Errorf("got body %q, error %v, want the complete stream", re.body, re.err)
	}
}
