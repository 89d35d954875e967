package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/mesh"
)

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
