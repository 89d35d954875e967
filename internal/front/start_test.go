package front

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/clock"
	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against refusing what comes while a daemon that has just started reads its
// configuration: after a loss of all daemons every caller would have to come back.
func TestRequestsWaitForConfiguration(t *testing.T) {
	ri := newRig(t)
	ri.desk(nil)
	ri.front.Clock = clock.NewManual(time.Now())
	var looks atomic.Int64
	ri.front.Config = func() *catalog.Config {
		if looks.Add(1) < 4 {
			return nil
		}
		return ri.cfg
	}
	if got := ri.ask("/slot/", "r1", nil).status; got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// Guards against holding back every request of a daemon that can't read its configuration.
func TestRequestsDoNotWaitForConfigurationAlways(t *testing.T) {
	mc := clock.NewManual(time.Unix(1000, 0))
	sv := &Server{Clock: mc, Config: func() *catalog.Config {
		mc.Advance(startPause)
		return nil
	}}
	for _, most := range []time.Duration{2 * startWait, 2 * startPause} {
		begin := mc.Now()
		if sv.awaitConfig(t.Context()) != nil {
			t.Fatal("a configuration out of nowhere")
		}
		if took := mc.Now().Sub(begin); took > most {
			t.Errorf("waited for %v, want at most %v", took, most)
		}
	}
}
