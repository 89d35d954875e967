package caller

import (
	"context"
	"sync"
)

// inFlight counts the requests in flight and stops admitting new ones when the
// daemon drains. Counting and admission share one lock: a request admitted
// after the last count would be cut off at process exit, so it is refused
// instead. The zero value admits requests.
type inFlight struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{}
}

// begin counts a request and reports whether it is admitted. If it is, the
// caller must call end.
func (in *inFlight) begin() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return false
	}
	in.count++
	return true
}

// num returns the number of requests in flight.
func (in *inFlight) num() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.count
}

func (in *inFlight) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.count--
	if in.closed && in.count == 0 {
		close(in.idle)
	}
}

// drain refuses new requests and waits until none is in flight or ctx ends.
func (in *inFlight) drain(ctx context.Context) error {
	in.mu.Lock()
	if !in.closed {
		in.closed = true
		in.idle = make(chan struct{})
		if in.count == 0 {
			close(in.idle)
		}
	}
	idle := in.idle
	in.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
