package rtt

import (
	"testing"
	"time"
)

// Checks that the timeout stays at its lower bound while responses are fast, grows when responses
// are late, and falls back after they are fast again.
func TestTimeoutFollowsResponses(t *testing.T) {
	const least, most = 60 * time.Millisecond, 400 * time.Millisecond
	var es Estimator
	if got := es.Timeout(least, most); got != least {
		t.Errorf("timeout without samples: %v, want the lower bound", got)
	}
	steps := []struct {
		name   string
		took   time.Duration
		num    int
		lo, hi time.Duration
	}{
		{"quick", 3 * time.Millisecond, 20, least, least},
		{"late", 150 * time.Millisecond, 20, 150 * time.Millisecond, most},
		{"very late", 2 * time.Second, 20, most, most},
		{"quick again", 3 * time.Millisecond, 100, least, least},
	}
	for _, st := range steps {
		for range st.num {
			es.Add(st.took)
		}
		if got := es.Timeout(least, most); got < st.lo || got > st.hi {
			t.Errorf("%s: timeout %v, want %v to %v", st.name, got, st.lo, st.hi)
		}
	}
}
