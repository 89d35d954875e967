package entry

import (
	"context"
	"testing"
	"time"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
)

// Guards against daemons that each let a request with quarantined parts through while they hear no steward,
// or that wait for one that is gone.
func TestNoTrialWithoutSteward(t *testing.T) {
	ct, cl := newTestControl(193)
	ct.da.trials.da = ct.da
	rq := quarantine.Request{Content: quarantine.Fingerprint{1}, Parts: []quarantine.Fingerprint{{2}, {3}}}
	for i := range 5 {
		other := quarantine.Request{Content: quarantine.Fingerprint{9, byte(i)}, Parts: []quarantine.Fingerprint{{2}, {4}}}
		at := cl.Now()
		ct.da.quarantine.RecordCrash(quarantine.Crash{Endpoint: string(rune('a' + i)), At: at, Requests: []quarantine.Request{other}}, at)
		cl.Advance(time.Second)
	}
	if !ct.da.quarantine.Holds(rq.Parts[0], cl.Now()) {
		t.Fatal("the part is not in quarantine")
	}
	claim := func() bool { return ct.da.trials.claim(context.Background(), rq) }
	if claim() {
		t.Error("trial without a steward")
	}
	ct.da.trials.steward.Store(&stewardContact{"127.0.0.1", cl.Now()})
	cl.Advance(maxStewardSilence)
	if claim() {
		t.Error("trial by a steward that is no longer heard")
	}
	if ct.da.trials.grant(rq) {
		t.Error("trial granted by a daemon that is not the steward")
	}
	ct.acting.Store(true)
	if !claim() || claim() {
		t.Error("want one trial by the steward itself")
	}
}
