// Package soak runs the real daemons as processes of their own before an emulated
// platform, disturbs them from outside, and checks from what callers and endpoints
// see that the promises hold. What happens is drawn from a seed.
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

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	Log *slog.Logger
	// Binary is the daemon's program, Dir is where settings and logs go.
	Binary, Dir string
	Seed        uint64
	// Daemons, Models, Desks and Clients are numbers of each.
	Daemons, ModelServers, PlainServers, Clients int
	// Time is how long faults come.
	Duration time.Duration
	// Every is the mean time between two faults; each lasts for up to six times
	// as long, so that they overlap.
	FaultInterval time.Duration
	// Subnet gives the daemons the addresses 127.0.Subnet.1 and up.
	Subnet int

	ctx        context.Context
	check      *Checker
	deployment *emulator.Deployment
	daemons    []*process
	gates      []*emulator.StoreProxy
	storeWays  []*Proxy
	mu         sync.Mutex
	serverWays map[string]*Proxy
	taken      map[string]bool
	versions   []emulator.Route
}

const (
	// settleLimit bounds the waits for all daemons to serve; loads take a second.
	settleLimit = 60 * time.Second
	// pollPause is the time between two looks.
	pollPause = 50 * time.Millisecond
	// eventEvery is the time between two events of a stream.
	eventEvery = 50 * time.Millisecond
	// probeEvery is the time between looks which configuration a daemon knows.
	probeEvery = 100 * time.Millisecond
)

// Run plays the seed and returns the promises that were broken.
func (so *Soak) Run(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	so.ctx = ctx
	so.check = &Checker{Want: want}
	so.serverWays, so.taken = make(map[string]*Proxy), make(map[string]bool)
	if err := so.start(); err != nil {
		return nil, err
	}
	defer so.stopAll()
	if !so.allServe() {
		so.check.Violate("not all daemons serve within %v of the start", settleLimit)
		return so.check.Violations(), nil
	}
	so.disturb()
	if !so.allServe() {
		so.check.Violate("not all daemons serve within %v of the last fault", settleLimit)
	}
	so.check.Finish(so.deployment.RunCounts())
	for _, vi := range so.deployment.Fleet.Violations() {
		so.check.Violate("groups: %s", vi)
	}
	so.Log.Info("soak: over.", "seed", so.Seed, "outcomes", so.check.Counts())
	return so.check.Violations(), nil
}

// start starts the emulated platform and the daemons.
func (so *Soak) start() error {
	so.deployment = &emulator.Deployment{ModelServers: so.ModelServers, PlainServers: so.PlainServers, EventInterval: eventEvery, Proxy: so.proxyServer}
	if err := so.deployment.Start(so.ctx); err != nil {
		return err
	}
	ip := func(num int) string { return fmt.Sprintf("127.0.%d.%d", so.Subnet, num+1) }
	for num := range so.Daemons {
		ga, addr, err := so.deployment.OpenStoreProxy()
		if err != nil {
			return err
		}
		way := &Proxy{Target: addr}
		if addr, err = way.Start(so.ctx); err != nil {
			return err
		}
		so.gates, so.storeWays = append(so.gates, ga), append(so.storeWays, way)
		ps := &process{num: num, binary: so.Binary, dir: so.Dir, ip: ip(num), settings: filepath.Join(so.Dir, fmt.Sprintf("daemon-%d.json", num))}
		raw := emulator.Settings(fmt.Sprint("entry-", num), ps.ip, addr, []string{ip(0) + ":18082", ip(1) + ":18082"})
		if err := os.WriteFile(ps.settings, raw, 0o600); err != nil {
			return eris.Wrap(err, "settings")
		}
		if err := ps.start(); err != nil {
			return err
		}
		so.daemons = append(so.daemons, ps)
	}
	return nil
}

// stopAll ends the processes that this run started.
func (so *Soak) stopAll() {
	for _, ps := range so.daemons {
		ps.kill()
	}
}

// proxyServer puts a proxy before a server.
func (so *Soak) proxyServer(id, addr string) (string, error) {
	way := &Proxy{Target: addr}
	so.mu.Lock()
	so.serverWays[id] = way
	so.mu.Unlock()
	return way.Start(so.ctx)
}

// disturb lets clients work while faults come, and waits for the end of both.
func (so *Soak) disturb() {
	busy, stop := context.WithTimeout(so.ctx, so.Duration)
	defer stop()
	var clients, running sync.WaitGroup
	for num := range so.Clients {
		clients.Go(func() { newClient(so, num, so.Seed).run(busy) })
	}
	for _, ps := range so.daemons {
		clients.Go(func() { so.watchConfig(busy, ps) })
	}
	clients.Go(func() { so.playNeeds(busy, &running) })
	rnd := rand.New(rand.NewPCG(so.Seed, 1))
	for busy.Err() == nil {
		fa, dur := draw(rnd), time.Duration(rnd.Int64N(int64(6*so.FaultInterval)))
		own := rand.New(rand.NewPCG(rnd.Uint64(), 2))
		running.Go(func() { so.runFault(fa, own, dur) })
		so.pause(busy, time.Duration(rnd.ExpFloat64()*float64(so.FaultInterval)))
	}
	clients.Wait()
	running.Wait()
}

