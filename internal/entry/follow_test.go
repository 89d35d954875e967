package entry

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/front"
	"corianderhub.dev/corianderhub/internal/mesh"
	"corianderhub.dev/corianderhub/platform"
)

// newLoneControl returns the control state of one of 40 daemons in two data
// centres. It holds configuration 5, and nothing of it runs by itself.
func newLoneControl(power int) (*control, *clock.Manual) {
	cl := clock.NewManual(time.Unix(1000, 0))
	log := slog.New(slog.DiscardHandler)
	da := &Daemon{Clock: cl, Log: log, work: context.Background(),
		Settings: platform.Settings{IP: "10.0.0.200", DataCenter: "dc-0", CPUShare: float64(power) / 1000},
		mesh:     &mesh.Mesh{Clock: cl, Log: log, IP: "10.0.0.200", DataCenter: "dc-0"}}
	da.config.Store(&configuration{Config: &catalog.Config{Revision: 5}})
	ct := newControl(da)
	da.control = ct
	ct.begun, ct.confirmed = cl.Now(), cl.Now()
	return ct, cl
}

// hearAll makes a beat of each other daemon come in.
func (ct *control) hearAll(number uint64, be mesh.Beat) {
	for i := range 39 {
		be.IP, be.DataCenter, be.Number, be.Power = fmt.Sprint("10.0.0.", i+1), fmt.Sprint("dc-", i%2), number, 192
		ct.da.mesh.Accept(be)
	}
}

// The steward is lost. With 40 daemons, the first three of each data centre read
// the store at once. The others rely on them, as long as they tell what the
// store confirms and nothing newer than these know.
func TestDeputies(t *testing.T) {
	fresh := mesh.Beat{IP: "10.0.0.1", DataCenter: "dc-0", Follows: true, Config: 5}
	newer, elsewhere, idle := fresh, fresh, fresh
	newer.Config, elsewhere.DataCenter, idle.Follows = 6, "dc-1", false
	tests := []struct {
		name  string
		power int
		// heard is what a deputy tells after staleAfter.
		heard *mesh.Beat
		// atOnce and later say whether the daemon follows right then, and after
		// deputyPatience.
		atOnce, later bool
	}{
		{"a deputy", 800, nil, true, true},
		{"the deputies are silent", 192, nil, false, true},
		{"a deputy is fresh", 192, &fresh, false, false},
		{"a deputy knows a newer configuration", 192, &newer, false, true},
		{"a daemon of another data centre is fresh", 192, &elsewhere, false, true},
		{"a daemon that does not follow tells", 192, &idle, false, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ct, cl := newLoneControl(tc.power)
			cl.Advance(startSettle)
			ct.confirmed = cl.Now()
			ct.deputyAt = cl.Now()
			cl.Advance(staleAfter + time.Millisecond)
			ct.hearAll(1, mesh.Beat{})
			if tc.heard != nil {
				ct.hearDeputy(*tc.heard, cl.Now())
			}
			ct.stepFollowing(cl.Now())
			if got := ct.follows(); got != tc.atOnce {
				t.Errorf("follows at once: %v, want %v", got, tc.atOnce)
			}
			cl.Advance(deputyPatience)
			ct.hearAll(2, mesh.Beat{})
			ct.stepFollowing(cl.Now())
			if got := ct.follows(); got != tc.later {
				t.Errorf("follows after %v: %v, want %v", deputyPatience, got, tc.later)
			}
		})
	}
}

// Many daemons start together. Only the first that are known read the store at
// once; the others learn from them, or read it when they hear nothing.
func TestStartTogether(t *testing.T) {
	for _, tc := range []struct {
		ip     string
		atOnce bool
	}{{"10.0.0.0", true}, {"10.0.0.200", false}} {
		ct, cl := newLoneControl(800)
		ct.da.Settings.IP, ct.da.mesh.IP = tc.ip, tc.ip
		ct.confirmed = cl.Now().Add(-staleAfter)
		ct.hearAll(1, mesh.Beat{})
		cl.Advance(time.Millisecond)
		ct.stepFollowing(cl.Now())
		if got := ct.follows(); got != tc.atOnce {
			t.Errorf("%s follows at once: %v, want %v", tc.ip, got, tc.atOnce)
		}
		cl.Advance(startSettle)
		ct.stepFollowing(cl.Now())
		if !ct.follows() {
			t.Errorf("%s does not follow after %v although it has heard nothing", tc.ip, startSettle)
		}
	}
}

