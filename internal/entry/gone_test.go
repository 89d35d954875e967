package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// A server leaves and starts again under its ID within a second. Another daemon tells
// late that the earlier life has left. The new life must stay in use: capacity would
// else be missing for as long as that is told.
func TestGoneIsOneLife(t *testing.T) {
	ge := make(goneEndpoints)
	ge.note(catalog.Instance{ID: "i-1", Incarnation: 5}, time.Unix(1000, 0))
	vi := &catalog.View{
		Plain:  []catalog.PlainEndpoint{{ID: "i-1", Incarnation: 5}, {ID: "i-1", Incarnation: 6}, {ID: "i-2", Incarnation: 5}},
		Groups: []catalog.Group{{Name: "old", Members: []catalog.Member{{ID: "i-1", Incarnation: 5}}}, {Name: "new", Members: []catalog.Member{{ID: "i-1", Incarnation: 6}}}},
	}
	left := ge.filter(vi)
	if len(left.Plain) != 2 || left.Plain[0].Incarnation != 6 || left.Plain[1].ID != "i-2" {
		t.Errorf("endpoints left: %v", left.Plain)
	}
	if len(left.Groups) != 1 || left.Groups[0].Name != "new" {
		t.Errorf("groups left: %v", left.Groups)
	}
}

// The steward is cut off from the store. An endpoint's entry is removed. A deputy
// begins to follow the store only then, so that it never saw the entry, and tells the
// others that it is fresh. They went on by the steward's view and sent requests to the
// endpoint seconds after it had left. The deputy must tell them that it is gone: at
// once if the store answered, and after an outage only if the entry does not come back.
func TestDeputyTellsWhatItNeverSaw(t *testing.T) {
	tests := []struct {
		name string
		// uptime is how long the daemon has run, age how old the store's last word is.
		uptime, age time.Duration
		wasAway     bool
		atOnce      bool
	}{
		{"the store answered", time.Minute, staleAfter, false, true},
		{"the store did not answer before", time.Minute, staleAfter, true, false},
		{"nobody could read the store for long", time.Minute, 2 * outageAge, false, false},
		{"the daemon has just started", time.Second, staleAfter, false, false},
	}
	for _, tc := range tests {
		ct, cl := newLoneControl(800)
		cl.Advance(tc.uptime)
		ct.confirmed = cl.Now().Add(-tc.age)
		ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.Plain{}
		ct.told = &catalog.View{Term: 7, Plain: []catalog.PlainEndpoint{{ID: "desk-1", Service: "desk"}, {ID: "desk-2", Service: "desk"}},
			Groups: []catalog.Group{{Name: "group-1", Members: []catalog.Member{{ID: "engine-1"}, {ID: "engine-2"}}}}}
		entry := `{"service":"desk","address":"127.0.0.1:9","zone":"dc-0","slots":1,"state":"ready","sequence":1}`
		items := []platform.Item{{Key: platform.EndpointPrefix + "desk-2", Value: []byte(entry), Revision: 3}}
		ct.snapshot(items, 3, tc.wasAway)
		if !tc.atOnce {
			if told := ct.gone.lately(cl.Now(), ct.stewardKnowledge(), ct.follows()); len(told) > 0 {
				t.Errorf("%s: %v count as gone at once", tc.name, told)
			}
			cl.Advance(returnGrace + time.Millisecond)
			ct.stepMissing(cl.Now())
		}
		ct.told = &catalog.View{Term: 7, Revision: 9, Plain: []catalog.PlainEndpoint{{ID: "desk-3", Service: "desk"}}}
		ct.snapshot(items, 4, false)
		for id, want := range map[string]bool{"desk-3": false, "desk-1": true, "desk-2": false, "engine-1": true} {
			if got := ct.gone.has(catalog.Instance{ID: id}); got != want {
				t.Errorf("%s: %s counts as gone: %v, want %v", tc.name, id, got, want)
			}
		}
	}
}

// The store turns the steward away for seconds, and a server leaves meanwhile. Deputies see
// it go and tell the others. The steward's view names it all that time, so the others must
// leave it out until the steward's knowledge is newer: a request that reaches it late is
// cut off when it ends. A daemon that starts later must hear of it too.
func TestGoneOutlastsStewardsCut(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.Plain{}
	ct.da.view.Store(&catalog.View{})
	ct.told = &catalog.View{Term: 7, Sequence: 1, Plain: []catalog.PlainEndpoint{{ID: "i-1", Service: "desk"}}}
	cut := cl.Now()
	cl.Advance(time.Second)
	ct.hearGone([]catalog.Instance{{ID: "i-1"}}, cl.Now())
	hear := func(confirmed time.Time) {
		ct.steward, ct.heard = mesh.Heartbeat{Term: 7, Age: cl.Now().Sub(confirmed)}, cl.Now()
		ct.gone.lately(cl.Now(), ct.stewardKnowledge(), false)
		ct.updateView()
	}
	for range 10 {
		cl.Advance(time.Second)
		hear(cut)
		if len(ct.da.view.Load().Plain) != 0 {
			t.Fatalf("the server is used again %v after it left", cl.Now().Sub(cut)-time.Second)
		}
	}
	if told := ct.gone.lately(cl.Now(), ct.stewardKnowledge(), true); len(told) != 1 {
		t.Errorf("a daemon that follows the store tells of %v", told)
	}
	hear(cl.Now())
	if len(ct.da.view.Load().Plain) != 1 {
		t.Error("the server is left out though the steward knows that it is there")
	}
}

// A daemon followed the store for a while and knows a server from then. The server leaves,
// and the steward's view drops it. Then the store turns the steward away, and the daemon
// follows again. The store does not name the server; it must not be used again as one whose
// entry may come back after an outage.
func TestDroppedEndpointStaysDropped(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.Plain{}
	ct.da.view.Store(&catalog.View{})
	for _, id := range []string{"i-1", "i-2"} {
		ct.endpoints[id] = catalog.Endpoint{ID: id, Service: "desk", Revision: 4}
	}
	ct.told = &catalog.View{Term: 7, Sequence: 1, Revision: 9, Plain: []catalog.PlainEndpoint{{ID: "i-2", Service: "desk"}}}
	cl.Advance(time.Minute)
	ct.stepFollowing(cl.Now())
	ct.snapshot(nil, 10, true)
	if vi := ct.da.view.Load(); len(vi.Plain) != 1 || vi.Plain[0].ID != "i-2" {
		t.Errorf("used: %v, want i-2 alone, whose entry may come back", vi.Plain)
	}
}
