package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/core/quota"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/inbound"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// rig is a front server with emulated endpoints behind it.
type rig struct {
	t            *testing.T
	front        *Server
	hs           *httptest.Server
	guard        *inbound.Guard
	cfg          *catalog.Config
	log          bytes.Buffer
	view         catalog.View
	table        *dispatch.Table
	plain        *dispatch.PlainTable
	plainServers []*emulator.Server
	groupServers []*emulator.Server
	// disconnects and completions are the events that the server reported.
	mu          sync.Mutex
	disconnects []Disconnect
	completions []quarantine.Fingerprint
	// receivedBytes counts the bytes of the responses' bodies that callers have received.
	receivedBytes byteCount
}

// byteCount counts the bytes written to it.
type byteCount struct{ atomic.Int64 }

func (bc *byteCount) Write(buf []byte) (int, error) {
	bc.Add(int64(len(buf)))
	return len(buf), nil
}

func (ri *rig) recordCompletion(fp quarantine.Fingerprint, _ time.Duration) {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ri.completions = append(ri.completions, fp)
}

// recordDisconnect records the event and reports that the endpoint has not crashed.
func (ri *rig) recordDisconnect(bo Disconnect) <-chan bool {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ri.disconnects = append(ri.disconnects, bo)
	known := make(chan bool, 1)
	known <- false
	return known
}

// longTimeout exceeds the duration of every test, so that no result depends on the speed of the
// machine.
const longTimeout = 30 * time.Second

func newRig(t *testing.T) *rig {
	t.Helper()
	en := &catalog.Engine{Slots: 26, Stride: 7, StepTime: 6 * time.Millisecond, PrefillPerSecond: 50000, MeanAnswer: 100,
		Models: []catalog.Model{{Name: "large", Size: 1, Pace: 1}}}
	ri := &rig{t: t, table: &dispatch.Table{}, plain: &dispatch.PlainTable{}}
	ri.cfg = &catalog.Config{Services: map[string]catalog.Service{"desk": {}, "engine": {Engine: en}},
		Workspaces: []catalog.Workspace{{Name: "nursery", Keys: []string{"key-1"}, Priority: 3}},
		Routes: []catalog.Route{
			{Host: "some.example", Prefix: "/confirm/", Kind: catalog.Unsafe, MaxAttempts: 2, Backends: []catalog.Backend{{Service: "desk"}}},
			{Host: "some.example", Prefix: "/slot/", Kind: catalog.Safe, MaxAttempts: 2, Backends: []catalog.Backend{{Service: "desk"}}},
			{Host: "some.example", Prefix: "/open/", Kind: catalog.Safe, Public: true, MaxAttempts: 2, Backends: []catalog.Backend{{Service: "desk"}}},
			{Host: "some.example", Prefix: "/draft/", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, Backends: []catalog.Backend{{Service: "engine"}}},
			{Host: "some.example", Prefix: "/once/", Kind: catalog.Streaming, MaxAttempts: 2, Backends: []catalog.Backend{{Service: "engine"}}},
		}}
	for i := range ri.cfg.Routes {
		ro := &ri.cfg.Routes[i]
		ro.Timeout, ro.Objective, ro.PauseObjective = longTimeout, longTimeout, longTimeout
	}
	ri.cfg.BuildIndexes()
	ri.front = &Server{Clock: clock.System{}, Log: slog.New(slog.NewTextHandler(&ri.log, nil)), Table: ri.table, Plain: ri.plain,
		Config: func() *catalog.Config { return ri.cfg }, Stale: func() bool { return false }, OnMisrouted: func() {}, OnLeaving: func(catalog.Instance) {},
		Quarantine: &quarantine.Ledger{}, OnDisconnect: ri.recordDisconnect, OnCompletion: ri.recordCompletion, MayProbe: func() bool { return false },
		ClaimTrial:   func(context.Context, quarantine.Request) bool { return false },
		Backpressure: &backpressure.Tracker{},
		Pool:         &http1.Pool{Clock: clock.System{}},
		Budget:       &dispatch.Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}}
	ri.guard = &inbound.Guard{Clock: clock.System{}, Log: slog.New(slog.DiscardHandler)}
	ri.listen()
	ri.table.Backpressure, ri.plain.Backpressure = ri.front.Backpressure, ri.front.Backpressure
	return ri
}

