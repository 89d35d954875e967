package front

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/catalog"
)

// Guards against refusing what comes while a daemon that has just started reads its
// configuration: after a loss of all daemons every caller would have to come back.
func TestRequestsWaitForConfiguration(t *testing.T) {
	ri := newRig(t)
	ri.desk(nil)
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
	ri := newRig(t)
	ri.desk(nil)
	ri.front.Config = func() *catalog.Config { return nil }
	for _, most := range []time.Duration{2 * startWait, startWait / 2} {
		begin := time.Now()
		if got := ri.ask("/slot/", "r1", nil).status; got != http.StatusServiceUnavailable {
			t.Errorf("status %d", got)
		}
		if took := time.Since(begin); took > most {
			t.Errorf("refused after %v, want at most %v", took, most)
		}
	}
}
