package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"corianderhub.dev/corianderhub/internal/caller"
	"corianderhub.dev/corianderhub/internal/core/control"
	"corianderhub.dev/corianderhub/internal/core/route"
	"corianderhub.dev/corianderhub/internal/endpoint"
	"corianderhub.dev/corianderhub/internal/peer"
	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/platform/chainstore"
	"corianderhub.dev/corianderhub/internal/platform/claims"
)

// build creates the components of the daemon and connects them. Their work ends
// with ctx.
func (da *Daemon) build(ctx context.Context, tlsConfig *tls.Config, conn *net.UDPConn) {
	da.ctx = ctx
	da.drainRequested = make(chan struct{})
	if da.RoutePolicy == nil {
		da.RoutePolicy = route.TokenAffinity{}
	}
	da.platform = &platform.Client{Address: da.Settings.Platform, OnRestore: func(before, era uint64) {
		da.Log.Warn("Store: restored from a copy.", "era", era, "before", before)
		da.era.end()
		go da.loop.Post(control.StoreRestored{})
	}}
	da.chain = chainstore.Store{KV: da.platform, Clock: da.Clock}
	da.memberClient = endpoint.MemberClient{Transport: endpoint.NewTransport(memberIdleConns)}
	da.claims = &claims.Registry{Store: da.platform, Clock: da.Clock, Owner: da.claimOwner, Forward: da.forwardClaim, Backups: da.claimBackups}
	da.journal = &caller.Journal{}
	da.buildCallerServer()
	set := da.Settings.controlSettings()
	set.Policy = da.PlannerPolicy
	da.loop = newLoop(control.New(set, da.Clock.Now()), da.Clock)
	da.loop.startAction = da.startAction
	da.loop.onView = func(vi *control.View) {
		da.callerServer.Pools.Update(vi)
		da.exportMetrics(vi)
	}
	da.callerServer.Control = da.loop
	da.node = &peer.Node{Conn: conn, TLS: tlsConfig, Handler: da, Log: da.Log}
}

func (da *Daemon) buildCallerServer() {
	da.quarantine = newQuarantineExchange(da)
	da.callerServer = &caller.Server{
		Quarantine:      &da.quarantine.ledger,
		OnCrash:         da.quarantine.tellCrash,
		OnCompletion:    da.quarantine.tellCompletion,
		ClaimProbe:      da.quarantine.claimProbe,
		Clock:           da.Clock,
		Log:             da.Log,
		Pools:           &caller.Pools{Clock: da.Clock, Policy: da.RoutePolicy},
		Engines:         endpoint.EngineClient{Transport: otelhttp.NewTransport(endpoint.NewTransport(engineIdleConns))},
		Claims:          da.claims,
		Journal:         da.journal,
		DataCenter:      da.Settings.DataCenter,
		StallTimeout:    time.Duration(da.Settings.Timing.Stall),
		EntriesLifetime: time.Duration(da.Settings.Timing.Entries),
		Services: endpoint.ServiceClient{
			Transport:        otelhttp.NewTransport(endpoint.NewTransport(serviceIdleConns)),
			NoReuseTransport: otelhttp.NewTransport(endpoint.NewNoReuseTransport()),
		},
	}
}
