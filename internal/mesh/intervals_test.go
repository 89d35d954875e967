package mesh

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/occupancy"
	"corianderhub.dev/corianderhub/internal/core/quarantine"
)

// testMesh is the mesh of one daemon with many peers, spread over four data centres,
// all of which send heartbeats continuously.
type testMesh struct {
	*Mesh
	clock   *clock.Manual
	started int64
	number  uint64
}

func newTestMesh(others int) *testMesh {
	cl := clock.NewManual(time.Unix(1000, 0))
	cr := &testMesh{clock: cl, Mesh: &Mesh{Clock: cl, Log: slog.New(slog.DiscardHandler), IP: "10.0.0.1", DataCenter: "dc-0", Port: 7}}
	for i := range others {
		cr.receive(i, Heartbeat{})
	}
	return cr
}

func peerIP(num int) string { return fmt.Sprintf("10.0.%d.%d", 1+num/200, 1+num%200) }

// receive delivers a heartbeat from the peer with that number.
func (cr *testMesh) receive(num int, be Heartbeat) {
	cr.number++
	be.IP, be.DataCenter, be.Number, be.Started = peerIP(num), fmt.Sprint("dc-", num%4), cr.number, cr.started
	cr.Accept(be)
}

// receiveAll delivers a heartbeat from all peers except some.
func (cr *testMesh) receiveAll(others int, except ...int) {
	for i := range others {
		if !slices.Contains(except, i) {
			cr.receive(i, Heartbeat{Steward: cr.steward == peerIP(i)})
		}
	}
}

// countSent advances the clock by span and returns the number of heartbeats sent to
// each recipient.
func (cr *testMesh) countSent(others int, span time.Duration) map[recipient]int {
	sent := make(map[recipient]int)
	for step := range int(span / countStep) {
		for _, ad := range cr.due(ToDue) {
			sent[ad]++
		}
		if step%20 == 0 {
			cr.receiveAll(others)
		}
		cr.clock.Advance(countStep)
	}
	return sent
}

// countStep is the interval between checks for due heartbeats.
const countStep = 10 * time.Millisecond

func recipientOf(num int, work WorkOf) recipient {
	return recipient{netip.AddrPortFrom(netip.MustParseAddr(peerIP(num)), 7), work}
}

// Guards against heartbeat traffic that grows without bound: few daemons exchange
// their load directly, many through the steward, and the rate that a daemon sends at
// stays bounded whatever their number.
func TestHeartbeatIntervals(t *testing.T) {
	tests := []struct {
		name            string
		others, steward int
		// perSecond bounds the total rate of heartbeats. load, local and remote are the
		// heartbeats sent to the daemons 1 (the steward), 4 (same data centre) and 2
		// (other data centre) in 10 s.
		perSecond           int
		load, local, remote int
		loadWork            WorkOf
	}{
		{"few", 8, 1, 200, 200, 200, 200, WorkOwn},
		{"many", 67, 1, 80, 100, 23, 3, WorkOwn},
		{"very many", 369, 1, 70, 19, 4, 1, WorkOwn},
		{"steward of many", 67, -1, 1000, 125, 125, 125, WorkRelayed},
		{"steward of very many", 369, -1, 1000, 27, 27, 27, WorkRelayed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			cr := newTestMesh(tc.others)
			cr.SetSteward(cr.IP)
			if tc.steward >= 0 {
				cr.SetSteward(peerIP(tc.steward))
			}
			sent := cr.countSent(tc.others, 10*time.Second)
			total := 0
			for _, num := range sent {
				total += num
			}
			if total > tc.perSecond*10*11/10 {
				t.Errorf("sent %d heartbeats in 10 s, want at most %d", total, tc.perSecond*10)
			}
			othersWork := WorkNone
			if tc.loadWork == WorkRelayed || tc.others <= maxDirectPeers {
				othersWork = tc.loadWork
			}
			for _, want := range []struct{ num, heartbeats int }{{1, tc.load}, {4, tc.local}, {2, tc.remote}} {
				work := othersWork
				if want.num == 1 {
					work = tc.loadWork
				}
				if got := sent[recipientOf(want.num, work)]; got < want.heartbeats*8/10 || got > want.heartbeats+2 {
					t.Errorf("sent daemon %d %d heartbeats in 10 s, want about %d; without work: %v", want.num, got, want.heartbeats, sent[recipientOf(want.num, WorkNone)])
				}
			}
		})
	}
}

