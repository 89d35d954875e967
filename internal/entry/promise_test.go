package entry

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/internal/core/steward"
	"corianderhub.dev/corianderhub/internal/mesh"
)

// Guards against a steward that stops while the store is unavailable for longer than a
// lease lasts. In a large deployment it receives acknowledgments of its heartbeats half a
// second late, but nobody can replace it, so it must stay steward: groups that lose members
// would stay unrepaired. Once the promises have expired it must stop.
func TestPromisesOfManyDaemonsHold(t *testing.T) {
	tests := []struct {
		name string
		late time.Duration
		want bool
	}{
		{"as late as usual", 510 * time.Millisecond, true},
		{"a beat lost", 800 * time.Millisecond, true},
		{"run out", maxPromise, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ct, _ := newTestControl(800)
			other, _ := newTestControl(192)
			for i := range 39 {
				other.da.mesh.AddPeers([]string{fmt.Sprint("10.0.1.", i)})
			}
			ct.lease = stewardship{core: steward.New(7, ct.startedAt), term: 7,
				sentAt: map[uint64]time.Duration{3: clock.SinceBoot() - tc.late}, promises: make(map[string]promise)}
			be := mesh.Heartbeat{Started: 1, Uptime: time.Minute}
			other.steward, other.lastStewardHeartbeat = mesh.Heartbeat{Term: 7, Number: 3}, other.startedAt
			other.addPromise(&be)
			ct.receiveFromAll(1, be)
			for i := range 39 {
				be.IP = fmt.Sprint("10.0.0.", i+1)
				ct.lease.recordPromise(be)
			}
			if got := ct.holds(); got != tc.want {
				t.Errorf("holds: got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a daemon that tries to acquire the lease before its promise has expired,
// because the daemons that precede it became unresponsive and it is now the first.
func TestPromiseIsKept(t *testing.T) {
	ct, cl := newTestControl(192)
	ct.lastStewardHeartbeat, ct.rank = cl.Now(), 3
	var be mesh.Heartbeat
	ct.addPromise(&be)
	ct.rank = 0
	if left := ct.promisedUntil.Sub(cl.Now()); left < be.PromiseDuration {
		t.Errorf("promised for %v, but tries to acquire the lease after %v", be.PromiseDuration, left)
	}
}

// Guards against refused requests when a daemon begins to follow an unavailable store
// again. It must use the steward's last view rather than entries read long ago, which lack
// the groups formed since.
func TestFollowingBeginsWithTheLastView(t *testing.T) {
	ct, cl := newTestControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.PlainTable{}
	ct.da.view.Store(&catalog.View{})
	ct.read.Revision, ct.haveAll = 3, false
	ct.endpoints["i-old"] = catalog.Endpoint{ID: "i-old"}
	gr := catalog.Group{Name: "group-1", Members: []catalog.Member{{ID: "i-new"}}}
	ct.stewardView = &catalog.View{Term: 7, Sequence: 2, Revision: 9, Groups: []catalog.Group{gr}}
	cl.Advance(time.Minute)
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Fatal("does not follow the store")
	}
	if vi := ct.da.view.Load(); vi == nil || len(vi.Groups) != 1 {
		t.Errorf("view is %+v, want one group", vi)
	}
}

// Guards against a steward that requires the promise of a process whose machine was
// replaced by one with the same name at another address. It would lose its lease in the
// next outage of the store.
func TestReplacedDaemonPromiseNotRequired(t *testing.T) {
	ct, _ := newTestControl(800)
	ct.lease = stewardship{core: steward.New(7, ct.startedAt), term: 7, promises: make(map[string]promise)}
	ct.da.mesh.Accept(mesh.Heartbeat{IP: "10.0.0.1", Name: "entry-1", Started: 1, Number: 1})
	if ct.holds() {
		t.Fatal("holds without the promise of a responsive daemon")
	}
	next := mesh.Heartbeat{IP: "10.0.0.2", Name: "entry-1", Started: 2, Number: 1, Uptime: time.Millisecond}
	ct.da.mesh.Accept(next)
	ct.lease.recordPromise(next)
	if !ct.holds() {
		t.Error("requires the promise of a replaced process")
	}
}
