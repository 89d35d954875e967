package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// Guards against excluding the new instance of a server that restarted under its ID within
// a second, when another daemon announces the departure of the old one late. The capacity
// would be missing for as long as the departure is announced.
func TestDepartureIsPerInstance(t *testing.T) {
	ge := make(departedEndpoints)
	ge.add(catalog.Instance{ID: "i-1", Incarnation: 5}, time.Unix(1000, 0))
	vi := &catalog.View{
		Plain:  []catalog.PlainEndpoint{{ID: "i-1", Incarnation: 5}, {ID: "i-1", Incarnation: 6}, {ID: "i-2", Incarnation: 5}},
		Groups: []catalog.Group{{Name: "old", Members: []catalog.Member{{ID: "i-1", Incarnation: 5}}}, {Name: "new", Members: []catalog.Member{{ID: "i-1", Incarnation: 6}}}},
	}
	left := ge.filter(vi)
	if len(left.Plain) != 2 || left.Plain[0].Incarnation != 6 || left.Plain[1].ID != "i-2" {
		t.Errorf("remaining endpoints: got %v, want i-1 of incarnation 6 and i-2", left.Plain)
	}
	if len(left.Groups) != 1 || left.Groups[0].Name != "new" {
		t.Errorf("remaining groups: got %v, want only the group new", left.Groups)
	}
}

// Guards against requests to an endpoint whose entry was removed while the steward was cut
// off from the store, before the deputy began to follow the store. The deputy never saw the
// entry, so the other daemons used the steward's view and sent requests for seconds. The
// deputy must announce the departure: immediately if the store answered, and after an
// outage only if the entry does not reappear.
func TestDeputyReportsUnseenDepartures(t *testing.T) {
	tests := []struct {
		name string
		// uptime is how long the daemon has run, age the time since the last confirmation
		// by the store.
		uptime, age    time.Duration
		wasUnavailable bool
		atOnce         bool
	}{
		{"the store answered", time.Minute, staleAfter, false, true},
		{"the store did not answer before", time.Minute, staleAfter, true, false},
		{"nobody could read the store for long", time.Minute, 2 * outageAge, false, false},
		{"the daemon has just started", time.Second, staleAfter, false, false},
	}
	for _, tc := range tests {
		ct, cl := newTestControl(800)
		cl.Advance(tc.uptime)
		ct.confirmed = cl.Now().Add(-tc.age)
		ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
		ct.stewardView = &catalog.View{Term: 7, Plain: []catalog.PlainEndpoint{{ID: "desk-1", Service: "desk"}, {ID: "desk-2", Service: "desk"}},
			Groups: []catalog.Group{{Name: "group-1", Members: []catalog.Member{{ID: "engine-1"}, {ID: "engine-2"}}}}}
		entry := `{"service":"desk","address":"127.0.0.1:9","zone":"dc-0","slots":1,"state":"ready","sequence":1}`
		items := []platform.Item{{Key: platform.EndpointPrefix + "desk-2", Value: []byte(entry), Revision: 3}}
		ct.applySnapshot(items, catalog.Position{Revision: 3}, tc.wasUnavailable)
		if !tc.atOnce {
			if announced := ct.departed.recent(cl.Now(), ct.stewardConfirmedAt(), ct.follows()); len(announced) > 0 {
				t.Errorf("%s: %v count as departed immediately", tc.name, announced)
			}
			cl.Advance(returnGrace + time.Millisecond)
			ct.stepMissing(cl.Now())
		}
		ct.stewardView = &catalog.View{Term: 7, Revision: 9, Plain: []catalog.PlainEndpoint{{ID: "desk-3", Service: "desk"}}}
		ct.applySnapshot(items, catalog.Position{Revision: 4}, false)
		for id, want := range map[string]bool{"desk-3": false, "desk-1": true, "desk-2": false, "engine-1": true} {
			if got := ct.departed.has(catalog.Instance{ID: id}); got != want {
				t.Errorf("%s: %s counts as departed: got %v, want %v", tc.name, id, got, want)
			}
		}
	}
}

// Guards against requests to a departed server while the store rejects the steward for
// seconds. Deputies announce the departure, but the steward's view still contains the
// server; it must be excluded until the steward's state is newer than the departure. A
// request that reaches the server late is cut off when the server ends. A daemon that
// starts later must get the departure too.
func TestDepartureOutlastsStewardIsolation(t *testing.T) {
	ct, cl := newTestControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	ct.da.view.Store(&catalog.View{})
	ct.stewardView = &catalog.View{Term: 7, Sequence: 1, Plain: []catalog.PlainEndpoint{{ID: "i-1", Service: "desk"}}}
	isolatedAt := cl.Now()
	cl.Advance(time.Second)
	ct.applyDepartures([]catalog.Instance{{ID: "i-1"}}, cl.Now())
	applySteward := func(confirmed time.Time) {
		ct.steward, ct.lastStewardHeartbeat = mesh.Heartbeat{Term: 7, StateAge: cl.Now().Sub(confirmed)}, cl.Now()
		ct.departed.recent(cl.Now(), ct.stewardConfirmedAt(), false)
		ct.updateView()
	}
	for range 10 {
		cl.Advance(time.Second)
		applySteward(isolatedAt)
		if len(ct.da.view.Load().Plain) != 0 {
			t.Fatalf("the server is used again %v after its departure", cl.Now().Sub(isolatedAt)-time.Second)
		}
	}
	if announced := ct.departed.recent(cl.Now(), ct.stewardConfirmedAt(), true); len(announced) != 1 {
		t.Errorf("a daemon that follows the store announces %v, want one departure", announced)
	}
	applySteward(cl.Now())
	if len(ct.da.view.Load().Plain) != 1 {
		t.Error("the server is excluded although the steward's newer state contains it")
	}
}

// Guards against using a dropped server again. The daemon read the server's entry in an
// earlier generation of following; the server left and the steward's view dropped it. When
// the daemon follows the store again, the server must not count as one whose entry may
// reappear after an outage.
func TestDroppedEndpointStaysDropped(t *testing.T) {
	ct, cl := newTestControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	ct.da.view.Store(&catalog.View{})
	for _, id := range []string{"i-1", "i-2"} {
		ct.endpoints[id] = catalog.Endpoint{ID: id, Service: "desk", Revision: 4}
	}
	ct.stewardView = &catalog.View{Term: 7, Sequence: 1, Revision: 9, Plain: []catalog.PlainEndpoint{{ID: "i-2", Service: "desk"}}}
	cl.Advance(time.Minute)
	ct.stepFollowing(cl.Now())
	ct.applySnapshot(nil, catalog.Position{Revision: 10}, true)
	if vi := ct.da.view.Load(); len(vi.Plain) != 1 || vi.Plain[0].ID != "i-2" {
		t.Errorf("view has %v, want only i-2, whose entry may reappear", vi.Plain)
	}
}