// Guards against peers that direct callers to a dead daemon for seconds: they receive
// its heartbeats only at long intervals, so the steward, which receives them often,
// has to report it as unresponsive. Reports of other daemons do not count.
func TestStewardReportsUnresponsiveDaemons(t *testing.T) {
	const others, dead = 67, 4
	steward, peer := newTestMesh(others), newTestMesh(others)
	steward.SetSteward(steward.IP)
	peer.SetSteward(peerIP(1))
	for _, cr := range []*testMesh{steward, peer} {
		cr.clock.Advance(stewardSettleTime)
		cr.receiveAll(others)
		cr.clock.Advance(700 * time.Millisecond)
		cr.receiveAll(others, dead)
	}
	unresponsive := steward.Unresponsive()
	if !slices.Equal(unresponsive, []string{peerIP(dead)}) {
		t.Fatalf("unresponsive: %v, want only daemon %d", unresponsive, dead)
	}
	alive := func() bool {
		return slices.ContainsFunc(peer.Alive(), func(pe Peer) bool { return pe.IP == peerIP(dead) })
	}
	if !alive() {
		t.Fatal("the peer already counts the daemon as dead before the report of the steward")
	}
	peer.receive(2, Heartbeat{Steward: true, Unresponsive: unresponsive})
	if !alive() {
		t.Error("applied the report of a daemon that is not the steward")
	}
	peer.receive(1, Heartbeat{Steward: true, Unresponsive: unresponsive})
	if alive() {
		t.Error("the dead daemon still counts as alive after the report of the steward")
	}
	peer.receive(1, Heartbeat{Steward: true})
	if !alive() {
		t.Error("the daemon does not count as alive after the steward stopped reporting it")
	}
}

// Guards against a new steward that ignores daemons of other data centres: their last
// heartbeats to it are seconds old, because they sent at the interval between data
// centres. It must notify them at once and must not report them as unresponsive.
func TestNewStewardNotifiesAllAtOnce(t *testing.T) {
	const others = 67
	cr := newTestMesh(others)
	cr.SetSteward(peerIP(1))
	cr.countSent(others, time.Second)
	cr.clock.Advance(2 * time.Second)
	cr.SetSteward(cr.IP)
	if got := len(cr.due(ToEveryone)); got != others {
		t.Errorf("new steward notifies %d daemons at once, want %d", got, others)
	}
	if unresponsive := cr.Unresponsive(); len(unresponsive) > 0 {
		t.Errorf("%d daemons are reported as unresponsive that were not due to send", len(unresponsive))
	}
}

// Checks the work in the heartbeat for each kind of recipient. Recipients with the
// same content share one encoding, so a cached one must not go to another kind.
func TestDatagramWork(t *testing.T) {
	own := map[string]dispatch.Load{"a": {Requests: 3}}
	en := heartbeatEncoder{be: Heartbeat{IP: "10.0.0.1"}, wo: Work{Own: dispatch.Work{Loads: own},
		Except: func(ip string) dispatch.Work {
			return dispatch.Work{Loads: map[string]dispatch.Load{ip: {Requests: 1}}, Rates: map[string]float32{"linden": 2.5},
				Readings: map[string]occupancy.Shared{ip: {Requests: 3, AgeMillis: 40}}}
		}}}
	tests := []struct {
		work WorkOf
		want map[string]dispatch.Load
	}{
		{WorkOwn, own},
		{WorkNone, nil},
		{WorkRelayed, map[string]dispatch.Load{peerIP(1): {Requests: 1}}},
		{WorkOwn, own},
	}
	for _, tc := range tests {
		raw, err := en.datagram(recipientOf(1, tc.work))
		if err != nil {
			t.Fatal(err)
		}
		be, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if be.WorkOf != tc.work || len(be.Work.Loads) != len(tc.want) {
			t.Errorf("datagram has work of %v with loads %v, want %v", be.WorkOf, be.Work.Loads, tc.want)
		}
		if re := be.Work.Readings[peerIP(1)]; (tc.work == WorkRelayed) != (re.Requests == 3 && re.AgeMillis == 40) {
			t.Errorf("datagram has work of %v with readings %v", be.WorkOf, be.Work.Readings)
		}
		for name, lo := range tc.want {
			if be.Work.Loads[name] != lo {
				t.Errorf("load of %s: %v, want %v", name, be.Work.Loads[name], lo)
			}
		}
	}
}

