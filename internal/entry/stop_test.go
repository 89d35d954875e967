package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// Guards against a grace period so short that the margins leave no time: all connections would be closed
// at the signal, before requests in progress are answered.
func TestTimesOfShortGrace(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, grace := range []time.Duration{8 * time.Second, shortGrace, time.Second, 500 * time.Millisecond} {
		st := newStopTimes(now, grace)
		times := []time.Time{now, st.acceptUntil, st.readBy, st.AnswerBy, st.AbortBy, st.end, now.Add(grace)}
		if !slices.IsSortedFunc(times, time.Time.Compare) || !st.AnswerBy.After(now) || !st.AnswerBy.Before(st.AbortBy) || !st.AbortBy.Before(st.end) {
			t.Errorf("grace %v: times out of order: %v", grace, times)
		}
	}
}

// shortGrace leaves a stopping daemon 3.2 s for its requests.
const shortGrace = 4 * time.Second

// stopFault is the fault of requests, by the beginning of their ID.
func stopFault(req *http.Request) emulator.Fault {
	switch kind, _, _ := strings.Cut(req.Header.Get(platform.HeaderRequestID), "-"); kind {
	case "hangs":
		return emulator.Hangs
	case "pauses":
		return emulator.Pauses
	default:
		return emulator.None
	}
}

// newStopStack returns a deployment and a daemon with a short grace period, whose servers have the
// faults of stopFault. The daemon has seen short requests of all kinds but unsafe ones.
func newStopStack(t *testing.T) (*stack, *testDaemon) {
	t.Helper()
	sk := newStack(t, 1)
	for _, id := range sk.de.IDs("desk") {
		sk.de.Server(id).SetFault(stopFault)
	}
	sk.de.SetModelFault(stopFault)
	sk.grace = shortGrace
	ru := sk.start(1)
	for _, path := range []string{"/slot/", "/draft/"} {
		sk.until("the second daemon serves", func() bool { return strings.Contains(sk.send(ru, path, "warm-up"), "warm-up") })
	}
	return sk, ru
}

// pending is a request that was sent, and what its caller may get.
type pending struct {
	id   string
	want []string
	got  chan string
}

// begin sends a request over a client without waiting for the result.
func (sk *stack) begin(hc *http.Client, ru *testDaemon, path, id string, change func(*http.Request), want ...string) pending {
	pe := pending{id, want, make(chan string, 1)}
	go func() { pe.got <- sk.sendOver(hc, ru, path, id, change) }()
	return pe
}

// Guards against a planned stop in calm that takes requests and cuts them off without an answer at the
// end of the grace period: sent before the signal or after it, over new and kept connections.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	sk, ru := newStopStack(t)
	const timeout, refused, cut = "status 504", "status 503", "cut off"
	asIs := func(*http.Request) {}
	long := func(req *http.Request) { req.Header.Set(platform.HeaderTokens, "100,350") }
	fresh := sk.client
	var kept []*http.Client
	for range 4 {
		hc := &http.Client{Transport: &http.Transport{}}
		defer hc.CloseIdleConnections()
		sk.sendOver(hc, ru, "/slot/", "warm-up", asIs)
		kept = append(kept, hc)
	}
	all := []pending{
		sk.begin(fresh, ru, "/confirm/", "hangs-before", asIs, timeout),
		sk.begin(fresh, ru, "/slot/", "hangs-safe", asIs, timeout),
		sk.begin(fresh, ru, "/draft/", "hangs-stream", asIs, timeout),
		sk.begin(fresh, ru, "/draft/", "pauses-stream", asIs, cut),
		sk.begin(fresh, ru, "/draft/", "long", long, streamOf("long", 50)),
	}
	sk.until("requests run", func() bool {
		return !slices.ContainsFunc(all, func(pe pending) bool { return sk.de.Runs(pe.id) == 0 })
	})
	ru.stop()
	for num := range 4 {
		for name, hc := range map[string]*http.Client{"new": fresh, "kept": kept[num]} {
			id := func(kind string) string { return fmt.Sprint(kind, "-", name, num) }
			all = append(all,
				sk.begin(hc, ru, "/confirm/", id("hangs-confirm"), asIs, refused),
				sk.begin(hc, ru, "/slot/", id("hangs-slot"), asIs, timeout),
				sk.begin(fresh, ru, "/slot/", id("quick"), asIs, emulator.Body(id("quick"))),
				sk.begin(fresh, ru, "/draft/", id("hangs-draft"), asIs, timeout),
				sk.begin(fresh, ru, "/draft/", id("quick-draft"), asIs, completeStream(id("quick-draft"))))
		}
		time.Sleep(acceptFor / 8)
	}
	for _, pe := range all {
		got := <-pe.got
		if !slices.Contains(pe.want, got) {
			t.Errorf("%s: got %q, want %q", pe.id, got, pe.want)
		}
		if runs := sk.de.Runs(pe.id); got == refused && runs > 0 {
			t.Errorf("%s: refused after %d runs", pe.id, runs)
		}
	}
	if err := <-ru.done; err != nil {
		t.Error(err)
	}
	ru.done <- nil
	if log := sk.log.String(); !strings.Contains(log, "connections closed.\" refused=8 unfinished=19 aborted=1") {
		t.Error("the log does not count the requests that the stop has ended")
	}
}

// streamOf returns the body of a complete stream.
func streamOf(id string, events int) string {
	var all strings.Builder
	for num := 1; num <= events; num++ {
		all.WriteString(emulator.Event(id, num))
	}
	return all.String()
}
