// Package entry wires the daemon of an entry VM: the control state with what
// it hears from the store, the other daemons and the endpoints, and the
// listeners for callers.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
	"corianderhub.dev/corianderhub/internal/core/steward"
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// dialTimeout bounds a connection to an endpoint. A round trip takes some
	// 3 ms; a lost opening packet would be sent again only after a second. It
	// leaves room for a machine that stands still for a tenth of a second when its
	// share of the processor is used up.
	dialTimeout = 150 * time.Millisecond
	// storeTimeout bounds a call to the store, which answers in 4 ms and,
	// when it is slow, in some 350 ms.
	storeTimeout = 700 * time.Millisecond
	// headerTimeout bounds the reading of a request's head, keepIdle how long
	// callers' connections may be idle: longer than operators' limits are.
	headerTimeout = 10 * time.Second
	keepIdle      = 3 * time.Minute
	// maxHeader bounds a request's head.
	maxHeader = 256 << 10
	// entryTTL is how long callers may keep a list of addresses. Some keep it
	// three times as long.
	entryTTL = 1.0
	// acceptFor is how long a daemon that stops goes on taking requests, while
	// callers may still have its address.
	acceptFor = 2500 * time.Millisecond
	// stopMargin is taken off the grace time, so that what is left to do ends
	// before the process is killed.
	stopMargin = 800 * time.Millisecond
	// budgetShare is the part of the retry budget's slack that all daemons
	// use together; the rest covers daemons that start anew and forget.
	budgetShare = 0.5
	// minBudgetDaemons is the least number of daemons that the slack is divided
	// by, before the others are known.
	minBudgetDaemons = 3
)

// Daemon is the daemon of an entry VM. Set the exported fields before Run.
type Daemon struct {
	Settings platform.Settings
	Clock    clock.Clock
	Log      *slog.Logger
	// MetricsPort is where metrics are served; 0 turns them off.
	MetricsPort int

	started int64
	store   *platform.Store
	control *control
	mesh    *mesh.Mesh
	peers   *mesh.Client
	pool    *http1.Pool
	front   *front.Server
	table   *dispatch.Table
	plain   *dispatch.Plain
	// quarantine knows the requests that end endpoints.
	quarantine *quarantine.Ledger
	// backpressure is what endpoints say of how much they take.
	backpressure *backpressure.Register
	// config and view are what traffic goes by.
	config atomic.Pointer[configuration]
	view   atomic.Pointer[catalog.View]
	// stats are the steward's, nil while this daemon is not the steward.
	stats    atomic.Pointer[steward.Stats]
	gauges   *metrics.Set
	stopping atomic.Bool
	group    run.Group
	// base ends the daemon at once and without farewell, as a kill does; tests
	// set it. work is the context of all that goes on until then.
	base   context.Context
	work   context.Context
	cancel context.CancelFunc
}

// configuration is the one in force, with the text that it was decoded from.
type configuration struct {
	*catalog.Config
	raw []byte
}

// Run serves until ctx ends, and then stops gracefully.
func (da *Daemon) Run(ctx context.Context) error {
	if da.base == nil {
		da.base = context.WithoutCancel(ctx)
	}
	da.work, da.cancel = context.WithCancel(da.base)
	defer da.cancel()
	da.started = da.Clock.Now().UnixNano()
	if err := da.build(); err != nil {
		return err
	}
	callers, err := da.serve("callers", da.Settings.Callers, da.front)
	if err != nil {
		return err
	}
	if err := da.serveOthers(); err != nil {
		return err
	}
	da.add(da.mesh.Run)
	da.add(da.control.run)
	da.add(func(part context.Context) error { return da.stopWhenTold(ctx, part, callers) })
	da.Log.Info("daemon: started.", "name", da.Settings.Name, "callers", da.Settings.Callers, "data-center", da.Settings.DataCenter)
	err = da.group.Run()
	da.Log.Info("daemon: stopped.", "name", da.Settings.Name)
	return err
}

// add makes a function part of the run group: all parts stop together.
func (da *Daemon) add(fn func(context.Context) error) {
	part, cancel := context.WithCancel(da.work)
	da.group.Add(func() error { return fn(part) }, func(error) { cancel() })
}

func (da *Daemon) build() error {
	set := da.Settings
	da.store = platform.NewStore(set.Store.Address, storeTimeout)
	da.pool = &http1.Pool{Clock: da.Clock, DialTimeout: dialTimeout}
	da.backpressure = &backpressure.Register{}
	da.table = &dispatch.Table{DataCenter: set.DataCenter, Backpressure: da.backpressure}
	da.plain = &dispatch.Plain{DataCenter: set.DataCenter, Backpressure: da.backpressure}
	da.quarantine = &quarantine.Ledger{}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(set.IP), Port: set.InternalPorts[0]})
	if err != nil {
		return eris.Wrap(err, "listen for daemons")
	}
	da.mesh = &mesh.Mesh{Clock: da.Clock, Log: da.Log, Conn: conn, IP: set.IP, DataCenter: set.DataCenter, Port: set.InternalPorts[0],
		OnHeartbeat: func(be mesh.Heartbeat) { da.control.post(func() { da.control.beat(be) }) }}
	da.peers = mesh.NewClient(set.InternalPorts[1])
	da.front = &front.Server{Clock: da.Clock, Log: da.Log, Table: da.table, Plain: da.plain, Pool: da.pool,
		Config: da.currentConfig, Stale: func() bool { return da.control.tooOld() },
		OnLeaving:   func(li catalog.Instance) { da.control.post(func() { da.control.saidLeaving(li) }) },
		OnMisrouted: func() { da.control.wrongEndpoint() },
		Quarantine:  da.quarantine, Backpressure: da.backpressure,
		OnDisconnect: func(bo front.Disconnect) <-chan struct{} { return da.control.lookAfter(bo) },
		OnCompletion: func(fp quarantine.Fingerprint) { da.control.post(func() { da.control.answered(fp) }) },
		Budget: &dispatch.Budget{StartedAt: da.Clock.Now(), Ratio: set.Bounds.RetryRatio, Window: set.Bounds.RetryWindow,
			Slack: set.Bounds.RetrySlack * budgetShare / minBudgetDaemons}}
	da.control = newControl(da)
	return nil
}

