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
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// rig is a server for callers in front of emulated endpoints.
type rig struct {
	t     *testing.T
	front *Server
	hs    *httptest.Server
	cfg   *catalog.Config
	log   bytes.Buffer
	view  catalog.View
	table *dispatch.Table
	plain *dispatch.Plain
	desks []*emulator.Server
	heads []*emulator.Server
	// broken and answered are what the server told of.
	mu       sync.Mutex
	broken   []Disconnect
	answered []quarantine.Fingerprint
}

func (ri *rig) answeredWhole(fp quarantine.Fingerprint) {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ri.answered = append(ri.answered, fp)
}

// brokenOff takes every endpoint that closes a connection as one that goes on.
func (ri *rig) brokenOff(bo Disconnect) <-chan struct{} {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ri.broken = append(ri.broken, bo)
	known := make(chan struct{})
	close(known)
	return known
}

// longTimeout outlasts everything that a test does, so that none depends on
// how fast the machine is.
const longTimeout = 30 * time.Second

func newRig(t *testing.T) *rig {
	t.Helper()
	en := &catalog.Engine{Slots: 26, Stride: 7, Step: 6 * time.Millisecond, PrefillPerSecond: 50000, MeanAnswer: 100,
		Models: []catalog.Model{{Name: "large", Size: 1, Pace: 1}}}
	ri := &rig{t: t, table: &dispatch.Table{}, plain: &dispatch.Plain{}}
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
		Quarantine: &quarantine.Ledger{}, OnDisconnect: ri.brokenOff, OnCompletion: ri.answeredWhole,
		Backpressure: &backpressure.Register{},
		Pool:         &http1.Pool{Clock: clock.System{}, DialTimeout: longTimeout},
		Budget:       &dispatch.Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}}
	ri.hs = httptest.NewServer(ri.front)
	t.Cleanup(ri.hs.Close)
	ri.table.Backpressure, ri.plain.Backpressure = ri.front.Backpressure, ri.front.Backpressure
	return ri
}

// desk adds a plain endpoint that misbehaves as fault says.
func (ri *rig) desk(fault func(*http.Request) emulator.Fault) *emulator.Server {
	sv := ri.start(&emulator.Server{ID: fmt.Sprint("desk-", len(ri.desks)), Service: "desk", Fault: fault})
	ri.desks = append(ri.desks, sv)
	ri.update()
	return sv
}

// head adds a group of one that streams.
func (ri *rig) head(fault func(*http.Request) emulator.Fault) *emulator.Server {
	sv := ri.start(&emulator.Server{ID: fmt.Sprint("head-", len(ri.heads)), Service: "engine", Fault: fault})
	ri.heads = append(ri.heads, sv)
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

// result is what a caller got.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a request as a caller does.
func (ri *rig) ask(path, id string, change func(*http.Request)) result {
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
	body, err := io.ReadAll(rsp.Body)
	return result{rsp.StatusCode, rsp.Header, string(body), err}
}

const events = 6

func streaming(req *http.Request) {
	req.Header.Set(platform.HeaderTokens, fmt.Sprint("100,", events*7))
}

func wholeStream(id string) string {
	var all strings.Builder
	for num := 1; num <= events; num++ {
		all.WriteString(emulator.Event(id, num))
	}
	return all.String()
}

// runs counts how often any endpoint began to work on a request.
func (ri *rig) runs(id string) int {
	num := 0
	for _, sv := range append(ri.desks, ri.heads...) {
		for _, ru := range sv.Runs() {
			if ru.RequestID == id {
				num++
			}
		}
	}
	return num
}

// first misbehaves towards the first request, and is sound then.
func first(fault emulator.Fault) func(*http.Request) emulator.Fault {
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
