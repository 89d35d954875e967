package entry

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// Guards against all daemons reading the store when the steward is lost. With 40 daemons,
// only the first three of each data centre read it at once. The others rely on these
// deputies as long as they report the store's current state and no newer configuration than
// the daemon has.
func TestDeputies(t *testing.T) {
	fresh := mesh.Heartbeat{IP: "10.0.0.1", DataCenter: "dc-0", FollowsStore: true, ConfigRevision: 5}
	newer, elsewhere, idle := fresh, fresh, fresh
	newer.ConfigRevision, elsewhere.DataCenter, idle.FollowsStore = 6, "dc-1", false
	tests := []struct {
		name     string
		milliCPU int
		// received is the heartbeat received from a deputy after staleAfter.
		received *mesh.Heartbeat
		// atOnce and later are whether the daemon follows the store immediately, and
		// after deputyTimeout.
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
			ct, cl := newTestControl(tc.milliCPU)
			cl.Advance(startupSettleTime)
			ct.confirmed = cl.Now()
			ct.deputyConfirmed = cl.Now()
			cl.Advance(staleAfter + time.Millisecond)
			ct.receiveFromAll(1, mesh.Heartbeat{})
			if tc.received != nil {
				ct.recordDeputy(*tc.received, cl.Now())
			}
			ct.stepFollowing(cl.Now())
			if got := ct.follows(); got != tc.atOnce {
				t.Errorf("follows immediately: got %v, want %v", got, tc.atOnce)
			}
			cl.Advance(deputyTimeout)
			ct.receiveFromAll(2, mesh.Heartbeat{})
			ct.stepFollowing(cl.Now())
			if got := ct.follows(); got != tc.later {
				t.Errorf("follows after %v: got %v, want %v", deputyTimeout, got, tc.later)
			}
		})
	}
}

// Guards against all daemons reading the store when many start together. Only the first of
// the known daemons read it at once; the others wait for these and read it only if they
// receive nothing.
func TestStartTogether(t *testing.T) {
	for _, tc := range []struct {
		ip     string
		atOnce bool
	}{{"10.0.0.0", true}, {"10.0.0.200", false}} {
		ct, cl := newTestControl(800)
		ct.da.Settings.IP, ct.da.mesh.IP = tc.ip, tc.ip
		ct.confirmed = cl.Now().Add(-staleAfter)
		ct.receiveFromAll(1, mesh.Heartbeat{})
		ct.joined = true
		cl.Advance(time.Millisecond)
		ct.stepFollowing(cl.Now())
		if got := ct.follows(); got != tc.atOnce {
			t.Errorf("%s follows immediately: got %v, want %v", tc.ip, got, tc.atOnce)
		}
		cl.Advance(startupSettleTime)
		ct.stepFollowing(cl.Now())
		if !ct.follows() {
			t.Errorf("%s does not follow the store %v after its start although it received nothing", tc.ip, startupSettleTime)
		}
	}
}

// Guards against all daemons of a data centre following the store when the steward is cut
// off from it after a minute in which no deputy had to send anything. They must leave the
// store to the deputies: each follower costs the platform a call per change.
func TestDeputiesAfterLongQuiet(t *testing.T) {
	ct, cl := newTestControl(192)
	cl.Advance(time.Minute)
	ct.confirmed = cl.Now()
	cl.Advance(staleAfter + time.Millisecond)
	ct.receiveFromAll(1, mesh.Heartbeat{})
	ct.stepFollowing(cl.Now())
	if ct.follows() {
		t.Error("follows the store before deputyTimeout")
	}
	cl.Advance(deputyTimeout)
	ct.receiveFromAll(2, mesh.Heartbeat{})
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Error("does not follow the store although the deputies are unresponsive")
	}
}

// Guards against daemons that restart together, know only the seeds from their settings,
// and consider themselves deputies. Each read of the store's entries is several calls, and
// each change another one.
func TestStartKnowingSeedsOnly(t *testing.T) {
	ct, cl := newTestControl(192)
	ct.startedAt = cl.Now()
	ct.confirmed = cl.Now().Add(-staleAfter)
	cl.Advance(joinTimeout / 2)
	ct.stepFollowing(cl.Now())
	if ct.follows() {
		t.Error("follows the store before it knows the other daemons")
	}
	cl.Advance(joinTimeout)
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Error("does not follow the store although no heartbeat was received")
	}
}

// Guards against every daemon reading the lease ten times a second while the store is
// unavailable and nobody can acquire it. Lower ranks try first; the others wait longer, but
// must try in the end.
func TestLaterRanksWaitLonger(t *testing.T) {
	if first, last := rankWait(0), rankWait(firstRanks); first != 0 || last > 2*time.Second {
		t.Errorf("rank 0 waits %v, want 0; rank %d waits %v, want at most 2s", first, firstRanks, last)
	}
	num := 0
	for rank := range 195 {
		if rankWait(rank) < 4*time.Second {
			num++
		}
	}
	if num > 32 {
		t.Errorf("%d of 195 daemons read the lease in an outage of 4 s, want at most 32", num)
	}
	if rankWait(400) > maxRankWait {
		t.Errorf("rank 400 waits %v, more than maxRankWait", rankWait(400))
	}
}

// Guards against daemons that keep following the store after a deputy was late once. When
// the deputy responds again they must stop: each follower costs the platform a call per
// change while a steward is cut off from the store.
func TestFollowersStopForDeputies(t *testing.T) {
	ct, cl := newTestControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	cl.Advance(time.Minute)
	ct.receiveFromAll(1, mesh.Heartbeat{})
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Fatal("does not follow the store although no heartbeat was received")
	}
	ct.confirmed = cl.Now()
	ct.recordDeputy(mesh.Heartbeat{IP: "10.0.0.2", DataCenter: "dc-0", FollowsStore: true, ConfigRevision: 5}, cl.Now())
	ct.stepFollowing(cl.Now())
	if ct.follows() {
		t.Error("follows the store although a deputy does")
	}
}
