package daemon

import (
	"context"
	"sync"
)

// era is the time between two restores of the store. Its zero value is ready for use.
type era struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// current returns a context that ends with the era.
func (er *era) current() context.Context {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.ctx == nil {
		er.ctx, er.cancel = context.WithCancel(context.Background())
	}
	return er.ctx
}

// end ends the era; the next one begins.
func (er *era) end() {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.ctx != nil {
		er.cancel()
	}
	er.ctx = nil
}
