package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// fault is one disturbance of a run.
type fault struct {
	name string
	// planned faults are no excuse for a request that is cut off.
	planned bool
	// weight is how often it is drawn, against the others.
	weight int
	// run does the fault for some time and undoes it.
	run func(so *Soak, rnd *rand.Rand, dur time.Duration)
}

// faults are all that a run draws from.
var faults = []fault{
	{"kill", false, 3, killDaemon},
	{"kill all", false, 1, killAll},
	{"pause", false, 2, pauseDaemon},
	{"stop", true, 4, stopDaemon},
	{"hang up", true, 1, hangUp},
	{"store for one", false, 2, storeForOne},
	{"store for all", false, 2, storeForAll},
	{"store's history", false, 1, dropHistory},
	{"store's leases", false, 1, endLeases},
	{"way to the store", false, 2, harmStoreWay},
	{"way to a server", false, 3, harmServerWay},
	{"server dies", false, 2, killServer},
	{"server leaves", true, 2, serverLeaves},
	{"server misbehaves", false, 2, serverMisbehaves},
	{"configuration", true, 3, configure},
}

// draw returns a fault by its weight.
func draw(rnd *rand.Rand) fault {
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

func pick[T any](rnd *rand.Rand, from []T) T { return from[rnd.IntN(len(from))] }

func killDaemon(so *Soak, rnd *rand.Rand, dur time.Duration) {
	so.restart(pick(rnd, so.daemons), dur, (*process).kill)
}

// killAll ends all daemons at once, as a loss of power does.
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
	if !ps.reserve() {
		return
	}
	defer ps.release()
	ps.signal(syscall.SIGSTOP)
	so.sleep(dur)
	ps.signal(syscall.SIGCONT)
}

func stopDaemon(so *Soak, rnd *rand.Rand, dur time.Duration) {
	ps := pick(rnd, so.daemons)
	so.restart(ps, dur/4, func(ps *process) {
		end := so.check.Stopping(ps.num)
		defer end()
		if !ps.stop() {
			so.check.Violate("%s did not stop within %v", ps.name(), graceTime)
		}
	})
}

func hangUp(so *Soak, rnd *rand.Rand, _ time.Duration) { pick(rnd, so.daemons).signal(syscall.SIGHUP) }

var storeFaults = []emulator.StoreFault{emulator.Busy, emulator.Unresponsive, emulator.DropsResponses}

func storeForOne(so *Soak, rnd *rand.Rand, dur time.Duration) {
	ga := pick(rnd, so.gates)
	ga.SetFault(pick(rnd, storeFaults))
	so.sleep(dur)
	ga.SetFault(emulator.NoStoreFault)
}

func storeForAll(so *Soak, rnd *rand.Rand, dur time.Duration) {
	how := pick(rnd, storeFaults)
	for _, ga := range so.gates {
		ga.SetFault(how)
	}
	so.sleep(dur)
	for _, ga := range so.gates {
		ga.SetFault(emulator.NoStoreFault)
	}
}

// dropHistory changes the configuration unseen by watches and then drops the
// history that tells of it.
func dropHistory(so *Soak, _ *rand.Rand, _ time.Duration) {
	so.deployment.Store.MuteWatches(true)
	so.configure()
	so.sleep(time.Second)
	so.deployment.Store.Compact()
	so.deployment.Store.MuteWatches(false)
}

func endLeases(so *Soak, _ *rand.Rand, _ time.Duration) { so.deployment.Store.EndLeases() }

var harms = []Harm{Delayed, Reset, OneWay, Silenced}

func harmStoreWay(so *Soak, rnd *rand.Rand, dur time.Duration) {
	so.harm(pick(rnd, so.storeWays), pick(rnd, harms), dur)
}

func harmServerWay(so *Soak, rnd *rand.Rand, dur time.Duration) {
	so.harm(so.serverWay(rnd), pick(rnd, harms), dur)
}

// killServer ends a model server, whose entry lapses later; an empty one comes.
func killServer(so *Soak, rnd *rand.Rand, dur time.Duration) {
	id := so.takeServer(rnd)
	if id == "" {
		return
	}
	so.deployment.Kill(id)
	so.sleep(dur)
	so.deployment.Deregister(id)
	so.addServer()
}

// drainTime is how long a leaving server serves after it has said so.
const drainTime = 2 * time.Second

func serverLeaves(so *Soak, rnd *rand.Rand, _ time.Duration) {
	id := so.takeServer(rnd)
	if id == "" {
		return
	}
	so.addServer()
	so.deployment.Leave(id)
	// Its requests last for a second; it goes on for a little longer.
	so.sleep(2 * drainTime)
	so.deployment.Deregister(id)
	so.deployment.Kill(id)
}

func serverMisbehaves(so *Soak, rnd *rand.Rand, dur time.Duration) {
	kinds := []emulator.Fault{emulator.Refuses, emulator.Fails, emulator.Truncates, emulator.DropsResponse, emulator.MismatchedResponse}
	so.misbehave(rnd, pick(rnd, kinds), dur)
}

func configure(so *Soak, _ *rand.Rand, _ time.Duration) { so.configure() }

// String names a fault with its time, for the log.
func (fa fault) String() string {
	if fa.planned {
		return fmt.Sprintf("%s (planned)", fa.name)
	}
	return fa.name
}
