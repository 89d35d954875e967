package entry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// pathFault is how a daemon's path to the endpoints fails.
type pathFault string

const (
	noPathFault pathFault = ""
	// packetsLost drops packets both ways, on open connections too.
	packetsLost pathFault = "packets-lost"
	// reset resets open connections and refuses new ones.
	reset pathFault = "reset"
	// newRefused refuses new connections; open ones live on.
	newRefused pathFault = "new-refused"
	// silent delivers nothing until the fault ends, and then all.
	silent pathFault = "silent"
)

// endpointPath is a daemon's path to the endpoints. Its connections fail as its fault says.
type endpointPath struct {
	mu    sync.Mutex
	fault pathFault
	conns map[*pathConn]bool
	// resumed is closed when the path is not silent any more.
	resumed chan struct{}
}

// pathConn is a connection over an endpointPath.
type pathConn struct {
	*net.TCPConn
	ep        *endpointPath
	lost      atomic.Bool
	reset     atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// dial opens a connection over the path.
func (ep *endpointPath) dial(ctx context.Context, addr string) (net.Conn, error) {
	ep.mu.Lock()
	fault := ep.fault
	ep.mu.Unlock()
	switch fault {
	case packetsLost:
		<-ctx.Done()
		return nil, ctx.Err()
	case reset, newRefused:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case noPathFault, silent:
	}
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	pc := &pathConn{TCPConn: nc.(*net.TCPConn), ep: ep, closed: make(chan struct{})}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.conns == nil {
		ep.conns = make(map[*pathConn]bool)
	}
	ep.conns[pc] = true
	return pc, nil
}

// setFault changes the path's fault. Connections that have lost packets stay silent.
func (ep *endpointPath) setFault(fault pathFault) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.fault = fault
	if fault == silent {
		ep.resumed = make(chan struct{})
	} else if ep.resumed != nil {
		close(ep.resumed)
		ep.resumed = nil
	}
	for pc := range ep.conns {
		switch fault {
		case packetsLost:
			pc.lost.Store(true)
		case reset:
			pc.reset.Store(true)
			pc.TCPConn.Close()
		case newRefused, noPathFault, silent:
		}
	}
}

// Read implements net.Conn.
func (pc *pathConn) Read(buf []byte) (int, error) {
	num, err := pc.TCPConn.Read(buf)
	if pc.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	if pc.lost.Load() {
		<-pc.closed
		return 0, net.ErrClosed
	}
	pc.ep.mu.Lock()
	resumed := pc.ep.resumed
	pc.ep.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-pc.closed:
			return 0, net.ErrClosed
		}
	}
	return num, err
}

// Write implements net.Conn.
func (pc *pathConn) Write(buf []byte) (int, error) {
	if pc.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	if pc.lost.Load() {
		return len(buf), nil
	}
	return pc.TCPConn.Write(buf)
}

// Close implements net.Conn.
func (pc *pathConn) Close() error {
	pc.closeOnce.Do(func() { close(pc.closed) })
	pc.ep.mu.Lock()
	delete(pc.ep.conns, pc)
	pc.ep.mu.Unlock()
	return pc.TCPConn.Close()
}

const (
	// cutWarmUp is the time from the beginning of a cut after which callers must not notice it.
	cutWarmUp = time.Second
	// cutPause is the time between two changes of a path.
	cutPause = 300 * time.Millisecond
	// cutRequests is the number of requests of each kind that a daemon gets during a cut, and
	// maxCutFailures how many of all may fail: 0.97 are to be served.
	cutRequests    = 20
	maxCutFailures = 1
)

