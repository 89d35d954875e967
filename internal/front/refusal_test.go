package front

import (
	"testing"
	"time"
)

// Guards against jitter on a reserved time to return, and against callers that return together where
// nothing is reserved.
func TestRetryDelay(t *testing.T) {
	reserved := refusal{retryAfter: 1500 * time.Millisecond, exact: true}
	plain := refusal{retryAfter: 1500 * time.Millisecond}
	seen := make(map[time.Duration]bool)
	for _, id := range []string{"a", "b", "c", "d"} {
		if got := reserved.delay(id); got != reserved.retryAfter {
			t.Errorf("reserved delay %v, want %v", got, reserved.retryAfter)
		}
		got := plain.delay(id)
		if got < plain.retryAfter || got > plain.retryAfter*3/2 {
			t.Errorf("delay %v, want %v and at most half more", got, plain.retryAfter)
		}
		seen[got] = true
	}
	if len(seen) < 2 {
		t.Error("all callers are told the same delay, want different ones")
	}
}
