package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// aspect is what a fault changes of a server or daemon. Two faults that change the same aspect at
// once would end each other.
type aspect int

const (
	// processOf is whether a daemon's process runs.
	processOf aspect = iota
	// storeCallsOf is how the store answers a daemon's calls.
	storeCallsOf
	// storeConnsOf is the state of a daemon's connections to the store.
	storeConnsOf
	// lifeOf is the life of a model server, which a fault ends for good.
	lifeOf
	// requestsOf is how a server handles requests.
	requestsOf
	// backpressureOf is what a server announces in its responses.
	backpressureOf
	// connsOf is the state of the connections to a server.
	connsOf
	// silenceOf is whether a server sends.
	silenceOf
)

// target is one aspect of one server or daemon.
type target struct {
	aspect aspect
	id     string
}

// reservePollInterval is the time between two attempts to reserve a target that is taken.
const reservePollInterval = 10 * time.Millisecond

// reserve reserves an aspect of a server or daemon. It returns false if another fault has reserved
// it; otherwise callers call release, unless the fault is for good.
func (so *Soak) reserve(as aspect, id string) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	if so.reserved[target{as, id}] {
		return false
	}
	so.reserved[target{as, id}] = true
	return true
}

func (so *Soak) release(as aspect, id string) {
	so.mu.Lock()
	defer so.mu.Unlock()
	delete(so.reserved, target{as, id})
}

// reserveOne reserves an aspect of a random one of the IDs. It returns "" if all are reserved.
func (so *Soak) reserveOne(rnd *rand.Rand, as aspect, ids []string) string {
	for len(ids) > 0 {
		id := pick(rnd, ids)
		if so.reserve(as, id) {
			return id
		}
		ids = slices.DeleteFunc(ids, func(other string) bool { return other == id })
	}
	return ""
}

// reserveAll waits until it has reserved an aspect of all daemons, or the run ends. It reserves them
// in their order, so that two calls don't wait for each other, and returns a function that releases
// them.
func (so *Soak) reserveAll(as aspect) (release func()) {
	var held []string
	release = func() {
		for _, id := range held {
			so.release(as, id)
		}
	}
	for _, ps := range so.daemons {
		for !so.reserve(as, ps.id()) {
			if so.ctx.Err() != nil {
				return release
			}
			so.sleep(reservePollInterval)
		}
		held = append(held, ps.id())
	}
	return release
}
