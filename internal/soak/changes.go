package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// minChangeSilence and maxChangeSilence bound the silence after a change, which starts up to maxSilenceDelay after it, and
	// silentShare is the share of a service's servers if not all of them are silent.
	minChangeSilence, maxChangeSilence = time.Second, 1300 * time.Millisecond
	maxSilenceDelay                    = time.Second
	silentShare                        = 0.6
	// maxThinkTime bounds the time for which a client leaves its connection idle.
	maxThinkTime = 3 * time.Second
	// minRouteTimeout and maxRouteTimeout bound the timeouts of routes. A stream lasts for a second
	// without a silence.
	minRouteTimeout, maxRouteTimeout = 4 * time.Second, 7 * time.Second
	// streamObjective and plainObjective are the objectives of the routes: silences are far longer.
	streamObjective, plainObjective = 400 * time.Millisecond, 150 * time.Millisecond
)

// changes are the faults that a run draws besides if Soak.Changes is set.
var changes = []fault{
	{"idle timeout", true, 4, changeIdleTimeout},
	{"route timeout", true, 3, changeRouteTimeout},
	{"route moved", true, 4, moveRoute},
	{"route split", true, 2, splitRoute},
	{"attempts", true, 2, changeAttempts},
	{"shares of models, then silence", true, 2, changeSharesThenSilence},
	{"restarts in series", true, 1, restartInSeries},
}

// kindServices are the services of the initial routes, by kind.
var kindServices = map[Kind]string{Draft: "engine", Once: "engine", Slot: "desk", Confirm: "desk"}

// kinds are the kinds of requests in a fixed order.
var kinds = []Kind{Draft, Once, Slot, Confirm}

// idleTimeouts are the idle timeouts of the configurations.
type idleTimeouts struct {
	mu  sync.Mutex
	all []routeTimeout
}

// prepareChanges sets the routes and services of the first configuration.
func (so *Soak) prepareChanges() {
	so.deployment.Twins = true
	so.deployment.Routes = append(emulator.Routes(), emulator.Route{Name: string(Once), Host: emulator.Host, Prefix: "/" + string(Once) + "/", Kind: "streaming", Attempts: 2, Service: "engine"})
	for i := range so.deployment.Routes {
		ro := &so.deployment.Routes[i]
		ro.Target, ro.Gap = int(plainObjective.Milliseconds()), 0
		if ro.Kind == "streaming" {
			ro.Target, ro.Gap = int(streamObjective.Milliseconds()), int(streamObjective.Milliseconds())
		}
		ro.Timeout = int(maxRouteTimeout.Milliseconds())
		so.check.SetTimeout(Kind(ro.Name), maxRouteTimeout)
	}
}

// idleTimeout returns the shortest idle timeout of the configurations that may be in force.
func (so *Soak) idleTimeout() time.Duration {
	so.limits.mu.Lock()
	defer so.limits.mu.Unlock()
	shortest, now := time.Minute, time.Now()
	for i, rt := range so.limits.all {
		if i+1 == len(so.limits.all) || now.Sub(so.limits.all[i+1].from) < configApplyTime {
			shortest = min(shortest, rt.timeout)
		}
	}
	return shortest
}

// changeIdleTimeout publishes a configuration with another idle timeout.
func changeIdleTimeout(so *Soak, rnd *rand.Rand, _ time.Duration) {
	idle := pick(rnd, []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, time.Minute})
	so.limits.mu.Lock()
	so.limits.all = append(so.limits.all, routeTimeout{time.Now(), idle})
	so.limits.mu.Unlock()
	so.deployment.SetLimit("idle_timeout_ms", int(idle.Milliseconds()))
	so.configure()
	so.silenceAfterChange(rnd)
}

// changeRouteTimeout publishes a configuration with another timeout of a route.
func changeRouteTimeout(so *Soak, rnd *rand.Rand, _ time.Duration) {
	kind, timeout := pick(rnd, kinds), minRouteTimeout+time.Duration(rnd.Int64N(int64(maxRouteTimeout-minRouteTimeout)))
	so.check.SetTimeout(kind, timeout)
	so.deployment.ChangeRoute(string(kind), func(ro *emulator.Route) { ro.Timeout = int(timeout.Milliseconds()) })
	so.configure()
	so.silenceAfterChange(rnd)
}

// moveRoute moves a route to the twin of its service, or back.
func moveRoute(so *Soak, rnd *rand.Rand, _ time.Duration) {
	kind := pick(rnd, kinds)
	so.deployment.ChangeRoute(string(kind), func(ro *emulator.Route) {
		if ro.Backends = nil; ro.Service == kindServices[kind] {
			ro.Service = emulator.Twin(kindServices[kind])
		} else {
			ro.Service = kindServices[kind]
		}
	})
	so.configure()
	so.silenceAfterChange(rnd)
}

// splitRoute splits a route between its service and the twin of that by random weights.
func splitRoute(so *Soak, rnd *rand.Rand, _ time.Duration) {
	kind, weight := pick(rnd, kinds), 1+rnd.IntN(9)
	so.deployment.ChangeRoute(string(kind), func(ro *emulator.Route) {
		ro.Service = ""
		ro.Backends = []emulator.Backend{{Service: kindServices[kind], Weight: float64(weight)}, {Service: emulator.Twin(kindServices[kind]), Weight: float64(10 - weight)}}
	})
	so.configure()
	so.silenceAfterChange(rnd)
}

// changeAttempts publishes a configuration with another number of attempts of a route.
func changeAttempts(so *Soak, rnd *rand.Rand, _ time.Duration) {
	kind, attempts := pick(rnd, []Kind{Draft, Once, Slot}), 1+rnd.IntN(3)
	so.deployment.ChangeRoute(string(kind), func(ro *emulator.Route) { ro.Attempts = attempts })
	so.configure()
	so.silenceAfterChange(rnd)
}

func changeSharesThenSilence(so *Soak, rnd *rand.Rand, dur time.Duration) {
	changeShares(so, rnd, dur)
	so.silenceAfterChange(rnd)
}

// silenceAfterChange makes all or a share of the servers of a service silent up to maxSilenceDelay after a change, three
// times in four. Only one such silence takes place at a time, so that no group lacks a member for longer.
func (so *Soak) silenceAfterChange(rnd *rand.Rand) {
	service := pick(rnd, []string{"engine", "engine", emulator.Twin("engine"), "desk", emulator.Twin("desk")})
	delay, dur := time.Duration(rnd.Int64N(int64(maxSilenceDelay))), minChangeSilence+time.Duration(rnd.Int64N(int64(maxChangeSilence-minChangeSilence)))
	ids, share := so.deployment.IDs(service), pick(rnd, []float64{1, silentShare})
	rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if rnd.IntN(4) == 0 || !so.reserve(silenceOf, "after a change") {
		return
	}
	defer so.release(silenceOf, "after a change")
	so.sleep(delay)
	so.silenceFor(dur, slices.Clone(ids[:max(1, int(share*float64(len(ids))))])...)
}

// restartInSeries stops all daemons gracefully, one after the other, and starts each again.
func restartInSeries(so *Soak, rnd *rand.Rand, _ time.Duration) {
	for _, num := range rnd.Perm(len(so.daemons)) {
		so.stopAndStart(so.daemons[num], time.Duration(rnd.Int64N(int64(time.Second))))
	}
}
