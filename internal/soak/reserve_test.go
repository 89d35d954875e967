package soak

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against two faults that end each other because they change the same aspect of one target.
func TestReserve(t *testing.T) {
	so := &Soak{reserved: make(map[target]bool)}
	if !so.reserve(backpressureOf, "engine-1") || so.reserve(backpressureOf, "engine-1") {
		t.Error("an aspect of a server is not reserved exactly once")
	}
	if !so.reserve(requestsOf, "engine-1") {
		t.Error("another aspect of the server is reserved too")
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	if id := so.reserveOne(rnd, backpressureOf, []string{"engine-1", "engine-2"}); id != "engine-2" {
		t.Errorf("reserved %q, want the server that is free", id)
	}
	if id := so.reserveOne(rnd, backpressureOf, []string{"engine-1", "engine-2"}); id != "" {
		t.Errorf("reserved %q, want none", id)
	}
	so.release(backpressureOf, "engine-1")
	if !so.reserve(backpressureOf, "engine-1") {
		t.Error("a released aspect can't be reserved")
	}
}

// Guards against a store that answers one daemon while it is restored, because an earlier fault of
// that daemon's calls ends meanwhile.
func TestReserveAllWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		so := &Soak{ctx: t.Context(), reserved: make(map[target]bool), daemons: []*process{{num: 0}, {num: 1}}}
		if !so.reserve(storeCallsOf, so.daemons[1].id()) {
			t.Fatal("not reserved")
		}
		time.AfterFunc(time.Second, func() { so.release(storeCallsOf, so.daemons[1].id()) })
		begin := time.Now()
		release := so.reserveAll(storeCallsOf)
		if waited := time.Since(begin); waited < time.Second {
			t.Errorf("waited %v, want until the daemon is released", waited)
		}
		if so.reserve(storeCallsOf, so.daemons[0].id()) {
			t.Error("a daemon is reserved twice")
		}
		release()
		if len(so.reserved) > 0 {
			t.Errorf("still reserved: %v", so.reserved)
		}
	})
}
