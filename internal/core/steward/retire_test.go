package steward

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// retirement is a group of three that drains because a member leaves. Its leader reports, with the
// configured lag, the requests that run.
type retirement struct {
	core  *Core
	cfg   *catalog.Config
	begin time.Time
	// runs reports whether a request runs at a time after the beginning of the drain.
	runs func(after time.Duration) bool
}

// retireMembers are the members of the group, the leader first.
var retireMembers = []string{"vm-1", "vm-2", "vm-3"}

func newRetirement(lag time.Duration, runs func(time.Duration) bool) *retirement {
	re := &retirement{begin: time.Unix(1000, 0), runs: runs}
	re.core = New(10, re.begin.Add(-time.Minute))
	re.cfg = &catalog.Config{Services: map[string]catalog.Service{"engine": {Name: "engine", Engine: &catalog.Engine{
		Slots: 26, Stride: 7, Models: simModels, ReportLag: lag, LoadsPerSecond: 4.5, LoadsAtOnce: 6, FormTime: 100 * time.Millisecond}}},
		Routes: []catalog.Route{{Name: "long", Kind: catalog.Streaming, Timeout: 8 * time.Second, Backends: []catalog.Backend{{Service: "engine", Weight: 1}}}}}
	re.core.SetServices(re.cfg)
	for rank := range retireMembers {
		re.core.Register(re.endpoint(rank), re.begin.Add(-time.Second))
		re.core.HandleReport(retireMembers[rank], re.report(rank, re.begin.Add(-time.Second)), re.begin.Add(-time.Second), re.begin.Add(-time.Second))
	}
	return re
}

func (re *retirement) endpoint(rank int) catalog.Endpoint {
	return catalog.Endpoint{ID: retireMembers[rank], Service: "engine", Address: retireMembers[rank], Domain: "domain", Incarnation: 1,
		Loaded: "small", Member: re.member(rank)}
}

func (re *retirement) member(rank int) *catalog.Membership {
	state := catalog.Ready
	if rank == 0 {
		state = catalog.Open
	}
	return &catalog.Membership{Group: "group-1", Epoch: 1, Rank: rank, State: state}
}

// report returns the report of a member in response to a poll at a time.
func (re *retirement) report(rank int, at time.Time) catalog.Report {
	rp := catalog.Report{Incarnation: 1, Domain: "domain", Loaded: "small", Member: re.member(rank)}
	if rank == 0 && re.runs(at.Sub(re.begin)-re.cfg.Services["engine"].Engine.ReportLag) {
		rp.Running = 1
	}
	return rp
}

// dissolvedAfter returns how long after the beginning of the drain the first member is ordered to
// leave the group.
func (re *retirement) dissolvedAfter(t *testing.T) time.Duration {
	t.Helper()
	leaving := re.endpoint(2)
	leaving.Leaving = true
	re.core.Register(leaving, re.begin)
	for now := re.begin; now.Sub(re.begin) < 20*time.Second; now = now.Add(10 * time.Millisecond) {
		for _, ca := range re.core.Step(now) {
			switch ca := ca.(type) {
			case Poll:
				for rank, id := range retireMembers {
					if id == ca.ID {
						re.core.HandleReport(id, re.report(rank, now), now, now)
					}
				}
			case Command:
				if _, ok := ca.Order.(catalog.Leave); ok {
					return now.Sub(re.begin)
				}
			}
		}
	}
	t.Fatal("the group is not dissolved")
	return 0
}

// Guards against cutting off a stream that lasts longer than a drain: a route allows it 8 s, and a
// pause of its group prolongs it.
func TestDrainWaitsForLongStream(t *testing.T) {
	const end = 7 * time.Second
	re := newRetirement(200*time.Millisecond, func(after time.Duration) bool { return after < end })
	if got := re.dissolvedAfter(t); got < end {
		t.Errorf("members ordered to leave after %v, want after the end of the stream at %v", got, end)
	}
}

// Guards against cutting off a request that a daemon sent before it learned that the group drains: the
// leader's next report does not show it yet.
func TestDrainWaitsForRequestNotReported(t *testing.T) {
	const begin, end = 50 * time.Millisecond, time.Second
	for _, lag := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		re := newRetirement(lag, func(after time.Duration) bool { return after >= begin && after < end })
		if got := re.dissolvedAfter(t); got < end {
			t.Errorf("lag %v: members ordered to leave after %v, want after the end of the request at %v", lag, got, end)
		}
	}
}

// Guards against a group that drains for longer than its requests may take.
func TestDrainEnds(t *testing.T) {
	always := newRetirement(200*time.Millisecond, func(time.Duration) bool { return true })
	if got := always.dissolvedAfter(t); got > 10*time.Second {
		t.Errorf("group whose leader always reports a request: dissolved after %v, want 10s at most", got)
	}
	never := newRetirement(200*time.Millisecond, func(time.Duration) bool { return false })
	if got := never.dissolvedAfter(t); got > 2*time.Second {
		t.Errorf("idle group: dissolved after %v, want 2s at most", got)
	}
}