func (so *Soak) runFault(fa fault, rnd *rand.Rand, dur time.Duration) {
	so.Log.Info("soak: fault.", "fault", fa.String(), "for", dur)
	if !fa.planned {
		defer so.check.Fault()()
	}
	fa.run(so, rnd, dur)
}

// pause waits, but no longer than ctx.
func (so *Soak) pause(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

func (so *Soak) sleep(dur time.Duration) { so.pause(so.ctx, dur) }

// restart ends a daemon and starts it again after some time.
func (so *Soak) restart(ps *process, after time.Duration, end func(*process)) {
	if !ps.reserve() {
		return
	}
	defer ps.release()
	end(ps)
	so.sleep(after)
	if err := ps.start(); err != nil {
		so.check.Violate("daemon %d does not start: %v", ps.num, err)
	}
}

func (so *Soak) harm(way *Proxy, harm Harm, dur time.Duration) {
	way.Set(harm)
	so.sleep(dur)
	way.Set(Unharmed)
}

// serverWay returns the proxy of a server.
func (so *Soak) serverWay(rnd *rand.Rand) *Proxy {
	ids := append(so.deployment.IDs("engine"), so.deployment.IDs("desk")...)
	so.mu.Lock()
	defer so.mu.Unlock()
	return so.serverWays[pick(rnd, ids)]
}

// takeServer returns a model server that no other fault ends, or "".
func (so *Soak) takeServer(rnd *rand.Rand) string {
	ids := so.deployment.IDs("engine")
	so.mu.Lock()
	defer so.mu.Unlock()
	ids = slices.DeleteFunc(ids, func(id string) bool { return so.taken[id] })
	if len(ids) == 0 {
		return ""
	}
	id := pick(rnd, ids)
	so.taken[id] = true
	return id
}

func (so *Soak) addServer() {
	if _, err := so.deployment.AddModelServer(); err != nil {
		so.check.Violate("server not added: %v", err)
	}
}

// misbehave makes a server fail a third of its requests for some time.
func (so *Soak) misbehave(rnd *rand.Rand, how emulator.Fault, dur time.Duration) {
	ids := append(so.deployment.IDs("engine"), so.deployment.IDs("desk")...)
	sv := so.deployment.Server(pick(rnd, ids))
	sv.SetFault(func(*http.Request) emulator.Fault {
		if rand.IntN(3) == 0 {
			return how
		}
		return emulator.None
	})
	so.sleep(dur)
	sv.SetFault(nil)
}

// configure puts a version of the configuration in force that adds a route.
func (so *Soak) configure() {
	so.mu.Lock()
	num := len(so.versions) + 1
	so.versions = append(so.versions, emulator.Route{Name: fmt.Sprint("version-", num), Host: emulator.Host, Prefix: versionPrefix(num),
		Kind: "safe", Timeout: 30000, Target: 10000, Attempts: 2, Service: "desk"})
	// Written under the lock: an older list must not get a newer version.
	so.deployment.Configure(slices.Clone(so.versions))
	so.mu.Unlock()
}

func versionPrefix(num int) string { return fmt.Sprintf("/version-%d/", num) }

func (so *Soak) newest() int {
	so.mu.Lock()
	defer so.mu.Unlock()
	return len(so.versions)
}

// watchConfig looks which versions of the configuration a daemon knows.
func (so *Soak) watchConfig(ctx context.Context, ps *process) {
	for ctx.Err() == nil {
		name := ps.name()
		for num := max(1, so.newest()-1); num <= so.newest(); num++ {
			status := so.ask(ctx, ps, versionPrefix(num))
			// A daemon that knows no configuration yet refuses, which says nothing.
			if known := status == http.StatusOK; name == ps.name() && (known || status == http.StatusNotFound) {
				so.check.Served(name, num, known)
			}
		}
		so.pause(ctx, probeEvery)
	}
}

// ask sends a request that may be repeated and returns the status, 0 for none.
func (so *Soak) ask(ctx context.Context, ps *process, prefix string) int {
	ctx, cancel := context.WithTimeout(ctx, clientPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ps.ip+":18080"+prefix+"x", nil)
	if err != nil {
		return 0
	}
	req.Close = true
	req.Host = emulator.Host
	req.Header.Set(platform.HeaderRequestID, fmt.Sprint("probe-", time.Now().UnixNano()))
	req.Header.Set(platform.HeaderAuthorization, "Token "+emulator.Key)
	req.Header.Set(platform.HeaderModel, emulator.ModelLarge)
	req.Header.Set(platform.HeaderTokens, "100,7")
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer rsp.Body.Close()
	return rsp.StatusCode
}

// allServe waits until every daemon serves every kind of request by the newest
// configuration, and tells whether that came to be.
func (so *Soak) allServe() bool {
	prefixes := []string{"/draft/", "/slot/", "/confirm/"}
	if num := so.newest(); num > 0 {
		prefixes = append(prefixes, versionPrefix(num))
	}
	until := time.Now().Add(settleLimit)
	for _, ps := range so.daemons {
		for _, prefix := range prefixes {
			for so.ask(so.ctx, ps, prefix) != http.StatusOK {
				if time.Now().After(until) || so.ctx.Err() != nil {
					return false
				}
				so.sleep(pollPause)
			}
		}
	}
	return true
}
