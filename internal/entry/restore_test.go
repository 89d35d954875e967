package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/steward"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
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

// Guards against a copy's entries that are taken for news (an endpoint that left, restarted or
// departed is used again), against endpoints that are dropped since the copy lacks them, and against
// entries that are ignored after the restore since older ones had higher revisions.
func TestEntriesAfterRestore(t *testing.T) {
	entry := func(id, state string, born int) platform.Item {
		return platform.Item{Key: platform.EndpointPrefix + id, Value: fmt.Appendf(nil,
			`{"service":"desk","address":"127.0.0.1:9","zone":"dc-0","slots":1,"state":%q,"sequence":1,"born":%d}`, state, born)}
	}
	at := func(era, revision int64, items ...platform.Item) []platform.Item {
		for i := range items {
			items[i].Era, items[i].Revision = era, revision
		}
		return items
	}
	ct, cl := newTestControl(800)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	cl.Advance(time.Minute)
	known := at(1, 100, entry("leaving", "draining", 1), entry("restarted", "ready", 2), entry("registered", "ready", 1),
		entry("departed", "ready", 1), entry("unchanged", "ready", 1), entry("lost", "ready", 1))
	ct.applySnapshot(known, catalog.Position{Era: 1, Revision: 100}, false)
	ct.applyChanges([]platform.Item{{Key: platform.EndpointPrefix + "departed", Era: 1, Revision: 101, Deleted: true}})
	ct.confirm(cl.Now())

	old := at(2, 50, entry("leaving", "ready", 1), entry("restarted", "ready", 1), entry("departed", "ready", 1),
		entry("unchanged", "ready", 1))
	ct.applySnapshot(old, catalog.Position{Era: 2, Revision: 50}, false)
	check := func(when, id string, registered, leaving bool) {
		t.Helper()
		if ep, ok := ct.endpoints[id]; ok != registered || ep.Leaving != leaving {
			t.Errorf("%s: %s registered %t, leaving %t, want %t, %t", when, id, ok, ep.Leaving, registered, leaving)
		}
	}
	check("after the restore", "leaving", true, true)
	check("after the restore", "restarted", true, false)
	check("after the restore", "departed", false, false)
	check("after the restore", "unchanged", true, false)
	check("after the restore", "registered", true, false)
	check("after the restore", "lost", true, false)
	if got := ct.endpoints["restarted"].Incarnation; got != 2 {
		t.Errorf("restarted: got incarnation %d, want 2", got)
	}
	ct.applyChanges(at(2, 51, entry("restarted", "ready", 2), entry("registered", "draining", 1)))
	check("written again", "registered", true, true)

	cl.Advance(returnGrace + time.Millisecond)
	ct.confirm(cl.Now())
	ct.stepMissing(cl.Now())
	check("after the wait", "restarted", true, false)
	check("after the wait", "lost", false, false)
	check("after the wait", "leaving", false, false)
}

// Guards against a steward that nobody obeys: it acquired the lease after a restore of the store, and
// the steward before it had a higher term.
func TestStewardAfterRestore(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprint("the steward is killed: ", kill), func(t *testing.T) {
			sk := newStack(t, 3)
			sk.loseRevisions()
			first := sk.steward()
			sk.kill(first)
			last := sk.steward()
			sk.untilUnused(last, sk.loseMember(last))
			sk.de.Restore()
			if kill {
				sk.kill(last)
			}
			num := slices.Index(sk.daemons, first)
			fresh := sk.start(num)
			sk.until("the daemon serves", func() bool { return sk.send(fresh, "/draft/", "fresh") == completeStream("fresh") })
			sk.untilUnused(fresh, sk.loseMember(sk.steward()))
			sk.checkInvariants()
		})
	}
}

