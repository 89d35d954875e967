package fleet

import (
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/intent"
)

// drainAfter is Input.DrainAfter in these tests.
const drainAfter = time.Second

// drainingInput returns the input of a plan for a draining group of the VMs a and b in a domain that
// has two more VMs, c and d. All VMs answer, and the leader has a request.
func drainingInput(now time.Time) Input {
	gr := Group{ID: "g", Spec: "undeclared", Model: "m", Version: "1", Size: 2, Fence: 1, DrainingSince: now.Add(-2 * drainAfter)}
	in := Input{Now: now, DataCenter: "dc", Config: &intent.Config{}, Epoch: 1, DrainAfter: drainAfter,
		LastOrder: map[string]time.Time{}, Observed: make(map[string]Observation)}
	for _, name := range []string{"a", "b", "c", "d"} {
		in.VMs = append(in.VMs, VM{Name: name, Domain: "dom"})
		in.Observed[name] = Observation{At: now, Report: Report{VM: name, Incarnation: "1"}}
	}
	for _, name := range []string{"a", "b"} {
		gr.Members = append(gr.Members, Member{VM: name, Incarnation: "1"})
		in.Observed[name] = Observation{At: now, Report: Report{VM: name, Incarnation: "1", Group: "g", Fence: 1, Generation: 1,
			Ring: []string{"a", "b"}, Model: "m", Version: "1", Ready: true}}
	}
	setRequests(in, "a", 1)
	in.Domains = map[string]Domain{"dom": {Name: "dom", DataCenter: "dc", Sequence: 1, Epoch: 1, Groups: []Group{gr}}}
	return in
}

// setRequests sets the number of requests that a VM reports.
func setRequests(in Input, vm string, requests int) {
	si := in.Observed[vm]
	si.Report.Load.Requests = requests
	in.Observed[vm] = si
}

// silence makes a VM leave probes unanswered since the given time before now.
func silence(in Input, vm string, since time.Duration) {
	si := in.Observed[vm]
	si.FailingSince = in.Now.Add(-since)
	in.Observed[vm] = si
}

// removes reports whether the plan removes the group from its domain.
func removes(in Input) bool {
	for _, do := range Plan(in).Writes {
		if len(do.Groups) == 0 {
			return true
		}
	}
	return false
}

// Guards against a draining group whose requests are cut off because a member that answers no probes
// for a moment, or that a new steward has not observed yet, counts as idle.
func TestDrainingGroupKeptWhileRequestsMayRun(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name   string
		change func(Input)
		want   bool
	}{
		{"has a request", func(Input) {}, false},
		{"idle", func(in Input) { setRequests(in, "a", 0) }, true},
		{"leader silent", func(in Input) { silence(in, "a", LossGrace/3) }, false},
		{"member silent", func(in Input) { setRequests(in, "a", 0); silence(in, "b", LossGrace/3) }, false},
		{"leader lost", func(in Input) { silence(in, "a", LossGrace) }, true},
		{"leader not observed", func(in Input) { delete(in.Observed, "a") }, false},
		{"leader leaving with a request", func(in Input) {
			si := in.Observed["a"]
			si.Report.Leaving = true
			in.Observed["a"] = si
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := drainingInput(now)
			tc.change(in)
			if got := removes(in); got != tc.want {
				t.Errorf("got group removed %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a ring that is formed anew, which interrupts its requests, because the leader answers
// no probes for a moment while another member is leaving.
func TestRingKeptWhileLeaderSilent(t *testing.T) {
	in := drainingInput(time.Unix(1000, 0))
	in.Domains["dom"].Groups[0].DrainingSince = time.Time{}
	silence(in, "a", LossGrace/3)
	si := in.Observed["b"]
	si.Report.Leaving = true
	in.Observed["b"] = si
	pl := newPlanner(in)
	if pl.mayReformRing(in.Domains["dom"].Groups[0]) {
		t.Error("got a ring that may be formed anew, want it kept")
	}
}
