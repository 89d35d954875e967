package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// From a cold start on, every kind of request is answered by every daemon, and
// callers are told of all of them.
func TestColdStart(t *testing.T) {
	sk := newStack(t, 3)
	for _, ru := range sk.daemons {
		for _, path := range []string{"/confirm/", "/slot/"} {
			id := "id" + path + ru.ip
			if got := sk.ask(ru, path, id); got != emulator.Body(id) {
				t.Errorf("%s at %s: %q", path, ru.ip, got)
			}
		}
		sk.until("all addresses", func() bool { return len(sk.addresses(ru)) == 3 })
	}
	sk.checkPromises()
}

// A configuration that the store has accepted is in force everywhere, and none
// goes back to an older one, whatever keeps daemons from the store.
func TestHoldConfig(t *testing.T) {
	added := emulator.Route{Name: "new", Host: emulator.Host, Prefix: "/new/", Kind: "safe", Timeout: 30000, Target: 10000, Attempts: 2, Service: "desk"}
	tests := []struct {
		name         string
		before, then func(sk *stack)
	}{
		{"sound", func(*stack) {}, func(*stack) {}},
		{"one daemon is cut off from the store", func(sk *stack) { sk.daemons[1].gate.SetFault(emulator.Unresponsive) }, func(*stack) {}},
		{"the steward is cut off from the store", func(sk *stack) { sk.steward().gate.SetFault(emulator.Unresponsive) }, func(*stack) {}},
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
				sk.until("new route and key in force", func() bool { return sk.askWith(ru, "/new/", "id", "another-key") == emulator.Body("id") })
				if got := sk.ask(ru, "/slot/", "old"); got != "status 401" {
					t.Errorf("with a key that was taken away: %q", got)
				}
			}
		})
	}
}

// A configuration that can't be used is set aside; the last one stays.
func TestUnusableConfig(t *testing.T) {
	sk := newStack(t, 2)
	sk.de.Store.Put(platform.ConfigKey, []byte(`{"version":1000,"routes":[{"name":"r","kind":"odd"}]}`))
	sk.de.Configure([]emulator.Route{{Name: "new", Host: emulator.Host, Prefix: "/new/", Kind: "safe", Timeout: 30000, Attempts: 1, Service: "desk"}})
	for _, ru := range sk.daemons {
		sk.until("the next configuration in force", func() bool { return sk.ask(ru, "/new/", "id") == emulator.Body("id") })
	}
}

// An endpoint says that it leaves, or its entry is gone. After a while no
// request reaches it any more, though it would still answer.
func TestHoldLeaving(t *testing.T) {
	for _, how := range []string{"leaves", "gone", "leaves while the steward is cut off"} {
		t.Run(how, func(t *testing.T) {
			sk := newStack(t, 3)
			if strings.Contains(how, "cut off") {
				sk.steward().gate.SetFault(emulator.Busy)
			}
			id := "desk-8"
			if how == "gone" {
				sk.de.Deregister(id)
			} else {
				sk.de.Leave(id)
			}
			sv := sk.de.Server(id)
			for _, ru := range sk.daemons {
				sk.until("the endpoint is left alone", func() bool {
					before := len(sv.Runs())
					for range 10 {
						sk.ask(ru, "/slot/", "id")
					}
					return len(sv.Runs()) == before
				})
			}
		})
	}
}

