// Package entry implements the daemon of an entry VM. The daemon accepts callers' requests
// and forwards them to endpoints. Its control state follows the store, the other daemons
// and the endpoints; one of the daemons holds a lease at the store and acts as the steward,
// which forms groups of VMs.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
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
	"corianderhub.dev/corianderhub/internal/core/reach"
	"corianderhub.dev/corianderhub/internal/core/steward"
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/http1"
	"corianderhub.dev/corianderhub/internal/inbound"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/internal/relay"
	"corianderhub.dev/corianderhub/platform"
)

const (
	// dialTimeout bounds connecting to an endpoint. A round trip takes about 3 ms; a lost
	// SYN would be retransmitted only after a second. The timeout allows for a pause of
	// 100 ms when this machine exhausts its CPU quota.
	dialTimeout = 150 * time.Millisecond
	// storeTimeout bounds a call to the store. The store answers in 4 ms, or in about 350
	// ms when it is slow.
	storeTimeout = 700 * time.Millisecond
	// addressTTLSeconds is how long callers may cache a list of addresses. Some cache it
	// three times as long.
	addressTTLSeconds = 1.0
	// budgetShare is the share of the retry budget's slack that is divided among all
	// daemons. The rest covers daemons that restart and lose their counts.
	budgetShare = 0.5
	// minBudgetDaemons is the minimum number of daemons by which the slack is divided, for
	// the time before the others are known.
	minBudgetDaemons = 3
)

// Overload selects what is done with requests that the groups have no room for. All daemons of a
// deployment need the same values.
type Overload struct {
	// BoundedWait makes them wait for a slot of this daemon's own requests
	// (docs/design/admission-by-rank.md).
	BoundedWait bool
	// FairShares refuses those of workspaces above their fair share first.
	FairShares bool
	// ScheduleReturns tells their callers a time to return at which capacity is reserved
	// (docs/design/retry-scheduling.md).
	ScheduleReturns bool
}

// Daemon is the daemon of an entry VM. Set the exported fields before calling Run.
type Daemon struct {
	Settings platform.Settings
	Clock    clock.Clock
	Log      *slog.Logger
	// Overload selects what is done with requests that the groups have no room for.
	Overload Overload
	// MetricsPort is the port for metrics; 0 disables them.
	MetricsPort int

	started int64
	store   *platform.Store
	control *control
	mesh    *mesh.Mesh
	peers   *mesh.Client
	trials  trials
	dialer  *relay.Dialer
	relay   *relay.Server
	pool    *http1.Pool
	// guard bounds what all clients use; callers is the listener for requests.
	guard   *inbound.Guard
	callers *inbound.Listener
	front   *front.Server
	table   *dispatch.Table
	plain   *dispatch.PlainTable
	// quarantine records the requests that crash endpoints.
	quarantine *quarantine.Ledger
	// backpressure holds the limits and back-off times that endpoints have announced.
	backpressure *backpressure.Tracker
	// config and view are the configuration and view used for traffic.
	config atomic.Pointer[configuration]
	view   atomic.Pointer[catalog.View]
	// stats are the steward's statistics, nil while this daemon is not the steward.
	stats    atomic.Pointer[steward.Stats]
	gauges   *metrics.Set
	stopping atomic.Bool
	group    run.Group
	// dialDirect replaces the opening of connections to endpoints in tests.
	dialDirect func(ctx context.Context, addr string) (net.Conn, error)
	// dialDaemon replaces the opening of connections that show whether a daemon runs, in tests.
	dialDaemon func(ctx context.Context, addr string) (net.Conn, error)
	// base ends the daemon immediately, without a graceful stop, as a kill does; tests set
	// it. work is the context of all goroutines of the daemon.
	base   context.Context
	work   context.Context
	cancel context.CancelFunc
}

// configuration is a decoded configuration with the text it was decoded from.
type configuration struct {
	*catalog.Config
	raw []byte
}

// Run starts the daemon and serves until ctx ends. It then stops gracefully within the
// grace period.
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
	callers, err := da.serveCallers()
	if err != nil {
		return err
	}
	if err := da.serveInternal(); err != nil {
		return err
	}
	da.add(da.mesh.Run)
	da.add(da.control.run)
	da.add(func(actorCtx context.Context) error { return da.gracefulStop(ctx, actorCtx, callers) })
	da.Log.Info("daemon: started.", "name", da.Settings.Name, "callers", da.Settings.Callers, "data-center", da.Settings.DataCenter)
	err = da.group.Run()
	da.Log.Info("daemon: stopped.", "name", da.Settings.Name)
	return err
}

// add adds fn to the run group. All functions of the group stop together: the context of
// each ends when one of them returns.
func (da *Daemon) add(fn func(context.Context) error) {
	actorCtx, cancel := context.WithCancel(da.work)
	da.group.Add(func() error { return fn(actorCtx) }, func(error) { cancel() })
}

