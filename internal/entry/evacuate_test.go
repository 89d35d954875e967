package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/backpressure"
	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/internal/core/evacuation"
	"corianderhub.dev/corianderhub/platform"
	"corianderhub.dev/corianderhub/platform/emulator"
)

// untilEvacuated waits until the daemon applies exactly this evacuation.
func (sk *stack) untilEvacuated(ru *testDaemon, dataCenters ...string) {
	sk.t.Helper()
	sk.until(fmt.Sprint("a daemon applies the evacuation of ", dataCenters), func() bool {
		// A starting daemon has its control state before its first view.
		return ru.da.view.Load() != nil && slices.Equal(ru.da.control.evacuation.Order().DataCenters, dataCenters)
	})
}

// plainServer returns the plain server in a data centre.
func (sk *stack) plainServer(dataCenter string) *emulator.Server {
	for _, id := range sk.de.IDs("desk") {
		if sv := sk.de.Server(id); sv.DataCenter == dataCenter {
			return sv
		}
	}
	sk.t.Fatalf("no plain server in %s", dataCenter)
	return nil
}

// sendAll sends a number of requests, by turns to all daemons that run, and fails the test if one
// is not answered.
func (sk *stack) sendAll(num int) {
	sk.t.Helper()
	for i := range num {
		ru := sk.daemons[i%len(sk.daemons)]
		id := fmt.Sprint("request-", time.Now().UnixNano())
		if got := sk.send(ru, "/slot/", id); got != emulator.Body(id) {
			sk.t.Fatalf("request %d: got %s, although an endpoint accepts it", i, got)
		}
	}
}

// Guards against requests to an evacuated data centre from a daemon that learned of the evacuation
// from another one, that starts during it, or that follows a new steward while the store is
// unavailable, and against a data centre that stays unused after its evacuation.
func TestEvacuationReachesAllDaemons(t *testing.T) {
	sk := newStack(t, 4)
	evacuated := sk.plainServer(otherDataCenter)
	sk.de.Evacuate(otherDataCenter)
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru, otherDataCenter)
	}
	before := len(evacuated.Arrivals())
	sk.sendAll(20)
	sk.setStoreFault(emulator.Unresponsive)
	st := sk.steward()
	num := slices.Index(sk.daemons, st)
	sk.kill(st)
	fresh := sk.start(num)
	sk.untilEvacuated(fresh, otherDataCenter)
	sk.until("the daemon serves", func() bool { return sk.send(fresh, "/slot/", "warm-up") == emulator.Body("warm-up") })
	sk.setStoreFault(emulator.NoStoreFault)
	sk.sendAll(20)
	if got := len(evacuated.Arrivals()) - before; got != 0 {
		t.Errorf("%d requests reached an evacuated data centre", got)
	}
	// Daemons prefer endpoints of their own data centre, so that one is evacuated to make
	// them use the other one.
	sk.de.EndEvacuation(otherDataCenter)
	sk.de.Evacuate(emulator.DataCenter)
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru, emulator.DataCenter)
		sk.until("a daemon uses the data centre again", func() bool { return sk.send(ru, "/slot/", "again") == emulator.Body("again") })
	}
	if len(evacuated.Arrivals()) == before {
		t.Error("no request reached the data centre after its evacuation")
	}
}

// Guards against a request that waits until its deadline although no endpoint may serve it: every
// endpoint of its service is in an evacuated data centre.
func TestEvacuationOfAllIsRefusedAtOnce(t *testing.T) {
	sk := newStack(t, 2)
	sk.de.Evacuate(emulator.DataCenter)
	sk.de.Evacuate(otherDataCenter)
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru, emulator.DataCenter, otherDataCenter)
	}
	for _, path := range []string{"/slot/", "/draft/", "/confirm/"} {
		begin := time.Now()
		if got := sk.send(sk.daemons[0], path, "none"); got != "status 503" || time.Since(begin) > 5*time.Second {
			t.Errorf("%s: got %s after %s, want status 503 at once", path, got, time.Since(begin))
		}
	}
	if got := sk.de.Runs("none"); got != 0 {
		t.Errorf("a refused request ran %d times", got)
	}
}

// Guards against an evacuation whose begin and remaining requests operators can see neither in the
// metrics nor in the log, and against a state that stays after its end.
func TestStateOfEvacuation(t *testing.T) {
	sk := newStack(t, 1)
	ru := sk.daemons[0]
	state := func() string {
		var out strings.Builder
		ru.da.writeEvacuations(&out)
		return out.String()
	}
	begin := time.Now().Truncate(time.Second)
	sk.de.Evacuate(otherDataCenter)
	sk.untilEvacuated(ru, otherDataCenter)
	labels := `{data_center="` + otherDataCenter + `"} `
	if got := state(); !strings.Contains(got, "corianderhub_evacuated_requests"+labels+"0") {
		t.Errorf("no number of requests in %q", got)
	}
	_, text, _ := strings.Cut(state(), "corianderhub_evacuated_since_seconds"+labels)
	var since int64
	if _, err := fmt.Sscan(text, &since); err != nil || since < begin.Unix() || since > time.Now().Unix() {
		t.Errorf("evacuated since %d (%v), want a time after %d", since, err, begin.Unix())
	}
	ru.da.control.post(func() { ru.da.control.logEvacuations(ru.da.Clock.Now()) })
	sk.until("the evacuation is logged", func() bool {
		return strings.Contains(sk.log.String(), "evacuation in force.\" data-center="+otherDataCenter)
	})
	sk.de.EndEvacuation(otherDataCenter)
	sk.untilEvacuated(ru)
	if got := state(); got != "" {
		t.Errorf("metrics after the end of the evacuation: %q, want none", got)
	}
}