func BenchmarkAnyDue(b *testing.B) {
	cr := newTestMesh(67)
	cr.SetSteward(peerIP(1))
	cr.due(ToEveryone)
	for b.Loop() {
		cr.AnyDue()
	}
}

// Guards against daemons that follow the store although a deputy does so for their
// data centre. They rely on the age of state that it reports; with 40 peers in the
// data centre the usual interval is a second, so a deputy must send more often.
func TestDeputyHeartbeatInterval(t *testing.T) {
	const others, span = 160, 4 * time.Second
	for _, deputy := range []bool{false, true} {
		cr := newTestMesh(others)
		cr.SetDeputy(deputy)
		least := others
		for re, num := range cr.countSent(others, span) {
			if local := re.to.Addr().String() == peerIP(0); local {
				least = min(least, num)
			}
		}
		if often := least >= int(span/localInterval)-1; often != deputy {
			t.Errorf("deputy %v: sent %d heartbeats to a daemon of the same data centre in %v, want one per localInterval only from a deputy", deputy, least, span)
		}
	}
}

// Guards against crash reports that dominate the traffic. A crash reports all requests
// in flight, so with many daemons the report goes only to the steward.
func TestCrashesSentOnlyToSteward(t *testing.T) {
	be := Heartbeat{Crashes: []quarantine.Crash{{Endpoint: "s1", Age: 5, Requests: []quarantine.Request{{Content: quarantine.Fingerprint{1, 2}, Parts: []quarantine.Fingerprint{{5}}}, {Content: quarantine.Fingerprint{3}}}}},
		Completions: []quarantine.Completion{{Subject: quarantine.Fingerprint{4}, Age: 6}}, QuarantineDigest: 7}
	for _, work := range []WorkOf{WorkOwn, WorkNone, WorkRelayed} {
		en := heartbeatEncoder{be: be, wo: Work{Except: func(string) dispatch.Work { return dispatch.Work{} }}}
		raw, err := en.datagram(recipientOf(0, work))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if work == WorkOwn {
			if diff := cmp.Diff(be.Crashes, got.Crashes) + cmp.Diff(be.Completions, got.Completions); diff != "" {
				t.Errorf("decoded crashes and completions differ: %s", diff)
			}
		} else if len(got.Crashes)+len(got.Completions) != 0 {
			t.Errorf("crashes or completions sent with work of %v", work)
		}
		if got.QuarantineDigest != be.QuarantineDigest {
			t.Errorf("got quarantine digest %d with work of %v, want the encoded one", got.QuarantineDigest, work)
		}
	}
}

// Guards against backpressure notices that do not reach all daemons where they are
// many: each daemon sends them to the steward, which forwards them to all. Notices
// from every daemon to every other one would dominate the traffic.
func TestBackpressureRecipients(t *testing.T) {
	be := Heartbeat{Backpressure: []backpressure.Notice{{Instance: catalog.Instance{ID: "s1", Incarnation: 5},
		Limit: backpressure.Limit{PerSecond: 1.5, Named: true}, LimitAge: time.Second}}}
	for work, want := range map[WorkOf]bool{WorkOwn: true, WorkRelayed: true, WorkNone: false} {
		en := heartbeatEncoder{be: be, wo: Work{Except: func(string) dispatch.Work { return dispatch.Work{} }}}
		raw, err := en.datagram(recipientOf(0, work))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if want {
			if diff := cmp.Diff(be.Backpressure, got.Backpressure); diff != "" {
				t.Errorf("decoded notices differ with work of %v: %s", work, diff)
			}
		} else if len(got.Backpressure) != 0 {
			t.Errorf("notices sent with work of %v", work)
		}
	}
}
