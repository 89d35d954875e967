package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// waitTimeout bounds the wait for a condition. It exceeds any delay of a loaded machine; no
// test asserts that something is faster.
const waitTimeout = 60 * time.Second

// stack is a small deployment with daemons on loopback addresses.
type stack struct {
	t       *testing.T
	ctx     context.Context
	de      *emulator.Deployment
	daemons []*testDaemon
	client  *http.Client
	subnet  int
	// log holds the log of all daemons.
	log *logBuffer
	// dataCenters overrides the data centres of daemons, by number.
	dataCenters map[int]string
	// grace overrides the grace period of the daemons that are started from now on, if it is set.
	grace time.Duration
	// sides maps the daemons' IP addresses to the sides of a partition. Connections for control
	// between daemons of different sides are refused.
	sides sync.Map
}

// logBuffer collects log lines for tests that read them.
type logBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (lb *logBuffer) add(line []byte) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.buf.Write(line)
}

// String returns all lines so far.
func (lb *logBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.String()
}

// testDaemon is a daemon with its store proxy.
type testDaemon struct {
	da         *Daemon
	ip         string
	storeProxy *emulator.StoreProxy
	path       *endpointPath
	// kill ends the daemon immediately, stop ends it gracefully.
	kill, stop context.CancelFunc
	dead       context.Context
	done       chan error
}

// otherDataCenter is the data centre of every second plain server.
const otherDataCenter = "hall-b"

// subnets assigns separate addresses to each test.
var subnets = make(chan int, 200)

func init() {
	for i := 1; i <= cap(subnets); i++ {
		subnets <- i
	}
}

// newStack starts an emulated deployment with the given number of daemons and waits until
// all of them serve.
func newStack(t *testing.T, daemons int) *stack {
	t.Helper()
	return newStackIn(t, daemons, nil)
}

// newStackIn is newStack with the data centres of daemons, by number.
func newStackIn(t *testing.T, daemons int, dataCenters map[int]string) *stack {
	t.Helper()
	return newStackOf(t, daemons, dataCenters, &emulator.Deployment{ModelServers: 7, PlainServers: 2, PlainDataCenters: []string{emulator.DataCenter, otherDataCenter}, EventInterval: 20 * time.Millisecond})
}

