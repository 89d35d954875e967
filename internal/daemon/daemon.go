// Package daemon wires one corianderhub daemon: the control state with the
// sockets, timers and files round it, and the listeners for callers,
// operators, other daemons and metrics.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"corianderhub.dev/corianderhub/internal/caller"
	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/claim"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/fleet"
	"corianderhub.dev/corianderhub/internal/core/gossip"
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/internal/operator"
	"corianderhub.dev/corianderhub/internal/peer"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/platform/chainstore"
	"corianderhub.dev/corianderhub/internal/platform/claims"
)

// Limits of the listeners.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// engineConns and serviceConns are idle connections kept for each endpoint.
	engineConns  = 64
	serviceConns = 16
	memberConns  = 1
	// settleLimit bounds the wait for claims that are given back or recorded
	// after their request was answered. One that is not stays claimed.
	settleLimit = 15 * time.Second
	// revisionTimeout bounds asking all daemons for their revisions.
	revisionTimeout = 2 * time.Second
)

// Daemon is one daemon. Set the exported fields before Run.
type Daemon struct {
	Settings Settings
	Keys     peer.Material
	Clock    clock.Clock
	Log      *slog.Logger
	// Route is how groups are picked; the product's own policy when nil.
	Route route.Policy
	// Planner selects the planner's decisions.
	Planner fleet.Policy

	// ctx is the context of all work; cancel ends it without draining.
	ctx      context.Context
	cancel   context.CancelFunc
	loop     *loop
	node     *peer.Node
	platform *platform.Client
	chain    chainstore.Store
	claims   *claims.Registry
	members  endpoint.MemberClient
	callers  *caller.Server
	journal  *caller.Journal
	leave    chan struct{}
	leaving  sync.Once
	// accounted is when the users' measures were last added up.
	accounted time.Time
}

// Run serves until ctx ends or the daemon has been drained. When ctx ends it
// stops gracefully: it leaves the list of entries, goes on serving for as
// long as callers may keep that list, and then waits for requests in flight.
func (da *Daemon) Run(ctx context.Context) error {
	tls, err := da.Keys.Config()
	if err != nil {
		return err
	}
	ls, err := da.listen()
	if err != nil {
		return err
	}
	// Work goes on while the daemon drains, so it has a context of its own.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	da.cancel = stop
	da.build(work, tls, ls.peer)

	var gr run.Group
	add := func(fn func(context.Context) error) {
		part, cancel := context.WithCancel(work)
		gr.Add(func() error { return fn(part) }, func(error) { cancel() })
	}
	add(func(part context.Context) error { return da.drainWhenTold(ctx, part) })
	add(da.loop.run)
	add(da.node.Run)
	add(da.serveHTTP(ls.caller, otelhttp.NewHandler(da.callers.Handler(), "caller")))
	add(da.serveHTTP(ls.operator, otelhttp.NewHandler(da.operators().Handler(), "operator")))
	add(da.serveHTTP(ls.metrics, metricsHandler()))
	da.Log.Info("Daemon: started.", "name", da.Settings.Name, "caller", da.Settings.Listen.Caller)
	err = gr.Run()
	da.Log.Info("Daemon: stopped.", "name", da.Settings.Name)
	return err
}

// listeners are the daemon's bound sockets.
type listeners struct {
	caller, operator, metrics net.Listener
	peer                      *net.UDPConn
}

func (da *Daemon) listen() (ls listeners, err error) {
	li := da.Settings.Listen
	for _, tc := range []struct {
		addr string
		into *net.Listener
	}{{li.Caller, &ls.caller}, {li.Operator, &ls.operator}, {li.Metrics, &ls.metrics}} {
		if *tc.into, err = net.Listen("tcp", tc.addr); err != nil {
			return ls, eris.Wrap(err, "listen")
		}
	}
	addr, err := net.ResolveUDPAddr("udp", li.Peer)
	if err != nil {
		return ls, eris.Wrap(err, "listen")
	}
	ls.peer, err = net.ListenUDP("udp", addr)
	return ls, eris.Wrap(err, "listen")
}