// An endpoint's entry goes while the steward can't reach the store. The other
// daemons see it go. When the steward is back it waits for entries that may have
// been lost in an outage, and its view names the endpoint; the others must go by
// what they have seen themselves.
func TestGoneEndpointStaysGone(t *testing.T) {
	sk := newStack(t, 3)
	st := sk.steward()
	st.gate.SetFault(emulator.Busy)
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
	quiet := func(ru *running) bool {
		before := len(sv.Runs())
		for range 10 {
			sk.ask(ru, "/slot/", "id")
		}
		return len(sv.Runs()) == before
	}
	for _, ru := range sk.daemons {
		sk.until("the endpoint is left alone", func() bool { return quiet(ru) })
	}
	st.gate.SetFault(emulator.NoStoreFault)
	sk.until("the steward's word is taken again", func() bool {
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

// A daemon is told to stop while it passes a stream on and other callers hold
// its address still. The stream ends whole, and the others stop naming it.
func TestHoldGracefulStop(t *testing.T) {
	sk := newStack(t, 3)
	ru := sk.daemons[0]
	answers := make(chan string, 5)
	for i := range cap(answers) {
		go func() { answers <- sk.ask(ru, "/draft/", fmt.Sprint("stop-", i)) }()
	}
	sk.until("streams under way", func() bool { return ru.da.front.InFlight() == int64(cap(answers)) })
	ru.stop()
	late := sk.ask(ru, "/slot/", "late")
	for range cap(answers) {
		if got := <-answers; !strings.Contains(got, fmt.Sprintf("id: %d\n", events)) {
			t.Errorf("a stream was cut off: %q", got)
		}
	}
	if late != emulator.Body("late") {
		t.Errorf("a request just after the stop: %q", late)
	}
	if err := <-ru.done; err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	ru.done <- nil
	for _, other := range sk.daemons[1:] {
		sk.until("the stopped daemon is not named", func() bool { return len(sk.addresses(other)) == 2 })
	}
}

// A member of a serving group dies silently. Its group is formed anew with a
// spare, and requests are served, without any VM in two groups.
func TestMemberDies(t *testing.T) {
	sk := newStack(t, 3)
	lost := sk.loseMember(sk.daemons[0])
	sk.de.Deregister(lost)
	for _, ru := range sk.daemons {
		sk.until("served by whole groups only", func() bool {
			return !uses(ru, lost) && sk.ask(ru, "/draft/", "after") == wholeStream("after")
		})
	}
	sk.checkPromises()
}

// With many daemons, load and views travel through the steward alone. A member
// dies and is replaced, then the steward itself is lost: every daemon hears of
// both and goes on serving by whole groups.
func TestManyDaemons(t *testing.T) {
	sk := newStack(t, 20)
	if sk.daemons[0].da.mesh.Direct() {
		t.Fatal("so few daemons tell each other everything, so the test shows nothing")
	}
	lost := sk.daemons[0].da.view.Load().Groups[0].Members[1].ID
	sk.de.Kill(lost)
	sk.de.Deregister(lost)
	usesLost := func(ru *running) bool { return uses(ru, lost) }
	old := sk.steward()
	sk.until("the lost member is in no daemon's view", func() bool { return !slices.ContainsFunc(sk.daemons, usesLost) })
	sk.kill(old)
	sk.daemons = slices.DeleteFunc(sk.daemons, func(ru *running) bool { return ru == old })
	if next := sk.steward(); next == old {
		t.Fatal("the killed daemon is steward still")
	}
	for _, ru := range sk.daemons {
		sk.until("served", func() bool { return sk.ask(ru, "/draft/", "after") == wholeStream("after") })
	}
	sk.until("the lost daemon is named to no caller", func() bool {
		return !slices.ContainsFunc(sk.daemons, func(ru *running) bool { return slices.Contains(sk.addresses(ru), old.ip+":18080") })
	})
	sk.checkPromises()
}

// The store is away. Requests are served all the same, and a daemon that
// starts then learns what it needs from the others.
func TestStoreAway(t *testing.T) {
	for _, fault := range []emulator.StoreFault{emulator.Unresponsive, emulator.Busy} {
		sk := newStack(t, 3)
		for _, ru := range sk.daemons {
			ru.gate.SetFault(fault)
		}
		sk.kill(sk.daemons[2])
		late := sk.start(2)
		late.gate.SetFault(fault)
		for _, ru := range sk.daemons {
			sk.until("served without the store", func() bool { return sk.ask(ru, "/draft/", "away") == wholeStream("away") })
		}
	}
}
