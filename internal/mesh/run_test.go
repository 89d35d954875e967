package mesh

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
)

// Guards against a socket that stays open after Run has returned, so that a daemon that starts again
// at the same address can't listen. A datagram arrives at the moment at which the context ends.
func TestRunClosesSocket(t *testing.T) {
	for range 200 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.WriteToUDP([]byte("x"), conn.LocalAddr().(*net.UDPAddr)); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		me := &Mesh{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler), Conn: conn, IP: "127.0.0.1"}
		if err := me.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
			t.Fatalf("the socket is open after Run has returned (%v)", err)
		}
	}
}
