package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// The steward is lost. With 40 daemons, the first three of each data centre read
// the store at once. The others rely on them, as long as they tell what the
// store confirms and nothing newer than these know.
func TestDeputies(t *testing.T) {
	fresh := mesh.Heartbeat{IP: "10.0.0.1", DataCenter: "dc-0", FollowsStore: true, Config: 5}
	newer, elsewhere, idle := fresh, fresh, fresh
	newer.Config, elsewhere.DataCenter, idle.FollowsStore = 6, "dc-1", false
	tests := []struct {
		name  string
		power int
		// heard is what a deputy tells after staleAfter.
		heard *mesh.Heartbeat
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
			ct.hearAll(1, mesh.Heartbeat{})
			if tc.heard != nil {
				ct.hearDeputy(*tc.heard, cl.Now())
			}
			ct.stepFollowing(cl.Now())
			if got := ct.follows(); got != tc.atOnce {
				t.Errorf("follows at once: %v, want %v", got, tc.atOnce)
			}
			cl.Advance(deputyPatience)
			ct.hearAll(2, mesh.Heartbeat{})
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
		ct.hearAll(1, mesh.Heartbeat{})
		ct.joined = true
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

// The steward has told for a minute what the store says, so that no deputy had to.
// Then it is cut off from the store. The other daemons of the data centre must leave
// the store to the deputies all the same: each that follows it costs the platform a
// call for each change.
func TestDeputiesAfterLongQuiet(t *testing.T) {
	ct, cl := newLoneControl(192)
	cl.Advance(time.Minute)
	ct.confirmed = cl.Now()
	cl.Advance(staleAfter + time.Millisecond)
	ct.hearAll(1, mesh.Heartbeat{})
	ct.stepFollowing(cl.Now())
	if ct.follows() {
		t.Error("follows the store before the deputies had time to")
	}
	cl.Advance(deputyPatience)
	ct.hearAll(2, mesh.Heartbeat{})
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Error("does not follow the store though the deputies are silent")
	}
}

// Many daemons start again together, and each knows no more yet than the few seeds of
// its settings. None of them may take itself for a deputy by these: each read of the
// store's entries is several calls, and each change of them another one.
func TestStartKnowingSeedsOnly(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.begun = cl.Now()
	ct.confirmed = cl.Now().Add(-staleAfter)
	cl.Advance(joinPatience / 2)
	ct.stepFollowing(cl.Now())
	if ct.follows() {
		t.Error("follows the store before it knows who else is there")
	}
	cl.Advance(joinPatience)
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Error("does not follow the store although nobody was heard")
	}
}

// No daemon can take the lease, since the store is away. All of them look at it, those
// first that come first; the others must not ask the store for it ten times a second
// each, and must do so in the end.
func TestLaterRanksLookLater(t *testing.T) {
	if first, last := rankWait(0), rankWait(firstRanks); first != 0 || last > 2*time.Second {
		t.Errorf("the first wait %v, those of rank %d wait %v", first, firstRanks, last)
	}
	num := 0
	for rank := range 195 {
		if rankWait(rank) < 4*time.Second {
			num++
		}
	}
	if num > 32 {
		t.Errorf("%d of 195 daemons look at the lease in an outage of 4 s", num)
	}
	if rankWait(400) > maxRankWait {
		t.Errorf("the last waits %v", rankWait(400))
	}
}

// A deputy's word was late once, and all other daemons of its data centre began to follow
// the store. When it is heard again they leave the store to it: while a steward is cut off
// from the store, each of them would else cost the platform a call for each change.
func TestFollowersStopForDeputies(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.Plain{}
	cl.Advance(time.Minute)
	ct.hearAll(1, mesh.Heartbeat{})
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Fatal("does not follow the store although nobody was heard")
	}
	ct.confirmed = cl.Now()
	ct.hearDeputy(mesh.Heartbeat{IP: "10.0.0.2", DataCenter: "dc-0", FollowsStore: true, Config: 5}, cl.Now())
	ct.stepFollowing(cl.Now())
	if ct.follows() {
		t.Error("follows the store although a deputy does")
	}
}
