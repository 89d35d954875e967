package rtt

import (
	"testing"
	"time"
)

// The limit stays at its lower bound while answers are quick, grows with answers that
// come late, and falls again after them.
func TestLimitFollowsAnswers(t *testing.T) {
	const least, most = 60 * time.Millisecond, 400 * time.Millisecond
	var es Estimator
	if got := es.Timeout(least, most); got != least {
		t.Errorf("limit before any answer: %v", got)
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
			t.Errorf("%s: limit %v, want %v to %v", st.name, got, st.lo, st.hi)
		}
	}
}
