package front

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against refusing requests while a daemon that has just started reads its configuration.
// After a loss of all daemons, every caller would have to retry.
func TestRequestsWaitForConfiguration(t *testing.T) {
	ri := newRig(t)
	ri.addPlain(nil)
	ri.front.Clock = clock.NewManual(time.Now())
	var polls atomic.Int64
	ri.front.Config = func() *catalog.Config {
		if polls.Add(1) < 4 {
			return nil
		}
		return ri.cfg
	}
	if got := ri.send("/slot/", "r1", nil).status; got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
}

// Guards against delaying every request when a daemon can't read its configuration.
func TestWaitForConfigurationIsBounded(t *testing.T) {
	mc := clock.NewManual(time.Unix(1000, 0))
	sv := &Server{Clock: mc, Config: func() *catalog.Config {
		mc.Advance(configPollInterval)
		return nil
	}}
	for _, maxWait := range []time.Duration{2 * configTimeout, 2 * configPollInterval} {
		begin := mc.Now()
		if sv.awaitConfig(t.Context()) != nil {
			t.Fatal("got a configuration, want nil")
		}
		if took := mc.Now().Sub(begin); took > maxWait {
			t.Errorf("waited for %v, want at most %v", took, maxWait)
		}
	}
}
