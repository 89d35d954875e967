package caller

import (
	"context"
	"sync"
)

// inFlight counts requests, and closes for new ones when the daemon stops. A
// request that came between the last count and the end of the process would
// be cut off; once closed it is refused instead. The zero value is open.
type inFlight struct {
	mu     sync.Mutex
	num    int
	closed bool
	idle   chan struct{}
}

// enter counts a request and tells whether it may go on; leave must follow.
func (in *inFlight) enter() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return false
	}
	in.num++
	return true
}

func (in *inFlight) leave() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.num--
	if in.closed && in.num == 0 {
		close(in.idle)
	}
}

// close refuses new requests and returns when none is left or ctx ends.
func (in *inFlight) close(ctx context.Context) error {
	in.mu.Lock()
	if !in.closed {
		in.closed = true
		in.idle = make(chan struct{})
		if in.num == 0 {
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
