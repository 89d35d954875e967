package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A caller is refused and comes back to another daemon. That daemon must know
// that the answer will be late whatever it does, or it treats the request like one
// that can still be in time and makes others late.
func TestWaits(t *testing.T) {
	wa := &WaitEstimator{}
	first, short := 5*time.Second, 2*time.Second
	tests := []struct {
		name     string
		patience time.Duration
		want     time.Duration
	}{
		{"a first attempt", first, 0},
		{"one that comes back", first - 1300*time.Millisecond, 1300 * time.Millisecond},
		{"another that comes back, after another time", first - 1100*time.Millisecond, 1100 * time.Millisecond},
		{"more patient than any before", 2 * first, 0},
		{"a first attempt of a less patient kind of caller", short, 0},
		{"one of them that comes back", short - time.Second, time.Second},
	}
	if got := wa.ElapsedWait("route", first-time.Second, 0); got != 0 {
		t.Errorf("the first request of all: waited %v", got)
	}
	for range usualCount {
		wa.ElapsedWait("route", first, first)
		wa.ElapsedWait("route", short, first)
	}
	for _, tc := range tests {
		if got := wa.ElapsedWait("route", tc.patience, first); got != tc.want {
			t.Errorf("%s: waited %v, want %v", tc.name, got, tc.want)
		}
	}
	if got := wa.ElapsedWait("other", first-time.Second, 0); got != 0 {
		t.Errorf("a route of which nothing is known: waited %v", got)
	}
}

// Guards against a daemon that has just started taking all that callers send again for
// first attempts: after a loss of all daemons that is what comes first.
func TestWaitsBeforeAnythingIsLearnt(t *testing.T) {
	const timeout = 6 * time.Second
	tests := []struct {
		name     string
		patience time.Duration
		want     time.Duration
	}{
		{"a caller that comes back", timeout - 1700*time.Millisecond, 1700 * time.Millisecond},
		{"a first attempt", timeout, 0},
		{"a first attempt of a caller a little less patient", timeout - 200*time.Millisecond, 0},
		{"a caller more patient than the route", 2 * timeout, 0},
	}
	for _, tc := range tests {
		if got := new(WaitEstimator).ElapsedWait("route", tc.patience, timeout); got != tc.want {
			t.Errorf("%s: waited %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against callers that come back counting as first ones where no two callers are
// equally patient.
func TestWaitsOfUnequalCallers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, most := range []time.Duration{6 * time.Second, 3 * time.Second} {
		wa, wrong := &WaitEstimator{}, 0
		for i := range 400 {
			patience := scale(most, 1-0.15*rnd.Float64())
			again := i%3 == 2
			if again {
				patience -= time.Second + time.Duration(rnd.Int64N(int64(500*time.Millisecond)))
			}
			late := wa.ElapsedWait("route", patience, 8*time.Second) > 0
			if i >= 2*enoughSeen && late != again {
				wrong++
			}
		}
		if wrong > 4 {
			t.Errorf("callers of up to %v: %d of 368 taken for the other kind", most, wrong)
		}
	}
}

// Callers name routes only through the configuration, but that changes all day.
func TestWaitsAreBounded(t *testing.T) {
	wa := &WaitEstimator{}
	for i := range 3 * maxRoutes {
		wa.ElapsedWait(time.Duration(i).String(), time.Second, time.Second)
	}
	if len(wa.routes) > maxRoutes {
		t.Errorf("%d routes are kept", len(wa.routes))
	}
}

func BenchmarkWaits(b *testing.B) {
	wa := &WaitEstimator{}
	for i := 0; b.Loop(); i++ {
		wa.ElapsedWait("route", 5*time.Second-time.Duration(i%3)*time.Millisecond, 5*time.Second)
	}
}
