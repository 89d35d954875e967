package front

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
	"corianderhub.dev/corianderhub/platform"
)

// Guards against jitter on a reserved time to return, and against callers that return together where
// nothing is reserved.
func TestRetryDelay(t *testing.T) {
	reserved := refusal{retryAfter: 1500 * time.Millisecond, exact: true}
	plain := refusal{retryAfter: 1500 * time.Millisecond}
	seen := make(map[time.Duration]bool)
	for _, id := range []string{"a", "b", "c", "d"} {
		if got := reserved.delay(id); got != reserved.retryAfter {
			t.Errorf("reserved delay %v, want %v", got, reserved.retryAfter)
		}
		got := plain.delay(id)
		if got < plain.retryAfter || got > plain.retryAfter*3/2 {
			t.Errorf("delay %v, want %v and at most half more", got, plain.retryAfter)
		}
		seen[got] = true
	}
	if len(seen) < 2 {
		t.Error("all callers are told the same delay, want different ones")
	}
}

// Guards against a refusal whose log line lacks the inputs that decided it, and against a logged
// retry time that differs from the one that the caller is told.
func TestRefusalNamesItsInputs(t *testing.T) {
	for _, schedule := range []bool{false, true} {
		ri := newRig(t)
		ri.addGroup(nil)
		ri.table.ScheduleReturns = schedule
		ne := dispatch.Request{Service: "engine", Model: "large", Objective: longTimeout, MaxPause: longTimeout, MaxWait: longTimeout}
		for {
			if _, ti := ri.table.Pick(ne, func(error) {}, time.Now()); ti == nil {
				break
			}
		}
		ri.table.ApplyPeerWork("peer", dispatch.Work{}, time.Now())
		re := ri.send("/draft/x", "refused", setTokenCounts)
		if re.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d, want 503", re.status)
		}
		seconds, _ := strconv.ParseFloat(re.header.Get(platform.HeaderRetryAfter), 64)
		wants := []string{"reason=full", "route=some.example/draft/", "rank=3", "workspace=nursery", "groups=1", "excess=", "free-slots=",
			"sums-age-ms=", fmt.Sprint("reserved=", schedule), fmt.Sprint("retry-after-ms=", int(seconds*1000+0.5))}
		for _, want := range wants {
			if !strings.Contains(ri.log.String(), " "+want) {
				t.Errorf("scheduled %v: no %q in the log:\n%s", schedule, want, ri.log.String())
			}
		}
	}
}

// Guards against counters that grow with the configuration's routes and workspaces.
func TestRefusalCountsAreBounded(t *testing.T) {
	var rc refusalCounts
	seen := make(map[refusalSeries]bool)
	for i := range 10000 {
		se := rc.bounded(refusalSeries{fmt.Sprint("route-", i%100), fmt.Sprint("workspace-", i/100), i % 2})
		seen[se] = true
	}
	if len(seen) > maxRefusalSeries+10 {
		t.Errorf("%d counters, want at most maxRefusalSeries and one for each rank", len(seen))
	}
	if got := rc.bounded(refusalSeries{"route-0", "workspace-0", 0}); got != (refusalSeries{"route-0", "workspace-0", 0}) {
		t.Errorf("an early counter became %v", got)
	}
	if got := rc.bounded(refusalSeries{"new", "new", 1}); got.route != otherLabel || got.workspace != otherLabel {
		t.Errorf("a late counter is %v, want other", got)
	}
}
