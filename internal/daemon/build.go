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

// build makes the daemon's parts and connects them.
func (da *Daemon) build(ctx context.Context, tlsConfig *tls.Config, conn *net.UDPConn) {
	da.ctx = ctx
	da.leave = make(chan struct{})
	if da.Route == nil {
		da.Route = route.TokenAffinity{}
	}
	da.platform = &platform.Client{Address: da.Settings.Platform}
	da.chain = chainstore.Store{KV: da.platform, Clock: da.Clock}
	da.members = endpoint.MemberClient{Transport: endpoint.NewTransport(memberConns)}
	da.claims = &claims.Registry{Store: da.platform, Clock: da.Clock, Owner: da.claimOwner, Forward: da.forwardClaim}
	da.journal = &caller.Journal{}
	da.buildCallers()
	set := da.Settings.control()
	set.Policy = da.Planner
	da.loop = newLoop(control.New(set, da.Clock.Now()), da.Clock)
	da.loop.act = da.act
	da.loop.viewed = func(vi *control.View) {
		da.callers.Pools.Update(vi)
		da.export(vi)
	}
	da.callers.Control = da.loop
	da.node = &peer.Node{Conn: conn, TLS: tlsConfig, Handler: da, Log: da.Log}
}

func (da *Daemon) buildCallers() {
	da.callers = &caller.Server{
		Clock:           da.Clock,
		Log:             da.Log,
		Pools:           &caller.Pools{Clock: da.Clock, Policy: da.Route},
		Engines:         endpoint.EngineClient{Transport: otelhttp.NewTransport(endpoint.NewTransport(engineConns))},
		Claims:          da.claims,
		Journal:         da.journal,
		DataCenter:      da.Settings.DataCenter,
		Stall:           time.Duration(da.Settings.Timing.Stall),
		EntriesLifetime: time.Duration(da.Settings.Timing.Entries),
		Services: endpoint.ServiceClient{
			Transport:        otelhttp.NewTransport(endpoint.NewTransport(serviceConns)),
			NoReuseTransport: otelhttp.NewTransport(endpoint.NewNoReuseTransport()),
		},
	}
}
