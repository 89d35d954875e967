package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// halfClose sends a request on a connection of its own and returns that. The caller then closes its
// side with CloseWrite, and still reads.
func (ri *rig) halfClose(path, id string) *net.TCPConn {
	ri.t.Helper()
	nc, err := net.Dial("tcp", ri.hs.Listener.Addr().String())
	if err != nil {
		ri.t.Fatal(err)
	}
	ri.t.Cleanup(func() { nc.Close() })
	fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: some.example\r\n%s: %s\r\n%s: Token key-1\r\n%s: large\r\n%s: 100,70\r\nContent-Length: 8\r\n\r\nquestion",
		path, platform.HeaderRequestID, id, platform.HeaderAuthorization, platform.HeaderModel, platform.HeaderTokens)
	return nc.(*net.TCPConn)
}

// Guards against a response that looks complete although the stream was given up because its caller
// seemed to be gone: a caller that has closed its side only still reads.
func TestStreamGivenUpDoesNotLookComplete(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  emulator.Fault
		events int
	}{
		{"before the first event", emulator.Hangs, 0},
		{"after two events", emulator.Pauses, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t)
			sv := ri.addGroup(always(tc.fault))
			sv.Resume = make(chan struct{})
			nc := ri.halfClose("/draft/x", "id")
			br := bufio.NewReader(nc)
			si := &silence{rig: ri}
			si.eventually("the request at the group", func() bool { return ri.table.Requests(false) == 1 })
			var rsp *http.Response
			var err error
			if tc.events > 0 {
				if rsp, err = http.ReadResponse(br, nil); err != nil {
					t.Fatal(err)
				}
			}
			if err := nc.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if rsp == nil {
				if rsp, err = http.ReadResponse(br, nil); err != nil {
					return
				}
			}
			if body, err := io.ReadAll(rsp.Body); err == nil && rsp.StatusCode == http.StatusOK {
				t.Errorf("got status 200 and %q without an error, want a response that does not look complete", body)
			}
		})
	}
}
