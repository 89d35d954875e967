package entry

import (
	"fmt"
	"testing"
	"time"

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
	limited.SetNeed(emulator.Need{Limit: fmt.Sprint(perSecond)})
	begin := time.Now()
	for num := 0; time.Since(begin) < limitLearnt+limitWindow; num++ {
		ru := sk.daemons[num%len(sk.daemons)]
		if got := sk.ask(ru, "/slot/", fmt.Sprint("id-", num)); got != emulator.Body(fmt.Sprint("id-", num)) {
			t.Fatalf("request %d: %s, though another endpoint takes it", num, got)
		}
		time.Sleep(15 * time.Millisecond)
	}
	allowed := limitRatio*perSecond*limitWindow.Seconds() + limitSlack
	if num := limited.Busiest(limitWindow, begin.Add(limitLearnt)); float64(num) > allowed {
		t.Errorf("%d requests in %s, allowed %.0f", num, limitWindow, allowed)
	}
	if num := limited.Busiest(limitWindow, begin.Add(limitLearnt)); num == 0 {
		t.Error("no request at all")
	}
}
