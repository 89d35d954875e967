package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// fault describes one kind of fault that a run injects.
type fault struct {
	name string
	// planned faults, such as a graceful stop, do not excuse disconnected requests.
	planned bool
	// weight is the relative probability of the fault.
	weight int
	// run injects the fault for dur and reverts it.
	run func(so *Soak, rnd *rand.Rand, dur time.Duration)
}

// faults are the faults that a run draws from.
var faults = []fault{
	{"kill", false, 3, killDaemon},
	{"kill all", false, 1, killAll},
	{"pause", false, 2, pauseDaemon},
	{"stop", true, 4, stopDaemon},
	{"hangup signal", true, 1, sighup},
	{"store fault for one daemon", false, 2, storeFaultForOne},
	{"store fault for all daemons", false, 2, storeFaultForAll},
	{"store compaction", false, 1, compactHistory},
	{"store leases revoked", false, 1, revokeLeases},
	{"store connection", false, 2, injectStoreConnFault},
	{"server connection", false, 3, injectServerConnFault},
	{"server killed", false, 2, killServer},
	{"server drained", true, 2, drainServer},
	{"server fails requests", false, 2, failRequests},
	{"configuration", true, 3, configure},
}

// restores is the fault that a run draws besides if Soak.Restores is set.
var restores = fault{"store restored", false, 6, restoreStore}

// draw returns a random fault, by weight.
func draw(rnd *rand.Rand, faults []fault) fault {
	sum := 0
	for _, fa := range faults {
		sum += fa.weight
	}
	at := rnd.IntN(sum)
	for _, fa := range faults {
		if at -= fa.weight; at < 0 {
			return fa
		}
	}
	return faults[0]
}

// pick returns a random element.
func pick[T any](rnd *rand.Rand, from []T) T { return from[rnd.IntN(len(from))] }

func killDaemon(so *Soak, rnd *rand.Rand, dur time.Duration) {
	so.restart(pick(rnd, so.daemons), dur, (*process).kill)
}

// killAll kills all daemons at once, as a power failure does.
func killAll(so *Soak, _ *rand.Rand, dur time.Duration) {
	done := make(chan struct{})
	for _, ps := range so.daemons {
		go func() {
			so.restart(ps, dur, (*process).kill)
			done <- struct{}{}
		}()
	}
	for range so.daemons {
		<-done
	}
}

func pauseDaemon(so *Soak, rnd *rand.Rand, dur time.Duration) {
	ps := pick(rnd, so.daemons)
	if !so.reserve(processOf, ps.id()) {
		return
	}
	defer so.release(processOf, ps.id())
	ps.signal(syscall.SIGSTOP)
	so.sleep(dur)
	ps.signal(syscall.SIGCONT)
}

// stopDaemon stops a daemon gracefully and starts it again.
func stopDaemon(so *Soak, rnd *rand.Rand, dur time.Duration) {
	so.stopAndStart(pick(rnd, so.daemons), dur/4)
}

// stopAndStart stops a daemon gracefully and starts it again after a time.
func (so *Soak) stopAndStart(ps *process, after time.Duration) {
	so.restart(ps, after, func(ps *process) {
		end := so.check.BeginStop(ps.num)
		defer end()
		sentAt := time.Now()
		if !ps.stop() {
			so.check.ReportViolation("%s did not exit within %v of SIGTERM, sent at %s", ps.name(), graceTime, sentAt.Format(time.StampMilli))
		}
	})
}

// sighup sends SIGHUP to a daemon.
func sighup(so *Soak, rnd *rand.Rand, _ time.Duration) { pick(rnd, so.daemons).signal(syscall.SIGHUP) }

var storeFaults = []emulator.StoreFault{emulator.Busy, emulator.Unresponsive, emulator.DropsResponses}

func storeFaultForOne(so *Soak, rnd *rand.Rand, dur time.Duration) {
	ps := pick(rnd, so.daemons)
	if !so.reserve(storeCallsOf, ps.id()) {
		return
	}
	defer so.release(storeCallsOf, ps.id())
	sp := so.storeProxies[ps.num]
	sp.SetFault(pick(rnd, storeFaults))
	so.sleep(dur)
	sp.SetFault(emulator.NoStoreFault)
}

func storeFaultForAll(so *Soak, rnd *rand.Rand, dur time.Duration) {
	how := pick(rnd, storeFaults)
	defer so.reserveAll(storeCallsOf)()
	for _, sp := range so.storeProxies {
		sp.SetFault(how)
	}
	so.sleep(dur)
	for _, sp := range so.storeProxies {
		sp.SetFault(emulator.NoStoreFault)
	}
}

