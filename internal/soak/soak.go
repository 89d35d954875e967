// Package soak runs daemons as processes against an emulated platform, injects faults
// from outside, and checks from what callers and endpoints observe that the system
// keeps its guarantees. A seed determines the sequence of faults.
package soak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhub.dev/corianderhub/internal/httphead"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	Log *slog.Logger
	// Binary is the path of the daemon's program. Dir is the directory for settings
	// and logs.
	Binary, Dir string
	Seed        uint64
	// Daemons, ModelServers, PlainServers and Clients are the numbers of each.
	Daemons, ModelServers, PlainServers, Clients int
	// Duration is how long faults are injected.
	Duration time.Duration
	// FaultInterval is the mean time between two faults. Each lasts up to six times
	// as long, so that faults overlap.
	FaultInterval time.Duration
	// Restores adds restores of the store from copies to the faults.
	Restores bool
	// Crashes adds requests that crash servers to the faults, and responses without framing.
	Crashes bool
	// Silences adds sound servers that fall silent and go on to the faults, and other shares of the
	// models.
	Silences bool
	// Changes adds changes of the limits and routes, each followed by a silence, and restarts in series, to
	// the faults. Clients then keep idle connections, and send streams that are not resumable.
	Changes bool
	// PlannedOnly draws only faults that excuse nothing.
	PlannedOnly bool
	// Subnet gives the daemons the addresses 127.0.Subnet.1 and up.
	Subnet int

	ctx        context.Context
	check      *Checker
	deployment *emulator.Deployment
	daemons    []*process
	// storeProxies inject faults into the calls to the store, and
	// storeTCPProxies into the connections to it. Both are indexed by daemon.
	storeProxies    []*emulator.StoreProxy
	storeTCPProxies []*Proxy
	// mu guards serverTCPProxies and reserved. The deployment locks it while it starts a server, so
	// no call of the deployment is made with it held.
	mu sync.Mutex
	// serverTCPProxies are the proxies in front of the servers, by server ID.
	serverTCPProxies map[string]*Proxy
	// reserved has what a fault changes now, or has ended for good.
	reserved map[target]bool
	// versionsMu guards versions, the routes that configure has added, one per version.
	versionsMu sync.Mutex
	versions   []emulator.Route
	// limits guards and holds the idle timeouts of the configurations.
	limits idleTimeouts
}

const (
	// readyTimeout limits the wait for all daemons to serve. Loads take one second.
	readyTimeout = 60 * time.Second
	// pollInterval is the time between two probes of waitReady.
	pollInterval = 50 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 50 * time.Millisecond
	// probeInterval is the time between two probes of a daemon's configuration.
	probeInterval = 100 * time.Millisecond
)

// Run executes the run and returns the violations of guarantees that it found. An error
// means that the platform or a daemon could not be started.
func (so *Soak) Run(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	so.ctx = ctx
	so.check = &Checker{Want: want}
	if so.Changes {
		so.check.PassedOn = func(id string) bool { return so.deployment.Received(id) }
	}
	so.serverTCPProxies, so.reserved = make(map[string]*Proxy), make(map[target]bool)
	defer so.stopAll()
	if err := so.start(); err != nil {
		return nil, err
	}
	go logPauses(ctx, so.Log)
	if !so.waitReady() {
		so.check.ReportViolation("not all daemons serve every route within %v of the start", readyTimeout)
		return so.check.Violations(), nil
	}
	so.runWorkload()
	if !so.waitReady() {
		so.check.ReportViolation("not all daemons serve every route within %v of the last fault", readyTimeout)
	}
	so.check.Finish(so.deployment.RunCounts())
	for _, vi := range so.deployment.Fleet.Violations() {
		so.check.ReportViolation("groups: %s", vi)
	}
	so.Log.Info("soak: finished.", "seed", so.Seed, "outcomes", so.check.Counts())
	return so.check.Violations(), nil
}