// listen starts the front server behind the rig's guard.
func (ri *rig) listen() {
	ri.hs = httptest.NewUnstartedServer(nil)
	ln := ri.guard.Listen(ri.hs.Listener, "callers", inbound.PrimaryShare)
	ri.hs.Listener, ri.hs.Config = ln, ln.Server(ri.front, http.HandlerFunc(ri.front.RefuseOverloaded))
	ri.hs.Start()
	ri.t.Cleanup(ri.hs.Close)
}

// heldBytes returns the bytes that are held for requests, beside those of the connections.
func (ri *rig) heldBytes() (bytes int64) {
	for _, us := range ri.guard.Uses() {
		bytes += us.Bytes - int64(us.Conns)*quota.ConnBytes
	}
	return bytes
}

// addPlain adds a plain endpoint with the given faults.
func (ri *rig) addPlain(fault func(*http.Request) emulator.Fault) *emulator.Server {
	sv := ri.start(&emulator.Server{ID: fmt.Sprint("desk-", len(ri.plainServers)), Service: "desk", Fault: fault})
	ri.plainServers = append(ri.plainServers, sv)
	ri.update()
	return sv
}

// addGroup adds a group with a single streaming member.
func (ri *rig) addGroup(fault func(*http.Request) emulator.Fault) *emulator.Server {
	sv := ri.start(&emulator.Server{ID: fmt.Sprint("leader-", len(ri.groupServers)), Service: "engine", Fault: fault})
	ri.groupServers = append(ri.groupServers, sv)
	ri.update()
	return sv
}

func (ri *rig) start(sv *emulator.Server) *emulator.Server {
	ri.t.Helper()
	addr, err := sv.Start("127.0.0.1:0")
	if err != nil {
		ri.t.Fatal(err)
	}
	ri.t.Cleanup(sv.Stop)
	if sv.Service == "desk" {
		ri.view.Plain = append(ri.view.Plain, catalog.PlainEndpoint{ID: sv.ID, Service: sv.Service, Address: addr})
		return sv
	}
	ri.view.Groups = append(ri.view.Groups, catalog.Group{Name: "group-" + sv.ID, Service: "engine", Model: "large",
		Members: []catalog.Member{{ID: sv.ID, Address: addr}}})
	return sv
}

func (ri *rig) update() {
	ri.table.Update(&ri.view, ri.cfg, time.Now())
	ri.plain.Update(&ri.view)
}

// result is the response to a caller, or the error of the request.
type result struct {
	status int
	header http.Header
	body   string
	err    error
	// closes is set if the response closes its connection.
	closes bool
}

// send sends a request as a caller does. change may modify it first.
func (ri *rig) send(path, id string, change func(*http.Request)) result {
	ri.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, ri.hs.URL+path, strings.NewReader("question "+id))
	if err != nil {
		ri.t.Fatal(err)
	}
	req.Host = "some.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAuthorization, "Token key-1")
	req.Header.Set(platform.HeaderModel, "large")
	if change != nil {
		change(req)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer rsp.Body.Close()
	body, err := io.ReadAll(io.TeeReader(rsp.Body, &ri.receivedBytes))
	return result{rsp.StatusCode, rsp.Header, string(body), err, rsp.Close}
}

// await waits for a channel to be closed.
func (ri *rig) await(what string, ch <-chan struct{}) {
	ri.t.Helper()
	select {
	case <-ch:
	case <-time.After(longTimeout):
		ri.t.Fatalf("waited %v for %s", longTimeout, what)
	}
}

const numEvents = 6

func setTokenCounts(req *http.Request) {
	req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", numEvents*7))
}

func completeStream(id string) string {
	var all strings.Builder
	for num := 1; num <= numEvents; num++ {
		all.WriteString(emulator.Event(id, num))
	}
	return all.String()
}

// runs returns how many times an endpoint started to run a request.
func (ri *rig) runs(id string) int {
	num := 0
	for _, sv := range append(ri.plainServers, ri.groupServers...) {
		for _, ru := range sv.Runs() {
			if ru.RequestID == id {
				num++
			}
		}
	}
	return num
}

// failFirst applies the fault to the first request only.
func failFirst(fault emulator.Fault) func(*http.Request) emulator.Fault {
	left := make(chan struct{}, 1)
	left <- struct{}{}
	return func(*http.Request) emulator.Fault {
		select {
		case <-left:
			return fault
		default:
			return emulator.None
		}
	}
}

func always(fault emulator.Fault) func(*http.Request) emulator.Fault {
	return func(*http.Request) emulator.Fault { return fault }
}
