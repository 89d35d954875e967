package entry

import (
	"fmt"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
	"corianderhub.dev/corianderhub/platform/emulator"
)

const (
	// limitWindow is the span in which what an endpoint with a limit gets is counted.
	limitWindow = 4 * time.Second
	// limitRatio and limitSlack bound that: so many times the limit, and so many requests.
	limitRatio = 1.5
	limitSlack = 5
	// limitLearnt is how long daemons have to learn of a limit.
	limitLearnt = 3 * time.Second
)

// Guards against daemons that each keep an endpoint's limit by themselves, or not at all, so
// that the sum of what they send is over it.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	const perSecond = 1.0
	sk := newStack(t, 4)
	limited := sk.de.Server(sk.de.IDs("desk")[0])
	limited.SetBackpressure(emulator.Backpressure{Limit: fmt.Sprint(perSecond)})
	begin := time.Now()
	for num := 0; time.Since(begin) < limitLearnt+limitWindow; num++ {
		ru := sk.daemons[num%len(sk.daemons)]
		if got := sk.ask(ru, "/slot/", fmt.Sprint("id-", num)); got != emulator.Body(fmt.Sprint("id-", num)) {
			t.Fatalf("request %d: %s, though another endpoint takes it", num, got)
		}
		time.Sleep(15 * time.Millisecond)
	}
	allowed := limitRatio*perSecond*limitWindow.Seconds() + limitSlack
	if num := limited.PeakArrivals(limitWindow, begin.Add(limitLearnt)); float64(num) > allowed {
		t.Errorf("%d requests in %s, allowed %.0f", num, limitWindow, allowed)
	}
	if num := limited.PeakArrivals(limitWindow, begin.Add(limitLearnt)); num == 0 {
		t.Error("no request at all")
	}
}

// newCrowd is a stack of so many daemons that they tell the steward alone.
func newCrowd(t *testing.T) *stack {
	sk := newStack(t, 20)
	if sk.daemons[0].da.mesh.Direct() {
		t.Fatal("so few daemons tell each other everything, so the test shows nothing")
	}
	return sk
}

// untilAllLeaveItToFew has one daemon told what a desk needs, and waits until all know, also one
// that starts then.
func (sk *stack) untilAllLeaveItToFew(id string, need emulator.Backpressure) {
	sk.t.Helper()
	desk := sk.de.Server(id)
	desk.SetBackpressure(need)
	told := sk.daemons[len(sk.daemons)-1]
	sk.until("one daemon is told", func() bool {
		sk.ask(told, "/slot/", fmt.Sprint("told-", time.Now().UnixNano()))
		return len(desk.Arrivals()) > 0
	})
	knows := func(ru *running) bool {
		// A daemon that starts makes its parts before its first view.
		return ru.da.view.Load() != nil && ru.da.backpressure.Restricted(catalog.Instance{ID: id}, ru.da.Clock.Now())
	}
	for _, ru := range sk.daemons {
		sk.until("all daemons know", func() bool { return knows(ru) })
	}
	sk.kill(sk.daemons[0])
	fresh := sk.start(0)
	sk.until("a daemon that has started knows", func() bool { return knows(fresh) })
}

// Guards against a limit that only the daemon knows which was told, where daemons are many and
// tell the steward alone, or where one has just started.
func TestLimitAmongManyDaemons(t *testing.T) {
	sk := newCrowd(t)
	sk.untilAllLeaveItToFew(sk.de.IDs("desk")[0], emulator.Backpressure{Limit: "2"})
}