// start starts the emulated platform and the daemons, each with proxies of its own to
// the store.
func (so *Soak) start() error {
	so.deployment = &emulator.Deployment{ModelServers: so.ModelServers, PlainServers: so.PlainServers, EventInterval: eventInterval, Proxy: so.proxyServer,
		ReplacementDelay: replacementDelay, OnKill: func(id string) { so.serverProxy(id).Stop() }}
	if so.Silences {
		so.deployment.Domains = silentDomains
	}
	if so.Changes {
		so.prepareChanges()
	}
	if err := so.deployment.Start(so.ctx); err != nil {
		return err
	}
	ip := func(num int) string { return fmt.Sprintf("127.0.%d.%d", so.Subnet, num+1) }
	for num := range so.Daemons {
		sp, addr, err := so.deployment.OpenStoreProxy()
		if err != nil {
			return err
		}
		pr := &Proxy{Target: addr}
		if addr, err = pr.Start(so.ctx); err != nil {
			return err
		}
		so.storeProxies, so.storeTCPProxies = append(so.storeProxies, sp), append(so.storeTCPProxies, pr)
		ps := &process{num: num, binary: so.Binary, dir: so.Dir, ip: ip(num), settings: filepath.Join(so.Dir, fmt.Sprintf("daemon-%d.json", num))}
		raw := emulator.Settings(fmt.Sprint("entry-", num), ps.ip, addr, []string{ip(0) + ":18082", ip(1) + ":18082"})
		if err := os.WriteFile(ps.settings, raw, 0o600); err != nil {
			return eris.Wrap(err, "write settings of daemon")
		}
		if err := ps.start(); err != nil {
			return err
		}
		so.daemons = append(so.daemons, ps)
	}
	return nil
}

// stopAll kills the daemons that this run started.
func (so *Soak) stopAll() {
	for _, ps := range so.daemons {
		ps.kill()
	}
}

// serverIDs returns the IDs of all servers.
func (so *Soak) serverIDs() []string {
	ids := append(so.deployment.IDs("engine"), so.deployment.IDs("desk")...)
	if so.Changes {
		ids = append(append(ids, so.deployment.IDs(emulator.Twin("engine"))...), so.deployment.IDs(emulator.Twin("desk"))...)
	}
	return ids
}

// serverProxy returns the TCP proxy in front of a server.
func (so *Soak) serverProxy(id string) *Proxy {
	so.mu.Lock()
	defer so.mu.Unlock()
	return so.serverTCPProxies[id]
}

// proxyServer puts a TCP proxy in front of a server and returns the proxy's address.
func (so *Soak) proxyServer(id, addr string) (string, error) {
	pr := &Proxy{Target: addr}
	so.mu.Lock()
	so.serverTCPProxies[id] = pr
	so.mu.Unlock()
	return pr.Start(so.ctx)
}

// runWorkload runs the clients, watches the configuration of each daemon and injects
// faults for Duration. It returns when all requests and faults have ended.
func (so *Soak) runWorkload() {
	workCtx, stop := context.WithTimeout(so.ctx, so.Duration)
	defer stop()
	var clients, running sync.WaitGroup
	for num := range so.Clients {
		clients.Go(func() { newClient(so, num, so.Seed).run(workCtx) })
	}
	for _, ps := range so.daemons {
		clients.Go(func() { so.watchConfig(workCtx, ps) })
	}
	clients.Go(func() { so.injectBackpressure(workCtx, &running) })
	drawn := so.drawn()
	rnd := rand.New(rand.NewPCG(so.Seed, 1))
	for workCtx.Err() == nil {
		fa, dur := draw(rnd, drawn), time.Duration(rnd.Int64N(int64(6*so.FaultInterval)))
		faultRnd := rand.New(rand.NewPCG(rnd.Uint64(), 2))
		running.Go(func() { so.runFault(fa, faultRnd, dur) })
		so.pause(workCtx, time.Duration(rnd.ExpFloat64()*float64(so.FaultInterval)))
	}
	clients.Wait()
	running.Wait()
}

// drawn returns the faults that the run draws from.
func (so *Soak) drawn() []fault {
	drawn := slices.Clone(faults)
	if so.Restores {
		drawn = append(drawn, restores)
	}
	if so.Crashes {
		drawn = append(drawn, crashes...)
	}
	if so.Silences {
		drawn = append(drawn, silences...)
	}
	if so.Changes {
		drawn = append(drawn, changes...)
	}
	if so.PlannedOnly {
		drawn = slices.DeleteFunc(drawn, func(fa fault) bool { return !fa.planned })
	}
	return drawn
}

// runFault runs one fault. The checker excuses the effects of an unplanned one.
func (so *Soak) runFault(fa fault, rnd *rand.Rand, dur time.Duration) {
	so.Log.Info("soak: fault.", "fault", fa.String(), "for", dur)
	if !fa.planned {
		defer so.check.BeginFault(fa.name)()
	}
	fa.run(so, rnd, dur)
}