// Guards against a steward that daemons ignore since they know of a higher term, and against two
// stewards that raise their terms in turn.
func TestRaiseTerm(t *testing.T) {
	tests := []struct {
		name       string
		known      int64
		heardSince time.Duration
		held       bool
		want       int64
	}{
		{"no higher term known", 7, time.Minute, true, 7},
		{"a higher one, its steward not heard", 15, time.Minute, true, 16},
		{"a higher one, its steward heard", 15, stewardTimeout, true, 7},
		{"the lease not held", 15, time.Minute, false, 7},
	}
	for _, tc := range tests {
		ct, cl := newTestControl(192)
		cl.Advance(time.Hour)
		ct.lastStewardHeartbeat = cl.Now().Add(-tc.heardSince)
		ct.lease = stewardship{core: steward.New(7, ct.startedAt), term: 7, promises: make(map[string]promise)}
		if tc.held {
			ct.lease.until = clock.SinceBoot() + time.Minute
		}
		ct.maxTerm = tc.known
		ct.raiseTerm(cl.Now())
		if got := ct.lease.term; got != tc.want || ct.lease.core.Term != tc.want {
			t.Errorf("%s: term %d, in the core %d, want %d", tc.name, got, ct.lease.core.Term, tc.want)
		}
	}
}

// Guards against a daemon that daemons which start later don't find at the store: it registered after
// the copy that the store was restored from.
func TestRegistrationAfterRestore(t *testing.T) {
	sk := newStack(t, 2)
	sk.de.Store.Copy()
	ru := sk.start(2)
	registered := func() bool {
		_, ok := sk.de.Store.Value(daemonPrefix + ru.ip)
		return ok
	}
	sk.until("the daemon is registered", registered)
	sk.until("the daemon serves", func() bool { return sk.send(ru, "/draft/", "id") == completeStream("id") })
	for range 2 {
		sk.de.Restore()
		sk.until("the daemon is registered again", registered)
	}
}

// Guards against two stewards that renew one lease: a restore of the store took the lease of the first
// away, and the second was granted one with the same ID.
func TestLeaseIDGivenOutAgain(t *testing.T) {
	ct, _ := newTestControl(800)
	ct.da.Clock = clock.System{}
	var st emulator.Store
	hs := httptest.NewServer(&emulator.StoreProxy{Store: &st})
	defer hs.Close()
	ct.da.store = platform.NewStore(hs.Listener.Addr().String(), storeTimeout)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() {
		for {
			select {
			case ev := <-ct.events:
				ev()
			case <-ctx.Done():
				return
			}
		}
	}()
	ct.post(func() {
		ct.lease = stewardship{core: steward.New(7, ct.startedAt), term: 7, promises: make(map[string]promise)}
	})
	write := func(ip string) int64 {
		t.Helper()
		lease, err := ct.da.store.Grant(ctx, time.Minute)
		if err == nil {
			_, err = ct.da.store.Txn(ctx, nil, []platform.Put{{Key: stewardKey, Value: fmt.Appendf(nil, `{"ip":%q}`, ip), Lease: lease}}, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		return lease
	}
	st.Copy()
	own, era := write(ct.da.Settings.IP), ct.da.store.Era()
	st.Restore()
	if other := write("10.0.0.1"); other != own {
		t.Fatalf("the second lease has ID %d, the first %d; the test wants the same", other, own)
	}
	ct.renew(ctx, own, era)
	if ctx.Err() != nil {
		t.Error("renews the lease of another daemon")
	}
}

// Guards against a steward that goes on by a lease that a restore of the store may have taken away,
// beside the daemon that acquired the lease since.
func TestRestoreEndsLease(t *testing.T) {
	ct, _ := newTestControl(800)
	ct.lease = stewardship{core: steward.New(7, ct.startedAt), term: 7, promises: make(map[string]promise), until: clock.SinceBoot() + time.Minute}
	ct.da.mesh.Accept(mesh.Heartbeat{IP: "10.0.0.1", Name: "entry-1", Started: 1, Number: 1})
	if !ct.holds() {
		t.Fatal("does not hold a lease that it has renewed")
	}
	ct.handleRestore(1, 2)
	if ct.holds() {
		t.Error("holds the lease after a restore, although another daemon has promised nothing")
	}
	ct.lease.extend(clock.SinceBoot() + time.Minute)
	if !ct.holds() {
		t.Error("does not hold the lease that it has renewed after the restore")
	}
}
