package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// After a cold start every daemon must answer every kind of request, and the directory must
// list all daemons.
func TestColdStart(t *testing.T) {
	sk := newStack(t, 3)
	for _, ru := range sk.daemons {
		for _, path := range []string{"/confirm/", "/slot/"} {
			id := "id" + path + ru.ip
			if got := sk.send(ru, path, id); got != emulator.Body(id) {
				t.Errorf("%s at %s: got body %q", path, ru.ip, got)
			}
		}
		sk.until("all addresses", func() bool { return len(sk.addresses(ru)) == 3 })
	}
	sk.checkInvariants()
}

// Guards against a configuration in the store that some daemon does not apply, or replaces
// with an older one, while daemons are cut off from the store.
func TestHoldConfig(t *testing.T) {
	added := emulator.Route{Name: "new", Host: emulator.Host, Prefix: "/new/", Kind: "safe", Timeout: 30000, Target: 10000, Attempts: 2, Service: "desk"}
	tests := []struct {
		name         string
		before, then func(sk *stack)
	}{
		{"sound", func(*stack) {}, func(*stack) {}},
		{"one daemon is cut off from the store", func(sk *stack) { sk.daemons[1].storeProxy.SetFault(emulator.Unresponsive) }, func(*stack) {}},
		{"the steward is cut off from the store", func(sk *stack) { sk.steward().storeProxy.SetFault(emulator.Unresponsive) }, func(*stack) {}},
		{"history is dropped unseen", func(sk *stack) { sk.de.Store.MuteWatches(true) }, func(sk *stack) {
			sk.de.Store.Compact()
			sk.de.Store.MuteWatches(false)
		}},
		{"the steward dies", func(*stack) {}, func(sk *stack) { sk.kill(sk.steward()) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sk := newStack(t, 3)
			tc.before(sk)
			sk.de.Configure([]emulator.Route{added}, "another-key")
			tc.then(sk)
			for _, ru := range sk.daemons {
				if ru.dead.Err() != nil {
					continue
				}
				sk.until("new route and key in force", func() bool { return sk.sendWithKey(ru, "/new/", "id", "another-key") == emulator.Body("id") })
				if got := sk.send(ru, "/slot/", "old"); got != "status 401" {
					t.Errorf("with a revoked key: got %q, want status 401", got)
				}
			}
		})
	}
}

// Guards against an invalid configuration that replaces the current one or blocks the next.
func TestUnusableConfig(t *testing.T) {
	sk := newStack(t, 2)
	sk.de.Store.Put(platform.ConfigKey, []byte(`{"version":1000,"routes":[{"name":"r","kind":"odd"}]}`))
	sk.de.Configure([]emulator.Route{{Name: "new", Host: emulator.Host, Prefix: "/new/", Kind: "safe", Timeout: 30000, Attempts: 1, Service: "desk"}})
	for _, ru := range sk.daemons {
		sk.until("the next configuration in force", func() bool { return sk.send(ru, "/new/", "id") == emulator.Body("id") })
	}
}

// Guards against requests sent to an endpoint that is leaving or whose entry was removed,
// though it would still answer.
func TestHoldLeaving(t *testing.T) {
	for _, how := range []string{"leaves", "gone", "leaves while the steward is cut off"} {
		t.Run(how, func(t *testing.T) {
			sk := newStack(t, 3)
			if strings.Contains(how, "cut off") {
				sk.steward().storeProxy.SetFault(emulator.Busy)
			}
			id := "desk-8"
			if how == "gone" {
				sk.de.Deregister(id)
			} else {
				sk.de.Leave(id)
			}
			sv := sk.de.Server(id)
			for _, ru := range sk.daemons {
				sk.until("the endpoint gets no more requests", func() bool {
					before := len(sv.Runs())
					for range 10 {
						sk.send(ru, "/slot/", "id")
					}
					return len(sv.Runs()) == before
				})
			}
		})
	}
}

// Guards against a departed endpoint that gets requests again. Its entry is removed while
// the steward is cut off from the store; the other daemons see that. When the steward
// reconnects, it waits for entries that may have been lost in an outage and its view
// contains the endpoint, but the others must use what they have seen.
func TestDepartedEndpointStaysExcluded(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	st.storeProxy.SetFault(emulator.Busy)
	id := "desk-8"
	sv := sk.de.Server(id)
	sk.until("the others follow the store themselves", func() bool {
		for _, ru := range sk.daemons {
			if ru != st && !ru.da.control.follows() {
				return false
			}
		}
		return true
	})
	sk.de.Deregister(id)
	quiet := func(ru *testDaemon) bool {
		before := len(sv.Runs())
		for range 10 {
			sk.send(ru, "/slot/", "id")
		}
		return len(sv.Runs()) == before
	}
	for _, ru := range sk.daemons {
		sk.until("the endpoint gets no more requests", func() bool { return quiet(ru) })
	}
	st.storeProxy.SetFault(emulator.NoStoreFault)
	sk.until("the others rely on the steward again", func() bool {
		for _, ru := range sk.daemons {
			if ru != st && ru.da.control.follows() {
				return false
			}
			if !quiet(ru) {
				t.Fatal("the endpoint gets requests again")
			}
		}
		return true
	})
	for _, ru := range sk.daemons {
		if !quiet(ru) {
			t.Error("the endpoint gets requests again")
		}
	}
}

