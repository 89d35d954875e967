package mesh

import (
	"net"
	"strconv"
	"testing"

	"corianderhub.dev/corianderhub/internal/servertest"
)

// Guards against a malformed response of another daemon that is taken for its view or its configuration.
func TestMalformedResponse(t *testing.T) {
	servertest.TestClient(t, headerRevision+": 1\r\n", `{"a":"b"}`, func(addr string) error {
		host, port, _ := net.SplitHostPort(addr)
		num, err := strconv.Atoi(port)
		if err != nil {
			return err
		}
		_, _, err = NewClient(num).Config(t.Context(), host)
		return err
	})
}
