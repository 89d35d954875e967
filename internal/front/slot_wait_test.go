package front

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
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
// against sending the one or counting it as refused, and against holding the other back until its
// time is over.
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
	for until := time.Now().Add(longTimeout); ri.front.InFlight() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if num := len(ri.front.refusals.series); num != 0 {
		t.Error("a caller that has left counts as refused")
	}
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

// handOverClock calls the next of onSleep instead of each sleep.
type handOverClock struct {
	clock.System
	mu      sync.Mutex
	onSleep []func()
}

func (hc *handOverClock) Sleep(ctx context.Context, dur time.Duration) error {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if len(hc.onSleep) == 0 {
		return hc.System.Sleep(ctx, dur)
	}
	hc.onSleep[0]()
	hc.onSleep = hc.onSleep[1:]
	return ctx.Err()
}

// A group breaks at the moment at which a waiting request gets its slot. Guards against refusing the
// request although another group can run it, and against sending it to the broken one.
func TestGroupBreaksAtHandOver(t *testing.T) {
	ri := newRig(t)
	ri.addGroup(nil)
	ri.addGroup(nil)
	running := ri.fill()
	broken := running[0].Group.Name
	ri.front.Clock = &handOverClock{onSleep: []func(){
		func() {
			running[0].EndAt(time.Now())
			ri.table.MarkBroken(broken, time.Now())
		},
		func() {
			for _, ti := range running[1:] {
				if ti.Group.Name != broken {
					ti.EndAt(time.Now())
				}
			}
		},
	}}
	if re := ri.send("/draft/", "moved", setTokenCounts); re.status != http.StatusOK || re.body != completeStream("moved") {
		t.Errorf("status %d, header %v, body %q", re.status, re.header, re.body)
	}
	if runs := ri.runs("moved"); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}
