package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
)

// trialCallTimeout bounds the call, which the refused caller waits for.
const trialCallTimeout = 150 * time.Millisecond

var trialCount = metrics.GetOrCreateCounter("corianderhub_quarantine_trials_total")

// stewardContact is the address of the steward and when it was last heard.
type stewardContact struct {
	ip string
	at time.Time
}

// trials asks the steward whether a request with quarantined parts may be sent, to tell these from
// other parts that were at the same crashes. The steward decides for all daemons, since it alone has
// all reports and knows which trial is pending. A daemon that doesn't hear it sends none.
type trials struct {
	da      *Daemon
	steward atomic.Pointer[stewardContact]
	pauses  quarantine.Pauses
}

// claim reports whether the request may be sent.
func (tl *trials) claim(ctx context.Context, rq quarantine.Request) bool {
	now := tl.da.Clock.Now()
	held := tl.da.quarantine.HeldParts(rq, now)
	if len(held) == 0 {
		return false
	}
	if tl.da.control.acting.Load() {
		return tl.grant(rq)
	}
	st := tl.steward.Load()
	if st == nil || now.Sub(st.at) >= maxStewardSilence || !tl.pauses.MayAsk(held, now) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	granted, err := tl.da.peers.ClaimTrial(ctx, st.ip, rq)
	if err != nil {
		tl.da.Log.Info("control: asking the steward for a trial failed.", "steward", st.ip, "heard-ms", now.Sub(st.at).Milliseconds(), "cause", err.Error())
		return false
	}
	return granted
}

// grant decides on a trial for all daemons. It refuses all unless this daemon is the steward.
func (tl *trials) grant(rq quarantine.Request) bool {
	now := tl.da.Clock.Now()
	if !tl.da.control.acting.Load() || !tl.da.quarantine.ClaimTrial(rq, now) {
		return false
	}
	trialCount.Inc()
	tl.da.Log.Info("control: trial of quarantined parts granted.", "content", rq.Content, "parts", rq.Parts)
	return true
}
