package reach

import (
	"testing"
	"time"
)

const endpoint = "10.0.0.1:80"

// Guards against a daemon that stays on a lost path, or that does not return to its own path when it
// works again.
func TestWays(t *testing.T) {
	now := time.Unix(1000, 0)
	var tr Tracker
	check := func(what string, want Way) {
		t.Helper()
		if got := tr.Way(endpoint, now); got != want {
			t.Errorf("%s: got way %d, want %d", what, got, want)
		}
	}
	check("unused", DirectFirst)
	tr.DirectFailed(endpoint, true, now)
	check("failed once", DirectFirst)
	if !tr.RelayOpened(endpoint, now) || tr.RelayOpened(endpoint, now) {
		t.Error("the path must be reported as lost exactly once")
	}
	check("lost", RelayFirst)
	now = now.Add(recheckInterval)
	check("recheck due", Both)
	check("just rechecked", RelayFirst)
	if unreached, lost := tr.Counts(now); unreached != 1 || lost != 1 {
		t.Errorf("got %d unreached and %d lost paths, want 1 and 1", unreached, lost)
	}
	tr.DirectOpened(endpoint)
	check("reached again", DirectFirst)
	tr.Unreachable(endpoint, now)
	check("reached by no daemon", DirectOnly)
	now = now.Add(downTTL)
	check("a moment later", DirectFirst)
}

// Guards against counting endpoints that are not connected to any more, such as those that are gone.
func TestUnusedPathsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var tr Tracker
	tr.DirectFailed(endpoint, false, now)
	tr.RelayOpened(endpoint, now)
	if unreached, lost := tr.Counts(now.Add(failureTTL + time.Second)); unreached != 0 || lost != 0 {
		t.Errorf("got %d unreached and %d lost paths, want none", unreached, lost)
	}
}

// Guards against relaying through daemons that are cut off as well, and against overrunning the
// last daemon of a data centre.
func TestPickRelay(t *testing.T) {
	now := time.Unix(1000, 0)
	near, cutOff, far := Candidate{IP: "10.0.0.2", DataCenter: "a"}, Candidate{IP: "10.0.0.3", DataCenter: "a", Lost: 50}, Candidate{IP: "10.0.1.2", DataCenter: "b"}
	all := []Candidate{cutOff, far, near}
	re := Relays{DataCenter: "a"}
	check := func(what string, want Candidate, tried ...Candidate) {
		t.Helper()
		if got, ok := re.Pick(all, tried, now); !ok || got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	check("all idle", near)
	check("one tried", far, near)
	re.Failed(near.IP, now)
	check("one failed", far)
	re.Opened(near.IP)
	check("one works again", near)
	for range remoteCost + 1 {
		re.Opened(near.IP)
	}
	check("one is full", far)
	for range remoteCost + 2 {
		re.Closed(near.IP)
	}
	check("one is idle again", near)
	if got, ok := re.Pick(all, all, now); ok {
		t.Errorf("all tried: got %v, want none", got)
	}
}
