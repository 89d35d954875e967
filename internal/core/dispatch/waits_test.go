package dispatch

import (
	"testing"
	"time"
)

// A caller is refused and comes back to another daemon. That daemon must know
// that the answer will be late whatever it does, or it treats the request like one
// that can still be in time and makes others late.
func TestWaits(t *testing.T) {
	wa := &Waits{}
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
	if got := wa.Before("route", first-time.Second); got != 0 {
		t.Errorf("the first request of all: waited %v", got)
	}
	for range usualCount {
		wa.Before("route", first)
		wa.Before("route", short)
	}
	for _, tc := range tests {
		if got := wa.Before("route", tc.patience); got != tc.want {
			t.Errorf("%s: waited %v, want %v", tc.name, got, tc.want)
		}
	}
	if got := wa.Before("other", first-time.Second); got != 0 {
		t.Errorf("a route of which nothing is known: waited %v", got)
	}
}

// Callers name routes only through the configuration, but that changes all day.
func TestWaitsAreBounded(t *testing.T) {
	wa := &Waits{}
	for i := range 3 * maxRoutes {
		wa.Before(time.Duration(i).String(), time.Second)
	}
	if len(wa.routes) > maxRoutes {
		t.Errorf("%d routes are kept", len(wa.routes))
	}
}

func BenchmarkWaits(b *testing.B) {
	wa := &Waits{}
	for i := 0; b.Loop(); i++ {
		wa.Before("route", 5*time.Second-time.Duration(i%3)*time.Millisecond)
	}
}