// Guards against streams that are cut off when a daemon is stopped gracefully, and against
// refusing callers that still have its address. The other daemons must stop listing it.
func TestHoldGracefulStop(t *testing.T) {
	sk := newStack(t, 3)
	ru := sk.daemons[0]
	answers := make(chan string, 5)
	for i := range cap(answers) {
		go func() { answers <- sk.send(ru, "/draft/", fmt.Sprint("stop-", i)) }()
	}
	sk.until("streams in flight", func() bool { return ru.da.front.InFlight() == int64(cap(answers)) })
	ru.stop()
	late := sk.send(ru, "/slot/", "late")
	for range cap(answers) {
		if got := <-answers; !strings.Contains(got, fmt.Sprintf("id: %d\n", events)) {
			t.Errorf("a stream was cut off: %q", got)
		}
	}
	if late != emulator.Body("late") {
		t.Errorf("a request just after the stop: got %q", late)
	}
	if err := <-ru.done; err != nil {
		t.Errorf("the daemon returned error %v", err)
	}
	ru.done <- nil
	for _, other := range sk.daemons[1:] {
		sk.until("the stopped daemon is no longer listed", func() bool { return len(sk.addresses(other)) == 2 })
	}
}

// Guards against a group that stays in use after a member failed without notice. The group
// must be formed again with a spare, and no VM may be in two groups.
func TestMemberDies(t *testing.T) {
	sk := newStack(t, 3)
	lost := sk.loseMember(sk.daemons[0])
	sk.de.Deregister(lost)
	for _, ru := range sk.daemons {
		sk.until("served by complete groups only", func() bool {
			return !uses(ru, lost) && sk.send(ru, "/draft/", "after") == completeStream("after")
		})
	}
	sk.checkInvariants()
}

// Guards against changes lost in a large deployment, where load and views are relayed by
// the steward. A member fails and is replaced, then the steward is killed: every daemon
// must apply both changes and serve from complete groups.
func TestManyDaemons(t *testing.T) {
	sk := newStack(t, 20)
	if sk.daemons[0].da.mesh.Direct() {
		t.Fatal("the mesh is direct with this few daemons, so the test covers no relaying")
	}
	lost := sk.daemons[0].da.view.Load().Groups[0].Members[1].ID
	sk.de.Kill(lost)
	sk.de.Deregister(lost)
	usesLost := func(ru *testDaemon) bool { return uses(ru, lost) }
	old := sk.steward()
	sk.until("the lost member is in no daemon's view", func() bool { return !slices.ContainsFunc(sk.daemons, usesLost) })
	sk.kill(old)
	sk.daemons = slices.DeleteFunc(sk.daemons, func(ru *testDaemon) bool { return ru == old })
	if next := sk.steward(); next == old {
		t.Fatal("the killed daemon is still steward")
	}
	for _, ru := range sk.daemons {
		sk.until("served", func() bool { return sk.send(ru, "/draft/", "after") == completeStream("after") })
	}
	sk.until("the lost daemon is listed nowhere", func() bool {
		return !slices.ContainsFunc(sk.daemons, func(ru *testDaemon) bool { return slices.Contains(sk.addresses(ru), old.ip+":18080") })
	})
	sk.checkInvariants()
}

// Guards against refused requests while the store is unavailable. A daemon that starts
// during the outage must get its state from the other daemons.
func TestStoreUnavailable(t *testing.T) {
	for _, fault := range []emulator.StoreFault{emulator.Unresponsive, emulator.Busy} {
		sk := newStack(t, 3)
		for _, ru := range sk.daemons {
			ru.storeProxy.SetFault(fault)
		}
		sk.kill(sk.daemons[2])
		late := sk.start(2)
		late.storeProxy.SetFault(fault)
		for _, ru := range sk.daemons {
			sk.until("served without the store", func() bool { return sk.send(ru, "/draft/", "away") == completeStream("away") })
		}
	}
}
