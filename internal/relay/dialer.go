// Package relay opens connections to endpoints: over the daemon's own path, or through another
// daemon if that path is broken. What is sent on a connection, and what is concluded from it, does
// not depend on the way it takes.
package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/reach"
)

const (
	// directHeadStart is how long a connection over the own path may take before another daemon is
	// asked as well. A round trip takes up to 9 ms.
	directHeadStart = 50 * time.Millisecond
	// relayTimeout bounds the opening of a connection through one daemon.
	relayTimeout = 60 * time.Millisecond
	// relayAttempts is the number of daemons that are asked for a connection.
	relayAttempts = 6
	// witnesses is the number of other endpoints that a daemon tries to reach before it doubts its
	// own path. Those in one rack may be down together.
	witnesses = 3
)

// Dialer opens connections to endpoints. Set the exported fields before the first use.
type Dialer struct {
	Clock clock.Clock
	// Timeout bounds the opening of a connection over this daemon's own path.
	Timeout time.Duration
	Paths   *reach.Tracker
	Relays  *reach.Relays
	// Daemons returns the other daemons that are alive; nil means that there are none.
	Daemons func() []reach.Candidate
	// IP is this daemon's address and Port the port of all daemons for calls between them.
	IP   string
	Port int
	// Others returns the addresses of other endpoints, best of the same service.
	Others func(addr string) []string
	// OnLost is called when the path to an address is found lost; nil means no call.
	OnLost func(addr string)
	// OpenDirect opens a connection over this daemon's own path; nil means net.Dialer.
	OpenDirect func(ctx context.Context, addr string) (net.Conn, error)
}

// ErrUnconfirmed means that an endpoint could not be reached over the own path, and that no other
// daemon could tell whether it is up.
var ErrUnconfirmed = errors.New("relay: own path failed, no other daemon could confirm it")

// unconfirmed returns ErrUnconfirmed with the text of its cause. The cause itself must not be found by
// errors.Is, which eris does by text.
func unconfirmed(cause error) error { return fmt.Errorf("%w: %v", ErrUnconfirmed, cause) }

// result is the outcome of one way to connect.
type result struct {
	nc     net.Conn
	err    error
	direct bool
}

// Dial opens a connection to an endpoint. Its error is syscall.ECONNREFUSED only if another daemon
// was refused too, or if there is none, and that one reaches other endpoints.
func (di *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	at := &attempt{di: di, addr: addr, results: make(chan result, 2)}
	way := di.Paths.Way(addr, di.Clock.Now())
	switch {
	case way == reach.DirectOnly || di.Daemons == nil:
		return di.directConfirmed(ctx, addr)
	case way == reach.RelayFirst:
		at.startRelay(ctx)
	case way == reach.Both:
		at.startDirect(ctx)
		at.startRelay(ctx)
	default:
		at.startDirect(ctx)
	}
	return at.wait(ctx)
}

// attempt is one call of Dial.
type attempt struct {
	di      *Dialer
	addr    string
	results chan result
	// directErr and relayErr are the outcomes of the ways that have failed.
	directErr, relayErr         error
	directStarted, relayStarted bool
	pending                     int
}

// startDirect begins to connect over the own path. It goes on after the attempt, since its outcome
// tells whether the path is lost.
func (at *attempt) startDirect(ctx context.Context) {
	at.directStarted = true
	at.pending++
	ctx = context.WithoutCancel(ctx)
	go func() {
		nc, err := at.di.Direct(ctx, at.addr)
		at.results <- result{nc, err, true}
	}()
}

// startRelay begins to connect through other daemons.
func (at *attempt) startRelay(ctx context.Context) {
	at.relayStarted = true
	at.pending++
	go func() {
		nc, err := at.di.dialRelays(ctx, at.addr)
		at.results <- result{nc, err, false}
	}()
}

