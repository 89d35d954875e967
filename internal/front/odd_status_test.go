package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
)

// answerRaw starts an endpoint that answers each request with a head that begins with line, and returns its
// address.
func answerRaw(t *testing.T, line string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if req, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
					io.WriteString(nc, line+"\r\n"+platform.HeaderRequestID+": "+req.Header.Get(platform.HeaderRequestID)+"\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a connection to a caller that is closed without an answer because an endpoint answered with
// a status below 100, which http.ResponseWriter panics on.
func TestStatusThatIsNoneIsAnswered(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 x", "HTTP/1.1 042 x", "HTTP/1.1 099 x", "HTTP/1.1 999 x"} {
		ri := newRig(t)
		addr := answerRaw(t, line)
		ri.view.Plain = []catalog.PlainEndpoint{{ID: "desk", Service: "desk", Address: addr}}
		ri.view.Groups = []catalog.Group{{Name: "group", Service: "engine", Model: "large", Members: []catalog.Member{{ID: "leader", Address: addr}}}}
		ri.update()
		for _, path := range []string{"/confirm/x", "/slot/x", "/draft/x", "/once/x"} {
			if got := ri.send(path, "id", setTokenCounts); got.err != nil {
				t.Errorf("%s, %s: %v", line, path, got.err)
			}
		}
	}
}
