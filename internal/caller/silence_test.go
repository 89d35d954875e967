package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
)

// Guards against silence that is signaled too early, late or not at all, and against a watch that
// outlives its completion.
func TestSilenceWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		begin := time.Now()
		sw := newSilenceWatch(clock.System{}, time.Second)
		ended := make(chan struct{})
		go func() {
			sw.run(ctx)
			close(ended)
		}()
		time.Sleep(700 * time.Millisecond)
		sw.reset()
		<-sw.signals
		if got := time.Since(begin); got != 1700*time.Millisecond {
			t.Errorf("signaled after %v, want 1.7s", got)
		}
		if got := sw.remaining(); got != 0 {
			t.Errorf("remaining = %v, want 0", got)
		}
		cancel()
		<-ended
	})
}

// Guards against a signal that is taken for silence although something was received since.
func TestSilenceWatchReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sw := newSilenceWatch(clock.System{}, time.Second)
		go sw.run(ctx)
		time.Sleep(1500 * time.Millisecond)
		sw.reset()
		<-sw.signals
		if got := sw.remaining(); got != time.Second {
			t.Errorf("remaining = %v, want 1s", got)
		}
	})
}
