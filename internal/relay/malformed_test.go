package relay

import (
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a connection through another daemon that has not answered the call for it, or not whole.
func TestMalformedUpgrade(t *testing.T) {
	responses := servertest.MalformedNames("", "nine bytes")
	maps.Copy(responses, servertest.CutHeads(""))
	maps.Copy(responses, servertest.InvalidStatuses("", "nine bytes"))
	for name, raw := range responses {
		t.Run(name, func(t *testing.T) {
			raw := strings.ReplaceAll(raw, " 200 OK", " 101 Switching Protocols")
			for _, end := range []servertest.End{servertest.Close, servertest.Reset} {
				sv := servertest.Respond(t, relaying, end, func(*http.Request) string { return raw })
				nc, err := net.Dial("tcp", sv.Address)
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				if _, err := upgrade(nc, relaying, endpoint+":80"); err == nil {
					t.Error("got a connection, want an error")
				}
			}
		})
	}
}
