package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// maxHandshakes bounds the handshakes of other daemons in progress at the same time. Anybody can begin
// one, and each needs some ten KiB until it is complete or times out.
const maxHandshakes = 256

var refusedHandshakes = metrics.NewCounter("corianderhub_peer_handshakes_refused_total")

// handshakes counts the handshakes in progress. The zero value is ready for use.
type handshakes struct{ open atomic.Int64 }

// handshakeKey is the key of the function that ends a handshake in the context of its connection.
type handshakeKey struct{}

// begin is called for each incoming connection. An error refuses the connection.
func (ha *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if ha.open.Add(1) > maxHandshakes {
		ha.open.Add(-1)
		refusedHandshakes.Inc()
		return nil, eris.New("peer: too many handshakes")
	}
	end := sync.OnceFunc(func() { ha.open.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// end records that the handshake of a connection is complete.
func (ha *handshakes) end(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}
