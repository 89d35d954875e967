package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/inbound"
)

// serveInternal opens all listeners except the one for callers.
func (da *Daemon) serveInternal() error {
	set := da.Settings
	directory := &front.Directory{Log: da.Log, Addresses: da.addresses,
		TTLSeconds: min(addressTTLSeconds, set.Bounds.MaxTTL.Seconds())}
	internalAddr := net.JoinHostPort(set.IP, strconv.Itoa(set.InternalPorts[1]))
	listeners := []listener{
		{"ready", set.Ready, http.HandlerFunc(da.ready), da.clientLimits},
		{"directory", set.Directory, directory, da.clientLimits},
		{"daemons", internalAddr, da.peerHandler(), nil},
	}
	if set.Peers != "" {
		listeners = append(listeners, listener{"control", set.Peers, da.peerHandler(), nil})
	}
	if da.MetricsPort != 0 {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", da.serveMetrics)
		listeners = append(listeners, listener{"metrics", net.JoinHostPort(set.IP, strconv.Itoa(da.MetricsPort)), mux, nil})
	}
	for _, li := range listeners {
		if err := da.listen(li); err != nil {
			return err
		}
	}
	if da.MetricsPort != 0 {
		da.gauges = da.newGauges()
	}
	return nil
}

// listener is one of the daemon's listeners, except that for callers.
type listener struct {
	name, addr string
	handler    http.Handler
	// limits are the limits on one client; nil means the defaults.
	limits func() inbound.Limits
}

// listen opens a listener and adds its server to the run group.
func (da *Daemon) listen(li listener) error {
	ln, err := net.Listen("tcp", li.addr)
	if err != nil {
		return eris.Wrap(err, "listen for "+li.name)
	}
	gl := da.guard.Listen(ln, li.name, inbound.SecondaryShare)
	gl.Limits = li.limits
	da.addServer(li.name, gl, gl.Server(li.handler, http.HandlerFunc(inbound.RefuseOverloaded)))
	return nil
}

// serveCallers opens the listener for callers and adds its server to the run group.
func (da *Daemon) serveCallers() (*http.Server, error) {
	ln, err := net.Listen("tcp", da.Settings.Callers)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	da.callers = da.guard.Listen(ln, "callers", inbound.PrimaryShare)
	da.callers.Limits = da.clientLimits
	sv := da.callers.Server(da.front, http.HandlerFunc(da.front.RefuseOverloaded))
	da.addServer("callers", da.callers, sv)
	return sv, nil
}

// addServer adds a server to the run group.
func (da *Daemon) addServer(name string, ln net.Listener, sv *http.Server) {
	da.add(func(actorCtx context.Context) error {
		stop := context.AfterFunc(actorCtx, func() { sv.Close() })
		defer stop()
		if err := sv.Serve(ln); err != http.ErrServerClosed {
			return eris.Wrap(err, "serve "+name)
		}
		<-actorCtx.Done()
		return nil
	})
}

// clientLimits returns the limits of the current configuration on one client.
func (da *Daemon) clientLimits() inbound.Limits {
	cfg := da.currentConfig()
	if cfg == nil {
		return inbound.Limits{}
	}
	return inbound.Limits{HeaderBytes: cfg.Limits.HeaderBytes, HeaderTimeout: cfg.Limits.HeaderTimeout, IdleTimeout: cfg.Limits.IdleTimeout}
}
