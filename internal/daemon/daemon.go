// Package daemon assembles a corianderhub daemon: it connects the control state
// to sockets, timers and the platform, and serves callers, operators, other
// daemons and metrics.
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
	"corianderhub.dev/corianderhub/internal/inbound"
	"corianderhub.dev/corianderhub/internal/operator"
	"corianderhub.dev/corianderhub/internal/peer"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/platform/chainstore"
	"corianderhub.dev/corianderhub/internal/platform/claims"
	"corianderhub.dev/corianderhub/internal/stop"
)

// Limits of the listeners and of outgoing connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// Maximum numbers of idle connections kept for each endpoint, by its kind.
	engineIdleConns  = 64
	serviceIdleConns = 16
	memberIdleConns  = 1
	// settleTimeout bounds the wait for claims that are released or recorded in
	// the background after the response. A claim that is not settled by then
	// remains held.
	settleTimeout = 15 * time.Second
	// unreadTimeout is how long a draining daemon waits for requests that are not complete.
	unreadTimeout = time.Second
	// flushTimeout bounds the wait for responses that callers have not read completely when the
	// last request has ended.
	flushTimeout = 2 * time.Second
	// revisionTimeout bounds the requests for the revisions of all daemons.
	revisionTimeout = 2 * time.Second
)

// Daemon is one daemon. Set the exported fields before calling Run.
type Daemon struct {
	Settings Settings
	Keys     peer.Material
	Clock    clock.Clock
	Log      *slog.Logger
	// RoutePolicy selects the group for a request; nil means
	// route.TokenAffinity.
	RoutePolicy route.Policy
	// PlannerPolicy parameterizes the planner that assigns VMs to groups.
	PlannerPolicy fleet.Policy

	// ctx is the context of all work; cancel stops it without draining.
	ctx          context.Context
	cancel       context.CancelFunc
	loop         *loop
	node         *peer.Node
	platform     *platform.Client
	chain        chainstore.Store
	claims       *claims.Registry
	era          era
	memberClient endpoint.MemberClient
	callerServer *caller.Server
	// guard bounds what all clients use; callers is the listener for requests.
	guard      *inbound.Guard
	callers    *inbound.Listener
	quarantine *quarantineExchange
	journal    *caller.Journal
	// drainRequested is closed by Drain, once.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// lastExport is the time of the last export of metrics.
	lastExport time.Time
	// gauges are the gauges of the state of the listeners.
	gauges *metrics.Set
}

// Run serves until the daemon has been drained. It drains when ctx ends or an
// operator requests it: the daemon leaves the list of entries, keeps serving
// for as long as callers may cache that list, and then waits for the requests
// in flight.
func (da *Daemon) Run(ctx context.Context) error {
	tls, err := da.Keys.Config()
	if err != nil {
		return err
	}
	ls, err := da.bind()
	if err != nil {
		return err
	}
	// Work continues while the daemon drains, so its context does not end with
	// ctx.
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	da.cancel = cancelWork
	da.build(workCtx, tls, ls.peer)

	var gr run.Group
	add := func(fn func(context.Context) error) {
		actorCtx, cancel := context.WithCancel(workCtx)
		gr.Add(func() error { return fn(actorCtx) }, func(error) { cancel() })
	}
	da.guard = &inbound.Guard{Clock: da.Clock, Log: da.Log, MemoryBytes: da.Settings.Limits.MemoryBytes(), MaxFiles: inbound.FileLimit(da.Settings.Limits.MaxFiles)}
	da.callers = da.listen("caller", ls.caller, inbound.PrimaryShare)
	operators, scrapers := da.listen("operator", ls.operator, inbound.SecondaryShare), da.listen("metrics", ls.metrics, inbound.SecondaryShare)
	refuse := http.HandlerFunc(inbound.RefuseOverloaded)
	callers := da.callers.Server(otelhttp.NewHandler(da.callerServer.Handler(), "caller"), http.HandlerFunc(da.callerServer.RefuseOverloaded))
	da.gauges = metrics.NewSet()
	da.guard.Register(da.gauges)
	add(func(actorCtx context.Context) error { return da.drainOnRequest(ctx, actorCtx, callers) })
	add(da.loop.run)
	add(da.node.Run)
	add(da.claims.Run)
	add(da.quarantine.run)
	add(serveHTTP(da.callers, callers))
	add(serveHTTP(operators, operators.Server(otelhttp.NewHandler(da.operatorServer().Handler(), "operator"), refuse)))
	add(serveHTTP(scrapers, scrapers.Server(da.metricsHandler(), refuse)))
	da.Log.Info("Daemon: started.", "name", da.Settings.Name, "caller", da.Settings.Listen.Caller)
	err = gr.Run()
	da.Log.Info("Daemon: stopped.", "name", da.Settings.Name)
	return err
}

// listeners holds the bound sockets of the daemon.
type listeners struct {
	caller, operator, metrics net.Listener
	peer                      *net.UDPConn
}

func (da *Daemon) bind() (ls listeners, err error) {
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

// listen returns a listener that applies the limits on clients.
func (da *Daemon) listen(name string, ln net.Listener, share float64) *inbound.Listener {
	li := da.guard.Listen(ln, name, share)
	li.Limits = func() inbound.Limits {
		return inbound.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	return li
}

// serveHTTP returns an actor of the run group that serves a listener until its context ends.
func serveHTTP(ln net.Listener, sv *http.Server) func(context.Context) error {
	return func(ctx context.Context) error {
		cancel := context.AfterFunc(ctx, func() { sv.Close() })
		defer cancel()
		err := sv.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		<-ctx.Done()
		return nil
	}
}

func (da *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		da.gauges.WritePrometheus(w)
	})
	return mux
}