// pause waits for dur or until ctx ends.
func (so *Soak) pause(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

// sleep waits for dur or until the run ends.
func (so *Soak) sleep(dur time.Duration) { so.pause(so.ctx, dur) }

// restart stops a daemon with end and starts it again after the given time. It does
// nothing if another fault has reserved the daemon.
func (so *Soak) restart(ps *process, after time.Duration, end func(*process)) {
	if !so.reserve(processOf, ps.id()) {
		return
	}
	defer so.release(processOf, ps.id())
	end(ps)
	so.sleep(after)
	if err := ps.start(); err != nil {
		so.check.ReportViolation("restart of daemon %d: %v", ps.num, err)
	}
}

// injectConnFault injects a fault into a proxy's connections for dur.
func (so *Soak) injectConnFault(pr *Proxy, fault ConnFault, dur time.Duration) {
	pr.SetFault(fault)
	so.sleep(dur)
	pr.SetFault(NoConnFault)
}

// addServer adds a model server that is in no group yet.
func (so *Soak) addServer() {
	if _, err := so.deployment.AddModelServer(); err != nil {
		so.check.ReportViolation("add model server: %v", err)
	}
}

// injectServerFault makes a server fail a third of its requests for dur.
func (so *Soak) injectServerFault(rnd *rand.Rand, how emulator.Fault, dur time.Duration) {
	id := so.reserveOne(rnd, requestsOf, so.serverIDs())
	if id == "" {
		return
	}
	defer so.release(requestsOf, id)
	sv := so.deployment.Server(id)
	sv.SetFault(func(*http.Request) emulator.Fault {
		if rand.IntN(3) == 0 {
			return how
		}
		return emulator.None
	})
	so.sleep(dur)
	sv.SetFault(nil)
}

// configure publishes a version of the configuration that adds a route.
func (so *Soak) configure() {
	so.versionsMu.Lock()
	defer so.versionsMu.Unlock()
	num := len(so.versions) + 1
	so.versions = append(so.versions, emulator.Route{Name: fmt.Sprint("version-", num), Host: emulator.Host, Prefix: versionPrefix(num),
		Kind: "safe", Timeout: 30000, Target: 10000, Attempts: 2, Service: "desk"})
	// Called with the lock held, so that an older list of routes is not published as a
	// newer version.
	so.deployment.Configure(slices.Clone(so.versions))
}

// versionPrefix returns the path prefix of the route that a version adds.
func versionPrefix(num int) string { return fmt.Sprintf("/version-%d/", num) }

// newestVersion returns the number of the newest configuration version.
func (so *Soak) newestVersion() int {
	so.versionsMu.Lock()
	defer so.versionsMu.Unlock()
	return len(so.versions)
}

// watchConfig probes which of the newest two configuration versions a daemon serves.
func (so *Soak) watchConfig(ctx context.Context, ps *process) {
	for ctx.Err() == nil {
		name := ps.name()
		for num := max(1, so.newestVersion()-1); num <= so.newestVersion(); num++ {
			status := so.probe(ctx, ps, versionPrefix(num))
			// A daemon without any configuration refuses the request, which does not
			// show whether it had the version before.
			if known := status == http.StatusOK; name == ps.name() && (known || status == http.StatusNotFound) {
				so.check.RecordVersion(name, num, known)
			}
		}
		so.pause(ctx, probeInterval)
	}
}

// probe sends a repeatable request and returns the response's status, or 0 if there was
// none.
func (so *Soak) probe(ctx context.Context, ps *process, prefix string) int {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ps.ip+":18080"+prefix+"x", nil)
	if err != nil {
		return 0
	}
	req.Close = true
	req.Host = emulator.Host
	req.Header.Set(platform.HeaderRequestID, fmt.Sprint("probe-", time.Now().UnixNano()))
	req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.APIKey)
	req.Header.Set(platform.HeaderModel, emulator.ModelLarge)
	req.Header.Set(platform.HeaderTokens, "100,7")
	rsp, err := httphead.Do(http.DefaultClient, req)
	if err != nil {
		return 0
	}
	defer rsp.Body.Close()
	return rsp.StatusCode
}

// waitReady waits until every daemon serves every kind of request under the newest
// configuration. It returns false after readyTimeout.
func (so *Soak) waitReady() bool {
	prefixes := []string{"/draft/", "/slot/", "/confirm/"}
	if num := so.newestVersion(); num > 0 {
		prefixes = append(prefixes, versionPrefix(num))
	}
	until := time.Now().Add(readyTimeout)
	for _, ps := range so.daemons {
		for _, prefix := range prefixes {
			for so.probe(so.ctx, ps, prefix) != http.StatusOK {
				if time.Now().After(until) || so.ctx.Err() != nil {
					return false
				}
				so.sleep(pollInterval)
			}
		}
	}
	return true
}
