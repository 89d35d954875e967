package front

import (
	"fmt"
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against new requests to an endpoint that has announced its shutdown in a response. The
// store, and so the view, doesn't show it as leaving yet.
func TestLeavingHeaderStopsNewRequests(t *testing.T) {
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			for range 2 {
				ri.addPlain(nil)
				ri.addGroup(nil)
			}
			leaving := []*emulator.Server{ri.plainServers[0], ri.groupServers[0]}
			for _, sv := range leaving {
				sv.SetBackpressure(emulator.Backpressure{Leaving: true})
			}
			for num := range 30 {
				if re := ri.send(path, fmt.Sprint("id-", num), setTokenCounts); re.status != http.StatusOK {
					t.Errorf("request %d: status %d, want 200 from the other endpoint", num, re.status)
				}
			}
			for _, sv := range leaving {
				if num := len(sv.Arrivals()); num > 1 {
					t.Errorf("%s received %d requests, want at most the one before its announcement", sv.ID, num)
				}
			}
		})
	}
}