// A machine is frozen, or out of processor time, while it asks the members of a
// group. What ran out of time meanwhile is no proof; what did later is.
func TestLateSince(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.noteDelay()
	asked := cl.Now()
	cl.Advance(tick)
	ct.noteDelay()
	if ct.lateSince(asked) {
		t.Error("late after a tick in time")
	}
	cl.Advance(lateRound + tick)
	ct.noteDelay()
	if !ct.lateSince(asked) {
		t.Error("not late after a tick that came late")
	}
	asked = cl.Now()
	cl.Advance(tick)
	ct.noteDelay()
	if ct.lateSince(asked) {
		t.Error("late still for what was asked after the delay")
	}
}

// A server leaves and starts again under its ID within a second. Another daemon tells
// late that the earlier life has left. The new life must stay in use: capacity would
// else be missing for as long as that is told.
func TestGoneIsOneLife(t *testing.T) {
	ge := make(goneEndpoints)
	ge.note(catalog.Life{ID: "i-1", Incarnation: 5}, time.Unix(1000, 0))
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

// All daemons lose power and start again. No caller has been served since, but the
// weight store's limit holds: only at the very first start are loads free. A steward
// that took each start for the first one would begin more loads than are allowed.
func TestLoadsAreFreeAtFirstStartOnly(t *testing.T) {
	tests := []struct {
		name              string
		bootstrap, served bool
		want              bool
	}{
		{"first start", true, false, true},
		{"first start, callers were served", true, true, false},
		{"start after a loss of all", false, false, false},
	}
	for _, tc := range tests {
		ct, _ := newLoneControl(800)
		ct.da.front = &front.Server{}
		ct.da.Settings.Bootstrap, ct.served = tc.bootstrap, tc.served
		if got := ct.initial(); got != tc.want {
			t.Errorf("%s: loads are free: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// The steward is cut off from the store. An endpoint's entry is removed. A deputy
// begins to follow the store only then, so that it never saw the entry, and tells the
// others that it is fresh. They went on by the steward's view and sent requests to the
// endpoint seconds after it had left. The deputy must tell them that it is gone: at
// once if the store answered, and after an outage only if the entry does not come back.
func TestDeputyTellsWhatItNeverSaw(t *testing.T) {
	for _, wasAway := range []bool{false, true} {
		ct, cl := newLoneControl(800)
		ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.Plain{}
		ct.told = &catalog.View{Term: 7, Plain: []catalog.PlainEndpoint{{ID: "desk-1", Service: "desk"}, {ID: "desk-2", Service: "desk"}},
			Groups: []catalog.Group{{Name: "group-1", Members: []catalog.Member{{ID: "engine-1"}, {ID: "engine-2"}}}}}
		entry := `{"service":"desk","address":"127.0.0.1:9","zone":"dc-0","slots":1,"state":"ready","sequence":1}`
		items := []platform.Item{{Key: platform.EndpointPrefix + "desk-2", Value: []byte(entry), Revision: 3}}
		ct.snapshot(items, 3, wasAway)
		if wasAway {
			if told := ct.gone.lately(cl.Now()); len(told) > 0 {
				t.Errorf("right after an outage, %v count as gone", told)
			}
			cl.Advance(returnGrace + time.Millisecond)
			ct.stepMissing(cl.Now())
		}
		ct.told = &catalog.View{Term: 7, Revision: 9, Plain: []catalog.PlainEndpoint{{ID: "desk-3", Service: "desk"}}}
		ct.snapshot(items, 4, false)
		for id, want := range map[string]bool{"desk-3": false, "desk-1": true, "desk-2": false, "engine-1": true} {
			if got := ct.gone.has(catalog.Life{ID: id}); got != want {
				t.Errorf("store away before: %v; %s counts as gone: %v, want %v", wasAway, id, got, want)
			}
		}
	}
}

// The steward has told for a minute what the store says, so that no deputy had to.
// Then it is cut off from the store. The other daemons of the data centre must leave
// the store to the deputies all the same: each that follows it costs the platform a
// call for each change.
func TestDeputiesAfterLongQuiet(t *testing.T) {
	ct, cl := newLoneControl(192)
	cl.Advance(time.Minute)
	ct.confirmed = cl.Now()
	cl.Advance(staleAfter + time.Millisecond)
	ct.hearAll(1, mesh.Beat{})
	ct.stepFollowing(cl.Now())
	if ct.follows() {
		t.Error("follows the store before the deputies had time to")
	}
	cl.Advance(deputyPatience)
	ct.hearAll(2, mesh.Beat{})
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Error("does not follow the store though the deputies are silent")
	}
}
