package front

import (
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/reach"
	"corianderhub.dev/corianderhub/internal/relay"
	"corianderhub.dev/corianderhub/internal/servertest"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// echoID returns the field with which an endpoint repeats the ID of a request.
func echoID(req *http.Request) string {
	return platform.HeaderRequestID + ": " + req.Header.Get(platform.HeaderRequestID) + "\r\n"
}

// setOnly makes the endpoint at addr the only one of each service.
func (ri *rig) setOnly(addr string) {
	ri.view.Plain = []catalog.PlainEndpoint{{ID: "desk", Service: "desk", Address: addr}}
	ri.view.Groups = []catalog.Group{{Name: "group", Service: "engine", Model: "large", Members: []catalog.Member{{ID: "leader", Address: addr}}}}
	ri.update()
}

// Guards against a part of a response that a caller gets as a complete one: the endpoint responds to a long
// upload at once, without length or chunks, and resets the connection while the upload is being written.
func TestResetWhileUploadIsWritten(t *testing.T) {
	for path, body := range map[string]string{"/confirm/x": "half", "/slot/x": "half", "/draft/x": emulator.Event("id", 1), "/once/x": emulator.Event("id", 1)} {
		t.Run(path, func(t *testing.T) {
			sv := servertest.Respond(t, "127.0.0.1", servertest.Reset, func(req *http.Request) string {
				return "HTTP/1.1 200 OK\r\n" + echoID(req) + "\r\n" + body
			})
			ri := newRig(t)
			ri.setOnly(sv.Address)
			di := &relay.Dialer{Clock: clock.System{}, Timeout: longTimeout, Paths: &reach.Tracker{}, OpenDirect: servertest.DialLate}
			ri.front.Pool.Dial = di.Dial
			re := ri.send(path, "id", setUpload)
			if re.err == nil && re.status == http.StatusOK {
				t.Errorf("got status 200 and %q as the complete response", re.body)
			}
			if num := sv.Requests.Load(); num != 1 {
				t.Errorf("sent %d times, want 1", num)
			}
		})
	}
}