func (da *Daemon) operatorServer() *operator.Server {
	return &operator.Server{State: da, Chain: da.chain, Clock: da.Clock, Log: da.Log, Journal: da.journal, Quarantine: da.quarantine,
		TokenSHA256: da.Settings.Operator.TokenSHA256}
}

// drainOnRequest waits until ctx ends or an operator requests a graceful stop,
// and then drains the daemon. It returns when no request is in flight or the
// drain timeout has passed. Its return stops the run group.
func (da *Daemon) drainOnRequest(ctx, actorCtx context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
	case <-da.drainRequested:
	case <-actorCtx.Done():
		return nil
	}
	ti := da.Settings.Timing
	da.Log.Info("Daemon: leaving.", "name", da.Settings.Name)
	listed, drain := time.Duration(ti.Entries)+time.Duration(ti.Pull), time.Duration(ti.Drain)
	at := stopTimes(da.Clock.Now().Add(listed+drain), drain)
	da.callerServer.SetStopping(at)
	da.loop.Post(control.Leave{})
	// Callers may still cache a list of entries that names this daemon.
	// Requests that arrive until the list expires are served normally.
	if err := da.Clock.Sleep(actorCtx, listed); err != nil {
		return nil
	}
	drainCtx, cancel := context.WithTimeout(actorCtx, drain)
	defer cancel()
	if err := da.drainCallers(drainCtx, callers, min(unreadTimeout, at.AnswerBy.Sub(da.Clock.Now()))); err != nil {
		da.Log.Warn("Daemon: drain timeout reached; closing connections.", "limit", drain, "working", da.callerServer.InFlight())
	}
	da.Log.Info("Daemon: callers' connections closed.", da.callerServer.EndedByStop().Attrs()...)
	settleCtx, cancel := context.WithTimeout(drainCtx, settleTimeout)
	defer cancel()
	da.claims.Wait(settleCtx)
	return nil
}

// answerMargin and abortMargin are the times before the end of the drain timeout at which the last
// requests are answered, and at which responses that have begun are aborted. They allow for writing.
const (
	answerMargin = 300 * time.Millisecond
	abortMargin  = 100 * time.Millisecond
)

// stopTimes returns by when requests end if the drain timeout is over at end.
func stopTimes(end time.Time, drain time.Duration) stop.Times {
	return stop.Times{AnswerBy: end.Add(-min(answerMargin, drain/2)), AbortBy: end.Add(-min(abortMargin, drain/4))}
}

// drainCallers refuses new requests, waits for those in flight and closes the connections of callers.
// Requests that are not complete after the time unread are refused. A response ends only when the
// server has written it, after the handler has returned.
func (da *Daemon) drainCallers(ctx context.Context, callers *http.Server, unread time.Duration) error {
	drainCtx, stopRefusing := context.WithCancel(ctx)
	defer stopRefusing()
	go da.refuseUnread(drainCtx, unread)
	if err := da.callerServer.Drain(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	return callers.Shutdown(ctx)
}

// refuseUnread refuses the requests that are not complete after a time, unless ctx ends before.
func (da *Daemon) refuseUnread(ctx context.Context, after time.Duration) {
	if da.Clock.Sleep(ctx, after) == nil {
		da.guard.RefuseUnread(da.callers)
	}
}

// View implements operator.State.
func (da *Daemon) View() *control.View { return da.loop.View() }

// Post implements operator.State.
func (da *Daemon) Post(ev control.Event) { da.loop.Post(ev) }

// Domains implements operator.State.
func (da *Daemon) Domains() []fleet.Domain {
	var doms []fleet.Domain
	da.loop.call(da.ctx, func() { doms = da.loop.core.Domains() })
	return doms
}

// Drain implements operator.State.
func (da *Daemon) Drain() { da.drainOnce.Do(func() { close(da.drainRequested) }) }

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
			var an control.PullResponse
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

// claimOwner returns the peer address of the daemon that merges the claims of a
// shard, or "" if this one does.
func (da *Daemon) claimOwner(shard int) string {
	ranked := da.claimRanking(shard)
	if len(ranked) == 0 || ranked[0].Name == da.Settings.Name {
		return ""
	}
	return ranked[0].Peer
}

// maxClaimBackups bounds the daemons that are asked to remember one claim.
const maxClaimBackups = 2

// claimBackups returns the peer addresses of the daemons that may remember the claims of a shard
// which this daemon merges.
func (da *Daemon) claimBackups(shard int) []string {
	return backups(da.Settings.Name, da.claimRanking(shard))
}

// backups returns the peer addresses of a daemon's backups, given the daemons that rank first for a
// shard. The shard's owner is the last: another daemon merges in its place only if it can't be
// reached.
func backups(name string, ranked []gossip.Daemon) []string {
	var addrs []string
	for i := range ranked {
		if dm := ranked[(i+1)%len(ranked)]; dm.Name != name {
			addrs = append(addrs, dm.Peer)
		}
	}
	return addrs[:min(len(addrs), maxClaimBackups)]
}

// claimRanking returns the serving daemons that rank first for a shard: its owner and two others.
func (da *Daemon) claimRanking(shard int) []gossip.Daemon {
	vi := da.View()
	var serving []gossip.Daemon
	for _, dm := range vi.Daemons {
		if dm.State == gossip.Serving {
			serving = append(serving, dm)
		}
	}
	return gossip.Ranked(serving, claim.ShardPrefix(shard), 1+maxClaimBackups)
}

func (da *Daemon) forwardClaim(ctx context.Context, addr string, op claim.Op) (claim.Result, error) {
	var res claim.Result
	err := da.node.Call(ctx, addr, peer.ClaimRequest{Op: op}, &res)
	return res, err
}
