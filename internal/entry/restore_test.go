package entry

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform/emulator"
)

// addedRoute returns a route of the plain service below the given prefix.
func addedRoute(name string) emulator.Route {
	return emulator.Route{Name: name, Host: emulator.Host, Prefix: "/" + name + "/", Kind: "safe", Timeout: 30000, Target: 10000, Attempts: 2, Service: "desk"}
}

// untilRoute waits until all daemons that run serve a route.
func (sk *stack) untilRoute(name string) {
	sk.t.Helper()
	for _, ru := range sk.daemons {
		if ru.dead.Err() == nil {
			sk.until("route "+name+" in force", func() bool { return sk.send(ru, "/"+name+"/", "id") == emulator.Body("id") })
		}
	}
}

// loseRevisions copies the store and then raises its revision, so that a restore makes it go
// back far.
func (sk *stack) loseRevisions() {
	sk.de.Store.Copy()
	for num := range 1000 {
		sk.de.Store.Put(fmt.Sprint("elsewhere/", num), nil)
	}
}

// Guards against a configuration that the operators write after the store was restored from a
// copy, and that no daemon applies since the one before it has a higher revision; and against the
// older one in the copy, which daemons must not apply.
func TestConfigAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		then func(sk *stack)
	}{
		{"alone", func(*stack) {}},
		{"one daemon is cut off from the store", func(sk *stack) { sk.daemons[1].storeProxy.SetFault(emulator.Unresponsive) }},
		{"the steward is cut off from the store", func(sk *stack) { sk.steward().storeProxy.SetFault(emulator.Unresponsive) }},
		{"restored twice", func(sk *stack) { sk.de.Restore() }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sk := newStack(t, 3)
			sk.loseRevisions()
			sk.de.Configure([]emulator.Route{addedRoute("kept")})
			sk.untilRoute("kept")
			sk.de.Restore()
			tc.then(sk)
			for num := range 20 {
				if got := sk.send(sk.daemons[num%3], "/kept/", "id"); got != emulator.Body("id") {
					t.Errorf("while the store shows an older configuration: got %s", got)
				}
				time.Sleep(tick)
			}
			sk.de.Configure([]emulator.Route{addedRoute("kept"), addedRoute("next")})
			sk.untilRoute("next")
		})
	}
}

// Guards against an evacuation that ends since the copy lacks it, one whose end after the restore no
// daemon applies, and one that nobody writes again and that stays in force for ever.
func TestEvacuationAfterRestore(t *testing.T) {
	sk := newStack(t, 3)
	evacuated := sk.plainServer(otherDataCenter)
	sk.loseRevisions()
	sk.de.Evacuate(otherDataCenter)
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru, otherDataCenter)
	}
	before := len(evacuated.Arrivals())
	sk.de.Restore()
	sk.sendAll(30)
	sk.de.Evacuate(otherDataCenter)
	sk.sendAll(30)
	if got := len(evacuated.Arrivals()) - before; got != 0 {
		t.Errorf("%d requests reached an evacuated data centre", got)
	}
	sk.de.EndEvacuation(otherDataCenter)
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru)
	}
	sk.loseRevisions()
	sk.de.Evacuate(otherDataCenter)
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru, otherDataCenter)
	}
	sk.de.Restore()
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru)
	}
}
