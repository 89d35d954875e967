package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// limitPropagation is the time within which all daemons must apply a limit. Requests
	// are counted after it, in periods of limitWindow.
	limitPropagation = 3 * time.Second
	limitWindow      = 4 * time.Second
	// maxLimitedRequests is how many requests a server with a limit of one request
	// per second may receive within limitWindow.
	maxLimitedRequests = 11
)

// backpressureFault makes a server announce backpressure in its responses for some time.
type backpressureFault struct {
	// weight is the relative probability of the announcement.
	weight int
	// run announces the backpressure for dur and then withdraws it.
	run func(so *Soak, rnd *rand.Rand, dur time.Duration)
}

// backpressureFaults are the announcements that a run draws from, by weight.
var backpressureFaults = []backpressureFault{{2, announceLimit}, {2, announceRetryAfter}, {1, announceLeaving}}

// injectBackpressure makes servers announce backpressure at random times until ctx ends.
// It has its own random source, so that a seed keeps its sequence of other faults.
func (so *Soak) injectBackpressure(ctx context.Context, running *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(so.Seed, 3))
	for ctx.Err() == nil {
		// 5 is the sum of the weights.
		at := rnd.IntN(5)
		dur := time.Duration(rnd.Int64N(int64(6 * so.FaultInterval)))
		faultRnd := rand.New(rand.NewPCG(rnd.Uint64(), 4))
		for _, bf := range backpressureFaults {
			if at -= bf.weight; at < 0 {
				running.Go(func() { bf.run(so, faultRnd, dur) })
				break
			}
		}
		so.pause(ctx, time.Duration(rnd.ExpFloat64()*2*float64(so.FaultInterval)))
	}
}

// announceLimit makes a server announce a limit of one request per second, and checks
// that daemons observe it.
func announceLimit(so *Soak, rnd *rand.Rand, dur time.Duration) {
	id := so.reserveOne(rnd, backpressureOf, so.serverIDs())
	if id == "" {
		return
	}
	defer so.release(backpressureOf, id)
	sv := so.deployment.Server(id)
	so.Log.Info("soak: server announces a limit.", "server", sv.ID, "for", dur)
	sv.SetBackpressure(emulator.Backpressure{Limit: "1"})
	begin := time.Now()
	so.sleep(limitPropagation + limitWindow + dur)
	so.check.CheckLimit(sv.ID, sv.PeakArrivals(limitWindow, begin.Add(limitPropagation)), begin)
	sv.SetBackpressure(emulator.Backpressure{})
}

// announceRetryAfter makes a server shed requests and announce a retry-after of 2 s.
func announceRetryAfter(so *Soak, rnd *rand.Rand, dur time.Duration) {
	id := so.reserveOne(rnd, backpressureOf, so.serverIDs())
	if id == "" {
		return
	}
	defer so.release(backpressureOf, id)
	sv := so.deployment.Server(id)
	so.Log.Info("soak: server sheds requests and announces retry-after.", "server", sv.ID, "for", dur)
	sv.SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: "2"})
	so.sleep(dur)
	sv.SetBackpressure(emulator.Backpressure{})
}

// announceLeaving makes a server announce in its responses that it is leaving. Its entry
// does not announce that and is removed only right before the server is killed, so its
// end counts as an unplanned fault.
func announceLeaving(so *Soak, rnd *rand.Rand, _ time.Duration) {
	if so.PlannedOnly {
		return // The server's end would excuse all requests of some seconds.
	}
	id := so.reserveOne(rnd, backpressureOf, so.deployment.IDs("engine"))
	if id == "" {
		return
	}
	if !so.reserve(lifeOf, id) {
		so.release(backpressureOf, id)
		return
	}
	so.Log.Info("soak: server announces in its responses that it is leaving.", "server", id)
	so.addServer()
	so.deployment.Server(id).SetBackpressure(emulator.Backpressure{Leaving: true})
	so.sleep(2 * drainTime)
	defer so.check.BeginFault("backpressure")()
	so.deployment.Deregister(id)
	so.deployment.Kill(id)
}
