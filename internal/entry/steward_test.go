package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against a failed takeover. When the steward is killed, another daemon must take
// over once the lease has expired, or immediately if a new process runs at the old address,
// and must not dissolve any group.
func TestStewardDies(t *testing.T) {
	sk := newStack(t, 3)
	before := len(sk.daemons[0].da.view.Load().Groups)
	old := sk.steward()
	sk.kill(old)
	next := sk.steward()
	if next == old {
		t.Fatal("the killed daemon is still steward")
	}
	if got := len(next.da.view.Load().Groups); got != before {
		t.Errorf("%d groups after the change of steward, %d before", got, before)
	}
	if got := sk.send(next, "/draft/", "after"); got != completeStream("after") {
		t.Errorf("after the change of steward: got %q", got)
	}
	sk.checkInvariants()
}

// Guards against loading weights again after all daemons lose power. The new daemons must
// adopt the existing groups and serve without a load.
func TestAllDaemonsLost(t *testing.T) {
	sk := newStack(t, 3)
	sk.de.Fleet.InitialLoads = false
	for _, ru := range sk.daemons {
		sk.kill(ru)
	}
	for num := range sk.daemons {
		sk.start(num)
	}
	for _, ru := range sk.daemons {
		sk.until("served again", func() bool { return sk.send(ru, "/draft/", "after") == completeStream("after") })
	}
	if loads := len(sk.de.Fleet.Loads()); loads != 0 {
		t.Errorf("%d loads from the weight store, want none", loads)
	}
	sk.checkInvariants()
}

// Guards against a lease that nobody holds after writes took effect but their responses
// were lost. A daemon that acquired the lease this way must detect it, and some daemon must
// become steward.
func TestLostStoreResponses(t *testing.T) {
	sk := newStack(t, 3)
	old := sk.steward()
	sk.setStoreFault(emulator.DropsResponses)
	sk.kill(old)
	time.Sleep(100 * time.Millisecond)
	sk.setStoreFault(emulator.NoStoreFault)
	if next := sk.steward(); next == old {
		t.Error("the killed daemon is still steward")
	}
	sk.checkInvariants()
}

// Guards against a steward that stops while the store is unavailable for longer than a
// lease lasts. No other daemon can take its place, so it must continue and repair a group
// that loses a member.
func TestRepairWhileStoreUnavailable(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	sk.setStoreFault(emulator.Busy)
	sk.de.Store.EndLeases()
	time.Sleep(leaseTTL + time.Second)
	lost := sk.loseMember(st)
	sk.untilUnused(st, lost)
	if sk.steward() != st {
		t.Error("the steward changed while the store was unavailable")
	}
	for _, ru := range sk.daemons {
		sk.until("served again", func() bool { return sk.send(ru, "/draft/", "after") == completeStream("after") })
		ru.storeProxy.SetFault(emulator.NoStoreFault)
	}
	sk.until("the lease is held again", func() bool {
		_, ok := sk.de.Store.Value(stewardKey)
		return ok
	})
	sk.checkInvariants()
}

// Guards against two stewards. A steward whose heartbeats do not reach the others must stop
// when its lease expires, since one of them takes over.
func TestUnreachableStewardStops(t *testing.T) {
	sk := newStack(t, 3)
	old := sk.steward()
	old.storeProxy.SetFault(emulator.Unresponsive)
	old.da.mesh.Conn.Close()
	sk.until("another steward", func() bool { return sk.steward() != old })
	is := make(chan bool, 1)
	old.da.control.post(func() { is <- old.da.control.lease.core != nil })
	if <-is {
		t.Error("two daemons are steward at the same time")
	}
	sk.checkInvariants()
}

// Guards against unrepaired groups when the steward is stopped while the store is
// unavailable. Its process continues for seconds to finish its requests, and nobody could
// acquire a released lease, so it must repair a group that loses a member and release the
// lease once the store answers.
func TestStewardStopsWhileStoreUnavailable(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	sk.setStoreFault(emulator.Busy)
	st.da.stopping.Store(true)
	st.da.control.post(st.da.control.leave)
	lost := sk.loseMember(st)
	sk.untilUnused(st, lost)
	for _, ru := range sk.daemons {
		sk.until("served again", func() bool { return sk.send(ru, "/draft/", "after") == completeStream("after") })
	}
	sk.setStoreFault(emulator.NoStoreFault)
	sk.until("another steward", func() bool { return sk.steward() != st })
	sk.checkInvariants()
}
