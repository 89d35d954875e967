package entry

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// limitWindow is the period in which requests to an endpoint with a limit are counted.
	limitWindow = 4 * time.Second
	// limitRatio and limitSlack define the allowed number of requests: limitRatio times
	// the limit plus limitSlack.
	limitRatio = 1.5
	limitSlack = 5
	// limitPropagation is the time allowed for daemons to apply a limit.
	limitPropagation = 3 * time.Second
)

// Guards against daemons that each apply an endpoint's limit separately or not at all, so
// that their total rate exceeds it.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	const perSecond = 1.0
	sk := newStack(t, 4)
	limited := sk.de.Server(sk.de.IDs("desk")[0])
	limited.SetBackpressure(emulator.Backpressure{Limit: fmt.Sprint(perSecond)})
	begin := time.Now()
	for num := 0; time.Since(begin) < limitPropagation+limitWindow; num++ {
		ru := sk.daemons[num%len(sk.daemons)]
		if got := sk.send(ru, "/slot/", fmt.Sprint("id-", num)); got != emulator.Body(fmt.Sprint("id-", num)) {
			t.Fatalf("request %d: got %s, although another endpoint accepts it", num, got)
		}
		time.Sleep(15 * time.Millisecond)
	}
	allowed := limitRatio*perSecond*limitWindow.Seconds() + limitSlack
	if num := limited.PeakArrivals(limitWindow, begin.Add(limitPropagation)); float64(num) > allowed {
		t.Errorf("%d requests in %s, want at most %.0f", num, limitWindow, allowed)
	}
	if num := limited.PeakArrivals(limitWindow, begin.Add(limitPropagation)); num == 0 {
		t.Error("the limited endpoint got no requests")
	}
}

// newLargeStack returns a stack with enough daemons that they do not communicate directly,
// but only through the steward.
func newLargeStack(t *testing.T) *stack {
	sk := newStack(t, 20)
	if sk.daemons[0].da.mesh.Direct() {
		t.Fatal("the mesh is direct with this few daemons, so the test covers no relaying")
	}
	return sk
}

// untilAllRestrict makes an endpoint announce bp to one daemon, and waits until all daemons
// apply it, including one that starts afterwards.
func (sk *stack) untilAllRestrict(id string, bp emulator.Backpressure) {
	sk.t.Helper()
	sv := sk.de.Server(id)
	sv.SetBackpressure(bp)
	receiver := sk.daemons[len(sk.daemons)-1]
	sk.until("one daemon receives the notice", func() bool {
		sk.send(receiver, "/slot/", fmt.Sprint("notice-", time.Now().UnixNano()))
		return len(sv.Arrivals()) > 0
	})
	applies := func(ru *testDaemon) bool {
		// A starting daemon has its tracker before its first view.
		return ru.da.view.Load() != nil && ru.da.backpressure.Restricted(catalog.Instance{ID: id}, ru.da.Clock.Now())
	}
	for _, ru := range sk.daemons {
		sk.until("all daemons apply the restriction", func() bool { return applies(ru) })
	}
	sk.kill(sk.daemons[0])
	fresh := sk.start(0)
	sk.until("a restarted daemon applies the restriction", func() bool { return applies(fresh) })
}

// Guards against a limit that is applied only by the daemon that received it, in a large
// deployment, where notices are relayed by the steward, or after a daemon has just started.
func TestLimitAmongManyDaemons(t *testing.T) {
	sk := newLargeStack(t)
	sk.untilAllRestrict(sk.de.IDs("desk")[0], emulator.Backpressure{Limit: "2"})
}
