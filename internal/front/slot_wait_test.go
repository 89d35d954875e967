package front

import (
	"context"
	"net/http"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/dispatch"
)

// fill makes the rig's table end requests at a high rate and then fills its group. It returns the
// tickets of the running requests. They have the rank of the rig's workspace, so no rank leaves room
// to another one.
func (ri *rig) fill() []*dispatch.Ticket {
	ri.t.Helper()
	ri.table.BoundedWait = true
	ne := dispatch.Request{Service: "engine", Model: "large", Rank: 3, Objective: longTimeout, MaxPause: longTimeout, MaxWait: longTimeout}
	ignore := func(error) {}
	for range 100 {
		if _, ti := ri.table.Pick(ne, ignore, time.Now()); ti != nil {
			ti.EndAt(time.Now())
		}
	}
	var running []*dispatch.Ticket
	for {
		_, ti := ri.table.Pick(ne, ignore, time.Now())
		if ti == nil {
			return running
		}
		running = append(running, ti)
	}
}

// awaitWaiting waits until num requests wait for a slot.
func (ri *rig) awaitWaiting(num int) {
	ri.t.Helper()
	for until := time.Now().Add(longTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if got, _ := ri.table.Waiting(); got == num {
			return
		}
	}
	ri.t.Fatalf("%d requests did not wait for a slot within %v", num, longTimeout)
}

// A request arrives while the group is full. Guards against refusing it although a slot becomes free,
// and against running it twice.
func TestRequestWaitsForSlot(t *testing.T) {
	ri := newRig(t)
	ri.addGroup(nil)
	running := ri.fill()
	done := make(chan result, 1)
	go func() { done <- ri.send("/draft/", "waits", setTokenCounts) }()
	ri.awaitWaiting(1)
	running[0].EndAt(time.Now())
	if re := <-done; re.status != http.StatusOK || re.body != completeStream("waits") {
		t.Errorf("status %d, body %q", re.status, re.body)
	}
	if runs := ri.runs("waits"); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// The caller of a waiting request disconnects, and the daemon stops with another one waiting. Guards
// against sending the one, and against holding the other back until its time is over.
func TestWaitEndsEarly(t *testing.T) {
	ri := newRig(t)
	ri.addGroup(nil)
	ri.fill()
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan result, 1)
	go func() {
		gone <- ri.send("/draft/", "leaves", func(req *http.Request) { *req = *req.WithContext(ctx) })
	}()
	ri.awaitWaiting(1)
	leave()
	<-gone
	ri.awaitWaiting(0)
	stopped := make(chan result, 1)
	go func() { stopped <- ri.send("/draft/", "stays", nil) }()
	ri.awaitWaiting(1)
	ri.table.StopWaiting()
	if re := <-stopped; re.status != http.StatusServiceUnavailable || re.header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v; want 503 with Retry-After", re.status, re.header)
	}
	if runs := ri.runs("leaves") + ri.runs("stays"); runs != 0 {
		t.Errorf("%d runs, want none", runs)
	}
}
