package caller

import (
	"context"
	"testing"
)

// Guards against a request cut off at shutdown. One request is in flight when
// the daemon drains, and another arrives afterwards: drain waits for the first,
// and the second is refused.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	var in inFlight
	if !in.begin() {
		t.Fatal("begin() = false before drain, want true")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if in.drain(ended) == nil {
		t.Error("drain returned nil with a request in flight, want the context's error")
	}
	if in.begin() {
		t.Error("begin() = true after drain, want false")
	}
	in.end()
	if err := in.drain(context.Background()); err != nil {
		t.Error(err)
	}
}