// Guards against a stream that is broken off because its group's data centre is evacuated.
func TestEvacuationLetsStreamsEnd(t *testing.T) {
	sk := newStack(t, 2)
	result := make(chan string, 1)
	go func() { result <- sk.send(sk.daemons[0], "/draft/", "running") }()
	sk.until("the stream runs", func() bool { return sk.de.Runs("running") == 1 })
	sk.de.Evacuate(emulator.DataCenter)
	if got := <-result; got != completeStream("running") {
		t.Errorf("got %s, want the complete stream", got)
	}
}

// Guards against a daemon that fails at, or repeats in its log, a key that names no data centre or
// an unknown one.
func TestInvalidEvacuation(t *testing.T) {
	sk := newStack(t, 2)
	for range 3 {
		sk.de.Store.Put(platform.ConfigPrefix+"evacuate/", []byte("x"))
		sk.de.Evacuate("hall-zz")
		sk.de.EndEvacuation("hall-zz")
	}
	sk.de.Evacuate(otherDataCenter)
	for _, ru := range sk.daemons {
		sk.untilEvacuated(ru, otherDataCenter)
	}
	sk.sendAll(4)
	logged := sk.log.String()
	for _, key := range []string{"op/evacuate/ ", "op/evacuate/hall-zz "} {
		if got := strings.Count(logged, "evacuation names no known data centre.\" key="+key); got < 1 || got > len(sk.daemons) {
			t.Errorf("%q was logged %d times, want once by each daemon that reads it", key, got)
		}
	}
}

// untilCold waits until the daemon limits the requests to an endpoint, or no longer does.
func (sk *stack) untilCold(ru *testDaemon, id string, want bool) {
	sk.t.Helper()
	sk.until(fmt.Sprintf("cold is %v", want), func() bool {
		for _, pe := range ru.da.view.Load().Plain {
			if pe.ID == id && ru.da.backpressure.Restricted(pe.Instance(), ru.da.Clock.Now()) == want {
				return true
			}
		}
		return false
	})
}

// Guards against a cold endpoint that receives more requests than it tolerates because each daemon
// knows or counts for itself, and against one that stays limited when it is warm.
func TestColdEndpointAmongDaemons(t *testing.T) {
	sk := newStack(t, 4)
	cold := sk.plainServer(emulator.DataCenter)
	cold.SetCold(time.Minute)
	for _, ru := range sk.daemons {
		sk.untilCold(ru, cold.ID, true)
	}
	begin := time.Now()
	for time.Since(begin) < 4*time.Second {
		sk.sendAll(len(sk.daemons))
	}
	const allowed = emulator.ColdPerSecond*emulator.ColdOvershoot + emulator.ColdSlack
	if got := cold.PeakArrivals(time.Second, begin); float64(got) > allowed || got == 0 {
		t.Errorf("%d requests within a second, want 1 to %v", got, allowed)
	}
	cold.SetCold(0)
	for _, ru := range sk.daemons {
		sk.untilCold(ru, cold.ID, false)
	}
}

// Guards against a data centre that gets its full share of requests right after its evacuation:
// its endpoints may be cold although no entry says so yet.
func TestEndOfEvacuationIsCold(t *testing.T) {
	ct, _ := newTestControl(800)
	ct.da.Settings.Bounds.ColdOvershoot, ct.da.Settings.Bounds.ColdSlack = emulator.ColdOvershoot, emulator.ColdSlack
	cfg := &catalog.Config{Services: map[string]catalog.Service{"desk": {ColdStart: emulator.ColdStart, ColdPerSecond: emulator.ColdPerSecond}}}
	vi := &catalog.View{Plain: []catalog.PlainEndpoint{{ID: "a", Service: "desk", DataCenter: "hall-a"}, {ID: "b", Service: "desk", DataCenter: "hall-b"}}}
	now := ct.da.Clock.Now()
	for revision, dcs := range [][]string{nil, {"hall-b"}, nil} {
		ct.evacuation.Apply(evacuation.Order{Revision: int64(revision + 1), DataCenters: dcs}, now)
	}
	limited := func(now time.Time) []backpressure.Cold { return ct.coldLimits(vi, cfg, now) }
	if got := limited(now); len(got) != 1 || got[0].Instance.ID != "b" {
		t.Errorf("limited after the evacuation: %v, want the endpoint in hall-b", got)
	}
	if got := limited(now.Add(emulator.ColdStart + time.Second)); len(got) != 0 {
		t.Errorf("limited for longer than an endpoint is cold: %v", got)
	}
}