// serveHTTP returns a part of the run group that serves a listener.
func (da *Daemon) serveHTTP(ln net.Listener, handler http.Handler) func(context.Context) error {
	sv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(da.Log.Handler(), slog.LevelDebug),
	}
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { sv.Close() })
		defer stop()
		err := sv.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serve")
	}
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}

func (da *Daemon) operators() *operator.Server {
	return &operator.Server{State: da, Chain: da.chain, Clock: da.Clock, Log: da.Log, Journal: da.journal,
		TokenSHA256: da.Settings.Operator.TokenSHA256}
}

// drainWhenTold stops the daemon gracefully when ctx ends or an operator asks
// for it. It ends when nothing is in flight, and with it the run group.
func (da *Daemon) drainWhenTold(ctx, part context.Context) error {
	select {
	case <-ctx.Done():
	case <-da.leave:
	case <-part.Done():
		return nil
	}
	ti := da.Settings.Timing
	da.Log.Info("Daemon: leaving.", "name", da.Settings.Name)
	da.loop.Post(control.Leave{})
	// Callers may keep the list of entries that names this daemon: requests
	// that come until then are served like any others.
	if err := da.Clock.Sleep(part, time.Duration(ti.Entries)+time.Duration(ti.Pull)); err != nil {
		return nil
	}
	limit, cancel := context.WithTimeout(part, time.Duration(ti.Drain))
	defer cancel()
	if err := da.callers.Drain(limit); err != nil {
		da.Log.Warn("Daemon: requests in flight were cut off.", "limit", time.Duration(ti.Drain))
	}
	settle, cancel := context.WithTimeout(limit, settleLimit)
	defer cancel()
	da.claims.Wait(settle)
	return nil
}

// View implements operator.State.
func (da *Daemon) View() *control.View { return da.loop.View() }

// Post implements operator.State.
func (da *Daemon) Post(ev control.Event) { da.loop.Post(ev) }

// Domains implements operator.State.
func (da *Daemon) Domains() []fleet.Domain {
	var doms []fleet.Domain
	da.loop.ask(da.ctx, func() { doms = da.loop.core.Domains() })
	return doms
}

// Drain implements operator.State.
func (da *Daemon) Drain() { da.leaving.Do(func() { close(da.leave) }) }

// Revisions implements operator.State.
func (da *Daemon) Revisions(ctx context.Context) map[string]uint64 {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	vi := da.View()
	revisions := map[string]uint64{da.Settings.Name: vi.Config.Revision}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, dm := range vi.Daemons {
		if dm.Name == da.Settings.Name || dm.State == gossip.Dead {
			continue
		}
		wg.Go(func() {
			var an control.PullAnswer
			if da.node.Call(ctx, dm.Peer, peer.PullRequest{}, &an) == nil {
				mu.Lock()
				defer mu.Unlock()
				revisions[dm.Name] = an.ConfigRevision
			}
		})
	}
	wg.Wait()
	return revisions
}

// claimOwner returns the peer address of the daemon that merges a shard's
// claims, or "" when this daemon does.
func (da *Daemon) claimOwner(shard int) string {
	vi := da.View()
	var serving []gossip.Daemon
	for _, dm := range vi.Daemons {
		if dm.State == gossip.Serving {
			serving = append(serving, dm)
		}
	}
	for _, dm := range gossip.Ranked(serving, claim.ShardPrefix(shard), 1) {
		if dm.Name != da.Settings.Name {
			return dm.Peer
		}
	}
	return ""
}

func (da *Daemon) forwardClaim(ctx context.Context, addr string, op claim.Op) (claim.Result, error) {
	var res claim.Result
	err := da.node.Call(ctx, addr, peer.ClaimRequest{Op: op}, &res)
	return res, err
}
