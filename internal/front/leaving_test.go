package front

import (
	"fmt"
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against new requests for an endpoint that has said in an answer that it leaves, while
// the store and so the view say nothing of it yet.
func TestLeavingInAnswer(t *testing.T) {
	for _, path := range []string{"/draft/x", "/confirm/x", "/slot/x"} {
		t.Run(path, func(t *testing.T) {
			ri := newRig(t)
			for range 2 {
				ri.desk(nil)
				ri.head(nil)
			}
			leaving := []*emulator.Server{ri.desks[0], ri.heads[0]}
			for _, sv := range leaving {
				sv.SetBackpressure(emulator.Backpressure{Leaving: true})
			}
			for num := range 30 {
				if re := ri.ask(path, fmt.Sprint("id-", num), streaming); re.status != http.StatusOK {
					t.Errorf("request %d: status %d, though another endpoint takes it", num, re.status)
				}
			}
			for _, sv := range leaving {
				if num := len(sv.Arrivals()); num > 1 {
					t.Errorf("%s got %d requests, all but one after it said that it leaves", sv.ID, num)
				}
			}
		})
	}
}
