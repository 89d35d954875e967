package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// needLearnt is how long daemons have to learn of a limit, needWindow the span in which what
	// the server gets is counted then.
	needLearnt = 3 * time.Second
	needWindow = 4 * time.Second
	// mostLimited is what a server that names one request a second may get in that span.
	mostLimited = 11
)

// need is something that a server says of itself in its answers for some time.
type need struct {
	weight int
	run    func(so *Soak, rnd *rand.Rand, dur time.Duration)
}

var needs = []need{{2, nameLimit}, {2, askForRest}, {1, leaveByAnswer}}

// playNeeds lets servers be in need at random moments, until busy ends. It has a random source of
// its own, so that the other faults of a seed stay as they are.
func (so *Soak) playNeeds(busy context.Context, running *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(so.Seed, 3))
	for busy.Err() == nil {
		at := rnd.IntN(5)
		dur := time.Duration(rnd.Int64N(int64(6 * so.FaultInterval)))
		own := rand.New(rand.NewPCG(rnd.Uint64(), 4))
		for _, ne := range needs {
			if at -= ne.weight; at < 0 {
				running.Go(func() { ne.run(so, own, dur) })
				break
			}
		}
		so.pause(busy, time.Duration(rnd.ExpFloat64()*2*float64(so.FaultInterval)))
	}
}

// anyServer returns a server of any service.
func (so *Soak) anyServer(rnd *rand.Rand) *emulator.Server {
	return so.deployment.Server(pick(rnd, append(so.deployment.IDs("engine"), so.deployment.IDs("desk")...)))
}

func nameLimit(so *Soak, rnd *rand.Rand, dur time.Duration) {
	sv := so.anyServer(rnd)
	so.Log.Info("soak: server names a limit.", "server", sv.ID, "for", dur)
	sv.SetBackpressure(emulator.Backpressure{Limit: "1"})
	begin := time.Now()
	so.sleep(needLearnt + needWindow + dur)
	so.check.Limited(sv.ID, sv.PeakArrivals(needWindow, begin.Add(needLearnt)), begin)
	sv.SetBackpressure(emulator.Backpressure{})
}

func askForRest(so *Soak, rnd *rand.Rand, dur time.Duration) {
	sv := so.anyServer(rnd)
	so.Log.Info("soak: server asks for rest.", "server", sv.ID, "for", dur)
	sv.SetBackpressure(emulator.Backpressure{Sheds: true, RetryAfter: "2"})
	so.sleep(dur)
	sv.SetBackpressure(emulator.Backpressure{})
}

// leaveByAnswer lets a server leave whose entry says so too late.
func leaveByAnswer(so *Soak, rnd *rand.Rand, _ time.Duration) {
	id := so.takeServer(rnd)
	if id == "" {
		return
	}
	so.Log.Info("soak: server leaves by its answers.", "server", id)
	so.addServer()
	so.deployment.Server(id).SetBackpressure(emulator.Backpressure{Leaving: true})
	so.sleep(2 * drainTime)
	defer so.check.Fault()()
	so.deployment.Deregister(id)
	so.deployment.Kill(id)
}
