// Package relay opens connections to endpoints: over the daemon's own path, or through another
// daemon if that path is broken. What is sent on a connection, and what is concluded from it, does
// not depend on the way it takes.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/reach"
)

// directHeadStart is how long a connection over the own path may take before another daemon is
// asked as well. A round trip takes up to 9 ms.
const directHeadStart = 50 * time.Millisecond

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

// startDirect begins to connect over the own path. It is not canceled with the attempt: Direct
// records its outcome in Paths.
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