// newStackOf is newStackIn with the deployment.
func newStackOf(t *testing.T, daemons int, dataCenters map[int]string, de *emulator.Deployment) *stack {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sk := &stack{t: t, ctx: ctx, dataCenters: dataCenters, subnet: <-subnets, log: &logBuffer{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		de: de}
	if err := sk.de.Start(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range daemons {
		sk.start(i)
	}
	sk.until("all daemons serve", func() bool {
		if len(sk.daemons) > 0 && sk.members(sk.daemons[0]) < sk.de.ModelServers-1 {
			return false
		}
		return !slices.ContainsFunc(sk.daemons, func(ru *testDaemon) bool { return sk.send(ru, "/draft/", "warm-up") != completeStream("warm-up") })
	})
	return sk
}

// dialFrom returns the function that a daemon at an IP address opens connections for control with.
func (sk *stack) dialFrom(ip string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		from, _ := sk.sides.Load(ip)
		to, _ := sk.sides.Load(host)
		if from != to {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}
}

// members returns the number of VMs in the groups that a daemon uses.
func (sk *stack) members(ru *testDaemon) int {
	vi := ru.da.view.Load()
	if vi == nil {
		return 0
	}
	num := 0
	for _, gr := range vi.Groups {
		num += len(gr.Members)
	}
	return num
}

func (sk *stack) ip(num int) string { return fmt.Sprintf("127.0.%d.%d", sk.subnet, num+1) }

// start starts or restarts the daemon with the given number.
func (sk *stack) start(num int) *testDaemon {
	sk.t.Helper()
	proxy, store, err := sk.de.OpenStoreProxy()
	if err != nil {
		sk.t.Fatal(err)
	}
	ip := sk.ip(num)
	set, err := platform.ParseSettings("settings", emulator.Settings(fmt.Sprint("entry-", num), ip, store, []string{sk.ip(0) + ":18082", sk.ip(1) + ":18082"}))
	if err != nil {
		sk.t.Fatal(err)
	}
	if sk.grace > 0 {
		set.Bounds.Grace = sk.grace
	}
	if dc := sk.dataCenters[num]; dc != "" {
		set.DataCenter = dc
	}
	ctx, stop := context.WithCancel(sk.ctx)
	dead, kill := context.WithCancel(sk.ctx)
	path := &endpointPath{}
	ru := &testDaemon{ip: ip, storeProxy: proxy, path: path, kill: kill, stop: stop, dead: dead, done: make(chan error, 1),
		da: &Daemon{base: dead, dialDirect: path.dial, dialDaemon: sk.dialFrom(ip), Settings: set, Clock: clock.System{}, Log: slog.New(slog.NewTextHandler(testWriter{sk.t, sk.log}, nil))}}
	go func() {
		err := ru.da.Run(ctx)
		if err != nil && sk.ctx.Err() == nil {
			// Its addresses may be in use by another run of these tests.
			sk.t.Errorf("daemon %d ended with error: %v", num, err)
		}
		ru.done <- err
	}()
	if num < len(sk.daemons) {
		sk.daemons[num] = ru
	} else {
		sk.daemons = append(sk.daemons, ru)
	}
	sk.t.Cleanup(func() { sk.kill(ru) })
	return ru
}

// kill ends a daemon immediately and waits for it.
func (sk *stack) kill(ru *testDaemon) {
	ru.kill()
	ru.stop()
	select {
	case err := <-ru.done:
		ru.done <- err
	case <-time.After(waitTimeout):
		sk.t.Error("a daemon does not end in time")
	}
}

// testWriter writes log lines to the test's log and to a logBuffer.
type testWriter struct {
	t   *testing.T
	log *logBuffer
}

func (tw testWriter) Write(line []byte) (int, error) {
	tw.log.add(line)
	if tw.t.Context().Err() == nil {
		tw.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// until waits until a condition holds, and fails the test after waitTimeout.
func (sk *stack) until(what string, condition func() bool) {
	sk.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			sk.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// events is the number of events in a stream.
const events = 5

// completeStream returns the body of a complete stream for a request.
func completeStream(id string) string {
	var all strings.Builder
	for num := 1; num <= events; num++ {
		all.WriteString(emulator.Event(id, num))
	}
	return all.String()
}

// send sends a request to a daemon and returns the body of a 200 response, or a description
// of any other result.
func (sk *stack) send(ru *testDaemon, path, id string) string {
	return sk.sendWithKey(ru, path, id, emulator.APIKey)
}

// sendWithKey is like send with the given API key.
func (sk *stack) sendWithKey(ru *testDaemon, path, id, key string) string {
	return sk.sendRequest(ru, path, id, func(req *http.Request) { req.Header.Set(platform.HeaderAuthorization, "Token "+key) })
}

// sendRequest is like send for a request that change has modified.
func (sk *stack) sendRequest(ru *testDaemon, path, id string, change func(*http.Request)) string {
	return sk.sendOver(sk.client, ru, path, id, change)
}

// sendOver is like sendRequest over the connections of a client.
func (sk *stack) sendOver(hc *http.Client, ru *testDaemon, path, id string, change func(*http.Request)) string {
	req, err := http.NewRequestWithContext(sk.ctx, http.MethodPost, "http://"+ru.ip+":18080"+path+"x", strings.NewReader("question"))
	if err != nil {
		sk.t.Fatal(err)
	}
	req.Host = emulator.Host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.APIKey)
	if strings.HasPrefix(path, "/draft/") {
		req.Header.Set(platform.HeaderModel, emulator.ModelLarge)
		req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", events*7))
	}
	change(req)
	rsp, err := hc.Do(req)
	if err != nil {
		return "no answer"
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return "cut off"
	}
	if rsp.StatusCode != http.StatusOK {
		return fmt.Sprint("status ", rsp.StatusCode)
	}
	return string(body)
}

// addresses queries a daemon's directory and returns the listed addresses.
func (sk *stack) addresses(ru *testDaemon) []string {
	rsp, err := sk.client.Get(platform.ResolveURL(ru.ip+":18083", emulator.Host, "hall-a"))
	if err != nil {
		return nil
	}
	defer rsp.Body.Close()
	var an platform.ResolveResponse
	if json.NewDecoder(rsp.Body).Decode(&an) != nil {
		return nil
	}
	return an.Addresses
}

// steward waits for a daemon that is a ready steward and returns it.
func (sk *stack) steward() *testDaemon {
	var found *testDaemon
	sk.until("a steward", func() bool {
		for _, ru := range sk.daemons {
			is := make(chan bool, 1)
			if ru.dead.Err() != nil {
				continue
			}
			ru.da.control.post(func() { is <- ru.da.control.lease.ready() })
			select {
			case yes := <-is:
				if yes {
					found = ru
				}
			case <-ru.dead.Done():
			}
		}
		return found != nil
	})
	return found
}

// checkInvariants fails the test if the fleet has recorded violations of its invariants.
func (sk *stack) checkInvariants() {
	sk.t.Helper()
	if bad := sk.de.Fleet.Violations(); len(bad) > 0 {
		sk.t.Errorf("invariants violated: %v", bad)
	}
}

// loseMember kills a member of a group of the large model that a daemon uses, and returns
// its ID.
func (sk *stack) loseMember(ru *testDaemon) string {
	lost := ""
	for _, gr := range ru.da.view.Load().Groups {
		if gr.Model == emulator.ModelLarge {
			lost = gr.Members[1].ID
		}
	}
	sk.de.Kill(lost)
	return lost
}

// uses reports whether a VM is a member of a group in a daemon's view.
func uses(ru *testDaemon, id string) bool {
	return slices.ContainsFunc(ru.da.view.Load().Groups, func(gr catalog.Group) bool {
		return slices.ContainsFunc(gr.Members, func(me catalog.Member) bool { return me.ID == id })
	})
}

// setStoreFault sets the store's fault for all daemons.
func (sk *stack) setStoreFault(fault emulator.StoreFault) {
	for _, ru := range sk.daemons {
		ru.storeProxy.SetFault(fault)
	}
}

// untilUnused sends requests until the daemon uses no group of the lost VM.
func (sk *stack) untilUnused(ru *testDaemon, lost string) {
	sk.t.Helper()
	sk.until("no group of the lost member is used", func() bool {
		for _, ru := range sk.daemons {
			go sk.send(ru, "/draft/", "stalled")
		}
		return !uses(ru, lost)
	})
}
