package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A caller is refused and retries at another daemon. Guards against that daemon treating the request
// as one that can still meet its objective, which makes other requests late.
func TestWaits(t *testing.T) {
	wa := &WaitEstimator{}
	first, short := 5*time.Second, 2*time.Second
	tests := []struct {
		name      string
		remaining time.Duration
		want      time.Duration
	}{
		{"first attempt", first, 0},
		{"retry", first - 1300*time.Millisecond, 1300 * time.Millisecond},
		{"retry after another delay", first - 1100*time.Millisecond, 1100 * time.Millisecond},
		{"longer timeout than any before", 2 * first, 0},
		{"first attempt with a shorter timeout", short, 0},
		{"retry with a shorter timeout", short - time.Second, time.Second},
	}
	if got := wa.ElapsedWait("route", first-time.Second, 0); got != 0 {
		t.Errorf("first request on the route: waited %v, want 0", got)
	}
	for range minRepeats {
		wa.ElapsedWait("route", first, first)
		wa.ElapsedWait("route", short, first)
	}
	for _, tc := range tests {
		if got := wa.ElapsedWait("route", tc.remaining, first); got != tc.want {
			t.Errorf("%s: waited %v, want %v", tc.name, got, tc.want)
		}
	}
	if got := wa.ElapsedWait("other", first-time.Second, 0); got != 0 {
		t.Errorf("first request on another route: waited %v, want 0", got)
	}
}

// Guards against a daemon that has just started treating all retries as first attempts: after a loss
// of all daemons, retries are what arrives first.
func TestWaitsWithoutSamples(t *testing.T) {
	const timeout = 6 * time.Second
	tests := []struct {
		name      string
		remaining time.Duration
		want      time.Duration
	}{
		{"retry", timeout - 1700*time.Millisecond, 1700 * time.Millisecond},
		{"first attempt", timeout, 0},
		{"first attempt with a slightly shorter timeout", timeout - 200*time.Millisecond, 0},
		{"first attempt with a timeout longer than the route's", 2 * timeout, 0},
	}
	for _, tc := range tests {
		if got := new(WaitEstimator).ElapsedWait("route", tc.remaining, timeout); got != tc.want {
			t.Errorf("%s: waited %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against retries counted as first attempts when all callers have different timeouts.
func TestWaitsWithVaryingTimeouts(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, most := range []time.Duration{6 * time.Second, 3 * time.Second} {
		wa, misclassified := &WaitEstimator{}, 0
		for i := range 400 {
			remaining := scale(most, 1-0.15*rnd.Float64())
			retry := i%3 == 2
			if retry {
				remaining -= time.Second + time.Duration(rnd.Int64N(int64(500*time.Millisecond)))
			}
			late := wa.ElapsedWait("route", remaining, 8*time.Second) > 0
			if i >= 2*minSamples && late != retry {
				misclassified++
			}
		}
		if misclassified > 4 {
			t.Errorf("timeouts of up to %v: %d of 368 requests misclassified, want at most 4", most, misclassified)
		}
	}
}

// Guards against unbounded growth: configuration changes keep adding new routes.
func TestWaitsAreBounded(t *testing.T) {
	wa := &WaitEstimator{}
	for i := range 3 * maxRoutes {
		wa.ElapsedWait(time.Duration(i).String(), time.Second, time.Second)
	}
	if len(wa.routes) > maxRoutes {
		t.Errorf("%d routes are kept, want at most maxRoutes", len(wa.routes))
	}
}

func BenchmarkWaits(b *testing.B) {
	wa := &WaitEstimator{}
	for i := 0; b.Loop(); i++ {
		wa.ElapsedWait("route", 5*time.Second-time.Duration(i%3)*time.Millisecond, 5*time.Second)
	}
}