// compactHistory changes the configuration while watches are muted and then compacts
// the store's history, so that no watch can deliver the change.
func compactHistory(so *Soak, _ *rand.Rand, _ time.Duration) {
	so.deployment.Store.MuteWatches(true)
	so.configure()
	so.sleep(time.Second)
	so.deployment.Store.Compact()
	so.deployment.Store.MuteWatches(false)
}

// revokeLeases ends all leases in the store.
func revokeLeases(so *Soak, _ *rand.Rand, _ time.Duration) { so.deployment.Store.EndLeases() }

const (
	// restoreAbsence is how long the store is away before it is restored from a copy.
	restoreAbsence = 500 * time.Millisecond
	// lostWrites is the number of writes of others that a restore takes away besides. So the
	// revisions don't catch up within the run.
	lostWrites = 1000
	// maxRewriteDelay bounds the time until the operators write the configuration again.
	maxRewriteDelay = 2 * time.Second
)

// restoreStore restores the store from a copy that is dur old. The servers and the operators
// write again what is theirs, and the operators the next configuration.
func restoreStore(so *Soak, rnd *rand.Rand, dur time.Duration) {
	so.deployment.Store.Copy()
	for num := range lostWrites {
		so.deployment.Store.Put(fmt.Sprint("elsewhere/", num), nil)
	}
	so.configure()
	so.sleep(dur)
	so.restoreAfterAbsence()
	so.sleep(time.Duration(rnd.Int64N(int64(maxRewriteDelay))))
	so.deployment.ConfigureAgain()
	so.configure()
}

// restoreAfterAbsence restores the store while no daemon reaches it.
func (so *Soak) restoreAfterAbsence() {
	defer so.reserveAll(storeCallsOf)()
	for _, sp := range so.storeProxies {
		sp.SetFault(emulator.Busy)
	}
	so.sleep(restoreAbsence)
	so.deployment.Restore()
	for _, sp := range so.storeProxies {
		sp.SetFault(emulator.NoStoreFault)
	}
}

var connFaults = []ConnFault{Delayed, Reset, OneWay, Blackholed}

// injectStoreConnFault injects a fault into the connections of a daemon to the store.
func injectStoreConnFault(so *Soak, rnd *rand.Rand, dur time.Duration) {
	ps := pick(rnd, so.daemons)
	if !so.reserve(storeConnsOf, ps.id()) {
		return
	}
	defer so.release(storeConnsOf, ps.id())
	so.injectConnFault(so.storeTCPProxies[ps.num], pick(rnd, connFaults), dur)
}

// injectServerConnFault injects a fault into the connections of all daemons to a server.
func injectServerConnFault(so *Soak, rnd *rand.Rand, dur time.Duration) {
	id := so.reserveOne(rnd, connsOf, so.serverIDs())
	if id == "" {
		return
	}
	defer so.release(connsOf, id)
	so.injectConnFault(so.serverProxy(id), pick(rnd, connFaults), dur)
}

// killServer kills a model server, removes its entry after dur, as when its lease
// expires, and adds an empty replacement.
func killServer(so *Soak, rnd *rand.Rand, dur time.Duration) {
	id := so.reserveOne(rnd, lifeOf, so.deployment.IDs("engine"))
	if id == "" {
		return
	}
	so.deployment.Kill(id)
	so.sleep(dur)
	so.deployment.Deregister(id)
	so.addServer()
}

// drainTime is half the time for which a server keeps serving after it has announced
// that it is leaving.
const drainTime = 2 * time.Second

// maxDrainTime is how much longer a server serves while its group runs requests.
const maxDrainTime = 6 * time.Second

// drainServer adds a replacement, announces in a model server's entry that it is
// leaving, and stops it after its requests have ended.
func drainServer(so *Soak, rnd *rand.Rand, _ time.Duration) {
	id := so.reserveOne(rnd, lifeOf, so.deployment.IDs("engine"))
	if id == "" {
		return
	}
	so.addServer()
	so.deployment.Leave(id)
	// Requests last for one second; the server runs longer than that.
	so.sleep(2 * drainTime)
	for until := time.Now().Add(maxDrainTime); so.deployment.Fleet.Busy(id) && time.Now().Before(until); {
		so.sleep(reservePollInterval)
	}
	so.deployment.Deregister(id)
	so.deployment.Kill(id)
}

// failRequests makes a server fail some of its requests in one way.
func failRequests(so *Soak, rnd *rand.Rand, dur time.Duration) {
	kinds := []emulator.Fault{emulator.Refuses, emulator.Fails, emulator.Truncates, emulator.DropsResponse, emulator.MismatchedResponse}
	so.injectServerFault(rnd, pick(rnd, kinds), dur)
}

func configure(so *Soak, _ *rand.Rand, _ time.Duration) { so.configure() }

// String returns the fault's name for the log.
func (fa fault) String() string {
	if fa.planned {
		return fmt.Sprintf("%s (planned)", fa.name)
	}
	return fa.name
}
