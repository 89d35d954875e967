package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against a demand that is too high in the first second: 73 daemons with few requests each
// begin to count with their first request.
func TestDemandOfFirstSecond(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	const daemons, perSecond, prompt = 73, 1.4, 1000
	begin := time.Unix(1000, 0)
	at := begin.Add(1200 * time.Millisecond)
	sum := catalog.Demand{}
	for range daemons {
		dm := make(demands)
		for now := begin; now.Before(at); now = now.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))) {
			if now.After(begin) {
				dm.recordRequest("model", prompt, now)
			}
		}
		sum = sum.Plus(dm.all(func(string) (float64, bool) { return 100, true }, at)["model"])
	}
	want := daemons * perSecond
	if got := float64(sum.Requests); math.Abs(got-want) > 0.25*want {
		t.Errorf("%.0f requests a second, want %.0f to a quarter", got, want)
	}
	if got := float64(sum.Prompt / sum.Requests); math.Abs(got-prompt) > 1 {
		t.Errorf("%.0f tokens a prompt, want %d", got, prompt)
	}
}
