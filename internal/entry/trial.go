package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"corianderhub.dev/corianderhub/internal/core/quarantine"
)

const (
	// trialPause is the time after the steward refused a trial of some parts before it is asked for the
	// same ones again. It bounds the calls of a daemon that refuses many requests.
	trialPause = 300 * time.Millisecond
	// trialCallTimeout bounds the call, which the refused caller waits for.
	trialCallTimeout = 150 * time.Millisecond
	// maxTrialPauses bounds the sets of parts that are remembered as refused, and with them the
	// calls to the steward.
	maxTrialPauses = 32
)

var trialCount = metrics.NewCounter("corianderhub_quarantine_trials_total")

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

	mu sync.Mutex
	// askedAt is when the steward was last asked, by the quarantined parts of the request.
	askedAt map[string]time.Time
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
	if st == nil || now.Sub(st.at) >= maxStewardSilence || !tl.mayAsk(held, now) {
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

// mayAsk reports whether the steward may be asked for a trial of these parts, and notes it.
func (tl *trials) mayAsk(held []quarantine.Fingerprint, now time.Time) bool {
	var key []byte
	for _, fp := range held {
		key = append(key, fp[:]...)
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if now.Sub(tl.askedAt[string(key)]) < trialPause {
		return false
	}
	for old, at := range tl.askedAt {
		if now.Sub(at) >= trialPause {
			delete(tl.askedAt, old)
		}
	}
	if len(tl.askedAt) >= maxTrialPauses {
		return false
	}
	if tl.askedAt == nil {
		tl.askedAt = make(map[string]time.Time)
	}
	tl.askedAt[string(key)] = now
	return true
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
