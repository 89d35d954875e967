package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// The steward dies. Another daemon takes over once the lease has run out, or
// at once when a new process runs at the old one's address, and takes no group
// apart.
func TestStewardDies(t *testing.T) {
	sk := newStack(t, 3)
	before := len(sk.daemons[0].da.view.Load().Groups)
	old := sk.steward()
	sk.kill(old)
	next := sk.steward()
	if next == old {
		t.Fatal("the killed daemon is steward still")
	}
	if got := len(next.da.view.Load().Groups); got != before {
		t.Errorf("%d groups after the change, %d before", got, before)
	}
	if got := sk.ask(next, "/draft/", "after"); got != wholeStream("after") {
		t.Errorf("after the change: %q", got)
	}
	sk.checkPromises()
}

// All daemons lose power at once. The groups stand as they were; the new
// daemons learn of them and serve, without a load.
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
		sk.until("served again", func() bool { return sk.ask(ru, "/draft/", "after") == wholeStream("after") })
	}
	if loads := len(sk.de.Fleet.Loads()); loads != 0 {
		t.Errorf("%d loads from the weight store", loads)
	}
	sk.checkPromises()
}

// Writes take effect and their answers are lost. A daemon that takes the lease
// so finds out, and somebody is steward in the end.
func TestLostAnswersOfStore(t *testing.T) {
	sk := newStack(t, 3)
	old := sk.steward()
	sk.setStore(emulator.DropsResponses)
	sk.kill(old)
	time.Sleep(100 * time.Millisecond)
	sk.setStore(emulator.NoStoreFault)
	if next := sk.steward(); next == old {
		t.Error("the killed daemon is steward still")
	}
	sk.checkPromises()
}

// The store is away for longer than a lease lasts, and a group loses a member
// meanwhile. The steward goes on, since no other daemon can take its place, and
// the group is formed anew.
func TestRepairWhileStoreAway(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	sk.setStore(emulator.Busy)
	sk.de.Store.EndLeases()
	time.Sleep(leaseTTL + time.Second)
	lost := sk.loseMember(st)
	sk.untilNoticed(st, lost)
	if sk.steward() != st {
		t.Error("the steward changed while the store was away")
	}
	for _, ru := range sk.daemons {
		sk.until("served again", func() bool { return sk.ask(ru, "/draft/", "after") == wholeStream("after") })
		ru.gate.SetFault(emulator.NoStoreFault)
	}
	sk.until("the lease is held again", func() bool {
		_, ok := sk.de.Store.Value(stewardKey)
		return ok
	})
	sk.checkPromises()
}

// A steward that the others can't hear must stop when its lease runs out: one
// of them will take its place.
func TestSilentStewardStops(t *testing.T) {
	sk := newStack(t, 3)
	old := sk.steward()
	old.gate.SetFault(emulator.Unresponsive)
	old.da.mesh.Conn.Close()
	sk.until("another steward", func() bool { return sk.steward() != old })
	is := make(chan bool, 1)
	old.da.control.post(func() { is <- old.da.control.lease.core != nil })
	if <-is {
		t.Error("two daemons are steward at once")
	}
	sk.checkPromises()
}

// The steward is told to stop while the store is away, and a group loses a
// member. Its process goes on for seconds to finish its requests. Callers would
// wait for the store's return if it gave its lease back at once, since nobody can
// take it: it repairs the group, and gives the lease back once the store answers.
func TestStewardStopsWhileStoreAway(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	sk.setStore(emulator.Busy)
	st.da.stopping.Store(true)
	st.da.control.post(st.da.control.leave)
	lost := sk.loseMember(st)
	sk.untilNoticed(st, lost)
	for _, ru := range sk.daemons {
		sk.until("served again", func() bool { return sk.ask(ru, "/draft/", "after") == wholeStream("after") })
	}
	sk.setStore(emulator.NoStoreFault)
	sk.until("another steward", func() bool { return sk.steward() != st })
	sk.checkPromises()
}
