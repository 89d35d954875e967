package backpressure

import (
	"fmt"
	"testing"
	"time"
)

// Guards against refusals in proportion to the number of daemons: without shared state, each
// daemon is refused once whenever the retry time of an overloaded endpoint ends. Each simulated
// daemon sends a few requests a second to an endpoint that refuses some or all of them for a
// while.
func TestShedStateIsShared(t *testing.T) {
	const demand, begins, ends, until = 3, 10 * time.Second, 22 * time.Second, 40 * time.Second
	// maxRefused bounds the refusals of one endpoint such that a dozen endpoints together use at
	// most a third of the retry budget, at 1000 requests a second and a budget of a fifth of them.
	const maxRefused = 60
	for _, daemons := range []int{1, 6, 65, 370} {
		for _, part := range []float64{0.4, 1} {
			t.Run(fmt.Sprintf("%d daemons/%v turned away", daemons, part), func(t *testing.T) {
				t.Parallel()
				si := newSim(daemons, demand, func(time.Duration) Limit { return Limit{} })
				si.shedFraction = func(at time.Duration) float64 {
					if at < begins || at >= ends {
						return 0
					}
					return part
				}
				noChange := func(time.Duration) {}
				si.run(begins+time.Second, noChange)
				initial, before := si.refused, si.sent
				si.run(ends, noChange)
				refused, accepted := si.refused-initial, si.sent-before-(si.refused-initial)
				si.run(ends+retryAfter+2*probeSpan, noChange)
				before = si.sent
				si.run(until, noChange)
				recovered := float64(si.sent-before) / (until - ends - retryAfter - 2*probeSpan).Seconds()
				t.Logf("%d refused in the first second, %d in the next %s, %d accepted; %.0f requests a second after recovery", initial, refused, ends-begins-time.Second, accepted, recovered)
				if part == 1 && refused > maxRefused {
					t.Errorf("%d requests refused, want %d at most", refused, maxRefused)
				}
				if want := demand * float64(daemons) / 2; recovered < want {
					t.Errorf("%.0f requests a second after recovery, want at least %.0f", recovered, want)
				}
			})
		}
	}
}
