package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/core/reach"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/httphead"
)

const (
	// relayTimeout bounds the opening of a connection through one daemon.
	relayTimeout = 60 * time.Millisecond
	// relayAttempts is the number of daemons that are asked for a connection.
	relayAttempts = 6
)

// relaysCount returns the counter of connections through other daemons by outcome.
func relaysCount(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`corianderhub_relayed_connections_total{way="through-others",outcome="` + outcome + `"}`)
}

// dialRelays opens a connection through another daemon and asks up to relayAttempts of them. The
// error is syscall.ECONNREFUSED if the endpoint refuses connections to one that reaches others.
func (di *Dialer) dialRelays(ctx context.Context, addr string) (net.Conn, error) {
	candidates := di.Daemons()
	if len(candidates) == 0 && di.reachesOthers(ctx, addr) {
		return nil, syscall.ECONNREFUSED
	}
	var tried []reach.Candidate
	var unreached []string
	for range relayAttempts {
		ca, ok := di.Relays.Pick(candidates, tried, di.Clock.Now())
		if !ok {
			break
		}
		tried = append(tried, ca)
		nc, err := di.dialRelay(ctx, ca.IP, addr)
		switch {
		case err == nil:
			for _, ip := range unreached {
				di.Relays.Failed(ip, di.Clock.Now())
			}
			relaysCount("opened").Inc()
			return nc, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.Is(err, syscall.ECONNREFUSED):
			relaysCount("refused").Inc()
			return nil, err
		case errors.Is(err, errNotReached):
			unreached = append(unreached, ca.IP)
		default:
			di.Relays.Failed(ca.IP, di.Clock.Now())
		}
	}
	relaysCount("failed").Inc()
	return nil, errNotReached
}

// errNotReached means that another daemon did not reach an endpoint either.
var errNotReached = errors.New("relay: endpoint not reached")

// dialRelay asks one daemon for a connection.
func (di *Dialer) dialRelay(ctx context.Context, ip, addr string) (net.Conn, error) {
	limit, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	// The other daemon recognizes this one by its address.
	nd := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(di.IP)}, KeepAlive: -1}
	nc, err := nd.DialContext(limit, "tcp", net.JoinHostPort(ip, strconv.Itoa(di.Port)))
	if err != nil {
		// The cause is not wrapped: a daemon that refuses is no endpoint that refuses.
		return nil, fmt.Errorf("connect to daemon: %v", err)
	}
	stop := context.AfterFunc(limit, func() { nc.Close() })
	br, err := upgrade(nc, ip, addr)
	if !stop() || err != nil {
		nc.Close()
		return nil, errors.Join(err, limit.Err())
	}
	di.Relays.Opened(ip)
	return &conn{Conn: nc, br: br, onClose: func() { di.Relays.Closed(ip) }}, nil
}

// upgrade sends the call for a connection and reads the response.
func upgrade(nc net.Conn, ip, addr string) (*bufio.Reader, error) {
	target := Path + "?" + url.Values{paramAddress: {addr}}.Encode()
	call := "GET " + target + " HTTP/1.1\r\nHost: " + ip + "\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err := nc.Write([]byte(call)); err != nil {
		return nil, eris.Wrap(err, "ask daemon")
	}
	hr := http1.NewHeadReader(nc)
	br := bufio.NewReader(hr)
	hr.Begin(nil)
	hr.Expect()
	rsp, err := http.ReadResponse(br, nil)
	hr.Parsed()
	if err != nil {
		return nil, eris.Wrap(err, "ask daemon")
	}
	defer rsp.Body.Close()
	if err := httphead.Check(rsp); err != nil {
		return nil, eris.Wrap(err, "ask daemon")
	}
	switch rsp.StatusCode {
	case http.StatusSwitchingProtocols:
		return br, nil
	case http.StatusGone:
		return nil, syscall.ECONNREFUSED
	case http.StatusGatewayTimeout:
		return nil, errNotReached
	}
	return nil, eris.Errorf("ask daemon: got status %d", rsp.StatusCode)
}
