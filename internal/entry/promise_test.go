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

// The store is away for longer than a lease lasts. Among many daemons a steward hears
// half a second late that its beats arrive. It must stay steward, since nobody can take
// its place: groups would lose members unrepaired until the store is back. Once the
// promises have run out it must stop.
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
			ct, _ := newLoneControl(800)
			other, _ := newLoneControl(192)
			for i := range 39 {
				other.da.mesh.AddPeers([]string{fmt.Sprint("10.0.1.", i)})
			}
			ct.lease = stewardship{core: steward.New(7, ct.begun), term: 7,
				sentAt: map[uint64]time.Duration{3: clock.SinceBoot() - tc.late}, promises: make(map[string]promise)}
			be := mesh.Heartbeat{Started: 1, Uptime: time.Minute}
			other.steward, other.heard = mesh.Heartbeat{Term: 7, Number: 3}, other.begun
			other.promise(&be)
			ct.hearAll(1, be)
			for i := range 39 {
				be.IP = fmt.Sprint("10.0.0.", i+1)
				ct.lease.promised(be)
			}
			if got := ct.holds(); got != tc.want {
				t.Errorf("holds: %v, want %v", got, tc.want)
			}
		})
	}
}

// A daemon must not look at the lease before its promise has run out, also when those
// that would come first fall silent meanwhile and it is the first itself.
func TestPromiseIsKept(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.heard, ct.rank = cl.Now(), 3
	var be mesh.Heartbeat
	ct.promise(&be)
	ct.rank = 0
	if left := ct.promisedUntil.Sub(cl.Now()); left < be.PromiseDuration {
		t.Errorf("promised for %v, looks at the lease after %v", be.PromiseDuration, left)
	}
}

// A daemon followed the store long ago and then learnt of groups from the steward. The
// steward falls silent, and the store does not answer. Callers would be refused if the
// daemon went by what it had read then: the groups formed since are not in it.
func TestFollowingBeginsWithTheLastView(t *testing.T) {
	ct, cl := newLoneControl(192)
	ct.da.table, ct.da.plain = &dispatch.Table{}, &dispatch.Plain{}
	ct.da.view.Store(&catalog.View{})
	ct.revision, ct.haveAll = 3, false
	ct.endpoints["i-old"] = catalog.Endpoint{ID: "i-old"}
	gr := catalog.Group{Name: "group-1", Members: []catalog.Member{{ID: "i-new"}}}
	ct.told = &catalog.View{Term: 7, Sequence: 2, Revision: 9, Groups: []catalog.Group{gr}}
	cl.Advance(time.Minute)
	ct.stepFollowing(cl.Now())
	if !ct.follows() {
		t.Fatal("does not follow the store")
	}
	if vi := ct.da.view.Load(); vi == nil || len(vi.Groups) != 1 {
		t.Errorf("the view is %+v", vi)
	}
}

// A machine is replaced by one of the same name at another address. The steward must not
// wait for a promise of the process that is gone: it would give its lease up in the next
// outage of the store.
func TestReplacedDaemonOwesNoPromise(t *testing.T) {
	ct, _ := newLoneControl(800)
	ct.lease = stewardship{core: steward.New(7, ct.begun), term: 7, promises: make(map[string]promise)}
	ct.da.mesh.Accept(mesh.Heartbeat{IP: "10.0.0.1", Name: "entry-1", Started: 1, Number: 1})
	if ct.holds() {
		t.Fatal("holds without the promise of a daemon that was heard just now")
	}
	next := mesh.Heartbeat{IP: "10.0.0.2", Name: "entry-1", Started: 2, Number: 1, Uptime: time.Millisecond}
	ct.da.mesh.Accept(next)
	ct.lease.promised(next)
	if !ct.holds() {
		t.Error("waits for the promise of a process that was replaced")
	}
}
