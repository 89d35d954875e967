package backpressure

import (
	"fmt"
	"testing"
	"time"
)

// Guards against refusals that grow with the number of daemons: each learns by one of its own
// that an endpoint turns requests away, every time that a rest ends. The load is that of many
// daemons, each with a few requests a second for an endpoint that turns away all of them, or
// some, for a while.
func TestRestsAreShared(t *testing.T) {
	const demand, begins, ends, until = 3, 10 * time.Second, 22 * time.Second, 40 * time.Second
	// mostTries is what a dozen such endpoints may cost in repeats in a third of the budget of a
	// thousand requests a second, a fifth of which may be sent again.
	const mostTries = 60
	for _, daemons := range []int{1, 6, 65, 370} {
		for _, part := range []float64{0.4, 1} {
			t.Run(fmt.Sprintf("%d daemons/%v turned away", daemons, part), func(t *testing.T) {
				t.Parallel()
				si := newSim(daemons, demand, func(time.Duration) Limit { return Limit{} })
				si.sheds = func(at time.Duration) float64 {
					if at < begins || at >= ends {
						return 0
					}
					return part
				}
				calm := func(time.Duration) {}
				si.run(begins+time.Second, calm)
				learnt, before := si.refused, si.all
				si.run(ends, calm)
				tries, taken := si.refused-learnt, si.all-before-(si.refused-learnt)
				si.run(ends+rest+2*probeSpan, calm)
				before = si.all
				si.run(until, calm)
				back := float64(si.all-before) / (until - ends - rest - 2*probeSpan).Seconds()
				t.Logf("%d refused in the first second, %d in the next %s, %d taken; %.0f a second after that", learnt, tries, ends-begins-time.Second, taken, back)
				if part == 1 && tries > mostTries {
					t.Errorf("%d requests turned away, want %d at most", tries, mostTries)
				}
				if want := demand * float64(daemons) / 2; back < want {
					t.Errorf("%.0f requests a second once it takes all again, want %.0f", back, want)
				}
			})
		}
	}
}
