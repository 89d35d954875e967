package abuse

import (
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against servers that send without end to a crowd of callers and so end the daemon for all.
func TestFrontEndlessServers(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		fault      emulator.Fault
	}{
		{"value", "/slot/x", emulator.EndlessValue},
		{"fields", "/slot/x", emulator.EndlessFields},
		{"body", "/slot/x", emulator.EndlessBody},
		{"event", "/draft/x", emulator.EndlessEvent},
		{"comments", "/draft/x", emulator.EndlessComments},
		{"duplicates", "/draft/x", emulator.EndlessDuplicates},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fr, cr := startFront(t), newCrowd(t)
			fault := func(req *http.Request) emulator.Fault {
				if req.Header.Get(platform.HeaderRequestID) == "crowd" {
					return tc.fault
				}
				return emulator.None
			}
			fr.deployment.SetModelFault(fault)
			for _, id := range fr.deployment.IDs("desk") {
				fr.deployment.Server(id).SetFault(fault)
			}
			cr.returning(60, callers, sends(request(http.MethodPost, tc.path, emulator.Host, fields(tc.path, "crowd"), "Content-Length: 0\r\n")))
			fr.check(t, cr)
		})
	}
}