// Guards against daemons that lose their path to all endpoints and refuse their callers while other
// daemons reach the endpoints, and against a steward among them that dissolves the groups of all.
func TestDaemonsCutOffFromEndpoints(t *testing.T) {
	for _, fault := range []pathFault{packetsLost, reset, newRefused} {
		t.Run(string(fault), func(t *testing.T) {
			sk := newStack(t, 4)
			st := sk.steward()
			others := slices.DeleteFunc(slices.Clone(sk.daemons), func(ru *testDaemon) bool { return ru == st })
			cut, sound := []*testDaemon{st, others[0]}, others[1]
			// Streams in flight are what makes a steward poll their groups.
			busy, stopBusy := context.WithCancel(sk.ctx)
			var wg sync.WaitGroup
			for _, ru := range sk.daemons {
				wg.Go(func() { sk.keepBusy(busy, ru) })
			}
			defer func() { stopBusy(); wg.Wait() }()
			sk.until("streams run", func() bool { return sk.streams() >= len(sk.daemons) })
			before := len(st.da.view.Load().Groups)

			for _, ru := range cut {
				ru.path.setFault(fault)
			}
			time.Sleep(cutWarmUp)
			sk.checkServed(cut, before)
			for _, ru := range cut {
				ru.path.setFault(noPathFault)
			}
			sk.until("the paths are used again", func() bool { return sk.unreached(cut) == 0 })
			sk.checkServed(cut, before)

			// All but one lose their paths, twice within a second.
			cut = slices.DeleteFunc(slices.Clone(sk.daemons), func(ru *testDaemon) bool { return ru == sound })
			for _, next := range []pathFault{fault, noPathFault, fault} {
				for _, ru := range cut {
					ru.path.setFault(next)
				}
				time.Sleep(cutPause)
			}
			time.Sleep(cutWarmUp)
			sk.checkServed(cut, before)
			sk.checkInvariants()
		})
	}
}

// Guards against streams of healthy groups that are canceled and run twice, because a daemon counts
// members as lost while no endpoint at all responds to it.
func TestSilenceOfAllEndpoints(t *testing.T) {
	sk := newStack(t, 3)
	before := len(sk.steward().da.view.Load().Groups)
	var wg sync.WaitGroup
	for num, ru := range sk.daemons {
		for i := range 4 {
			id := fmt.Sprint("silence-", num, "-", i)
			wg.Go(func() {
				if got := sk.send(ru, "/draft/", id); got != completeStream(id) {
					t.Errorf("stream at %s: got %q", ru.da.Settings.Name, got)
				}
				if runs := sk.de.Runs(id); runs != 1 {
					t.Errorf("stream at %s ran %d times, want once", ru.da.Settings.Name, runs)
				}
			})
		}
	}
	sk.until("streams run", func() bool { return sk.streams() == 4*len(sk.daemons) })
	for _, ru := range sk.daemons {
		ru.path.setFault(silent)
	}
	time.Sleep(time.Second)
	for _, ru := range sk.daemons {
		ru.path.setFault(noPathFault)
	}
	wg.Wait()
	sk.checkServed(sk.daemons, before)
}

// checkServed fails the test if requests at the daemons fail, or if any daemon uses another number
// of groups than before or has quarantined a request.
func (sk *stack) checkServed(daemons []*testDaemon, groups int) {
	sk.t.Helper()
	failed := 0
	for num := range cutRequests {
		for _, ru := range daemons {
			id := fmt.Sprint("cut-", num, "-", time.Now().UnixNano())
			if got := sk.send(ru, "/draft/", id); got != completeStream(id) {
				sk.t.Logf("stream at %s: got %q", ru.da.Settings.Name, got)
				failed++
			}
			if got := sk.send(ru, "/slot/", id); got != emulator.Body(id) {
				sk.t.Logf("request at %s: got %q", ru.da.Settings.Name, got)
				failed++
			}
		}
	}
	if failed > maxCutFailures*len(daemons) {
		sk.t.Errorf("%d of %d requests failed, want at most %d", failed, 2*cutRequests*len(daemons), maxCutFailures*len(daemons))
	}
	for _, ru := range sk.daemons {
		if got := len(ru.da.view.Load().Groups); got != groups {
			sk.t.Errorf("%s uses %d groups, want the %d from before", ru.da.Settings.Name, got, groups)
		}
		if got := ru.da.quarantine.Entries(time.Now()); len(got) > 0 {
			sk.t.Errorf("%s has quarantined %d requests, though no endpoint crashed", ru.da.Settings.Name, len(got))
		}
	}
}

// keepBusy sends streams to a daemon, one after the other, until ctx ends.
func (sk *stack) keepBusy(ctx context.Context, ru *testDaemon) {
	for num := 0; ctx.Err() == nil; num++ {
		sk.send(ru, "/draft/", fmt.Sprint("busy-", ru.ip, "-", num))
		time.Sleep(10 * time.Millisecond)
	}
}

// streams returns the number of requests in flight at all daemons.
func (sk *stack) streams() int {
	num := 0
	for _, ru := range sk.daemons {
		num += int(ru.da.front.InFlight())
	}
	return num
}

// unreached returns the number of endpoints that the daemons do not reach.
func (sk *stack) unreached(daemons []*testDaemon) int {
	num := 0
	for _, ru := range daemons {
		unreached, _ := ru.da.dialer.Paths.Counts(time.Now())
		num += unreached
	}
	return num
}