func (da *Daemon) currentConfig() *catalog.Config {
	if co := da.config.Load(); co != nil {
		return co.Config
	}
	return nil
}

// serveOthers opens all listeners but that for callers.
func (da *Daemon) serveOthers() error {
	set := da.Settings
	directory := &front.Directory{Log: da.Log, Addresses: da.addresses,
		TTLSeconds: min(entryTTL, set.Bounds.MaxTTL.Seconds())}
	inner := net.JoinHostPort(set.IP, strconv.Itoa(set.InternalPorts[1]))
	listeners := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"ready", set.Ready, http.HandlerFunc(da.ready)},
		{"directory", set.Directory, directory},
		{"daemons", inner, da.peerCalls()},
	}
	if set.Peers != "" {
		listeners = append(listeners, struct {
			name, addr string
			handler    http.Handler
		}{"control", set.Peers, da.peerCalls()})
	}
	if da.MetricsPort != 0 {
		mux := http.NewServeMux()
		da.gauges = da.newGauges()
		mux.HandleFunc("GET /metrics", da.sendMetrics)
		listeners = append(listeners, struct {
			name, addr string
			handler    http.Handler
		}{"metrics", net.JoinHostPort(set.IP, strconv.Itoa(da.MetricsPort)), mux})
	}
	for _, li := range listeners {
		if _, err := da.serve(li.name, li.addr, li.handler); err != nil {
			return err
		}
	}
	return nil
}

// serve opens a listener and makes its server part of the run group.
func (da *Daemon) serve(name, addr string, handler http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for "+name)
	}
	sv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepIdle, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(da.Log.Handler(), slog.LevelDebug)}
	da.add(func(part context.Context) error {
		stop := context.AfterFunc(part, func() { sv.Close() })
		defer stop()
		if err := sv.Serve(ln); err != http.ErrServerClosed {
			return eris.Wrap(err, "serve "+name)
		}
		<-part.Done()
		return nil
	})
	return sv, nil
}

// ready tells the platform whether this daemon takes requests.
func (da *Daemon) ready(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != platform.PathReady {
		http.NotFound(w, req)
		return
	}
	if !da.taking() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (da *Daemon) taking() bool {
	return !da.stopping.Load() && da.config.Load() != nil && da.view.Load() != nil
}

// addresses returns the daemons for a caller in a data centre: those there if
// there are two or more, and all otherwise.
func (da *Daemon) addresses(dataCenter string) []string {
	var near, all []string
	add := func(addr, at string) {
		all = append(all, addr)
		if at == dataCenter {
			near = append(near, addr)
		}
	}
	if da.taking() {
		add(da.Settings.Callers, da.Settings.DataCenter)
	}
	for _, pe := range da.mesh.Alive() {
		if pe.Accepting {
			add(pe.Callers, pe.DataCenter)
		}
	}
	if len(near) >= minNear {
		all = near
	}
	if len(all) == 0 {
		// A caller that gets no address can do nothing; here it gets a refusal
		// that says when to come back.
		all = []string{da.Settings.Callers}
	}
	return all[:min(len(all), maxAddresses)]
}

const (
	minNear      = 2
	maxAddresses = 64
)

func (da *Daemon) peerCalls() http.Handler {
	sv := &mesh.Server{View: da.view.Load, Daemons: da.mesh.Known,
		Quarantine:   func() []quarantine.Entry { return da.quarantine.Entries(da.Clock.Now()) },
		Backpressure: func() []backpressure.Notice { return da.backpressure.Notices(da.Clock.Now()) },
		Config: func() ([]byte, int64) {
			if co := da.config.Load(); co != nil {
				return co.raw, co.Revision
			}
			return nil, 0
		}}
	return sv.Handler()
}

// stopWhenTold stops the daemon gracefully once ctx ends. Others hear at once
// that it takes no more requests; it goes on with those that come all the same
// from callers that have its address still, and ends when nothing is left.
func (da *Daemon) stopWhenTold(ctx, part context.Context, callers *http.Server) error {
	select {
	case <-part.Done():
		return nil
	case <-ctx.Done():
	}
	begin := da.Clock.Now()
	da.Log.Info("daemon: stopping.", "name", da.Settings.Name, "working", da.front.InFlight())
	da.stopping.Store(true)
	da.front.SetStopping()
	da.control.post(da.control.leave)
	if da.Clock.Sleep(part, acceptFor) != nil {
		return nil
	}
	limit, cancel := context.WithTimeout(part, da.Settings.Bounds.Grace-stopMargin-da.Clock.Now().Sub(begin))
	defer cancel()
	if err := callers.Shutdown(limit); err != nil {
		da.Log.Warn("daemon: requests were cut off.", "working", da.front.InFlight(), "cause", err.Error())
	}
	return nil
}

// once runs fn in a goroutine that ends with the daemon.
func (da *Daemon) once(wg *sync.WaitGroup, fn func(context.Context)) {
	wg.Go(func() { fn(da.work) })
}