// build creates the daemon's components and opens the UDP socket for heartbeats.
func (da *Daemon) build() error {
	set := da.Settings
	da.store = platform.NewStore(set.Store.Address, storeTimeout)
	da.store.OnRestore = func(before, era int64) { da.control.post(func() { da.control.handleRestore(before, era) }) }
	da.store.OnInvalidEra = func(value string) {
		da.Log.Warn("store: invalid era ignored.", "value", value, "era", da.store.Era())
	}
	da.dialer = &relay.Dialer{Clock: da.Clock, Timeout: dialTimeout, Paths: &reach.Tracker{}, Relays: &reach.Relays{DataCenter: set.DataCenter},
		Daemons: da.relayCandidates, Others: da.otherEndpoints, IP: set.IP, Port: set.InternalPorts[1], OpenDirect: da.dialDirect,
		OnLost: da.pathLost}
	da.pool = &http1.Pool{Clock: da.Clock, Dial: da.dialer.Dial, MaxBytes: set.MemoryBytes / http1.MemoryDivisor}
	da.relay = &relay.Server{Direct: da.dialer.DirectForOthers, IsDaemon: func(ip string) bool { return da.mesh.Knows(ip) },
		Stopping: da.stopping.Load}
	da.backpressure = &backpressure.Tracker{}
	da.table = &dispatch.Table{DataCenter: set.DataCenter, Backpressure: da.backpressure,
		BoundedWait: da.Overload.BoundedWait, ScheduleReturns: da.Overload.ScheduleReturns, FairShares: da.Overload.FairShares}
	da.plain = &dispatch.PlainTable{DataCenter: set.DataCenter, Backpressure: da.backpressure}
	da.quarantine = &quarantine.Ledger{}
	da.guard = &inbound.Guard{Clock: da.Clock, Log: da.Log, MemoryBytes: set.MemoryBytes, MaxFiles: inbound.FileLimit(set.MaxFiles)}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(set.IP), Port: set.InternalPorts[0]})
	if err != nil {
		return eris.Wrap(err, "listen for daemons")
	}
	da.mesh = &mesh.Mesh{Clock: da.Clock, Log: da.Log, Conn: conn, IP: set.IP, DataCenter: set.DataCenter, Port: set.InternalPorts[0],
		OnHeartbeat: func(be mesh.Heartbeat) { da.control.post(func() { da.control.handleHeartbeat(be) }) }}
	da.peers = mesh.NewClient(set.InternalPorts[1])
	da.front = &front.Server{Clock: da.Clock, Log: da.Log, Table: da.table, Plain: da.plain, Pool: da.pool,
		Config: da.currentConfig, Stale: func() bool { return da.control.keysTooOld() },
		OnLeaving:   func(li catalog.Instance) { da.control.post(func() { da.control.endpointLeaving(li) }) },
		OnMisrouted: func() { da.control.noteMisrouted() },
		Quarantine:  da.quarantine, Backpressure: da.backpressure,
		OnDisconnect: func(bo front.Disconnect) <-chan bool { return da.control.checkCrash(bo) },
		OnCompletion: func(fp quarantine.Fingerprint, took time.Duration) {
			da.control.post(func() { da.control.subjectCompleted(fp, took) })
		},
		MayProbe:   func() bool { return da.control.acting.Load() },
		ClaimTrial: func(ctx context.Context, rq quarantine.Request) bool { return da.trials.claim(ctx, rq) },
		Budget: &dispatch.Budget{StartedAt: da.Clock.Now(), Ratio: set.Bounds.RetryRatio, Window: set.Bounds.RetryWindow,
			Slack: set.Bounds.RetrySlack * budgetShare / minBudgetDaemons}}
	da.trials.da = da
	da.control = newControl(da)
	return nil
}

// currentConfig returns the current configuration, or nil if there is none yet.
func (da *Daemon) currentConfig() *catalog.Config {
	if co := da.config.Load(); co != nil {
		return co.Config
	}
	return nil
}

// ready handles the platform's readiness check: it responds with 200 if this daemon accepts
// requests and with 503 otherwise.
func (da *Daemon) ready(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != platform.PathReady {
		http.NotFound(w, req)
		return
	}
	if !da.accepting() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// accepting reports whether the daemon accepts new requests: it has a configuration and a
// view and is not stopping.
func (da *Daemon) accepting() bool {
	return !da.stopping.Load() && da.config.Load() != nil && da.view.Load() != nil
}

// addresses returns the daemons' addresses for a caller in dataCenter: only those in that
// data centre if there are at least minLocal, and all otherwise.
func (da *Daemon) addresses(dataCenter string) []string {
	var local, all []string
	add := func(addr, at string) {
		all = append(all, addr)
		if at == dataCenter {
			local = append(local, addr)
		}
	}
	if da.accepting() {
		add(da.Settings.Callers, da.Settings.DataCenter)
	}
	for _, pe := range da.mesh.Alive() {
		if pe.Accepting {
			add(pe.Callers, pe.DataCenter)
		}
	}
	if len(local) >= minLocal {
		all = local
	}
	if len(all) == 0 {
		// A caller without an address has nothing to connect to. This daemon's address at
		// least gets it a refusal with a Retry-After.
		all = []string{da.Settings.Callers}
	}
	return all[:min(len(all), maxAddresses)]
}

const (
	// minLocal is the minimum number of daemons in a caller's data centre for which only
	// these are listed. maxAddresses bounds the list.
	minLocal     = 2
	maxAddresses = 64
)

// peerHandler returns the handler for calls from other daemons.
func (da *Daemon) peerHandler() http.Handler {
	sv := &mesh.Server{View: da.view.Load, Daemons: da.mesh.Known,
		Quarantine:   func() []quarantine.Entry { return da.quarantine.Entries(da.Clock.Now()) },
		ClaimTrial:   da.trials.grant,
		Backpressure: func() []backpressure.Notice { return da.backpressure.Notices(da.Clock.Now()) },
		Config: func() ([]byte, int64) {
			if co := da.config.Load(); co != nil {
				return co.raw, co.Revision
			}
			return nil, 0
		}}
	mux := sv.Handler()
	mux.Handle("GET "+relay.Path, da.relay)
	return mux
}

// spawn runs fn in a goroutine tracked by wg. Its context ends with the daemon.
func (da *Daemon) spawn(wg *sync.WaitGroup, fn func(context.Context)) {
	wg.Go(func() { fn(da.work) })
}