// wait returns the first connection, and starts the second way when the first one fails or is slow.
func (at *attempt) wait(ctx context.Context) (net.Conn, error) {
	begin := at.di.Clock.Now()
	headStart := time.NewTimer(directHeadStart)
	defer headStart.Stop()
	defer func() {
		if at.pending > 0 {
			go at.discard(at.pending)
		}
	}()
	for {
		select {
		case re := <-at.results:
			at.pending--
			if re.err == nil {
				at.record(re.direct)
				return re.nc, nil
			}
			if at.failed(ctx, re) {
				return nil, at.err()
			}
		case <-headStart.C:
			if late := at.di.Clock.Now().Sub(begin); late > directHeadStart+timerSlack && len(at.results) == 0 && !at.relayStarted {
				// This machine was paused and may not have read the answer yet.
				begin = at.di.Clock.Now()
				headStart.Reset(directHeadStart)
				continue
			}
			if !at.relayStarted {
				at.startRelay(ctx)
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// timerSlack is how late a timer may fire before the delay is attributed to this machine.
const timerSlack = 20 * time.Millisecond

// failed records the failure of one way and starts the other one. It reports whether both have
// failed.
func (at *attempt) failed(ctx context.Context, re result) bool {
	if re.direct {
		at.directErr = re.err
	} else {
		at.relayErr = re.err
	}
	switch {
	case at.directErr != nil && at.relayErr != nil:
		at.di.Paths.Unreachable(at.addr, at.di.Clock.Now())
		return true
	case re.direct && !at.relayStarted:
		at.startRelay(ctx)
	case !re.direct && !at.directStarted:
		at.startDirect(ctx)
	}
	return false
}

// err returns the error of an attempt whose ways have both failed.
func (at *attempt) err() error {
	if errors.Is(at.directErr, syscall.ECONNREFUSED) && !errors.Is(at.relayErr, syscall.ECONNREFUSED) {
		return unconfirmed(at.directErr)
	}
	return at.directErr
}

// record records the way that a connection was opened.
func (at *attempt) record(direct bool) {
	if direct {
		return
	}
	if at.di.Paths.RelayOpened(at.addr, at.di.Clock.Now()) && at.di.OnLost != nil {
		at.di.OnLost(at.addr)
	}
}

// discard closes connections that were opened too late.
func (at *attempt) discard(pending int) {
	for range pending {
		if re := <-at.results; re.err == nil {
			re.nc.Close()
		}
	}
}

// Direct opens a connection over this daemon's own path and records the outcome.
func (di *Dialer) Direct(ctx context.Context, addr string) (net.Conn, error) {
	limit, cancel := context.WithTimeout(ctx, di.Timeout)
	defer cancel()
	open := di.OpenDirect
	if open == nil {
		open = dialTCP
	}
	nc, err := open(limit, addr)
	switch {
	case err == nil:
		di.Paths.DirectOpened(addr)
	case ctx.Err() == nil:
		di.Paths.DirectFailed(addr, errors.Is(err, syscall.ECONNREFUSED), di.Clock.Now())
		metrics.GetOrCreateCounter(`corianderhub_connect_failures_total{cause="` + failureCause(err) + `"}`).Inc()
	}
	return nc, err
}

// DirectForOthers opens a connection over this daemon's own path on behalf of another daemon. It
// fails at once if the last one failed a moment ago. The error is syscall.ECONNREFUSED only if this
// daemon reaches other endpoints.
func (di *Dialer) DirectForOthers(ctx context.Context, addr string) (net.Conn, error) {
	failed, refused := di.Paths.FailedRecently(addr, di.Clock.Now())
	if !failed {
		return di.directConfirmed(ctx, addr)
	}
	if refused && di.reachesOthers(ctx, addr) {
		return nil, syscall.ECONNREFUSED
	}
	return nil, errNotReached
}

// directConfirmed opens a connection over this daemon's own path. The error is
// syscall.ECONNREFUSED only if this daemon reaches other endpoints.
func (di *Dialer) directConfirmed(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := di.Direct(ctx, addr)
	if errors.Is(err, syscall.ECONNREFUSED) && !di.reachesOthers(ctx, addr) {
		return nil, unconfirmed(err)
	}
	return nc, err
}

// reachesOthers reports whether this daemon reaches an endpoint other than the one at addr. Those to
// which connections have just failed are not tried again.
func (di *Dialer) reachesOthers(ctx context.Context, addr string) bool {
	now := di.Clock.Now()
	others := slices.DeleteFunc(di.Others(addr), func(other string) bool {
		failed, _ := di.Paths.FailedRecently(other, now)
		return failed
	})
	for _, num := range rand.Perm(len(others))[:min(witnesses, len(others))] {
		nc, err := di.Direct(ctx, others[num])
		if err == nil {
			nc.Close()
			return true
		}
	}
	return false
}

// dialTCP opens a TCP connection without keep-alive probes: a connection that waits for a
// response is watched by the request's own timeouts.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	di := net.Dialer{KeepAlive: -1}
	return di.DialContext(ctx, "tcp", addr)
}

// failureCause returns the metric label of a failed connection.
func failureCause(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "other"
}

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
	br := bufio.NewReader(nc)
	rsp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, eris.Wrap(err, "ask daemon")
	}
	defer rsp.Body.Close()
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
