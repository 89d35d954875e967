package mesh

import (
	"net"
	"net/http/httptest"
	"strconv"
	"testing"
)

// Guards against a daemon that answers with the configuration before the one in force because
// both have the same revision: the store was restored from a copy in between.
func TestConfigsOfOneRevision(t *testing.T) {
	const revision = 249
	raw := []byte("version 86")
	sv := &Server{Config: func() ([]byte, int64) { return raw, revision }}
	hs := httptest.NewServer(sv.Handler())
	defer hs.Close()
	host, port, err := net.SplitHostPort(hs.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	num, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	cl := NewClient(num)
	for _, want := range []string{"version 86", "version 92"} {
		raw = []byte(want)
		got, _, err := cl.Config(t.Context(), host)
		if err != nil || string(got) != want {
			t.Errorf("got %q and error %v, want %q", got, err, want)
		}
	}
}
