package caller

import (
	"context"
	"testing"
)

// A daemon stops while a request is under way, and another arrives at that
// moment. The first is waited for; the second is refused and not cut off.
func TestInFlight(t *testing.T) {
	var in inFlight
	if !in.enter() {
		t.Fatal("refused while open")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if in.close(ended) == nil {
		t.Error("closed with a request under way")
	}
	if in.enter() {
		t.Error("let a request in after closing")
	}
	in.leave()
	if err := in.close(context.Background()); err != nil {
		t.Error(err)
	}
}
