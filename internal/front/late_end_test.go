package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// endLate starts a leader that sends one event, and the end of its stream after a silence. It returns its
// address.
func endLate(t *testing.T, silence time.Duration) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		id := req.Header.Get(platform.HeaderRequestID)
		event := emulator.Event(id, 1)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", platform.HeaderRequestID, id, len(event), event)
		time.Sleep(silence)
		io.WriteString(nc, "0\r\n\r\n")
	}()
	return ln.Addr().String()
}

// Guards against a complete stream that its caller gets without its end, because the deadline of the last
// write has passed while the group was silent.
func TestEndAfterSilenceReachesCaller(t *testing.T) {
	t.Parallel()
	ri := newRig(t)
	ri.view.Groups = []catalog.Group{{Name: "group", Service: "engine", Model: "large", Members: []catalog.Member{{ID: "leader", Address: endLate(t, writeTimeout+200*time.Millisecond)}}}}
	ri.update()
	got := ri.send("/draft/x", "id", setTokenCounts)
	if want := emulator.Event("id", 1); got.err != nil || got.body != want {
		t.Errorf("got %q and error %v, want %q and its end", got.body, got.err, want)
	}
}
